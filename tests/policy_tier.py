"""A tier of nodes in tests: policy drivers that exchange datagrams, and servers that report their load."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from limerudder.policy.actions import ALL_PEERS, CheckHealth, SendPeerMessage
from limerudder.policy.events import AttemptOutcome, HealthCheckResult, PeerMessage, UpdateKind
from limerudder.policy.records import SECOND
from limerudder.policy.settings import Settings
from tests.policy_driver import BASE_SETTINGS, Driver, server_entry

NODE_COUNT = 20
STEP_US = SECOND // 50
MAX_DATAGRAM_BYTES = 256
TIER_SETTINGS = replace(
    BASE_SETTINGS,
    node_count=NODE_COUNT,
    allows_peer_messages=True,
    report_fields=("eps", "inflight", "x0"),
    prices={"probe": 0.002, "peer": 0.01},
)
SERVERS = [server_entry(server_id) for server_id in range(1, 7)]


class TierRequest(NamedTuple):
    """A request at one node of a tier."""

    node: Driver
    request_id: int


class Tier:
    """Nodes that receive each other's datagrams one step late, and servers that report `load`.

    Each node starts with one connection.
    """

    def __init__(self, settings: Settings = TIER_SETTINGS, load: float = 0.5) -> None:
        self.nodes = [
            Driver(replace(settings, node_index=index), index + 1, SERVERS)
            for index in range(settings.node_count)
        ]
        self.load = load
        self.drops_datagrams = False
        self.stopped_nodes = set[int]()
        self.health_checks = 0
        self.datagrams = 0
        self._actions_read = [0] * len(self.nodes)
        for node in self.nodes:
            node.add_connection(1 + node.settings.node_index % len(SERVERS))

    def run(self, duration_us: int) -> None:
        """Advance the clocks of all nodes in steps of STEP_US."""
        for _ in range(duration_us // STEP_US):
            sent = self._run_step()
            self.datagrams += len(sent)
            if not self.drops_datagrams:
                self._deliver(sent)

    def _run_step(self) -> list[PeerMessage]:
        """Run each node for one step; return the datagrams sent."""
        sent: list[PeerMessage] = []
        for index, node in enumerate(self.nodes):
            if index in self.stopped_nodes:
                continue
            node.run(STEP_US)
            new_actions = node.actions[self._actions_read[index] :]
            self._actions_read[index] = len(node.actions)
            for action in new_actions:
                if isinstance(action, CheckHealth):
                    self._answer_health_check(node, action.server_id)
                elif isinstance(action, SendPeerMessage):
                    assert action.peer == ALL_PEERS
                    assert len(action.data) <= MAX_DATAGRAM_BYTES
                    sent.append(PeerMessage(index, action.data))
        return sent

    def _answer_health_check(self, node: Driver, server_id: int) -> None:
        self.health_checks += 1
        load_report = (0.0, 4.0, self.load)
        node.deliver(HealthCheckResult(server_id, 1000, AttemptOutcome.OK, load_report))

    def _deliver(self, sent: list[PeerMessage]) -> None:
        for index, node in enumerate(self.nodes):
            for message in sent:
                if index != message.sender and index not in self.stopped_nodes:
                    node.deliver(message)

    def restart_node(self, index: int, seed: int) -> Driver:
        """Replace a node by one whose only state is the endpoint list."""
        previous = self.nodes[index]
        node = Driver(previous.settings, seed)
        node.now_us = previous.now_us
        self.nodes[index] = node
        self._actions_read[index] = 0
        node.update_endpoints(SERVERS, UpdateKind.CACHED)
        return node

    def connect_clients(self, node_indexes: range, clients_per_node: int) -> list[TierRequest]:
        """Send `clients_per_node` requests to each of these nodes, spread over a second."""
        requests: list[TierRequest] = []
        for _ in range(clients_per_node):
            for index in node_indexes:
                node = self.nodes[index]
                requests.append(TierRequest(node, node.request()))
            self.run(SECOND // clients_per_node)
            for node, request_id in requests:
                if node.is_pending(request_id):
                    node.establish(request_id)
        return requests

    def add_connections(self, connections_per_node: int) -> None:
        """Add connections to the first server at every node."""
        for node in self.nodes:
            for _ in range(connections_per_node):
                node.add_connection(1)

    def nodes_with_all_loads(self) -> int:
        """Return the number of running nodes that have an estimate of every server's load."""
        return sum(
            has_all_loads(node) for index, node in enumerate(self.nodes) if index not in self.stopped_nodes
        )


def has_all_loads(node: Driver) -> bool:
    """Return whether a node has an estimate of every ready server's load."""
    loads = node.balancer.loads
    return all(loads.estimate(server, node.now_us) is not None for server in node.balancer.registry.ready)
