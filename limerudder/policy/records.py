"""What a balancer keeps of each server and of each request; it decides nothing."""

from __future__ import annotations

from collections import Counter

from limerudder.policy.events import (
    FLAG_RECONNECT,
    ExistingConnection,
    NewRequest,
    ServerState,
)
from limerudder.policy.settings import (
    TrafficClass,
)

SECOND = 1_000_000
NOTE_LIFE = 5 * SECOND // 2  #: delay notes come once a second; one may be lost, two mean silence


class RateEstimator:
    """How often something happens, a second, over the last 15 s or since the start."""

    def __init__(self) -> None:
        self.value, self.at = 0.0, 0

    def count(self, now: int, born: int) -> float:
        """It has happened once more; returns the rate."""
        span = self._span(now, born)
        self.value, self.at = self.value * max(0.0, 1 - (now - self.at) / span) + SECOND / span, now
        return self.value

    def read(self, now: int, born: int) -> float:
        """The rate now, lower the longer it has not happened."""
        return self.value * max(0.0, 1 - (now - self.at) / self._span(now, born))

    def _span(self, now: int, born: int) -> int:
        return min(now - born, 15 * SECOND) + SECOND


class TokenBucket:
    """A bound on how often something is done: a few at once, then at a rate (a token bucket)."""

    def __init__(self, most: float) -> None:
        self.most, self.left, self.at = most, most, 0

    def take(self, now: int, rate: float) -> bool:
        """Whether it may be done now, at so many a second."""
        self.left, self.at = min(self.most, self.left + rate * (now - self.at) / SECOND), now
        self.left -= (may := self.left >= 1)
        return may


class Server:
    """What this balancer knows of one server."""

    def __init__(self, server: int, now: int, phase: float) -> None:
        self.id = server
        self.zone = self.cell = self.since = 0
        self.flows: dict[int, Connection] = {}  # the attempts and connections that make up the count
        self.setting_up = 0  # of these, the attempts
        self.elsewhere = 0  # connections of this balancer that another process of its node holds
        self.state: int = ServerState.GONE
        self.weight = 1.0  # its size as discovery lists it
        self.forget(now, phase)

    @property
    def count(self) -> int:
        """The balancer's own live connections here, with attempts that are out."""
        return len(self.flows) + self.elsewhere

    def forget(self, now: int, phase: float) -> None:
        """A fresh start, at first sight or after a restart: nothing learned before holds."""
        self.ceiling: int | None = None
        self.ceiling_at = self.strikes = self.trial_at = 0
        self.slow_at = -NOTE_LIFE
        self.tokens, self.tokens_at = phase, now
        self.load: float | None = None  # share of its capacity asked for, as last reckoned from reports
        self.load_at = self.load_count = self.asked_at = self.eased_at = 0
        self.report, self.report_at = (0.0, 0), -SECOND  # the last one as it was told: load and connections
        self.held = 0.0  # connections it holds, of all nodes, as reported
        # where loads are felt: the last word of a message's time, and when; when any came; own load then
        self.word, self.word_at, self.was = (0.0, -SECOND), 0, 0.0
        self.dropped_at = -SECOND  # when it last broke off a connection that stood
        self.fits = self.others = 0.0  # what it can do at least; what other nodes ask of it
        self.piled = 0.0  # microseconds of work that have piled up, as reckoned from reports


class Connection:
    """One request, from its arrival to the end of its connection."""

    def __init__(self, event: NewRequest | ExistingConnection, cls: TrafficClass, now: int) -> None:
        self.id, self.cls, self.tenant, self.group = event.request_id, cls, event.tenant, event.group
        self.deadline, self.aim_at = (
            now + event.time_left_us,
            now + min(cls.latency_objective_us, event.time_left_us),
        )
        self.tried: list[Server] = []
        self.sends = self.slot = 0  # slot: when it may be sent, while sends are paced
        self.place, self.looked = 0, False  # on the ring, without a group; its candidates were asked
        self.server: Server | None = None  # where an attempt is out or the connection lives
        self.live = self.over = False
        self.back = bool(event.flags & FLAG_RECONNECT)  # stood elsewhere a moment ago
        self.up, self.up_at = False, 0  # set up; stays so to its end; since when
        self.risk: tuple[int, Server] | None = None  # when and where an attempt was sent that may have run
        self.load, self.kind, self.key = 0.0, event.traffic_class, event.key


class GroupIndex:
    """Where this node's connections are: each tenant's number, and each group's number on each server."""

    def __init__(self) -> None:
        self.tenants: Counter[int] = Counter()
        self.groups: dict[int, Counter[Server]] = {}

    def tally(self, flow: Connection, server: Server, by: int) -> None:
        """Count a connection in (1) or out (-1)."""
        self.tenants[flow.tenant] += by
        if flow.group:
            held = self.groups.setdefault(flow.group, Counter())
            held[server] += by
            if not held[server]:
                del held[server]
            if not held:
                del self.groups[flow.group]
