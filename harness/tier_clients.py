"""Clients of a tier of nodes that check that every request gets exactly one answer."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence

from harness.node_process import NodeProcess

ANSWER_WORDS = (b"UP", b"BUSY", b"FAIL", b"ERR")
ANSWER_TIMEOUT_SECONDS = 4
SECOND_ANSWER_SECONDS = 0.3  #: Time to wait for a second answer to an accepted request
RETRY_SECONDS = 0.02
#: Time after SIGTERM in which the platform's front end may open connections; later requests are not checked.
FRONT_UPDATE_SECONDS = 0.4
EXIT_DETECTION_SECONDS = 0.2  #: Time to detect the exit of a process that has closed a connection


class TierClients:
    """Clients that send requests one at a time, each to the next node."""

    def __init__(self, nodes: Sequence[NodeProcess]) -> None:
        self.answer_counts: Counter[str] = Counter()  # answers by their first word
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
        """Stop all clients."""
        self.stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, client: int) -> None:
        node_index = client
        while not self.stopping:
            node_index += 1
            node = self._nodes[node_index % len(self._nodes)]
            # a killed node leaves its request unanswered; the client sends another one to the next node
            if not await self._request(node, self._create_request_line(client)):
                await asyncio.sleep(RETRY_SECONDS)

    def _create_request_line(self, client: int) -> bytes:
        self._last_request_id += 1
        return f"OPEN {self._last_request_id:016x} {client:016x} c=chat,t=acme,d=2000\r\n".encode()

    async def _request(self, node: NodeProcess, line: bytes) -> bool:
        """Send one request and check its answers; return whether there was at least one."""
        process = node.process
        kills = node.kills
        started_at = time.monotonic()
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
            await self._check_process_has_ended(node, process, kills, started_at)
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
        self, node: NodeProcess, process: asyncio.subprocess.Process | None, kills: int, started_at: float
    ) -> None:
        """Record a violation unless the process has ended, was killed, or got SIGTERM long before."""
        if process and started_at > node.stop_sent_at.get(process.pid, started_at) + FRONT_UPDATE_SECONDS:
            self.answer_counts["unanswered long after SIGTERM"] += 1
            return
        if not _is_running(node, process):
            return
        await asyncio.sleep(EXIT_DETECTION_SECONDS)
        if _is_running(node, process) and node.kills == kills:
            age = started_at - node.stop_sent_at.get(process.pid, started_at) if process else 0.0
            self.violations.append(
                f"{node.name}: running process closed without an answer; opened {age:.2f} s after SIGTERM"
            )


def _is_running(node: NodeProcess, process: asyncio.subprocess.Process | None) -> bool:
    return process is not None and process is node.process and process.returncode is None
