"""Start-up of a node process: its state directory, its sockets, and its parent's state."""

from __future__ import annotations

import socket
from typing import NamedTuple

from limerudder.config import ProcessConfig
from limerudder.core.lifecycle.hot_restart import HandoverFormatError, HandoverState, parse_handover_state
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.net.listener import bind_socket
from limerudder.net.shortage import is_shortage
from limerudder.net.socket_handover import StateDirectory, request_handover


class Inheritance(NamedTuple):
    """State and sockets that a successor inherits from its parent process."""

    state: HandoverState
    sockets: list[socket.socket]
    connection: socket.socket  #: Connection to the parent


def open_state_directory(config: ProcessConfig, log: LogSink) -> StateDirectory | None:
    """Open the state directory; returns None if none is configured or it cannot be used.

    Raises OSError on a resource shortage, which is transient.
    """
    if config.state is None:
        return None
    try:
        return StateDirectory(config.state)
    except OSError as exc:
        if is_shortage(exc):
            raise
        log(
            LogKind.STATE_DIRECTORY,
            f"state: cannot use {config.state}: {exc.strerror}; nothing will outlive this process",
        )
        return None


def inherit_from_parent(directory: StateDirectory, log: LogSink) -> Inheritance | None:
    """Take over from the serving process; returns None if there is none or its state cannot be read.

    Raises OSError on a resource shortage, which is transient.
    """
    try:
        inherited = request_handover(directory)
    except OSError as exc:
        if is_shortage(exc):
            raise
        log(LogKind.STATE_DIRECTORY, f"state: the process that serves does not hand over: {exc}")
        return None
    if inherited is None:
        return None
    try:
        state = parse_handover_state(inherited.state_line)
    except HandoverFormatError as exc:
        # the parent may be another release: this process starts without it and binds its own sockets
        log(LogKind.STATE_DIRECTORY, f"state: {exc}")
        inherited.close()
        return None
    return Inheritance(state, inherited.sockets, inherited.connection)


def bind_sockets(config: ProcessConfig) -> list[socket.socket]:
    """Bind the client socket, then the peer socket if configured; raises ConfigError."""
    sockets = [bind_socket(config.listen, socket.SOCK_STREAM, reuse_port=True)]
    if config.settings.allows_peer_messages and config.peer_listen:
        sockets.append(bind_socket(config.peer_listen, socket.SOCK_DGRAM, reuse_port=True))
    return sockets
