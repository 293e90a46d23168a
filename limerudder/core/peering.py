"""Datagrams from and to the other nodes of the tier: within the rules, and counted."""

from __future__ import annotations

from collections.abc import Callable

from limerudder.core.operations.counters import CounterName, Counters
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.transport import MAX_DATAGRAM_BYTES, Network
from limerudder.policy.actions import (
    SendPeerMessage,
)
from limerudder.policy.events import (
    Event,
    PeerMessage,
)
from limerudder.policy.interface import ConnectionPolicy


class Peering:
    """What one node hears from its peers and tells them."""

    def __init__(
        self,
        counters: Counters,
        network: Network,
        balancer: ConnectionPolicy,
        give: Callable[[Event, int], None],
        log: LogSink,
        allowed: bool,
    ) -> None:
        self.counters, self.network, self.balancer = counters, network, balancer
        self.give, self.log, self.allowed = give, log, allowed

    def heard(self, sender: int | None, data: bytes, now: int) -> None:
        """A datagram; one that no peer sent, or that is too long, is counted and dropped."""
        if sender is None or len(data) > MAX_DATAGRAM_BYTES:
            return self._passed_over(sender, f"of {len(data)} bytes (at most {MAX_DATAGRAM_BYTES} are taken)")
        self.counters.increment(CounterName.PEER_MESSAGES_RECEIVED)
        before = self.balancer.strange()
        self.give(PeerMessage(sender, data), now)
        if self.balancer.strange() > before:
            self._passed_over(sender, "of no known form")

    def _passed_over(self, sender: int | None, what: str) -> None:
        self.counters.increment(CounterName.PEER_MESSAGES_MALFORMED)
        who = "an address that is no peer's" if sender is None else f"node {sender}"
        self.log(LogKind.PEER_DATAGRAM_DROPPED, f"node: a datagram {what} came from {who}; dropped")

    def tell(self, action: SendPeerMessage) -> None:
        """Carry out what the module decides, within the platform's rules."""
        if self.allowed and len(action.data) <= MAX_DATAGRAM_BYTES:
            self.counters.increment(CounterName.PEER_MESSAGES_SENT)
            self.network.tell(action.peer, action.data)
