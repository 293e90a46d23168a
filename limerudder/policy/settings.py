"""The settings of one node, as its connection policy uses them. Times are whole microseconds."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """What is promised to, and known of, one class of requests."""

    aim: int
    deadline: int
    effect: str = "unsafe"
    key_scope: str = "cell"
    repeat_window: int = 0
    worth: float = 1.0
    message_objective_us: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told when it starts. Defaults are the cautious reading of silence."""

    balancers: int
    zone: int
    classes: Sequence[TrafficClass]
    discovery: str
    poll_interval_us: int
    drain_grace_us: int
    initial_capacity: float
    warm_up_us: int
    overload_factor: float
    overload_window_us: int
    me: int = 0
    answer_slack_us: int = 0
    max_attempts: int = 1
    allows_hedging: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    tick: int = 1000
    groups: bool = False
    reports_latency: bool = False
    mode: str = "proxy"
    park: int = 0
    report_fields: Sequence[str] = ()
    report_via: str = "none"
    tenant_quotas: Sequence[float] = ()
    over_quota_weight: float = 1.0
    prices: dict[str, float] = field(default_factory=dict)
    goal: dict[str, float] = field(default_factory=dict)
