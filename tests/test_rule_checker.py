"""The rule checker: it accepts exchanges that follow the rules, and finds each that violates one."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from limerudder.loadtest.rule_checker import Direction, RuleChecker, RuleLimits

SECOND = 1_000_000


def checker_of_two_servers() -> RuleChecker:
    checker = RuleChecker(RuleLimits())
    checker.server_listed(0, "h1", True, 50.0, -60 * SECOND)
    checker.server_listed(0, "h2", True, 50.0, -60 * SECOND)
    return checker


def serve_request(checker: RuleChecker, request: str = "r", at: int = SECOND, server: str = "h1") -> None:
    checker.request_sent(at, request, 2 * SECOND)
    checker.attempt_received(at + 1000, request, server)
    checker.line_answered(at + 3000, request, "UP 77")


def test_exchanges_of_all_kinds_that_follow_the_rules_pass() -> None:
    checker = checker_of_two_servers()
    serve_request(checker)
    checker.line_received(SECOND + 5000, "r", Direction.TO_SERVER, "M 1")
    checker.line_delivered(SECOND + 5400, "r", Direction.TO_SERVER, "M 1")
    checker.line_received(SECOND + 6000, "r", Direction.TO_CLIENT, "M 1")
    checker.line_delivered(SECOND + 6100, "r", Direction.TO_CLIENT, "M 1")
    checker.line_answered(SECOND + 7000, "r", "MOVE")
    checker.client_closed_by_node(SECOND + 8000, "r")
    checker.attempt_ended(SECOND + 8001, "r", "h1", by_server=False)
    checker.request_sent(2 * SECOND, "again", 2 * SECOND)  # rejected by one server, accepted by the next
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
    serve_request(checker, "in the grace", 6 * SECOND + 100_000)
    checker.server_listed(8 * SECOND, "h1", True, 50.0, 8 * SECOND - 5)  # restarted
    serve_request(checker, "cold", 8 * SECOND + 10)
    assert checker.finish(20 * SECOND) == []
    assert checker.events_checked == 29


def two_final_answers(checker: RuleChecker) -> None:
    serve_request(checker)
    checker.line_answered(2 * SECOND, "r", "BUSY 10")


def answer_after_the_deadline(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)
    checker.line_answered(2 * SECOND + 20_001, "r", "FAIL")


def no_answer(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)


def closed_without_an_answer(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)
    checker.client_closed_by_node(SECOND + 5, "r")


def moved_before_accepted(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)
    checker.line_answered(SECOND + 5, "r", "MOVE")
    checker.client_left(SECOND + 6, "r")


def two_attempts_at_once(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)
    checker.attempt_received(SECOND + 1, "r", "h1")
    checker.attempt_received(SECOND + 2, "r", "h2")
    checker.line_answered(SECOND + 3, "r", "UP 1")


def attempt_after_the_answer(checker: RuleChecker) -> None:
    checker.request_sent(SECOND, "r", SECOND)
    checker.line_answered(SECOND + 3, "r", "FAIL")
    checker.attempt_received(SECOND + 4, "r", "h1")


def request_to_a_drained_server(checker: RuleChecker) -> None:
    checker.server_listed(SECOND, "h1", False, 50.0, -60 * SECOND)
    serve_request(checker, at=SECOND + 500_000)


def request_to_an_unlisted_server(checker: RuleChecker) -> None:
    serve_request(checker, server="h9")


def too_many_requests_to_a_cold_server(checker: RuleChecker) -> None:
    checker.server_listed(SECOND, "h3", True, 10.0, SECOND)
    for n in range(20):
        serve_request(checker, f"r{n}", SECOND + 500_000 + n * 5000, "h3")


def connection_closed_while_established(checker: RuleChecker) -> None:
    serve_request(checker)
    checker.client_closed_by_node(3 * SECOND, "r")


def line_delivered_too_late(checker: RuleChecker) -> None:
    serve_request(checker)
    checker.line_received(2 * SECOND, "r", Direction.TO_SERVER, "M 1")
    checker.line_delivered(2 * SECOND + 100_001, "r", Direction.TO_SERVER, "M 1")


def line_never_delivered(checker: RuleChecker) -> None:
    serve_request(checker)
    checker.line_received(2 * SECOND, "r", Direction.TO_CLIENT, "M 1")


def lines_out_of_order(checker: RuleChecker) -> None:
    serve_request(checker)
    checker.line_received(2 * SECOND, "r", Direction.TO_SERVER, "M 1")
    checker.line_received(2 * SECOND, "r", Direction.TO_SERVER, "M 2")
    checker.line_delivered(2 * SECOND + 1, "r", Direction.TO_SERVER, "M 2")
    checker.line_delivered(2 * SECOND + 2, "r", Direction.TO_SERVER, "M 1")


@pytest.mark.parametrize(
    ("break_rule", "rule"),
    [
        (two_final_answers, "one answer"),
        (answer_after_the_deadline, "in time"),
        (no_answer, "one answer"),
        (closed_without_an_answer, "one answer"),
        (moved_before_accepted, "one answer"),
        (two_attempts_at_once, "one attempt"),
        (attempt_after_the_answer, "one attempt"),
        (request_to_a_drained_server, "drains"),
        (request_to_an_unlisted_server, "listed servers"),
        (too_many_requests_to_a_cold_server, "cold servers"),
        (connection_closed_while_established, "lost connections"),
        (line_delivered_too_late, "line delivery"),
        (line_never_delivered, "line delivery"),
        (lines_out_of_order, "line delivery"),
    ],
    ids=lambda value: getattr(value, "__name__", value),
)
def test_each_violated_rule_is_found_with_its_exchange(
    break_rule: Callable[[RuleChecker], None], rule: str
) -> None:
    checker = checker_of_two_servers()
    break_rule(checker)
    found = checker.finish(10 * SECOND)
    assert {violation.rule for violation in found} == {rule}, [str(violation) for violation in found]
    assert found[0].exchange
    assert "client sends request r" in str(found[0])
