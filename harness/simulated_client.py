"""A client that writes and reads through random members, one call at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from harness.cluster_checks import ClusterChecks, InvariantError
from harness.linearizability import ClientCall
from harness.simulated_clock import MICROSECONDS_PER_MILLISECOND
from harness.simulated_member import SimulatedMember
from harness.simulation_environment import SimulationEnvironment
from limerudder.store.calls import CallFailure, CallFailureKind
from limerudder.store.commands import (
    CommandResult,
    Compare,
    CompareTarget,
    Delete,
    Get,
    OpenSession,
    Put,
    SessionWrite,
    Transaction,
)
from limerudder.store.member import Member

KEYS = ("kv/a", "kv/b", "kv/c")
CALL_TIMEOUT_US = 400 * MICROSECONDS_PER_MILLISECOND
#: Time after which an unanswered call counts as failed by a crash; must exceed CALL_TIMEOUT_US.
CRASH_TIMEOUT_US = 700 * MICROSECONDS_PER_MILLISECOND
NO_MEMBER_RETRY_US = 50 * MICROSECONDS_PER_MILLISECOND
WRITE_RETRY_US = 20 * MICROSECONDS_PER_MILLISECOND
MAX_PAUSE_US = 40 * MICROSECONDS_PER_MILLISECOND
LARGE_VALUE_FACTOR = 40

Outcome = TypeVar("Outcome")
Callback = Callable[[Outcome, int], None]


class SimulatedClient:
    """Retries a write with the same serial number until it is answered; does not retry a failed read."""

    def __init__(
        self,
        number: int,
        environment: SimulationEnvironment,
        checks: ClusterChecks,
        history: list[ClientCall],
    ) -> None:
        self._number = number
        self._environment = environment
        self._checks = checks
        self._history = history
        self._session_id = 0
        self._serial = 0
        self._write_count = 0

    def start_next_call(self) -> None:
        """Start the next call, unless the phase with faults has ended."""
        random = self._environment.random
        if not self._environment.faults_active:
            return
        running = self._checks.running_members()
        if not running:
            self._environment.clock.schedule(NO_MEMBER_RETRY_US, self.start_next_call)
        elif not self._session_id:
            self._open_session(random.choice(running))
        elif random.random() < 0.6:
            self._write()
        else:
            self._read(random.choice(running))

    def _pause(self) -> None:
        delay_us = self._environment.random.randrange(1, MAX_PAUSE_US)
        self._environment.clock.schedule(delay_us, self.start_next_call)

    def _call(
        self,
        member: SimulatedMember,
        done: Callback[Outcome | CallFailure],
        call: Callable[[Member, Callback[Outcome | CallFailure]], None],
    ) -> None:
        """Call a member; `done` runs once, with a failure if the member crashes before it answers."""
        generation = member.generation
        answered = False

        def answer_once(outcome: Outcome | CallFailure, now_us: int) -> None:
            nonlocal answered
            if not answered:
                answered = True
                done(outcome, now_us)

        call(member.running_process, answer_once)
        if member.process and member.generation == generation:
            member.run_output()
        crashed = CallFailure(CallFailureKind.UNAVAILABLE, "the member crashed", True)
        self._environment.clock.schedule(CRASH_TIMEOUT_US, lambda: answer_once(crashed, 0))

    def _open_session(self, member: SimulatedMember) -> None:
        now_us = member.local_time_us()

        def done(outcome: CommandResult | CallFailure, _: int) -> None:
            if isinstance(outcome, CommandResult):
                self._session_id = outcome.index
                self._serial = 0
            self._pause()

        self._call(
            member,
            done,
            lambda process, answer: process.write(OpenSession(), now_us + CALL_TIMEOUT_US, answer, now_us),
        )

    # writes

    def _write(self) -> None:
        random = self._environment.random
        self._serial += 1
        self._write_count += 1
        key = random.choice(KEYS)
        value = f"{self._number}.{self._write_count}".encode()
        if random.random() < 0.1:
            value = value * LARGE_VALUE_FACTOR
        operation: Put | Delete = Put(key, value)
        transaction = Transaction((), (operation, Get(key)))
        if random.random() < 0.3:
            is_new = Compare(key, CompareTarget.VERSION, b"", 0)
            transaction = Transaction((is_new,), (operation,), (operation, Get(key)))
        call = ClientCall(self._number, self._environment.clock.now_us, key, True, value)
        self._history.append(call)
        self._send_write(SessionWrite(self._session_id, self._serial, self._serial - 1, transaction), call)

    def _send_write(self, command: SessionWrite, call: ClientCall) -> None:
        clock = self._environment.clock
        running = self._checks.running_members()
        if not running:
            clock.schedule(NO_MEMBER_RETRY_US, lambda: self._send_write(command, call))
            return
        member = self._environment.random.choice(running)
        now_us = member.local_time_us()

        def done(outcome: CommandResult | CallFailure, _: int) -> None:
            if isinstance(outcome, CallFailure):
                clock.schedule(WRITE_RETRY_US, lambda: self._send_write(command, call))
                return
            if outcome.error:
                raise InvariantError(
                    f"seed {self._environment.seed}: an active session was rejected: {outcome.error}"
                )
            call.finished_us = clock.now_us
            call.revision = outcome.revision
            self._pause()

        self._call(
            member,
            done,
            lambda process, answer: process.write(command, now_us + CALL_TIMEOUT_US, answer, now_us),
        )

    # reads

    def _read(self, member: SimulatedMember) -> None:
        key = self._environment.random.choice(KEYS)
        call = ClientCall(self._number, self._environment.clock.now_us, key, False, None)
        self._history.append(call)
        now_us = member.local_time_us()

        def done(outcome: CallFailure | None, _: int) -> None:
            process = member.process
            if outcome is None and process:
                item = process.state.get(key)
                call.value = item.value if item else None
                call.finished_us = self._environment.clock.now_us
                call.revision = process.state.revision
            self._pause()

        self._call(
            member,
            done,
            lambda process, answer: process.read_barrier(now_us + CALL_TIMEOUT_US, answer, now_us),
        )
