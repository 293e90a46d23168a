"""Whether a node rejects new requests, depending on graceful shutdown and hot restart."""

from __future__ import annotations


class ServingState:
    """State set by graceful shutdown and hot restart that request handling depends on."""

    def __init__(self) -> None:
        self.shutdown_deadline_us = 0  # earliest time of SIGKILL; 0 if the node is not shutting down
        self.has_successor = False  # another process of this node accepts clients

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected.

        With a successor they are not: their connections were accepted before the successor started to serve.
        """
        return bool(self.shutdown_deadline_us) and not self.has_successor
