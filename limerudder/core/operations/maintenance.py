"""Maintenance: hosts that operators have taken out of service, whatever discovery lists.

Each has a mark that outlives the process. Every process of a node reads the marks regularly, so that all of
them follow a console call to any of them.
"""

from __future__ import annotations

from typing import Protocol

from limerudder.core.timer_wheel import TimerWheel

MARKS_CHECK_INTERVAL_US = 100_000  #: all processes follow a call well within the grace period for drains


class MaintenanceMarks(Protocol):
    """Host names, kept where they outlive the process. Every method may raise OSError."""

    def read(self) -> set[str]:
        """All marked hosts."""

    def add(self, name: str) -> None:
        """Mark a host, which may be marked already."""

    def remove(self, name: str) -> None:
        """Remove the mark of a host, which may have none."""


class InMemoryMarks:
    """Marks of a process without a state directory: they end with it."""

    def __init__(self) -> None:
        self._names: set[str] = set()

    def read(self) -> set[str]:
        """All marked hosts."""
        return set(self._names)

    def add(self, name: str) -> None:
        """Mark a host, which may be marked already."""
        self._names.add(name)

    def remove(self, name: str) -> None:
        """Remove the mark of a host, which may have none."""
        self._names.discard(name)


class MaintenanceTarget(Protocol):
    """Keeps traffic away from hosts in maintenance: the node."""

    def is_listed(self, name: str) -> bool:
        """Whether discovery lists this host."""

    def maintenance_started(self, name: str, now_us: int) -> None:
        """The host is in maintenance from now on."""

    def maintenance_ended(self, name: str, now_us: int) -> None:
        """The host is in maintenance no more."""


class Maintenance:
    """Which hosts are in maintenance."""

    def __init__(self, marks: MaintenanceMarks, target: MaintenanceTarget, timer_wheel: TimerWheel) -> None:
        self.marks = marks
        self.hosts: set[str] = self._read_marks() or set()
        self._target = target
        self._timer_wheel = timer_wheel

    def start(self, now_us: int) -> None:
        """Follow the marks from now on."""
        self._timer_wheel.schedule(now_us + MARKS_CHECK_INTERVAL_US, self._follow_marks)

    def enable(self, name: str, now_us: int) -> bool:
        """Put a host into maintenance; False if it is neither listed nor in maintenance.

        Raises OSError, and changes nothing, if the mark cannot be written.
        """
        if not self._is_known(name):
            return False
        # Written before the change takes effect, and anew where it did already: the mark may have been lost.
        self.marks.add(name)
        self._apply(self.hosts | {name}, now_us)
        return True

    def disable(self, name: str, now_us: int) -> bool:
        """End a host's maintenance; False if it is neither listed nor in maintenance.

        Raises OSError, and changes nothing, if the mark cannot be removed.
        """
        if not self._is_known(name):
            return False
        self.marks.remove(name)
        self._apply(self.hosts - {name}, now_us)
        return True

    def _is_known(self, name: str) -> bool:
        return name in self.hosts or self._target.is_listed(name)

    def _follow_marks(self, now_us: int) -> None:
        self._timer_wheel.schedule(now_us + MARKS_CHECK_INTERVAL_US, self._follow_marks)
        names = self._read_marks()
        if names is not None:
            self._apply(names, now_us)

    def _read_marks(self) -> set[str] | None:
        """The marked hosts; None if they cannot be read at the moment, which must not end any maintenance."""
        try:
            return self.marks.read()
        except OSError:
            return None

    def _apply(self, names: set[str], now_us: int) -> None:
        previous = self.hosts
        self.hosts = set(names)
        for name in sorted(self.hosts - previous):
            self._target.maintenance_started(name, now_us)
        for name in sorted(previous - self.hosts):
            self._target.maintenance_ended(name, now_us)
