"""A balancer node for long-lived connections on real sockets; firgrade makes its decisions."""
