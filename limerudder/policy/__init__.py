"""A balancer's decisions for long-lived connections.

``Balancer`` decides; ``interface`` holds the settings, events and actions it is spoken to with.
"""

from limerudder.policy.balancer import Balancer

__all__ = ["Balancer"]
