"""Logs why requests are rejected, at most once every five seconds."""

from __future__ import annotations

from limerudder.policy.actions import LogMessage
from limerudder.policy.context import PolicyContext
from limerudder.policy.load_shedding import LoadShedding
from limerudder.policy.outlier_detection import OutlierDetector
from limerudder.policy.pacing import ConnectPacer
from limerudder.policy.records import SECOND
from limerudder.policy.reported_loads import ReportedLoads
from limerudder.policy.server_registry import ServerRegistry

LOG_INTERVAL_US = 5 * SECOND
TEXT = "rejecting: of {} servers {} healthy, {} have room, {} warm; level {:.2f}, gap {} ms"


class RejectionLog:
    """Logs the number of servers that each admission criterion allows."""

    def __init__(
        self,
        context: PolicyContext,
        registry: ServerRegistry,
        loads: ReportedLoads,
        pacer: ConnectPacer,
        load_shedding: LoadShedding,
        outliers: OutlierDetector,
    ) -> None:
        self._clock = context.clock
        self._actions = context.actions
        self._registry = registry
        self._loads = loads
        self._pacer = pacer
        self._load_shedding = load_shedding
        self._outliers = outliers
        self._next_at_us = 0

    def record(self) -> None:
        """Log the counts for a request that is answered without a connection, subject to the interval."""
        now_us = self._clock.now_us
        if now_us < self._next_at_us:
            return
        self._next_at_us = now_us + LOG_INTERVAL_US
        ready = self._registry.ready
        healthy = sum(map(self._outliers.is_healthy, ready))
        with_capacity = sum(map(self._load_shedding.has_capacity, ready))
        warm = sum(map(self._load_shedding.slow_start_allows, ready))
        level = self._loads.preferred_max_load
        interval_ms = self._pacer.interval_us // 1000
        text = TEXT.format(len(ready), healthy, with_capacity, warm, level, interval_ms)
        self._actions.append(LogMessage(text))
