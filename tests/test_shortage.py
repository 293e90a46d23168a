"""Tests for local resource shortages: operations are retried, and no remote side is marked as failed."""

from __future__ import annotations

import asyncio
import errno
import socket
from pathlib import Path
from typing import Any

import pytest
import uvloop

from limerudder.core.node_config import ConfigError
from limerudder.core.transport import Address, OutboundMachineBase
from limerudder.net.clock import Clock
from limerudder.net.shortage import (
    ADDRESS_RETRY_SECONDS,
    START_RETRY_SECONDS,
    is_shortage,
    start_retry_seconds,
)
from limerudder.net.socket_handover import StateDirectory, request_handover
from limerudder.net.tcp import TcpConnector

TIMEOUT_SECONDS = 10


def config_error(number: int) -> ConfigError:
    error = ConfigError("cannot listen")
    error.__cause__ = OSError(number, "cause")
    return error


def test_transient_errors_and_the_retry_time_of_a_start() -> None:
    assert is_shortage(OSError(errno.EMFILE, ""))
    assert is_shortage(config_error(errno.ENFILE))
    assert is_shortage(MemoryError())
    assert not is_shortage(OSError(errno.ECONNREFUSED, ""))
    assert not is_shortage(ConfigError("not an address"))
    assert start_retry_seconds(config_error(errno.ENOBUFS)) == START_RETRY_SECONDS
    assert start_retry_seconds(config_error(errno.EADDRINUSE)) == ADDRESS_RETRY_SECONDS
    assert start_retry_seconds(config_error(errno.EACCES)) == 0


class RecordingMachine(OutboundMachineBase):
    """Records whether its connection was reported lost, and when its bytes were sent."""

    def __init__(self) -> None:
        self.lost = False
        self.sent = asyncio.Event()

    def first_bytes(self, now_us: int) -> bytes:
        return b"x"

    def first_bytes_sent(self, now_us: int) -> None:
        self.sent.set()

    def data_received(self, data: bytes, now_us: int) -> None: ...

    def eof_received(self, now_us: int) -> None: ...

    def connection_lost(self, now_us: int) -> None:
        self.lost = True


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_dial_is_retried_during_a_shortage(monkeypatch: pytest.MonkeyPatch, number: int) -> None:
    """Guards against hosts that counted as failed because this process was out of descriptors."""
    open_socket = socket.socket
    failures = [number] * 3

    def fail_initially(*args: Any, **kwargs: Any) -> socket.socket:
        if failures:
            raise OSError(failures.pop(), "transient")
        return open_socket(*args, **kwargs)

    async def run() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        address: Address = server.sockets[0].getsockname()
        connector = TcpConnector(asyncio.get_running_loop(), Clock())
        reported: list[OSError] = []
        connector.on_local_failure = lambda address, error: reported.append(error)
        monkeypatch.setattr(socket, "socket", fail_initially)
        machine = RecordingMachine()
        connection = connector.dial(address, machine)
        await asyncio.wait_for(machine.sent.wait(), TIMEOUT_SECONDS)
        assert not machine.lost
        assert [error.errno for error in reported] == [number] * 3
        connection.close()
        server.close()

    uvloop.run(run())


def test_a_dial_that_is_cancelled_during_a_shortage_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        connector = TcpConnector(asyncio.get_running_loop(), Clock())

        def fail(*args: Any, **kwargs: Any) -> socket.socket:
            raise OSError(errno.EMFILE, "persistent")

        monkeypatch.setattr(socket, "socket", fail)
        machine = RecordingMachine()
        connection = connector.dial(("127.0.0.1", 9), machine)
        await asyncio.sleep(0.05)
        connection.close()
        monkeypatch.undo()
        assert connection.connect_task
        await asyncio.wait_for(connection.connect_task, TIMEOUT_SECONDS)
        assert not machine.lost, "a machine receives no events after it has closed its connection"

    uvloop.run(run())


def test_a_serving_process_that_accepts_no_successor_is_not_a_shortage(tmp_path: Path) -> None:
    directory = StateDirectory(str(tmp_path))
    assert request_handover(directory) is None
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    listener.bind(directory.socket_path("handover"))
    listener.listen(0)
    waiting = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    waiting.connect(directory.socket_path("handover"))
    with pytest.raises(OSError, match="queue") as raised:
        request_handover(directory)
    assert not is_shortage(raised.value)
    listener.close()
    waiting.close()
    assert request_handover(directory) is None, "the serving process has exited"
    directory.close()
