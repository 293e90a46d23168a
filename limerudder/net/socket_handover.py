"""The socket file in the state folder, and the passing of listening sockets through it."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import NamedTuple

from limerudder.core.lifecycle.hot_restart import MOST
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.transport import ConnectionMachine
from limerudder.net.clock import Clock
from limerudder.net.tcp import TcpConnection

NAME = "handover"
WAIT = 1.0  #: seconds for the old process to answer; one that hangs holds nobody up for longer
MOST_SOCKETS = 4


class InheritedSockets(NamedTuple):
    """What the old process has passed on."""

    sockets: list[socket.socket]
    hello: bytes
    line: socket.socket  # the connection to it


class StateDirectory:
    """The folder that outlives a process; its files are reached by names of any length."""

    def __init__(self, path: str) -> None:
        os.makedirs(path, mode=0o700, exist_ok=True)
        self.path, self.fd = path, os.open(path, os.O_RDONLY | os.O_DIRECTORY)

    def short(self, name: str) -> str:
        """A name for a Unix socket here: those are bounded at 108 bytes, and a folder's path is not."""
        return f"/proc/self/fd/{self.fd}/{name}"


def request_handover(folder: StateDirectory) -> InheritedSockets | None:
    """Ask the process that serves here for its sockets; None where nobody answers."""
    line = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    line.settimeout(WAIT)
    sockets: list[socket.socket] = []
    try:
        line.connect(folder.short(NAME))
        hello = b""
        while not hello.endswith(b"\n"):
            data, fds, _, _ = socket.recv_fds(line, 65536, MOST_SOCKETS)
            sockets += [socket.socket(fileno=fd) for fd in fds]
            hello += data
            if not data or len(hello) > MOST:
                raise OSError("no hello")
        if not sockets:
            raise OSError("no sockets")
    except OSError:  # no file, a stale one, one that hangs or ends meanwhile
        for sock in [line, *sockets]:
            sock.close()
        return None
    line.setblocking(False)
    return InheritedSockets(sockets, hello, line)


class HandoverListener:
    """Offers this process's sockets to whoever asks under the folder's one name."""

    def __init__(
        self,
        folder: StateDirectory,
        sockets: Sequence[socket.socket],
        hello: Callable[[], bytes],
        asker: Callable[[], ConnectionMachine],
        clock: Clock,
        log: LogSink,
    ) -> None:
        self.folder, self.sockets, self.hello, self.asker, self.clock = folder, sockets, hello, asker, clock
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.sock: socket.socket | None = None

    def open(self) -> None:
        """Take the name: from now on this process is asked. A file left by another is replaced whole."""
        self.close()
        own = f"{NAME}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            with suppress(OSError):
                os.unlink(own, dir_fd=self.folder.fd)
            sock.bind(self.folder.short(own))
            sock.listen()
            os.rename(own, NAME, src_dir_fd=self.folder.fd, dst_dir_fd=self.folder.fd)
        except OSError as exc:  # guards a node that serves: without the file, a successor binds anew
            self.log(LogKind.STATE_DIRECTORY, f"state: cannot offer a handover: {exc.strerror}")
            sock.close()
            return
        self.sock = sock
        self.loop.add_reader(sock, self._accept)

    def close(self) -> None:
        """Be asked no more."""
        if self.sock:
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def _accept(self) -> None:
        with suppress(OSError):
            line, _ = self.sock.accept() if self.sock else (None, None)
            if line:
                line.setblocking(False)
                task = self.loop.create_task(self._pass(line))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _pass(self, line: socket.socket) -> None:
        try:
            hello = self.hello()
            sent = socket.send_fds(line, [hello], [sock.fileno() for sock in self.sockets])
            await self.loop.sock_sendall(line, hello[sent:])
            await drive_connection(line, self.asker(), self.clock)
        except OSError:  # whoever asked has gone again
            line.close()


async def drive_connection(line: socket.socket, machine: ConnectionMachine, clock: Clock) -> None:
    """Drive a machine with the connection between two processes."""
    loop = asyncio.get_running_loop()
    await loop.create_unix_connection(lambda: TcpConnection(machine, clock), sock=line)
