"""The interface between a connection policy and the node, or the simulator, that hosts it."""

from __future__ import annotations

from typing import Protocol

from limerudder.policy.actions import Action
from limerudder.policy.events import Event


class ConnectionPolicy(Protocol):
    """What a host of a Balancer may ask of it."""

    def handle(self, event: Event, now: int) -> list[Action]:
        """Decide on one event; the actions are to be carried out in order."""

    def avoided(self, now: int) -> set[int]:
        """The listed servers that new connections are kept from by choice, whatever the list says."""

    def strange(self) -> int:
        """How many datagrams of peers were passed over, since they are of no known form."""
