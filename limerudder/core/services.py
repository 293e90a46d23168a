"""What the parts of a node share: its settings, its clock's timers, its way out, its counters and its log."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from limerudder.core.operations.counters import Counters
from limerudder.core.operations.log_events import LogSink
from limerudder.core.operations.metrics import RequestMetrics
from limerudder.core.operations.rule_monitor import RuleMonitor
from limerudder.core.operations.traffic_log import TrafficLog
from limerudder.core.timer_wheel import TimerWheel
from limerudder.core.transport import Network
from limerudder.policy.events import Event
from limerudder.policy.settings import Settings

EventDispatch = Callable[[Event, int], None]  #: event for the policy, time in microseconds


class NodeServices(NamedTuple):
    """The services that every part of one node may use."""

    settings: Settings
    network: Network
    timer_wheel: TimerWheel
    counters: Counters
    metrics: RequestMetrics
    log: LogSink
    traffic_log: TrafficLog
    rule_monitor: RuleMonitor
    dispatch: EventDispatch
