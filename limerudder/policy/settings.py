"""The settings of one node, as used by its connection policy. Times are integer microseconds."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """The service objectives of one class of requests, and whether they may be retried.

    `effect` is "safe" (no side effect), "keyed" (idempotent by its key within `idempotency_window_us`, at the
    servers of `key_scope`: "all", "zone" or "cell") or "unsafe".
    """

    latency_objective_us: int
    deadline_us: int
    effect: str = "unsafe"
    key_scope: str = "cell"
    idempotency_window_us: int = 0
    priority_weight: float = 1.0
    message_objective_us: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that a node receives at start; the defaults are conservative."""

    node_count: int
    zone: int
    classes: Sequence[TrafficClass]
    discovery: str
    poll_interval_us: int
    drain_grace_us: int
    initial_capacity: float
    warm_up_us: int
    overload_factor: float
    overload_window_us: int
    node_index: int = 0
    is_node_index_known: bool = True
    answer_slack_us: int = 0
    max_attempts: int = 1
    allows_hedging: bool = False
    allows_cancellation: bool = False
    allows_health_checks: bool = False
    allows_peer_messages: bool = False
    sends_retry_after: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    tick_us: int = 1000
    has_groups: bool = False
    reports_latency: bool = False
    mode: str = "proxy"
    park_us: int = 0
    report_fields: Sequence[str] = ()
    report_via: str = "none"
    tenant_quotas: Sequence[float] = ()
    over_quota_weight: float = 1.0
    prices: dict[str, float] = field(default_factory=dict)
    result_weights: dict[str, float] = field(default_factory=dict)
