"""Runs this node's part of the gossip of load reports: its own rounds, and the datagrams of peers."""

from __future__ import annotations

from collections.abc import Iterator

from limerudder.policy.actions import SetTimer
from limerudder.policy.context import PolicyContext
from limerudder.policy.events import PeerMessage
from limerudder.policy.gossip import ConnectionRates, LoadGossip, ServerIdIndex, decode
from limerudder.policy.load_polling import LoadPoller
from limerudder.policy.records import SECOND, Server
from limerudder.policy.server_registry import ServerRegistry
from limerudder.policy.timers import TimerToken
from limerudder.policy.traffic_rates import TrafficRates


class GossipExchange:
    """Connects the gossip protocol to the node's servers, traffic and timers."""

    def __init__(
        self,
        context: PolicyContext,
        registry: ServerRegistry,
        gossip: LoadGossip,
        rates: TrafficRates,
        poller: LoadPoller,
    ) -> None:
        self._node_index = context.settings.node_index
        self._clock = context.clock
        self._actions = context.actions
        self._registry = registry
        self._gossip = gossip
        self._rates = rates
        self._poller = poller
        self._server_index = ServerIdIndex()

    def start(self) -> None:
        """Start the gossip rounds."""
        if self._gossip.enabled and self._poller.enabled:
            self._gossip.last_round_at_us = self._clock.now_us
            self.run_round()

    def run_round(self) -> None:
        """Poll the servers in this node's turn, send their reports to the peers, and set the next timer."""
        now_us = self._clock.now_us
        rates = ConnectionRates(self._rates.usual_request_rate(), self._rates.fresh_rate())
        step = self._gossip.run_round(self._registry.ready, rates, self._poller.on_demand, now_us)
        self._actions.extend(step.actions)
        # Connections that existed at the start reconnect after the first round, whose reports show idle
        # servers: the turn is checked at least once a second, regardless of the computed interval.
        self._actions.append(SetTimer(min(step.next_check_us, now_us + SECOND), TimerToken.GOSSIP_ROUND))

    def receive(self, event: PeerMessage) -> Iterator[tuple[Server, float, float]]:
        """Yield the server, load and connections of each report in a peer's datagram.

        The node's own datagrams, which a broadcast address may return to it, are ignored.
        """
        if event.sender == self._node_index:
            return
        message = decode(event.data)
        if message is None:
            self._gossip.malformed_datagrams += 1
            return
        rates, rows = message
        self._gossip.record_round(event.sender, rates, self._clock.now_us)
        for server_id, load, connections in self._server_index.match(rows, self._registry.servers):
            yield self._registry.servers[server_id], load, connections
