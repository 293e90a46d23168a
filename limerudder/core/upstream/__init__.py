"""The upstream side: connection attempts, health checks, liveness and load reports."""
