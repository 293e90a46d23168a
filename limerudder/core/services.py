"""Services shared by a node's components: settings, timers, network, counters and logs."""

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

#: Dispatches an event to the policy; the second argument is the time in microseconds.
EventDispatch = Callable[[Event, int], None]


class NodeServices(NamedTuple):
    """The services available to every component of a node."""

    settings: Settings
    network: Network
    timer_wheel: TimerWheel
    counters: Counters
    metrics: RequestMetrics
    log: LogSink
    traffic_log: TrafficLog
    rule_monitor: RuleMonitor
    dispatch: EventDispatch
