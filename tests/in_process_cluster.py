"""Members of a store that run in the test's process and exchange messages over loopback."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop
from click.testing import CliRunner

from limerudder.cli import main
from limerudder.core.operations.log_events import LogKind
from limerudder.net.clock import Clock
from limerudder.schema import StoreSettings
from limerudder.store.control import ControlServer
from limerudder.store.data_directory import init_cluster
from limerudder.store.store import Store

SCENARIO_TIMEOUT_SECONDS = 60
LIMITS = {"election": 50_000, "heartbeat": 10_000, "history": 100}


def bind_loopback_socket(port: int = 0) -> socket.socket:
    """Return a socket on a loopback port, by default an unused one."""
    bound_socket = socket.socket()
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound_socket.bind(("127.0.0.1", port))
    bound_socket.setblocking(False)
    return bound_socket


def ignore_log(kind: LogKind, text: str, /, detail: str = "") -> None:
    """Discard a log line."""


class InProcessCluster:
    """Members that run in this process, with calls to their control sockets."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.stores: list[Store] = []
        self.controls: list[ControlServer] = []
        self.logged: list[str] = []

    async def start(self, member_count: int = 1, **changes: Any) -> None:
        sockets = [bind_loopback_socket() for _ in range(member_count)]
        addresses = ["{}:{}".format(*bound_socket.getsockname()) for bound_socket in sockets]
        paths = init_cluster(
            str(self.folder / "s"), [(f"n{n}", address) for n, address in enumerate(addresses)]
        )
        for bound_socket, path in zip(sockets, paths, strict=True):
            settings = StoreSettings(path, bound_socket.getsockname(), **{**LIMITS, **changes})
            store, control = await self._start_member(settings, bound_socket)
            self.stores.append(store)
            self.controls.append(control)

    async def _start_member(
        self, settings: StoreSettings, bound_socket: socket.socket
    ) -> tuple[Store, ControlServer]:
        store = Store(settings, lambda kind, text, detail="": self.logged.append(text), Clock().now_us)
        await store.run(bound_socket)
        control = ControlServer(store)
        await control.listen()
        return store, control

    def stop(self, number: int) -> None:
        self.controls[number].close()
        self.stores[number].close()

    async def restart(self, number: int) -> None:
        """Start a stopped member again, with its data directory and address."""
        settings = self.stores[number].settings
        member = await self._start_member(settings, bind_loopback_socket(settings.listen[1]))
        self.stores[number], self.controls[number] = member

    async def leader(self) -> int:
        """Wait until a running member leads, and return its number."""
        while True:
            for number, store in enumerate(self.stores):
                if not store.is_closed and store.member.is_leader:
                    return number
            await asyncio.sleep(0.005)

    async def connect(self, number: int = 0) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        descriptor = os.open(self.stores[number].settings.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            return await asyncio.open_unix_connection(f"/proc/self/fd/{descriptor}/control", limit=1 << 23)
        finally:
            os.close(descriptor)

    async def call(self, name: str, number: int = 0, **arguments: Any) -> dict[str, Any]:
        reader, writer = await self.connect(number)
        writer.write(json.dumps({"call": name, **arguments}).encode() + b"\n")
        answer: dict[str, Any] = json.loads(await reader.readline())
        writer.close()
        return answer

    def close(self) -> None:
        for control in self.controls:
            control.close()
        for store in self.stores:
            store.close()


def other_member(store: Store) -> int:
    """Return the identifier of another member of the store's cluster."""
    return next(entry.id for entry in store.member.config.members if entry.id != store.member.member_id)


def run_scenario(scenario: Callable[[InProcessCluster], Awaitable[None]], folder: Path) -> None:
    async def run() -> None:
        cluster = InProcessCluster(folder)
        try:
            await asyncio.wait_for(scenario(cluster), SCENARIO_TIMEOUT_SECONDS)
        finally:
            cluster.close()

    uvloop.run(run())


async def start_joined_member(folder: str, join_token: str, bound_socket: socket.socket) -> Store:
    """Create and start a member that was added to a cluster, from its join token."""
    result = CliRunner().invoke(main, ["state", "init", folder, "--ticket", join_token])
    assert result.exit_code == 0, result.output
    settings = StoreSettings(folder, bound_socket.getsockname(), **LIMITS)
    store = Store(settings, ignore_log, Clock().now_us)
    await store.run(bound_socket)
    return store
