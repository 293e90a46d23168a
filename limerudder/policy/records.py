"""State that the policy keeps for each server and each connection; it makes no decisions."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from limerudder.policy.events import (
    FLAG_RECONNECT,
    ExistingConnection,
    NewRequest,
    ServerState,
)
from limerudder.policy.settings import TrafficClass

SECOND = 1_000_000  #: One second in microseconds, the unit of all times in the policy
RATE_WINDOW_US = 15 * SECOND


class RateEstimator:
    """Estimates the rate of an event per second, over a window or since the process started.

    Keeps an exponentially decaying count whose window grows with the uptime, up to `window_us`.
    """

    def __init__(self, window_us: int = RATE_WINDOW_US) -> None:
        self._max_window_us = window_us
        self.rate = 0.0
        self.updated_at_us = 0

    def record(self, now_us: int, started_at_us: int) -> float:
        """Count one occurrence and return the new rate."""
        window_us = self._window_us(now_us, started_at_us)
        decay = max(0.0, 1 - (now_us - self.updated_at_us) / window_us)
        self.rate = self.rate * decay + SECOND / window_us
        self.updated_at_us = now_us
        return self.rate

    def read(self, now_us: int, started_at_us: int) -> float:
        """Return the current rate, which decays while nothing is recorded."""
        window_us = self._window_us(now_us, started_at_us)
        return self.rate * max(0.0, 1 - (now_us - self.updated_at_us) / window_us)

    def _window_us(self, now_us: int, started_at_us: int) -> int:
        return min(now_us - started_at_us, self._max_window_us) + SECOND


class TokenBucket:
    """Limits how often an operation runs: bursts up to `capacity`, then a steady refill rate."""

    def __init__(self, capacity: float) -> None:
        self._capacity = capacity
        self._tokens = capacity
        self._refilled_at_us = 0

    def try_acquire(self, now_us: int, refill_per_second: float) -> bool:
        """Consume one token and return True, or return False if none is available."""
        self._refill(now_us, refill_per_second)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now_us: int, refill_per_second: float) -> None:
        refill = refill_per_second * (now_us - self._refilled_at_us) / SECOND
        self._tokens = min(self._capacity, self._tokens + refill)
        self._refilled_at_us = now_us


@dataclass(slots=True)
class Turns:
    """The remaining turns of a node at one server in one time slot (see slow_start_schedule)."""

    slot: int = -1
    left: int = 0


class Permit:
    """A turn at a server in slow start, reserved for a request that may be written until the turn expires."""

    __slots__ = ("_expires_at_us", "_server", "_server_ready_since_us")

    def __init__(self, server: Server, expires_at_us: int) -> None:
        self._server = server
        self._server_ready_since_us = server.ready_since_us
        self._expires_at_us = expires_at_us

    def is_valid(self, server: Server, now_us: int) -> bool:
        """Whether the request may be written to this server now; False after the server has restarted."""
        return (
            server is self._server
            and server.ready_since_us == self._server_ready_since_us
            and now_us < self._expires_at_us
        )


class Server:
    """The policy's state for one server."""

    def __init__(self, server_id: int) -> None:
        self.id = server_id
        self.zone = 0
        self.cell = 0
        self.state: int = ServerState.GONE
        self.weight = 1.0  # Size as listed by discovery
        self.ready_since_us = 0
        #: This node's pending attempts and established connections, by request id.
        self.connections: dict[int, Connection] = {}
        self.pending_attempts = 0
        #: Connections still open in the predecessor process of a hot restart.
        self.predecessor_connections = 0
        #: This node's remaining turns while the server is in slow start; a restart of the server adds none.
        self.base_turns = Turns()
        self.share_turns = Turns()
        self.reset()

    @property
    def connection_count(self) -> int:
        """The node's connections to the server, with pending attempts and the predecessor's connections."""
        return len(self.connections) + self.predecessor_connections

    def reset(self) -> None:
        """Discard all learned state: the server is new or has restarted."""
        self._reset_availability()
        self._reset_reports()
        self._reset_inference()

    def _reset_availability(self) -> None:
        self.connection_limit: int | None = None  # Set when the server refuses or resets a connection
        self.connection_limit_set_at_us = 0
        self.consecutive_failures = 0
        self.ejected_until_us = 0
        self.slow_until_us = 0  # End of avoidance after slow messages, health checks or attempts

    def _reset_reports(self) -> None:
        #: Demand on the server as a share of its capacity, smoothed over its reports.
        self.load: float | None = None
        self.load_at_us = 0
        self.load_connection_count = 0  # This node's connections when `load` was computed
        self.health_check_sent_at_us = 0  # 0 while none is pending
        self.relieved_at_us = 0  # Time of the last migration to reduce overload
        self.load_report = (0.0, 0)  # Last report as received: load, connections of all nodes
        self.load_report_at_us = -SECOND
        self.reported_connections = 0.0
        self.backlog_us = 0.0  # Unfinished work, computed from reports

    def _reset_inference(self) -> None:
        """Reset the state that is used where servers report no loads (see load_inference)."""
        self.latency_sample = (0.0, -SECOND)  # Message latency in microseconds, time of the sample
        self.latency_sample_at_us = 0  # Time of the latest sample, stored above or not
        self.load_at_latency_sample = 0.0  # This node's load as of `latency_sample`
        self.reset_at_us = -SECOND  # Last reset of an established connection
        self.min_capacity = 0.0
        self.other_nodes_load = 0.0


class PossibleExecution(NamedTuple):
    """A failed attempt whose request the server may have executed."""

    started_at_us: int
    server: Server


class Connection:
    """One request, from its arrival to the end of its connection."""

    def __init__(
        self, event: NewRequest | ExistingConnection, traffic_class: TrafficClass, now_us: int
    ) -> None:
        self.id = event.request_id
        self.traffic_class = traffic_class
        self.traffic_class_index = event.traffic_class
        self.tenant = event.tenant
        self.group = event.group
        self.client_key = event.key
        self.is_reconnect = bool(event.flags & FLAG_RECONNECT)
        self.deadline_us = now_us + event.time_left_us
        self.objective_at_us = now_us + min(traffic_class.latency_objective_us, event.time_left_us)
        self.ring_key = 0  # Position on the hash ring without a group
        self.answered = False  # No further answer is required
        self.established = False  # Remains True until the connection ends
        self.established_at_us = 0
        self.is_migratable = False  # Established and not being migrated
        self.load_us_per_second = 0.0  # 0 until the first load sample
        #: Server of the pending attempt or the established connection.
        self.server: Server | None = None
        self.attempts_started = 0
        self.tried_servers: list[Server] = []
        self.possibly_executed: PossibleExecution | None = None
        self.candidates_polled = False  # Reports of candidate servers were requested
        self.paced_start_us = 0  # Earliest start of the next attempt while attempts are paced
        self.permit: Permit | None = None  # Permit of a pending attempt at a server in slow start


class GroupIndex:
    """Counts this node's connections by tenant, and each group's connections by server."""

    def __init__(self) -> None:
        self.connections_by_tenant: Counter[int] = Counter()
        self.servers_by_group: dict[int, Counter[Server]] = {}

    def add(self, connection: Connection, server: Server) -> None:
        """Add a connection to the counts."""
        self._adjust(connection, server, 1)

    def remove(self, connection: Connection, server: Server) -> None:
        """Remove a connection from the counts."""
        self._adjust(connection, server, -1)

    def _adjust(self, connection: Connection, server: Server, change: int) -> None:
        self.connections_by_tenant[connection.tenant] += change
        if not connection.group:
            return
        servers = self.servers_by_group.setdefault(connection.group, Counter())
        servers[server] += change
        if not servers[server]:
            del servers[server]
        if not servers:
            del self.servers_by_group[connection.group]
