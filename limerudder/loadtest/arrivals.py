"""Who comes and when: every arrival is drawn before the run, so that nothing a node does can change the load.

An open loop: arrivals do not wait for answers. After Schroeder, Wierman and Harchol-Balter, "Open Versus
Closed: A Cautionary Tale" (NSDI 2006).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import numpy as np

SECOND = 1_000_000
MAX_ARRIVALS = 20_000_000  #: arrivals of one plan


class PlanError(ValueError):
    """A plan that cannot be."""


class Arrival(NamedTuple):
    """One client: when it means to come, and what it is."""

    at: int  # microseconds from the beginning
    cls: str
    tenant: str
    group: int  # 0: none
    life: int  # microseconds it stays once it is served


@dataclass(frozen=True, slots=True)
class Phase:
    """Poisson arrivals whose rate goes evenly from one to another; `within` bunches them at its beginning."""

    seconds: float
    rate: float  # a second, at its beginning
    to: float | None = None  # and at its end; None: the same

    def check(self) -> None:
        """PlanError where it cannot be."""
        rates = [self.rate, self.rate if self.to is None else self.to]
        if not 0 < self.seconds <= 86_400:
            raise PlanError(f"a phase of {self.seconds} s; from 0 to 86400 are wanted")
        if not all(0 <= rate <= 1e6 for rate in rates):
            raise PlanError(f"a rate of {max(rates, key=abs)} a second; from 0 to 1000000 are wanted")


@dataclass(frozen=True, slots=True)
class Burst:
    """So many at once, spread evenly over a time: a shared launch, or a wave of reconnects."""

    at: float  # seconds from the beginning
    many: int
    within: float = 0.0  # seconds

    def check(self) -> None:
        """PlanError where it cannot be."""
        if self.at < 0 or self.within < 0 or self.many < 0:
            raise PlanError(
                f"a burst of {self.many} at {self.at} s within {self.within} s: none may be negative"
            )


@dataclass(frozen=True, slots=True)
class Mix:
    """What those that come are: names with weights, group sizes, lifetimes."""

    classes: dict[str, float] = field(default_factory=lambda: {"chat": 1.0})
    tenants: dict[str, float] = field(default_factory=lambda: {"": 1.0})
    groups: int = 0  # so many, by Zipf's law; 0: none has a group
    zipf: float = 0.8
    life: float = 1.0  # median seconds
    life_sigma: float = 0.0  # of the logarithm; 0: all the same

    def check(self) -> None:
        """PlanError where it cannot be."""
        for what, weights in (("classes", self.classes), ("tenants", self.tenants)):
            if not weights or min(weights.values()) < 0 or sum(weights.values()) <= 0:
                raise PlanError(f"{what}: names with weights are wanted, none negative and not all 0")
        if self.groups < 0 or self.life < 0 or self.life_sigma < 0 or self.zipf < 0:
            raise PlanError("groups, zipf, life and life_sigma may not be negative")


def draw(phases: Sequence[Phase], bursts: Sequence[Burst], mix: Mix, seed: int) -> list[Arrival]:
    """All arrivals, in order; the same for the same seed. PlanError where the plan cannot be."""
    parts: list[Phase | Burst | Mix] = [*phases, *bursts, mix]
    for part in parts:
        part.check()
    expected = sum(one.seconds * (one.rate + (one.rate if one.to is None else one.to)) / 2 for one in phases)
    if expected + sum(one.many for one in bursts) > MAX_ARRIVALS:
        raise PlanError(f"some {expected:.0f} arrivals; at most {MAX_ARRIVALS} are drawn")
    random = np.random.default_rng(seed)
    moments = [
        _phase(random, one, sum(before.seconds for before in phases[:n])) for n, one in enumerate(phases)
    ]
    moments += [one.at + np.linspace(0, one.within, one.many, endpoint=False) for one in bursts if one.many]
    at = np.sort(np.concatenate(moments)) if moments else np.empty(0)
    many = len(at)
    classes = _names(random, mix.classes, many)
    tenants = _names(random, mix.tenants, many)
    groups = np.zeros(many, dtype=np.int64)
    if mix.groups:
        weights = 1 / np.arange(1, mix.groups + 1) ** mix.zipf
        groups = 1 + random.choice(mix.groups, size=many, p=weights / weights.sum())
    lives = (
        mix.life * np.exp(random.normal(0, mix.life_sigma, many))
        if mix.life_sigma
        else np.full(many, mix.life)
    )
    return [
        Arrival(int(moment * SECOND), cls, tenant, int(group), int(life * SECOND))
        for moment, cls, tenant, group, life in zip(at, classes, tenants, groups, lives, strict=True)
    ]


def _phase(
    random: np.random.Generator, one: Phase, start: float
) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
    """By thinning (Lewis and Shedler, 1979): drawn at the highest rate, kept in proportion."""
    to = one.rate if one.to is None else one.to
    top = max(one.rate, to)
    many = random.poisson(top * one.seconds)
    at = random.uniform(0, one.seconds, many)
    if one.rate != to:
        there = one.rate + (to - one.rate) * at / one.seconds
        at = at[random.uniform(0, top, many) < there]
    return np.asarray(start + at, dtype=np.float64)


def _names(random: np.random.Generator, weights: dict[str, float], many: int) -> list[str]:
    names = list(weights)
    chances = np.array(list(weights.values())) / sum(weights.values())
    return [names[number] for number in random.choice(len(names), size=many, p=chances)]
