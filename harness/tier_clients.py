"""Clients of a tier of nodes, which check that every request gets exactly one answer."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence

from harness.node_process import NodeProcess

ANSWER_WORDS = (b"UP", b"BUSY", b"FAIL", b"ERR")
ANSWER_TIMEOUT_SECONDS = 4
SECOND_ANSWER_SECONDS = 0.3  #: for how long a client of an accepted request waits for a second answer
RETRY_SECONDS = 0.02
#: For so long after SIGTERM the platform's front may send new connections; later ones are not judged.
FRONT_NOTICE_SECONDS = 0.4
EXIT_NOTICE_SECONDS = 0.2  #: after which a process that has closed a connection and ended is known to have


class TierClients:
    """Clients that send one request after the other, each through the next node."""

    def __init__(self, nodes: Sequence[NodeProcess]) -> None:
        self.answer_counts: Counter[str] = Counter()  # by the answer's first word
        self.violations: list[str] = []
        self.stopping = False
        self._nodes = nodes
        self._last_request_id = 1
        self._tasks: list[asyncio.Task[None]] = []

    def has_sent(self, request_id: int) -> bool:
        """Return whether a client has sent a request with this id."""
        return 1 < request_id <= self._last_request_id

    def start(self, count: int) -> None:
        """Start more clients."""
        self._tasks += [asyncio.create_task(self._run(number)) for number in range(count)]

    async def close(self) -> None:
        """End all clients."""
        self.stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, client: int) -> None:
        turn = client
        while not self.stopping:
            turn += 1
            node = self._nodes[turn % len(self._nodes)]
            # a request whose node was killed has no answer; the client sends another one elsewhere
            if not await self._request(node, self._next_line(client)):
                await asyncio.sleep(RETRY_SECONDS)

    def _next_line(self, client: int) -> bytes:
        self._last_request_id += 1
        return f"OPEN {self._last_request_id:016x} {client:016x} c=chat,t=acme,d=2000\r\n".encode()

    async def _request(self, node: NodeProcess, line: bytes) -> bool:
        """Send one request and check its answers; return whether there was one."""
        process = node.process
        kills = node.kills
        began_at = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(*node.listen.split(":"))
        except OSError:
            self.answer_counts["refused connections"] += 1
            return False
        answers: list[bytes] = []
        try:
            writer.write(line)
            await self._read_answers(reader, answers)
        except TimeoutError:
            self.violations.append(f"{node.name}: no answer within {ANSWER_TIMEOUT_SECONDS} s")
        except OSError:
            pass
        finally:
            writer.close()
        if len(answers) > 1:
            self.violations.append(f"{node.name}: two answers: {answers}")
        if not answers:
            await self._check_process_has_ended(node, process, kills, began_at)
        return bool(answers)

    async def _read_answers(self, reader: asyncio.StreamReader, answers: list[bytes]) -> None:
        answer = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_SECONDS)
        if not answer:
            return
        answers.append(answer)
        self.answer_counts[answer.split()[0].decode()] += 1
        if answer.startswith(b"UP"):
            await self._read_second_answer(reader, answers)

    async def _read_second_answer(self, reader: asyncio.StreamReader, answers: list[bytes]) -> None:
        try:
            line = await asyncio.wait_for(reader.readline(), SECOND_ANSWER_SECONDS)
        except TimeoutError:
            return
        if line.startswith(ANSWER_WORDS):
            answers.append(line)

    async def _check_process_has_ended(
        self, node: NodeProcess, process: asyncio.subprocess.Process | None, kills: int, began_at: float
    ) -> None:
        """Note a violation unless the process has ended, was killed, or was told to end long before."""
        if process and began_at > node.stop_sent_at.get(process.pid, began_at) + FRONT_NOTICE_SECONDS:
            self.answer_counts["late after a stop, unanswered"] += 1
            return
        if not _is_running(node, process):
            return
        await asyncio.sleep(EXIT_NOTICE_SECONDS)
        if _is_running(node, process) and node.kills == kills:
            age = began_at - node.stop_sent_at.get(process.pid, began_at) if process else 0.0
            self.violations.append(
                f"{node.name}: closed without an answer, and it lives; begun {age:.2f} s after SIGTERM"
            )


def _is_running(node: NodeProcess, process: asyncio.subprocess.Process | None) -> bool:
    return process is not None and process is node.process and process.returncode is None
