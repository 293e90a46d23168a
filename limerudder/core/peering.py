"""Exchanges datagrams with peers, the other nodes of the tier."""

from __future__ import annotations

from limerudder.core.operations.counters import CounterName
from limerudder.core.operations.log_events import LogKind
from limerudder.core.services import NodeServices
from limerudder.core.transport import MAX_DATAGRAM_BYTES
from limerudder.policy.actions import SendPeerMessage
from limerudder.policy.events import PeerMessage
from limerudder.policy.interface import ConnectionPolicy


class Peering:
    """Passes datagrams between the policy and the peers, counts them, and enforces the platform's limits."""

    def __init__(
        self,
        policy: ConnectionPolicy,
        services: NodeServices,
    ) -> None:
        self.log = services.log
        self._policy = policy
        self._is_allowed = services.settings.allows_peer_messages
        self._network = services.network
        self._counters = services.counters
        self._dispatch = services.dispatch

    def datagram_received(self, sender: int | None, data: bytes, now_us: int) -> None:
        """Pass a peer's datagram to the policy; `sender` is None if the address does not belong to a peer.

        A datagram that is not from a peer, too long or malformed is counted and logged.
        """
        if sender is None or len(data) > MAX_DATAGRAM_BYTES:
            self._malformed(sender, f"of {len(data)} bytes (at most {MAX_DATAGRAM_BYTES} are taken)")
            return
        self._counters.increment(CounterName.PEER_MESSAGES_RECEIVED)
        malformed_before = self._policy.malformed_peer_messages()
        self._dispatch(PeerMessage(sender, data), now_us)
        if self._policy.malformed_peer_messages() > malformed_before:
            self._malformed(sender, "of no known form")

    def _malformed(self, sender: int | None, description: str) -> None:
        self._counters.increment(CounterName.PEER_MESSAGES_MALFORMED)
        source = "an address that is no peer's" if sender is None else f"node {sender}"
        self.log(LogKind.PEER_DATAGRAM_DROPPED, f"node: a datagram {description} came from {source}; dropped")

    def send(self, action: SendPeerMessage) -> None:
        """Send a message of the policy if the settings allow it and its length is within the limit."""
        if self._is_allowed and len(action.data) <= MAX_DATAGRAM_BYTES:
            self._counters.increment(CounterName.PEER_MESSAGES_SENT)
            self._network.send_datagram(action.peer, action.data)
