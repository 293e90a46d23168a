"""A load balancer node for long-lived connections; `limerudder.policy` makes its decisions."""

__version__ = "0.2.0"
