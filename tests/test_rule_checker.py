"""The rule checker: a clean exchange passes, and each rule is broken on purpose by a wrong one."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from limerudder.loadtest.rule_checker import RuleChecker, RuleLimits

S = 1_000_000


def fleet() -> RuleChecker:
    one = RuleChecker(RuleLimits())
    one.listed(0, "h1", True, 50.0, -60 * S)
    one.listed(0, "h2", True, 50.0, -60 * S)
    return one


def served(one: RuleChecker, request: str = "r", at: int = S, host: str = "h1") -> None:
    one.asked(at, request, 2 * S)
    one.sent(at + 1000, request, host)
    one.answered(at + 3000, request, "UP 77")


def test_clean_exchanges_of_all_kinds_pass() -> None:
    one = fleet()
    served(one)
    one.line_in(S + 5000, "r", True, "M 1")
    one.line_out(S + 5400, "r", True, "M 1")
    one.line_in(S + 6000, "r", False, "M 1")
    one.line_out(S + 6100, "r", False, "M 1")
    one.answered(S + 7000, "r", "MOVE")
    one.closed(S + 8000, "r")
    one.ended(S + 8001, "r", "h1", by_host=False)
    one.asked(2 * S, "again", 2 * S)  # refused at one host, taken at the next
    one.sent(2 * S + 10, "again", "h1")
    one.ended(2 * S + 20, "again", "h1", by_host=True)
    one.sent(2 * S + 30, "again", "h2")
    one.answered(2 * S + 40, "again", "UP 5")
    one.ended(3 * S, "again", "h2", by_host=True)
    one.closed(3 * S + 10, "again")
    one.asked(4 * S, "busy", S)
    one.answered(4 * S + 5, "busy", "BUSY 100")
    one.closed(4 * S + 6, "busy")
    one.asked(5 * S, "gone", S)
    one.left(5 * S + 10, "gone")
    one.closed(5 * S + 20, "gone")
    one.listed(6 * S, "h1", False, 50.0, -60 * S)
    served(one, "in the grace", 6 * S + 100_000)
    one.listed(8 * S, "h1", True, 50.0, 8 * S - 5)  # started anew
    served(one, "cold", 8 * S + 10)
    assert one.finish(20 * S) == [] and one.checked == 29


def two_answers(one: RuleChecker) -> None:
    served(one)
    one.answered(2 * S, "r", "BUSY 10")


def late(one: RuleChecker) -> None:
    one.asked(S, "r", S)
    one.answered(2 * S + 20_001, "r", "FAIL")


def never(one: RuleChecker) -> None:
    one.asked(S, "r", S)


def closed_without(one: RuleChecker) -> None:
    one.asked(S, "r", S)
    one.closed(S + 5, "r")


def moved_before_up(one: RuleChecker) -> None:
    one.asked(S, "r", S)
    one.answered(S + 5, "r", "MOVE")
    one.left(S + 6, "r")


def two_out(one: RuleChecker) -> None:
    one.asked(S, "r", S)
    one.sent(S + 1, "r", "h1")
    one.sent(S + 2, "r", "h2")
    one.answered(S + 3, "r", "UP 1")


def after_the_answer(one: RuleChecker) -> None:
    one.asked(S, "r", S)
    one.answered(S + 3, "r", "FAIL")
    one.sent(S + 4, "r", "h1")


def to_a_drained_host(one: RuleChecker) -> None:
    one.listed(S, "h1", False, 50.0, -60 * S)
    served(one, at=S + 500_000)


def to_a_stranger(one: RuleChecker) -> None:
    served(one, host="h9")


def over_a_cold_host(one: RuleChecker) -> None:
    one.listed(S, "h3", True, 10.0, S)
    for n in range(20):
        served(one, f"r{n}", S + 500_000 + n * 5000, "h3")


def cut_off(one: RuleChecker) -> None:
    served(one)
    one.closed(3 * S, "r")


def held_too_long(one: RuleChecker) -> None:
    served(one)
    one.line_in(2 * S, "r", True, "M 1")
    one.line_out(2 * S + 100_001, "r", True, "M 1")


def swallowed(one: RuleChecker) -> None:
    served(one)
    one.line_in(2 * S, "r", False, "M 1")


def out_of_order(one: RuleChecker) -> None:
    served(one)
    one.line_in(2 * S, "r", True, "M 1")
    one.line_in(2 * S, "r", True, "M 2")
    one.line_out(2 * S + 1, "r", True, "M 2")
    one.line_out(2 * S + 2, "r", True, "M 1")


@pytest.mark.parametrize(
    ("wrong", "rule"),
    [
        (two_answers, "one answer"),
        (late, "in time"),
        (never, "one answer"),
        (closed_without, "one answer"),
        (moved_before_up, "one answer"),
        (two_out, "one attempt"),
        (after_the_answer, "one attempt"),
        (to_a_drained_host, "drains"),
        (to_a_stranger, "listed hosts"),
        (over_a_cold_host, "cold hosts"),
        (cut_off, "lost connections"),
        (held_too_long, "held lines"),
        (swallowed, "held lines"),
        (out_of_order, "held lines"),
    ],
    ids=lambda one: getattr(one, "__name__", one),
)
def test_each_rule_is_found_broken_with_the_exchange_that_shows_it(
    wrong: Callable[[RuleChecker], None], rule: str
) -> None:
    one = fleet()
    wrong(one)
    found = one.finish(10 * S)
    assert {breach.rule for breach in found} == {rule}, [str(breach) for breach in found]
    assert found[0].exchange and "client asks r" in str(found[0])
