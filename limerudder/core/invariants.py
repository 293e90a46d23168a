"""What must hold at every moment, as checks that watch a node from outside; none is loaded in service."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, cast

from limerudder.core.operations.counters import CounterName
from limerudder.core.operations.metrics import RequestOutcome
from limerudder.policy.events import (
    NOT_EXECUTED_OUTCOMES,
    AttemptOutcome,
    ServerState,
)
from limerudder.policy.settings import (
    TrafficClass,
)

if TYPE_CHECKING:
    from limerudder.core.node import Node, ProxiedConnection, Upstream
    from limerudder.core.ports import Attempt
    from limerudder.policy.balancer import Balancer


class InvariantViolation(AssertionError):
    """An invariant does not hold."""


def hold(what: bool, text: str) -> None:
    """Break off where it does not hold; not an `assert`, which an optimised run would leave out."""
    if not what:
        raise InvariantViolation(text)


class Invariants:
    """Checks at the node's transitions, and `check` for what holds between any two events."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.answers = Counter[int]()
        self.attempts: dict[int, Attempt] = {}  # the last of each request
        #: by request: when the first attempt that may have run was sent, and its upstream
        self.risks: dict[int, tuple[int, Upstream]] = {}
        self._dial, self._final, self._up = node._dial, node._final, node.up
        self._may_write, self._ended = node.may_write, node.ended
        node._dial, node._final, node.up = self.dial, self.final, self.up  # type: ignore[method-assign]
        node.may_write, node.ended = self.may_write, self.ended  # type: ignore[method-assign]

    def dial(self, held: ProxiedConnection, upstream: Upstream, wait: int | None, now: int) -> None:
        """One attempt out at a time, and none beyond the limit."""
        last = self.attempts.get(held.number)
        hold(held.attempt is None and (last is None or last.ended), "two attempts of a request are out")
        hold(not held.has_final_answer, "an attempt of a request that has its answer")
        hold(
            held.attempts_started <= self.node.settings.max_attempts, "more attempts than the settings allow"
        )
        self._dial(held, upstream, wait, now)
        if held.attempt:
            self.attempts[held.number] = held.attempt

    def may_write(self, held: ProxiedConnection, now: int) -> bool:
        """No send to a host that drains, for a client that has gone, or that might repeat an effect."""
        may = self._may_write(held, now)
        if may:
            upstream = held.upstream
            hold(upstream is not None and upstream.state == ServerState.READY, "a send to a host that drains")
            hold(
                not held.has_final_answer and held.number in self.node.requests,
                "a send for a client that has gone",
            )
            risk = self.risks.get(held.number)
            cls = self.node.settings.classes[held.description[1]]
            if risk is not None and upstream is not None and cls.effect != "safe":
                hold(cls.effect == "keyed", "an unsafe request that may have run is sent again")
                hold(now <= risk[0] + cls.repeat_window, "a keyed request is sent again after its window")
                hold(
                    cls.key_scope not in ("zone", "cell")
                    or self.place(upstream, cls) == self.place(risk[1], cls),
                    "a keyed request is sent again where the first attempt is not known",
                )
        return may

    @staticmethod
    def place(upstream: Upstream, cls: TrafficClass) -> object:
        """Where repeats of this class are known."""
        return getattr(upstream.endpoint, cls.key_scope)

    def ended(
        self, held: ProxiedConnection, ending: AttemptOutcome, report: tuple[float, ...], now: int
    ) -> None:
        """What may have run is remembered as the rules count it: from its send on."""
        attempt = self.attempts.get(held.number)
        hold(attempt is None or attempt.ended, "an attempt that has ended is still open")
        hold(
            attempt is None or not attempt.sent or ending != AttemptOutcome.CONNECT_FAILED,
            "written, and told as never run",
        )
        if ending not in NOT_EXECUTED_OUTCOMES and held.upstream and not held.has_final_answer:
            self.risks.setdefault(held.number, (held.sent, held.upstream))
        self._ended(held, ending, report, now)

    def final(self, held: ProxiedConnection, counter: CounterName, outcome: RequestOutcome, now: int) -> None:
        """One final answer, and a refusal only where trying again is harmless."""
        self.answered(held)
        cls = self.node.settings.classes[held.description[1]]
        if counter == CounterName.ANSWERS_REJECTED and held.number in self.risks:
            harmless = cls.effect == "safe" or (cls.effect == "keyed" and cls.key_scope == "all")
            hold(harmless, "refused, though it may have run")
        self._final(held, counter, outcome, now)

    def up(self, held: ProxiedConnection, now: int) -> None:
        """The upstream's answer is a final one."""
        if not held.has_final_answer:
            self.answered(held)
        self._up(held, now)

    def answered(self, held: ProxiedConnection) -> None:
        """Count a final answer."""
        self.answers[held.number] += 1
        hold(self.answers[held.number] == 1, "two final answers")

    def check(self, now: int) -> None:
        """Between two events: answers in time, and the books of node and module agree."""
        node, slack = self.node, self.node.settings.answer_slack_us + 2 * self.node.settings.tick
        at = Counter[int]()
        for held in node.requests.values():
            hold(
                held.has_final_answer or now <= held.deadline + slack, "a request without its answer in time"
            )
            if held.attempt and held.upstream:
                hold(not held.attempt.ended, "an attempt that is closed is taken for open")
                at[held.upstream.number] += 1
        hold(
            node.ids == {held.request.id for held in node.requests.values()},
            "ids that are not those of the requests",
        )
        servers = cast("Balancer", node.balancer).servers
        for number, server in servers.items():
            hold(len(server.flows) == at[number], "the module counts other connections than there are")
            hold(server.setting_up >= 0, "a set-up that ended twice")
        admission = node.admission
        hold(
            not admission.idle.keys() & admission.closing.keys(), "a client that rests and has its last word"
        )
        hold(
            admission.connections >= admission.idle.keys() | admission.closing.keys(),
            "a client that is gone makes place",
        )
        spared = admission.reserved // 4
        hold(
            len(admission.connections) + len(node.requests) <= admission.capacity + spared + 1,
            "more descriptors than there are",
        )
