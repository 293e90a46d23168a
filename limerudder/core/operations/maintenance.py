"""Maintenance: the hosts that staff have taken out by hand, whatever discovery lists.

Each has a mark that outlives the process; every process of a node looks at the marks, so that all follow a
call to any of them.
"""

from __future__ import annotations

from typing import Protocol

from limerudder.core.timer_wheel import TimerWheel

LOOK = 100_000  #: between looks at the marks: both processes follow well inside the grace for drains


class MaintenanceMarks(Protocol):
    """Names kept where they outlive a process. Any of these may raise OSError."""

    def read(self) -> set[str]:
        """All that are there."""

    def put(self, name: str) -> None:
        """Add one; it may be there already."""

    def remove(self, name: str) -> None:
        """Take one away; it may be gone already."""


class InMemoryMarks:
    """Marks where nothing outlives the process."""

    def __init__(self) -> None:
        self.names: set[str] = set()

    def read(self) -> set[str]:
        """All of them."""
        return set(self.names)

    def put(self, name: str) -> None:
        """Add one."""
        self.names.add(name)

    def remove(self, name: str) -> None:
        """Take one away."""
        self.names.discard(name)


class MaintenanceTarget(Protocol):
    """Who keeps from the hosts that are held: the node."""

    timer_wheel: TimerWheel

    def is_listed(self, name: str) -> bool:
        """Whether discovery lists this host."""

    def take_out(self, name: str, now: int) -> None:
        """It is held from now on."""

    def put_back(self, name: str, now: int) -> None:
        """It is held no more."""


class Maintenance:
    """Which hosts are held."""

    def __init__(self, marks: MaintenanceMarks, ward: MaintenanceTarget) -> None:
        self.marks, self.ward = marks, ward
        self.held: set[str] = self._read() or set()

    def start(self, now: int) -> None:
        """Follow the marks from now on."""
        self.ward.timer_wheel.schedule(now + LOOK, self._look)

    def on(self, name: str, now: int) -> bool:
        """Hold a host; False where it is neither listed nor held. OSError where that would not outlive us."""
        if name not in self.held and not self.ward.is_listed(name):
            return False
        self.marks.put(name)  # before the yes, and again where it was held: it may have been lost meanwhile
        self._follow(self.held | {name}, now)
        return True

    def off(self, name: str, now: int) -> bool:
        """Put a host back; False where it is neither listed nor held."""
        if name not in self.held and not self.ward.is_listed(name):
            return False
        self.marks.remove(name)
        self._follow(self.held - {name}, now)
        return True

    def _look(self, now: int) -> None:
        self.ward.timer_wheel.schedule(now + LOOK, self._look)
        names = self._read()
        if names is not None:
            self._follow(names, now)

    def _read(self) -> set[str] | None:
        try:
            return self.marks.read()
        except OSError:  # guards hosts that are held against a folder that cannot be read for a moment
            return None

    def _follow(self, names: set[str], now: int) -> None:
        before, self.held = self.held, set(names)
        for name in sorted(names - before):
            self.ward.take_out(name, now)
        for name in sorted(before - names):
            self.ward.put_back(name, now)
