"""Ages of upstreams by clocks that are correct, ahead or behind."""

from __future__ import annotations

import pytest

from limerudder.core.discovery.start_times import ListedStart, StartTimes

SECOND = 1_000_000
NOW_US = 1_700_000_000 * SECOND
HOUR_US = 3600 * SECOND


def listed(upstream: str, started_ago_us: int) -> ListedStart:
    """Return a start as listed by discovery, whose clock is correct."""
    return ListedStart(upstream, (NOW_US - started_ago_us) // 1000)


@pytest.mark.parametrize("clock_ahead_us", [0, HOUR_US, -HOUR_US, 7 * SECOND, -7 * SECOND])
def test_the_age_of_a_recently_started_upstream_is_never_overestimated(clock_ahead_us: int) -> None:
    """Guards against issue 33: a node whose clock was an hour ahead treated a new upstream as warm."""
    local_now_us = NOW_US + clock_ahead_us
    starts = [listed("new", 2 * SECOND), listed("older", 10 * SECOND)]
    start_times = StartTimes()
    start_times.observe(starts, local_now_us)
    for start, true_age_us in zip(starts, (2 * SECOND, 10 * SECOND), strict=True):
        age_us = local_now_us - start_times.local_us(*start)
        assert 0 <= age_us <= true_age_us


@pytest.mark.parametrize("clock_ahead_us", [0, HOUR_US])
def test_ages_are_exact_once_a_start_was_listed_without_delay(clock_ahead_us: int) -> None:
    start_times = StartTimes()
    start_times.observe([listed("first", 0)], NOW_US + clock_ahead_us)
    second = listed("second", 3 * SECOND)
    start_times.observe([second], NOW_US + clock_ahead_us)
    assert NOW_US + clock_ahead_us - start_times.local_us(*second) == 3 * SECOND


def test_an_upstream_whose_clock_is_ahead_does_not_raise_the_age_of_others() -> None:
    start_times = StartTimes()
    starts = [listed("ahead", -HOUR_US), listed("new", SECOND)]
    start_times.observe(starts, NOW_US)
    assert NOW_US - start_times.local_us(*starts[0]) == 0
    assert NOW_US - start_times.local_us(*starts[1]) == SECOND


def test_a_start_keeps_its_local_time_and_a_restart_gets_a_new_one() -> None:
    start_times = StartTimes()
    first = listed("host", SECOND)
    start_times.observe([first], NOW_US)
    local_us = start_times.local_us(*first)
    start_times.observe([first, listed("other", 0)], NOW_US + SECOND)
    assert start_times.local_us(*first) == local_us
    again = listed("host", -SECOND)
    start_times.observe([again], NOW_US + 2 * SECOND)
    assert start_times.local_us(*again) > local_us
    assert start_times.local_us("long ago", 0) == 0
