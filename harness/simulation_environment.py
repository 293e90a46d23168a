"""The state that all parts of a simulated cluster share."""

from __future__ import annotations

from random import Random

from harness.fault_plan import FaultPlan
from harness.simulated_clock import SimulatedClock


class SimulationEnvironment:
    """The seed, its fault plan, its source of randomness and the clock."""

    def __init__(self, seed: int, plan: FaultPlan) -> None:
        self.seed = seed
        self.plan = plan
        self.random = Random(seed)
        self.clock = SimulatedClock()
        self.faults_active = True

    def describe_time(self) -> str:
        """Return the seed and the time, as the prefix of a violation's message."""
        return f"seed {self.seed}, {self.clock.seconds():.3f} s"
