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

SPEND = 0.02  #: of the result goes into shared reports at most; each node's own asking took as much
FEW = 6  #: nodes that see enough of every server by themselves
PLACE = SECOND // 10  #: between one place in the order and the next: a round of probes and a late message
LEAST, MOST = SECOND, 8 * SECOND  #: between rounds; less often, reports say nothing of now
MARK, HEAD, ROW = 0xA7, struct.Struct("<BHH"), struct.Struct("<HBB")
ROWS = (256 - HEAD.size) // ROW.size  #: in one datagram
REPORTS, PAUSE = SECOND // 20, 4 * SECOND  #: to wait for reports; until the next look while not needed
MEAN_OF = 8  #: rounds that a mean rate is over
STEPS = 64  #: of load 1.0; what is over four times that is told as four times
RATES = 100  #: steps of one new connection a second

#: New connections a second at a node, and those of them that stood nowhere before.
Rates = tuple[float, float]
Row = tuple[int, float, int]  #: low 16 bits of the server's id, load, connections held


def encode(rates: Rates, rows: Sequence[Row]) -> Iterator[bytes]:
    """Datagrams of 256 bytes at most: own rates, then a row for each server."""
    head = HEAD.pack(MARK, *(min(int(rate * RATES), 65535) for rate in rates))
    for at in range(0, len(rows), ROWS):
        data = head
        for server, load, held in rows[at : at + ROWS]:
            data += ROW.pack(server & 0xFFFF, min(int(load * STEPS + 0.5), 255), min(held, 255))
        yield data


def decode(data: bytes) -> tuple[Rates, list[Row]] | None:
    """What a peer's datagram says; None where it is of no such form."""
    if len(data) < HEAD.size or data[0] != MARK or (len(data) - HEAD.size) % ROW.size:
        return None
    _, rate, fresh = HEAD.unpack_from(data)
    return (rate / RATES, fresh / RATES), [
        (server, load / STEPS, held) for server, load, held in ROW.iter_unpack(data[HEAD.size :])
    ]


class LoadGossip:
    """One node's view of the rounds. Times in microseconds."""

    def __init__(self, settings: Settings) -> None:
        self.me, self.nodes = settings.node_index, max(settings.node_count, 1)
        self.able = settings.allows_peer_messages and settings.allows_health_checks and self.nodes > FEW
        self.price_probe = settings.prices.get("probe", 0)
        self.price_byte = settings.prices.get("peer", 0) / 256
        self.every = MOST  # between rounds
        self.rate = self.fresh = 0.0  # the rates of a node, the mean of those that told
        self.last = 0  # when the last round was told; before the first, when this node began
        self.after = self.nodes - 1  # whose it was
        self.heard = 0  # rounds told
        self.asked_at = 0  # when this node's own round began; 0 where none is under way
        self.strange = 0  # datagrams of no known form

    def live(self, now: int) -> bool:
        """Whether reports keep coming."""
        return self.able and self.heard > 0 and now < self.last + 2 * self.every + PLACE * self.nodes

    def reckon(self, servers: int, rate: float) -> None:
        """How often the tier's requests pay for a round; `rate`: this node's own new connections a second."""
        datagram = HEAD.size * -(-servers // ROWS) + ROW.size * servers
        cost = servers * self.price_probe + self.nodes * datagram * self.price_byte
        # DANGER: the first to tell may not have its clients yet, and the others would wait by its word
        mean = self.rate if self.heard >= MEAN_OF else max(self.rate, rate)
        wanted = SECOND * cost / (SPEND * self.nodes * mean)
        self.every = int(min(max(wanted, LEAST), MOST))

    def turn(self) -> int:
        """When this node is to ask all servers, if nobody does before."""
        return self.last + self.every * (self.heard > 0) + PLACE * ((self.me - self.after - 1) % self.nodes)

    def told(self, sender: int, rates: Rates, now: int) -> None:
        """A round was told, by a peer or by this node."""
        self.heard += 1
        part = 1 / min(self.heard, MEAN_OF)
        self.rate += (rates[0] - self.rate) * part
        self.fresh += (rates[1] - self.fresh) * part
        self.last, self.after, self.asked_at = now, sender, 0

    def round(
        self, ready: Sequence[Server], rates: Rates, asking: bool, now: int
    ) -> tuple[list[Action], int]:
        """What to do now, and when to look again: ask all servers in one's own turn, then tell all peers."""
        # DANGER: of 40 nodes each sees a request in ten seconds or so. None can pay for what it has to know,
        # and all together pay for the same reports over and over
        self.reckon(len(ready), rates[0])
        due = self.turn()
        if not asking:
            return [], now + PAUSE
        if self.asked_at:
            rows = [(s.id, *s.report) for s in ready if s.report_at >= self.asked_at]
            told: list[Action] = [SendPeerMessage(ALL_PEERS, data) for data in encode(rates, rows)]
            self.told(self.me, rates, now)
            return told, self.turn()
        if now >= due:
            self.asked_at = now
            return [CheckHealth(server.id) for server in ready], now + REPORTS
        return [], due


def match_servers(rows: Iterable[Row], known: Iterable[int]) -> Iterator[tuple[int, float, int]]:
    """The rows with whole ids; those that two servers share or none has are left out."""
    by_low: dict[int, int] = {}
    for server in known:
        low = server & 0xFFFF
        by_low[low] = -1 if low in by_low else server
    for low, load, held in rows:
        if by_low.get(low, -1) >= 0:
            yield by_low[low], load, held
