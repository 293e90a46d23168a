"""Load reports shared among the nodes of a tier: whose turn it is to ask all servers, and what is told.

One node at a time asks every server and tells all peers in a datagram; the turn goes round in the order of
the nodes' numbers. A node that does not hear the one whose turn it is takes over after a short wait that
grows with its place in that order (staggered back-off, as SRM suppresses repairs, Floyd et al. 1997), so
nobody needs to know who is dead. Alone or unheard, a node asks for itself. Free of I/O and clock.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator, Sequence

from limerudder.policy.actions import (
    ALL_PEERS,
    Action,
    CheckHealth,
    SendPeerMessage,
)
from limerudder.policy.records import SECOND, Server
from limerudder.policy.settings import (
    Settings,
)

MAX_COST_SHARE = 0.02  #: of the result goes into shared reports at most; each node's own asking took as much
MAX_INDEPENDENT_NODES = 6  #: nodes that see enough of every server by themselves
TAKEOVER_STEP_US = (
    SECOND // 10
)  #: between one place in the order and the next: a round of probes and a late message
MIN_ROUND_INTERVAL_US, MAX_ROUND_INTERVAL_US = (
    SECOND,
    8 * SECOND,
)  #: between rounds; less often, reports say nothing of now
MAGIC, HEADER, ROW = 0xA7, struct.Struct("<BHH"), struct.Struct("<HBB")
ROWS_PER_DATAGRAM = (256 - HEADER.size) // ROW.size  #: in one datagram
REPORT_WAIT_US, IDLE_CHECK_INTERVAL_US = (
    SECOND // 20,
    4 * SECOND,
)  #: to wait for reports; until the next look while not needed
MEAN_RATE_ROUNDS = 8  #: rounds that a mean rate is over
LOAD_STEPS = 64  #: of load 1.0; what is over four times that is told as four times
RATE_STEPS = 100  #: steps of one new connection a second

#: New connections a second at a node, and those of them that stood nowhere before.
ConnectionRates = tuple[float, float]
LoadRow = tuple[int, float, int]  #: low 16 bits of the server's id, load, connections held


def encode(rates: ConnectionRates, rows: Sequence[LoadRow]) -> Iterator[bytes]:
    """Datagrams of 256 bytes at most: own rates, then a row for each server."""
    head = HEADER.pack(MAGIC, *(min(int(rate * RATE_STEPS), 65535) for rate in rates))
    for at in range(0, len(rows), ROWS_PER_DATAGRAM):
        data = head
        for server, load, held in rows[at : at + ROWS_PER_DATAGRAM]:
            data += ROW.pack(server & 0xFFFF, min(int(load * LOAD_STEPS + 0.5), 255), min(held, 255))
        yield data


def decode(data: bytes) -> tuple[ConnectionRates, list[LoadRow]] | None:
    """What a peer's datagram says; None where it is of no such form."""
    if len(data) < HEADER.size or data[0] != MAGIC or (len(data) - HEADER.size) % ROW.size:
        return None
    _, rate, fresh = HEADER.unpack_from(data)
    return (rate / RATE_STEPS, fresh / RATE_STEPS), [
        (server, load / LOAD_STEPS, held) for server, load, held in ROW.iter_unpack(data[HEADER.size :])
    ]


class LoadGossip:
    """One node's view of the rounds. Times in microseconds."""

    def __init__(self, settings: Settings) -> None:
        self._own_number, self._node_count = settings.me, max(settings.balancers, 1)
        self.enabled = settings.peers and settings.probes and self._node_count > MAX_INDEPENDENT_NODES
        self._probe_price = settings.prices.get("probe", 0)
        self._byte_price = settings.prices.get("peer", 0) / 256
        self.round_interval_us = MAX_ROUND_INTERVAL_US  # between rounds
        self.mean_rate = self.mean_fresh_rate = 0.0  # the rates of a node, the mean of those that told
        self.last_round_at_us = 0  # when the last round was told; before the first, when this node began
        self._last_sender = self._node_count - 1  # whose it was
        self.rounds_recorded = 0  # rounds told
        self._own_round_started_at_us = 0  # when this node's own round began; 0 where none is under way
        self.malformed = 0  # datagrams of no known form

    def is_active(self, now: int) -> bool:
        """Whether reports keep coming."""
        return (
            self.enabled
            and self.rounds_recorded > 0
            and now < self.last_round_at_us + 2 * self.round_interval_us + TAKEOVER_STEP_US * self._node_count
        )

    def update_interval(self, servers: int, rate: float) -> None:
        """How often the tier's requests pay for a round; `rate`: this node's own new connections a second."""
        datagram = HEADER.size * -(-servers // ROWS_PER_DATAGRAM) + ROW.size * servers
        cost = servers * self._probe_price + self._node_count * datagram * self._byte_price
        # DANGER: the first to tell may not have its clients yet, and the others would wait by its word
        mean = self.mean_rate if self.rounds_recorded >= MEAN_RATE_ROUNDS else max(self.mean_rate, rate)
        wanted = SECOND * cost / (MAX_COST_SHARE * self._node_count * mean)
        self.round_interval_us = int(min(max(wanted, MIN_ROUND_INTERVAL_US), MAX_ROUND_INTERVAL_US))

    def next_turn_us(self) -> int:
        """When this node is to ask all servers, if nobody does before."""
        return (
            self.last_round_at_us
            + self.round_interval_us * (self.rounds_recorded > 0)
            + TAKEOVER_STEP_US * ((self._own_number - self._last_sender - 1) % self._node_count)
        )

    def record_round(self, sender: int, rates: ConnectionRates, now: int) -> None:
        """A round was told, by a peer or by this node."""
        self.rounds_recorded += 1
        part = 1 / min(self.rounds_recorded, MEAN_RATE_ROUNDS)
        self.mean_rate += (rates[0] - self.mean_rate) * part
        self.mean_fresh_rate += (rates[1] - self.mean_fresh_rate) * part
        self.last_round_at_us, self._last_sender, self._own_round_started_at_us = now, sender, 0

    def run_round(
        self, ready: Sequence[Server], rates: ConnectionRates, asking: bool, now: int
    ) -> tuple[list[Action], int]:
        """What to do now, and when to look again: ask all servers in one's own turn, then tell all peers."""
        # DANGER: of 40 nodes each sees a request in ten seconds or so. None can pay for what it has to know,
        # and all together pay for the same reports over and over
        self.update_interval(len(ready), rates[0])
        due = self.next_turn_us()
        if not asking:
            return [], now + IDLE_CHECK_INTERVAL_US
        if self._own_round_started_at_us:
            rows = [(s.id, *s.report) for s in ready if s.report_at >= self._own_round_started_at_us]
            told: list[Action] = [SendPeerMessage(ALL_PEERS, data) for data in encode(rates, rows)]
            self.record_round(self._own_number, rates, now)
            return told, self.next_turn_us()
        if now >= due:
            self._own_round_started_at_us = now
            return [CheckHealth(server.id) for server in ready], now + REPORT_WAIT_US
        return [], due


def match_servers(rows: Iterable[LoadRow], known: Iterable[int]) -> Iterator[tuple[int, float, int]]:
    """The rows with whole ids; those that two servers share or none has are left out."""
    by_low: dict[int, int] = {}
    for server in known:
        low = server & 0xFFFF
        by_low[low] = -1 if low in by_low else server
    for low, load, held in rows:
        if by_low.get(low, -1) >= 0:
            yield by_low[low], load, held
