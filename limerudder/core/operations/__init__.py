"""Operation by staff: console, maintenance, metrics and log events."""
