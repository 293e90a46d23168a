"""The rule checker: a clean exchange passes, and each rule is broken on purpose by a wrong checker."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from limerudder.loadtest.rule_checker import Direction, RuleChecker, RuleLimits

SECOND = 1_000_000


def fleet() -> RuleChecker:
    checker = RuleChecker(RuleLimits())
    checker.server_listed(0, "h1", True, 50.0, -60 * SECOND)
    checker.server_listed(0, "h2", True, 50.0, -60 * SECOND)
    return checker


def served(checker: RuleChecker, request: str = "r", at: int = SECOND, host: str = "h1") -> None:
    checker.request_sent(at, request, 2 * SECOND)
    checker.attempt_received(at + 1000, request, host)
    checker.line_answered(at + 3000, request, "UP 77")


def test_clean_exchanges_of_all_kinds_pass() -> None:
    checker = fleet()
    served(checker)
    checker.line_received(SECOND + 5000, "r", Direction.TO_SERVER, "M 1")
    checker.line_delivered(SECOND + 5400, "r", Direction.TO_SERVER, "M 1")
    checker.line_received(SECOND + 6000, "r", Direction.TO_CLIENT, "M 1")
    checker.line_delivered(SECOND + 6100, "r", Direction.TO_CLIENT, "M 1")
    checker.line_answered(SECOND + 7000, "r", "MOVE")
    checker.client_closed_by_node(SECOND + 8000, "r")
    checker.attempt_ended(SECOND + 8001, "r", "h1", by_server=False)
    checker.request_sent(2 * SECOND, "again", 2 * SECOND)  # refused at one host, taken at the next
    checker.attempt_received(2 * SECOND + 10, "again", "h1")
    checker.attempt_ended(2 * SECOND + 20, "again", "h1", by_server=True)
    checker.attempt_received(2 * SECOND + 30, "again", "h2")
    checker.line_answered(2 * SECOND + 40, "again", "UP 5")
    checker.attempt_ended(3 * SECOND, "again", "h2", by_server=True)
    checker.client_closed_by_node(3 * SECOND + 10, "again")
    checker.request_sent(4 * SECOND, "busy", SECOND)
    checker.line_answered(4 * SECOND + 5, "busy", "BUSY 100")
    checker.client_closed_by_node(4 * SECOND + 6, "busy")
    checker.request_sent(5 * SECOND, "gone", SECOND)
    checker.client_left(5 * SECOND + 10, "gone")
    checker.client_closed_by_node(5 * SECOND + 20, "gone")
    checker.server_listed(6 * SECOND, "h1", False, 50.0, -60 * SECOND)
    served(checker, "in the grace", 6 * SECOND + 100_000)
    checker.server_listed(8 * SECOND, "h1", True, 50.0, 8 * SECOND - 5)  # started anew
    served(checker, "cold", 8 * SECOND + 10)
    assert checker.finish(20 * SECOND) == [] and checker.events_checked == 29


def two_answers(checker: RuleChecker) -> None:
    served(checker)
    checker.line_answered(2 * SECOND, "r", "BUSY 10")


def late(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)
    checker.line_answered(2 * SECOND + 20_001, "r", "FAIL")


def never(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)


def closed_without(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)
    checker.client_closed_by_node(SECOND + 5, "r")


def moved_before_up(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)
    checker.line_answered(SECOND + 5, "r", "MOVE")
    checker.client_left(SECOND + 6, "r")


def two_out(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)
    checker.attempt_received(SECOND + 1, "r", "h1")
    checker.attempt_received(SECOND + 2, "r", "h2")
    checker.line_answered(SECOND + 3, "r", "UP 1")


def after_the_answer(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)
    checker.line_answered(SECOND + 3, "r", "FAIL")
    checker.attempt_received(SECOND + 4, "r", "h1")


def to_a_drained_host(checker: RuleChecker) -> None:
    checker.server_listed(SECOND, "h1", False, 50.0, -60 * SECOND)
    served(checker, at=SECOND + 500_000)


def to_a_stranger(checker: RuleChecker) -> None:
    served(checker, host="h9")


def over_a_cold_host(checker: RuleChecker) -> None:
    checker.server_listed(SECOND, "h3", True, 10.0, SECOND)
    for n in range(20):
        served(checker, f"r{n}", SECOND + 500_000 + n * 5000, "h3")


def cut_off(checker: RuleChecker) -> None:
    served(checker)
    checker.client_closed_by_node(3 * SECOND, "r")


def held_too_long(checker: RuleChecker) -> None:
    served(checker)
    checker.line_received(2 * SECOND, "r", Direction.TO_SERVER, "M 1")
    checker.line_delivered(2 * SECOND + 100_001, "r", Direction.TO_SERVER, "M 1")


def swallowed(checker: RuleChecker) -> None:
    served(checker)
    checker.line_received(2 * SECOND, "r", Direction.TO_CLIENT, "M 1")


def out_of_order(checker: RuleChecker) -> None:
    served(checker)
    checker.line_received(2 * SECOND, "r", Direction.TO_SERVER, "M 1")
    checker.line_received(2 * SECOND, "r", Direction.TO_SERVER, "M 2")
    checker.line_delivered(2 * SECOND + 1, "r", Direction.TO_SERVER, "M 2")
    checker.line_delivered(2 * SECOND + 2, "r", Direction.TO_SERVER, "M 1")


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
    ids=lambda value: getattr(value, "__name__", value),
)
def test_each_rule_is_found_broken_with_the_exchange_that_shows_it(
    wrong: Callable[[RuleChecker], None], rule: str
) -> None:
    checker = fleet()
    wrong(checker)
    found = checker.finish(10 * SECOND)
    assert {violation.rule for violation in found} == {rule}, [str(violation) for violation in found]
    assert found[0].exchange and "client asks r" in str(found[0])
