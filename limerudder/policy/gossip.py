"""Gossip of load reports among the nodes of a tier: the order in which nodes poll, and the datagram format.

One node at a time polls every server for a load report and sends the reports to all peers in datagrams. The
nodes take turns in the order of their indexes. A node that receives no round from the node whose turn it is
takes over after a short delay that grows with its distance in that order, so no failure detector is needed
(staggered back-off, as SRM suppresses repairs: Floyd et al., "A Reliable Multicast Framework for Light-weight
Sessions and Application Level Framing", 1997). A node that receives no rounds polls for itself.

Performs no I/O and reads no clock: the current time is passed to each call. Times are in microseconds.
"""

from __future__ import annotations

import struct
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import NamedTuple

from limerudder.policy.actions import (
    ALL_PEERS,
    Action,
    CheckHealth,
    SendPeerMessage,
)
from limerudder.policy.records import SECOND, Server
from limerudder.policy.settings import Settings
from limerudder.policy.sweep_segments import own_segment, segment_count

MAX_COST_SHARE = 0.02  #: Maximum cost of shared reports as a share of the value of the tier's requests
MAX_NODES_WITHOUT_GOSSIP = 6  #: Tier size up to which a node's own requests yield enough data on every server
#: Delay between the take-overs of successive nodes; covers a round of health checks and a late datagram.
TAKEOVER_STEP_US = SECOND // 10
MIN_ROUND_INTERVAL_US = SECOND
MAX_ROUND_INTERVAL_US = 8 * SECOND  #: With a longer interval, reports would not show the current load
ROUND_REPORT_WAIT_US = SECOND // 20  #: Time that the servers have to answer within a round
IDLE_CHECK_INTERVAL_US = 4 * SECOND  #: Time until the next check while shared reports are not needed
MEAN_RATE_ROUNDS = 8  #: Number of rounds that the mean rates are computed over

MAGIC = 0xA7  #: First byte of each datagram
MAX_DATAGRAM_BYTES = 256
HEADER = struct.Struct("<BHH")  #: Magic, rate of new connections, rate of fresh connections
ROW = struct.Struct("<HBB")  #: Low bits of the server's id, load, connections
ROWS_PER_DATAGRAM = (MAX_DATAGRAM_BYTES - HEADER.size) // ROW.size
SERVER_ID_MASK = 0xFFFF  #: Bits of a server's id that a row carries
LOAD_STEPS = 64  #: Encoded steps of a load of 1.0; a load of nearly four or more is sent as the highest step
RATE_STEPS = 100  #: Encoded steps of one connection per second
MAX_ENCODED_RATE = 0xFFFF
MAX_ENCODED_BYTE = 0xFF

_AMBIGUOUS = -1  #: Placeholder id for low bits that no server has or that several servers share


class ConnectionRates(NamedTuple):
    """New connections per second at one node."""

    total: float
    fresh: float  #: Rate without reconnections


class LoadRow(NamedTuple):
    """One server's load report within a datagram."""

    server: int  #: Low bits of the server's id, or the whole id after matching
    load: float
    connections: int


class LoadMessage(NamedTuple):
    """The content of one datagram."""

    rates: ConnectionRates
    rows: list[LoadRow]


class RoundStep(NamedTuple):
    """The actions that a node has to execute now, and the time of its next check."""

    actions: list[Action]
    next_check_us: int


def encode(rates: ConnectionRates, rows: Sequence[LoadRow]) -> Iterator[bytes]:
    """Yield datagrams of at most `MAX_DATAGRAM_BYTES`: the sender's rates, then one row per server."""
    header = HEADER.pack(MAGIC, *(min(int(rate * RATE_STEPS), MAX_ENCODED_RATE) for rate in rates))
    for start in range(0, len(rows), ROWS_PER_DATAGRAM):
        packed_rows = [_pack_row(row) for row in rows[start : start + ROWS_PER_DATAGRAM]]
        yield header + b"".join(packed_rows)


def _pack_row(row: LoadRow) -> bytes:
    server, load, connections = row
    encoded_load = min(int(load * LOAD_STEPS + 0.5), MAX_ENCODED_BYTE)
    return ROW.pack(server & SERVER_ID_MASK, encoded_load, min(connections, MAX_ENCODED_BYTE))


def decode(data: bytes) -> LoadMessage | None:
    """Return the content of a peer's datagram, or None if it is malformed."""
    if len(data) < HEADER.size or data[0] != MAGIC or (len(data) - HEADER.size) % ROW.size:
        return None
    _, total, fresh = HEADER.unpack_from(data)
    rates = ConnectionRates(total / RATE_STEPS, fresh / RATE_STEPS)
    rows = [
        LoadRow(server, load / LOAD_STEPS, connections)
        for server, load, connections in ROW.iter_unpack(data[HEADER.size :])
    ]
    return LoadMessage(rates, rows)


class ServerIdIndex:
    """Finds servers by the bits of their ids that a row carries."""

    def __init__(self) -> None:
        self._id_by_low_bits: dict[int, int] = {}
        self._server_count = 0  # Number of servers when the index was built

    def match(self, rows: Iterable[LoadRow], server_ids: Collection[int]) -> Iterator[LoadRow]:
        """Yield the rows with whole server ids; omit rows that match no server or several.

        Servers may have been added to `server_ids` since the last call, but none removed.
        """
        if len(server_ids) != self._server_count:
            self._build(server_ids)
        for low_bits, load, connections in rows:
            server = self._id_by_low_bits.get(low_bits, _AMBIGUOUS)
            if server >= 0:
                yield LoadRow(server, load, connections)

    def _build(self, server_ids: Collection[int]) -> None:
        self._server_count = len(server_ids)
        id_by_low_bits: dict[int, int] = {}
        for server in server_ids:
            low_bits = server & SERVER_ID_MASK
            id_by_low_bits[low_bits] = _AMBIGUOUS if low_bits in id_by_low_bits else server
        self._id_by_low_bits = id_by_low_bits


class LoadGossip:
    """One node's state of the gossip rounds."""

    def __init__(self, settings: Settings) -> None:
        self._node_index = settings.node_index
        self._node_count = max(settings.node_count, 1)
        self.enabled = (
            settings.allows_peer_messages
            and settings.allows_health_checks
            and self._node_count > MAX_NODES_WITHOUT_GOSSIP
        )
        self._health_check_price = settings.prices.get("probe", 0)
        self._byte_price = settings.prices.get("peer", 0) / MAX_DATAGRAM_BYTES
        #: Period in which all servers are polled, by several nodes in turn if the fleet is large.
        self.round_interval_us = MAX_ROUND_INTERVAL_US
        self._turns_per_round = 1
        # Mean rates per node, over the senders of the last rounds
        self.mean_rate = 0.0
        self.mean_fresh_rate = 0.0
        self.rounds_recorded = 0
        #: Time of the last round; before the first round, start time of this node
        self.last_round_at_us = 0
        self._last_sender = self._node_count - 1
        self._own_round_started_at_us = 0  # 0 while this node has no round in progress
        self.malformed_datagrams = 0  #: Number of malformed datagrams received

    def is_active(self, now_us: int) -> bool:
        """Whether reports from rounds are still arriving."""
        takeover_us = TAKEOVER_STEP_US * self._node_count
        return (
            self.enabled
            and self.rounds_recorded > 0
            and now_us < self.last_round_at_us + 2 * self.round_interval_us + takeover_us
        )

    def update_interval(self, server_count: int, own_rate: float) -> None:
        """Set the round interval to the shortest one, within bounds, whose cost the tier's requests cover.

        `own_rate`: this node's new connections per second.
        """
        datagram_bytes = HEADER.size * -(-server_count // ROWS_PER_DATAGRAM) + ROW.size * server_count
        round_cost = (
            server_count * self._health_check_price + self._node_count * datagram_bytes * self._byte_price
        )
        # The first senders may not have their clients yet; their mean alone would make the interval too long
        # for the other nodes.
        is_mean_settled = self.rounds_recorded >= MEAN_RATE_ROUNDS
        rate = self.mean_rate if is_mean_settled else max(self.mean_rate, own_rate)
        affordable_us = SECOND * round_cost / (MAX_COST_SHARE * self._node_count * rate)
        self._turns_per_round = min(segment_count(server_count), self._node_count)
        min_interval_us = max(MIN_ROUND_INTERVAL_US, self._turns_per_round * TAKEOVER_STEP_US)
        self.round_interval_us = int(max(min(affordable_us, MAX_ROUND_INTERVAL_US), min_interval_us))

    def next_turn_us(self) -> int:
        """Return when this node has to poll its servers, unless another node's round arrives first."""
        turn_interval_us = self.round_interval_us // self._turns_per_round
        interval_us = turn_interval_us * (self.rounds_recorded > 0)
        distance = (self._node_index - self._last_sender - 1) % self._node_count
        return self.last_round_at_us + interval_us + TAKEOVER_STEP_US * distance

    def record_round(self, sender: int, rates: ConnectionRates, now_us: int) -> None:
        """Record a round sent by a peer or by this node."""
        self.rounds_recorded += 1
        weight = 1 / min(self.rounds_recorded, MEAN_RATE_ROUNDS)
        self.mean_rate += (rates.total - self.mean_rate) * weight
        self.mean_fresh_rate += (rates.fresh - self.mean_fresh_rate) * weight
        self.last_round_at_us = now_us
        self._last_sender = sender
        self._own_round_started_at_us = 0

    def run_round(
        self, ready: Sequence[Server], rates: ConnectionRates, needs_reports: bool, now_us: int
    ) -> RoundStep:
        """Poll the servers on this node's turn; send the reports to all peers `ROUND_REPORT_WAIT_US` later.

        In a tier of dozens of nodes, each node has too few requests to cover the cost of the reports that it
        needs, and all nodes together would pay for the same reports many times.

        `ready`: the ready servers; `rates`: this node's rates; `needs_reports`: False for a node whose own
        requests cover the cost of all reports that it needs. In a fleet too large to be polled at once, each
        node polls only its own segment.
        """
        self.update_interval(len(ready), rates.total)
        turn_us = self.next_turn_us()
        if not needs_reports:
            return RoundStep([], now_us + IDLE_CHECK_INTERVAL_US)
        if self._own_round_started_at_us:
            return self._send_reports(ready, rates, now_us)
        if now_us >= turn_us:
            self._own_round_started_at_us = now_us
            checks: list[Action] = [CheckHealth(server.id) for server in own_segment(ready, self._node_index)]
            return RoundStep(checks, now_us + ROUND_REPORT_WAIT_US)
        return RoundStep([], turn_us)

    def _send_reports(self, ready: Sequence[Server], rates: ConnectionRates, now_us: int) -> RoundStep:
        rows = [
            LoadRow(server.id, *server.load_report)
            for server in ready
            if server.load_report_at_us >= self._own_round_started_at_us
        ]
        messages: list[Action] = [SendPeerMessage(ALL_PEERS, data) for data in encode(rates, rows)]
        self.record_round(self._node_index, rates, now_us)
        return RoundStep(messages, self.next_turn_us())
