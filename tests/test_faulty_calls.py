"""Tests that a real node answers every client while system calls fail with errors that Linux documents."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
import uvloop

from harness.faulty_calls import compile_faulty_calls, failing_calls
from harness.multi_process import MultiProcessTier, wait_until

CLIENTS = 12
SERVED_REQUESTS = 250
SCENARIO_TIMEOUT_SECONDS = 60
ONE_IN = 7
SEED = 33
START_MS = 1000  #: Time from the process start until calls begin to fail

CALLS = {
    "accept, descriptors": "accept=ENFILE+EMFILE",
    "accept, connections and memory": "accept=ECONNABORTED+ENOBUFS+ENOMEM+EINTR",
    "connect and socket": "connect=EADDRNOTAVAIL+ENETUNREACH+EHOSTUNREACH+EINTR,socket=ENFILE+ENOBUFS",
    "read, write and wait": "read=EINTR,write=EINTR+SHORT,wait=EINTR",
}


@pytest.mark.parametrize("calls", CALLS.values(), ids=list(CALLS))
def test_clients_of_a_node_whose_calls_fail_get_their_answers(tmp_path: Path, calls: str) -> None:
    """Guards against closing clients unanswered when accept() fails with EMFILE or ENFILE."""

    async def run() -> None:
        tier = MultiProcessTier(tmp_path, 1, 3, with_store=False)
        (node,) = tier.nodes
        try:
            library = compile_faulty_calls(tmp_path)
            await tier.start()
            await node.kill(signal.SIGTERM)
            node.environment |= failing_calls(library, calls, ONE_IN, SEED, START_MS)
            await node.start()
            tier.start_clients(CLIENTS)
            await wait_until(lambda: tier.answer_counts["UP"] >= SERVED_REQUESTS, "served requests", 40)
            assert not tier.violations
            assert not tier.answer_counts["refused connections"]
            assert node.process and node.process.returncode is None
        finally:
            await tier.close()

    uvloop.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_SECONDS))
