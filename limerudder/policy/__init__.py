"""The connection policy: a balancer node's decisions for long-lived connections, without I/O.

`Balancer` turns events (`events`) into actions (`actions`), according to the node's `settings`. `selection`,
`retry`, `load_shedding` and `outlier_detection` decide which server a request gets, and whether it is retried
or rejected; the other modules keep the state that these decisions need.
"""

from limerudder.policy.balancer import Balancer

__all__ = ["Balancer"]
