"""Kinds and frequencies of the faults in a simulated cluster."""

from __future__ import annotations

from dataclasses import dataclass

PROFILE_COUNT = 6  #: Number of predefined plans; the seed selects one


@dataclass(frozen=True)
class FaultPlan:
    """The faults of one run. Intervals are means in seconds; 0 disables the fault."""

    members: int = 4
    seconds: float = 6.0  # duration of the phase with faults; all faults are repaired afterwards
    clients: int = 3
    loss_probability: float = 0.05
    duplication_probability: float = 0.03
    long_delay_probability: float = 0.03
    crash_interval: float = 0.8
    partition_interval: float = 0.9
    disk_stall_interval: float = 2.0
    membership_interval: float = 1.5
    clock_jump_interval: float = 2.0
    disk_restore_interval: float = 5.0
    drain_interval: float = 0.4
    maintenance_interval: float = 0.9
    max_restart_seconds: float = 0.6  # maximum delay before a crashed process restarts
    critical_crash_probability: float = 0.02  # chance of a crash soon after a granted vote or won election
    max_concurrent_changes: int = 1  # maximum number of membership changes requested at once
    min_voters: int = 3  # removals leave at least this many voters
    max_delay_ms: float = 3.0  # maximum delay of a message, except for long delays

    @staticmethod
    def for_seed(seed: int) -> FaultPlan:
        """Return the plan for a seed: a mix of all faults, or one kind of fault at high frequency."""
        match seed % PROFILE_COUNT:
            case 1:
                return _FREQUENT_CRASHES
            case 2:
                return _FREQUENT_PARTITIONS
            case 3:
                return _FREQUENT_MEMBERSHIP_CHANGES
            case 4:
                return _SLOW_NETWORK_OF_THREE
            case 5:
                return _SLOW_NETWORK_OF_FIVE
        return _MIXED


_MIXED = FaultPlan()

_FREQUENT_CRASHES = FaultPlan(
    members=3,
    crash_interval=0.08,
    max_restart_seconds=0.04,
    partition_interval=0.6,
    disk_stall_interval=0.7,
    critical_crash_probability=0.3,
)

_FREQUENT_PARTITIONS = FaultPlan(
    members=5,
    crash_interval=0.3,
    partition_interval=0.12,
    long_delay_probability=0.15,
    max_restart_seconds=0.1,
    critical_crash_probability=0.15,
)

_FREQUENT_MEMBERSHIP_CHANGES = FaultPlan(
    members=5,
    membership_interval=0.12,
    crash_interval=0.3,
    partition_interval=0.2,
    max_restart_seconds=0.2,
    max_concurrent_changes=3,
    min_voters=2,
)

_SLOW_NETWORK_OF_THREE = FaultPlan(
    members=3,
    max_delay_ms=40,
    critical_crash_probability=0.6,
    crash_interval=0.5,
    partition_interval=0.4,
    max_restart_seconds=0.05,
)

_SLOW_NETWORK_OF_FIVE = FaultPlan(
    members=5,
    max_delay_ms=40,
    critical_crash_probability=0.5,
    crash_interval=0.5,
    partition_interval=0.2,
    max_restart_seconds=0.05,
)
