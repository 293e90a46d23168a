"""A node in a separate process, which can be killed and restarted."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

from harness.configurations import configuration
from limerudder.store.client import ControlClient, ControlUnavailableError

DEPLOY_FILE = Path(__file__).resolve().parent.parent / "deploy" / "balancer.toml"
LISTENING_TEXT = "listening on"  #: Part of the line that a node logs when it starts serving


def free_ports(count: int) -> list[int]:
    """Return distinct free ports."""
    sockets = [socket.socket() for _ in range(count)]
    for free_socket in sockets:
        free_socket.bind(("127.0.0.1", 0))
    ports = [free_socket.getsockname()[1] for free_socket in sockets]
    for free_socket in sockets:
        free_socket.close()
    return ports


class NodeProcess:
    """A node with its own folder; runs as a series of processes, of which two may overlap."""

    def __init__(self, number: int, tier_folder: Path, with_store: bool) -> None:
        self.number = number
        self.name = f"n{number}"
        self.folder = tier_folder / self.name
        self.folder.mkdir()
        self.store = tier_folder / "store" / self.name  # the data directory
        self.listen = ""
        self.console = ""
        self.environment: dict[str, str] = {}
        self.command_prefix: list[str] = []  # a program that runs the node process, such as a tracer
        self.process: asyncio.subprocess.Process | None = None  # the latest process
        self.lines: list[str] = []  # log lines of all processes
        self.reading: asyncio.Task[None] | None = None
        self.kills = 0  # SIGKILLs sent to processes that may have been serving
        self.stop_sent_at: dict[int, float] = {}  # time of SIGTERM on the monotonic clock, by process id
        self._with_store = with_store
        self._serving = asyncio.Event()

    def write_files(
        self, listen: str, console: str, store_listen: str, values: dict[str, Any], store_settings: str
    ) -> None:
        """Write the configuration and, if the node has a store, the operator's file."""
        self.listen = listen
        self.console = console
        paths = configuration(self.folder, name=self.name, listen=listen, console=console, **values)
        temporary_folder = self.folder / "tmp"
        temporary_folder.mkdir(exist_ok=True)
        self.environment = os.environ | paths | {"TMPDIR": str(temporary_folder)}
        if self._with_store:
            operator_file = self.folder / "limerudder.cue"
            operator_file.write_text(
                f'store: {{folder: "{self.store}", listen: "{store_listen}"\n{store_settings}}}\n'
            )
            self.environment["LIMERUDDER_FILE"] = str(operator_file)

    async def start(self) -> None:
        """Start a process and wait until it serves or has ended."""
        await self.launch()
        await self._serving.wait()

    async def launch(self) -> asyncio.subprocess.Process:
        """Start a process and return it without waiting; its log is read in the background."""
        self._serving = asyncio.Event()
        process = await self.launch_with_log(asyncio.subprocess.PIPE)
        self.reading = asyncio.create_task(self._read_log(process, self._serving))
        return process

    async def launch_with_deploy_command(self) -> asyncio.subprocess.Process:
        """Start a process with the command of the deploy file; its log is read in the background.

        Returns after the shell has executed the program, so that signals reach the program.
        """
        with open(DEPLOY_FILE, "rb") as file:
            command = tomllib.load(file)["run"]
        self._serving = asyncio.Event()
        self.process = await asyncio.create_subprocess_exec(
            *["/bin/sh", "-c", command.replace(".venv/bin/python", sys.executable)],
            env=self.environment,
            stderr=asyncio.subprocess.PIPE,
            cwd=DEPLOY_FILE.parent.parent,
        )
        self.reading = asyncio.create_task(self._read_log(self.process, self._serving))
        while os.readlink(f"/proc/{self.process.pid}/exe") != os.path.realpath(sys.executable):
            await asyncio.sleep(0)
        return self.process

    async def launch_with_log(self, log: int) -> asyncio.subprocess.Process:
        """Start a process that logs to this descriptor, and return it without waiting."""
        command = [*self.command_prefix, sys.executable, "-m", "limerudder"]
        self.process = await asyncio.create_subprocess_exec(*command, env=self.environment, stderr=log)
        return self.process

    def stop(self, process: asyncio.subprocess.Process) -> None:
        """Send SIGTERM to a process that is still running."""
        if process.returncode is None:
            self.stop_sent_at.setdefault(process.pid, time.monotonic())
            process.send_signal(signal.SIGTERM)

    async def kill(self, signal_number: int = signal.SIGKILL) -> None:
        """Send a signal, SIGKILL by default, and wait until the process has ended."""
        self.kills += signal_number == signal.SIGKILL
        if self.process:
            if self.process.returncode is None:
                self.process.send_signal(signal_number)
            await self.process.wait()
        if self.reading:
            await self.reading

    def call_store_blocking(self, name: str, wait_seconds: float = 2.0, **arguments: Any) -> dict[str, Any]:
        """Call the node's store; `ok` is false in the answer if no process answers."""
        try:
            with ControlClient(str(self.store), wait_seconds) as client:
                return client.call(name, **arguments)
        except ControlUnavailableError as error:
            return {"ok": False, "kind": "not_now", "error": str(error)}

    async def call_store(self, name: str, wait_seconds: float = 2.0, **arguments: Any) -> dict[str, Any]:
        """Call the node's store without blocking the event loop."""
        return await asyncio.to_thread(self.call_store_blocking, name, wait_seconds, **arguments)

    async def call_console(self, line: str) -> str:
        """Send a line to the node's console and return the answer."""
        host, port = self.console.split(":")
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(line.encode() + b"\n")
        writer.write_eof()  # like `echo … | nc`
        answer = (await reader.read()).decode().strip()
        writer.close()
        return answer

    async def _read_log(self, process: asyncio.subprocess.Process, serving: asyncio.Event) -> None:
        assert process.stderr
        while line := (await process.stderr.readline()).decode():
            self.lines.append(line.rstrip())
            if LISTENING_TEXT in line:
                serving.set()
        serving.set()
