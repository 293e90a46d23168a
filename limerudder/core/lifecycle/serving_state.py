"""Whether a node accepts requests: it stops to when it shuts down, and leaves them to a successor."""

from __future__ import annotations


class ServingState:
    """What graceful shutdown and hot restart decide, and the handling of requests depends on."""

    def __init__(self) -> None:
        self.shutdown_deadline_us = 0  # when SIGKILL comes at the earliest; 0 while the node serves
        self.has_successor = False  # another process of this node accepts its clients

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected.

        With a successor they are not: what still arrives here was accepted before the successor took over.
        """
        return bool(self.shutdown_deadline_us) and not self.has_successor
