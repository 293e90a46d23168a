"""The control socket: a Unix socket in the data directory for calls from tools to the running member."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import suppress

from limerudder.store.control_protocol import SOCKET_NAME, socket_path
from limerudder.store.control_session import ControlSession
from limerudder.store.store import Store


class ControlServer:
    """Accepts callers; the protocol is described in `control_protocol`."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._sessions: set[ControlSession] = set()
        self._server: asyncio.Server | None = None
        self._path = os.path.join(store.settings.folder, SOCKET_NAME)
        store.member.change_listeners.append(self._state_changed)

    async def listen(self) -> None:
        """Accept callers. Replaces a killed process's socket, which is safe since the directory is locked."""
        with suppress(FileNotFoundError):
            os.unlink(self._path)
        listening_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        with socket_path(self._store.settings.folder) as short_path:
            listening_socket.bind(short_path)
        os.chmod(self._path, 0o600)
        listening_socket.setblocking(False)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_unix_server(self._create_session, sock=listening_socket)

    def close(self) -> None:
        """Disconnect all callers and remove the socket."""
        if self._server:
            self._server.close()
        for session in list(self._sessions):
            session.close()
        with suppress(OSError):
            os.unlink(self._path)

    def _create_session(self) -> ControlSession:
        return ControlSession(self._store, self._sessions)

    def _state_changed(self, now_us: int) -> None:
        for session in list(self._sessions):
            self._store.member.callback_guard.run(session.send_changes)
