"""Maintenance: hosts that operators have removed from service, regardless of discovery's list.

Each has a mark that outlives the process. Every process of a node reads the marks regularly, so that a
console call to one of them affects all.
"""

from __future__ import annotations

from functools import partial
from typing import Protocol

from limerudder.core.timer_wheel import TimerWheel

#: Interval of reading the marks; all processes apply a call well within the grace period for drains.
MARKS_CHECK_INTERVAL_US = 100_000


class MaintenanceMarks(Protocol):
    """Host names in storage that outlives the process. Every method may raise OSError."""

    def read(self) -> set[str]:
        """Return all marked hosts."""

    def add(self, name: str) -> None:
        """Mark a host; no effect if it is already marked."""

    def remove(self, name: str) -> None:
        """Remove the mark of a host; no effect if it has none."""


class SharedMarks(MaintenanceMarks, Protocol):
    """Marks that other processes of the node may change as well."""

    def take_renewed(self) -> set[str]:
        """Return the marked hosts that another process has marked again since the last call.

        May raise OSError.
        """

    def marked_here(self) -> set[str]:
        """Return the hosts that this process has marked itself."""


class InMemoryMarks:
    """Marks for a process without a state directory; they are lost when it ends."""

    def __init__(self) -> None:
        self._names: set[str] = set()

    def read(self) -> set[str]:
        """Return all marked hosts."""
        return set(self._names)

    def add(self, name: str) -> None:
        """Mark a host; no effect if it is already marked."""
        self._names.add(name)

    def remove(self, name: str) -> None:
        """Remove the mark of a host; no effect if it has none."""
        self._names.discard(name)

    def take_renewed(self) -> set[str]:
        """Return no host: there is no other process."""
        return set()

    def marked_here(self) -> set[str]:
        """Return all marked hosts."""
        return set(self._names)


class MaintenanceTarget(Protocol):
    """Keeps traffic away from hosts in maintenance; `MaintenanceEffects` implements it."""

    def is_listed(self, name: str) -> bool:
        """Return whether discovery lists this host."""

    def maintenance_started(self, name: str, now_us: int) -> None:
        """The host has entered maintenance."""

    def maintenance_ended(self, name: str, now_us: int) -> None:
        """The host has left maintenance."""


class Maintenance:
    """Tracks which hosts are in maintenance."""

    def __init__(self, marks: MaintenanceMarks, target: MaintenanceTarget, timer_wheel: TimerWheel) -> None:
        self.marks = marks
        self.hosts: set[str] = self._read_marks() or set()
        self._target = target
        self._timer_wheel = timer_wheel

    def start(self, now_us: int) -> None:
        """Start reading the marks periodically."""
        self._timer_wheel.schedule(now_us + MARKS_CHECK_INTERVAL_US, self._poll_marks)

    def enable(self, name: str, now_us: int) -> bool:
        """Put a host into maintenance; False if it is neither listed nor in maintenance.

        Raises OSError, and changes nothing, if the mark cannot be written.
        """
        if not self._is_listed_or_in_maintenance(name):
            return False
        # Written before the change takes effect, and rewritten on each call: the mark may have been lost.
        self.marks.add(name)
        self._apply(self.hosts | {name}, now_us)
        return True

    def disable(self, name: str, now_us: int) -> bool:
        """End a host's maintenance; False if it is neither listed nor in maintenance.

        Raises OSError, and changes nothing, if the mark cannot be removed.
        """
        if not self._is_listed_or_in_maintenance(name):
            return False
        self.marks.remove(name)
        self._apply(self.hosts - {name}, now_us)
        return True

    def _is_listed_or_in_maintenance(self, name: str) -> bool:
        return name in self.hosts or self._target.is_listed(name)

    def _poll_marks(self, now_us: int) -> None:
        self._timer_wheel.schedule(now_us + MARKS_CHECK_INTERVAL_US, self._poll_marks)
        names = self._read_marks()
        if names is not None:
            self._apply(names, now_us)

    def _read_marks(self) -> set[str] | None:
        """Return the marked hosts, or None if reading fails; a failure must not end any maintenance."""
        try:
            return self.marks.read()
        except OSError:
            return None

    def _apply(self, names: set[str], now_us: int) -> None:
        previous = self.hosts
        self.hosts = set(names)
        call = self._timer_wheel.call  # an exception about one host must not affect the others
        for name in sorted(self.hosts - previous):
            call(partial(self._target.maintenance_started, name), now_us)
        for name in sorted(previous - self.hosts):
            call(partial(self._target.maintenance_ended, name), now_us)
