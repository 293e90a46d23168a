"""Arrival plans: all arrivals are drawn before the run, so that the load does not depend on the nodes.

This is an open-loop load: arrivals do not wait for answers. Source: Schroeder, Wierman and Harchol-Balter,
"Open Versus Closed: A Cautionary Tale" (NSDI 2006).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

MICROSECONDS_PER_SECOND = 1_000_000
MAX_ARRIVALS = 20_000_000  #: Maximum number of arrivals in a plan
MAX_PHASE_SECONDS = 86_400
MAX_RATE_PER_SECOND = 1e6

Times = NDArray[np.float64]  #: Seconds since the start of the run


class PlanError(ValueError):
    """An invalid plan, or a trace that cannot be read."""


class Arrival(NamedTuple):
    """One client: its intended arrival time, and its request."""

    at_us: int  #: Time since the start of the run
    traffic_class: str
    tenant: str
    group: int  #: Number of the group; 0 for no group
    lifetime_us: int  #: Duration of the connection once it is established


@dataclass(frozen=True, slots=True)
class Phase:
    """Poisson arrivals at a constant rate, or at one that changes linearly from `rate` to `final_rate`."""

    seconds: float
    rate: float  #: Arrivals per second at the start of the phase
    final_rate: float | None = None  #: Arrivals per second at the end of the phase; None: constant

    @property
    def end_rate(self) -> float:
        """Arrivals per second at the end of the phase."""
        return self.rate if self.final_rate is None else self.final_rate

    @property
    def expected_arrivals(self) -> float:
        """The mean number of arrivals."""
        return self.seconds * (self.rate + self.end_rate) / 2

    def check(self) -> None:
        """Raise PlanError if the phase is invalid."""
        if not 0 < self.seconds <= MAX_PHASE_SECONDS:
            raise PlanError(
                f"a phase of {self.seconds} s; expected more than 0 and at most {MAX_PHASE_SECONDS}"
            )
        rates = [self.rate, self.end_rate]
        if not all(0 <= rate <= MAX_RATE_PER_SECOND for rate in rates):
            invalid_rate = max(rates, key=abs)
            raise PlanError(f"a rate of {invalid_rate} per second; expected 0 to {MAX_RATE_PER_SECOND:.0f}")


@dataclass(frozen=True, slots=True)
class Burst:
    """Arrivals spread evenly over a short time, as in a shared launch or a wave of reconnects."""

    at_seconds: float  #: Start of the burst, in seconds since the start of the run
    arrivals: int
    within_seconds: float = 0.0

    def check(self) -> None:
        """Raise PlanError if the burst is invalid."""
        if self.at_seconds < 0 or self.within_seconds < 0 or self.arrivals < 0:
            raise PlanError(
                f"a burst of {self.arrivals} at {self.at_seconds} s within {self.within_seconds} s:"
                " none may be negative"
            )


@dataclass(frozen=True, slots=True)
class Mix:
    """Distribution of the classes, tenants, groups and lifetimes of arrivals."""

    classes: dict[str, float] = field(default_factory=lambda: {"chat": 1.0})
    tenants: dict[str, float] = field(default_factory=lambda: {"": 1.0})
    groups: int = 0  #: Number of groups, chosen by Zipf's law; 0 for no groups
    zipf_exponent: float = 0.8
    median_lifetime_seconds: float = 1.0
    lifetime_sigma: float = 0.0  #: Standard deviation of the lifetimes' logarithm; 0: all equal

    def check(self) -> None:
        """Raise PlanError if the mix is invalid."""
        for name, weights in (("classes", self.classes), ("tenants", self.tenants)):
            if not weights or min(weights.values()) < 0 or sum(weights.values()) <= 0:
                raise PlanError(f"{name}: expected names with weights, none negative and not all 0")
        parameters = (self.groups, self.median_lifetime_seconds, self.lifetime_sigma, self.zipf_exponent)
        if min(parameters) < 0:
            raise PlanError("groups, zipf, life and life_sigma may not be negative")


def draw(phases: Sequence[Phase], bursts: Sequence[Burst], mix: Mix, seed: int) -> list[Arrival]:
    """Return all arrivals, sorted by time; the same seed gives the same arrivals. Raises PlanError."""
    _check_plan(phases, bursts, mix)
    random = np.random.default_rng(seed)
    times = _draw_times(random, phases, bursts)
    count = len(times)
    classes = _draw_names(random, mix.classes, count)
    tenants = _draw_names(random, mix.tenants, count)
    groups = _draw_groups(random, mix, count)
    lifetimes = _draw_lifetimes(random, mix, count)
    return [
        Arrival(
            int(at * MICROSECONDS_PER_SECOND),
            traffic_class,
            tenant,
            int(group),
            int(lifetime * MICROSECONDS_PER_SECOND),
        )
        for at, traffic_class, tenant, group, lifetime in zip(
            times, classes, tenants, groups, lifetimes, strict=True
        )
    ]


def _check_plan(phases: Sequence[Phase], bursts: Sequence[Burst], mix: Mix) -> None:
    parts: list[Phase | Burst | Mix] = [*phases, *bursts, mix]
    for part in parts:
        part.check()
    expected = sum(phase.expected_arrivals for phase in phases)
    if expected + sum(burst.arrivals for burst in bursts) > MAX_ARRIVALS:
        raise PlanError(f"about {expected:.0f} arrivals; at most {MAX_ARRIVALS} are drawn")


def _draw_times(random: np.random.Generator, phases: Sequence[Phase], bursts: Sequence[Burst]) -> Times:
    parts: list[Times] = []
    phase_start = 0.0
    for phase in phases:
        parts.append(phase_start + _draw_phase(random, phase))
        phase_start += phase.seconds
    for burst in bursts:
        if burst.arrivals:
            offsets = np.linspace(0, burst.within_seconds, burst.arrivals, endpoint=False)
            parts.append(burst.at_seconds + offsets)
    if not parts:
        return np.empty(0)
    return np.sort(np.concatenate(parts))


def _draw_phase(random: np.random.Generator, phase: Phase) -> Times:
    """Draw arrivals at the highest rate, then thin them to the actual rate (Lewis and Shedler, 1979)."""
    highest_rate = max(phase.rate, phase.end_rate)
    count = random.poisson(highest_rate * phase.seconds)
    times = random.uniform(0, phase.seconds, count)
    if phase.rate != phase.end_rate:
        rates = phase.rate + (phase.end_rate - phase.rate) * times / phase.seconds
        times = times[random.uniform(0, highest_rate, count) < rates]
    return np.asarray(times, dtype=np.float64)


def _draw_names(random: np.random.Generator, weights: dict[str, float], count: int) -> list[str]:
    names = list(weights)
    probabilities = np.array(list(weights.values())) / sum(weights.values())
    return [names[index] for index in random.choice(len(names), size=count, p=probabilities)]


def _draw_groups(random: np.random.Generator, mix: Mix, count: int) -> NDArray[np.int64]:
    if not mix.groups:
        return np.zeros(count, dtype=np.int64)
    weights = 1 / np.arange(1, mix.groups + 1) ** mix.zipf_exponent
    return 1 + random.choice(mix.groups, size=count, p=weights / weights.sum())


def _draw_lifetimes(random: np.random.Generator, mix: Mix, count: int) -> Times:
    if not mix.lifetime_sigma:
        return np.full(count, mix.median_lifetime_seconds)
    return np.asarray(mix.median_lifetime_seconds * np.exp(random.normal(0, mix.lifetime_sigma, count)))
