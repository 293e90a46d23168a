"""A balancer node for long-lived connections on real sockets; `limerudder.policy` makes its decisions."""

__version__ = "0.2.0"
