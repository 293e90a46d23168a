"""What a process of a node starts with: its state directory, its sockets, and its parent's state."""

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
    """What a successor gets from its parent process."""

    state: HandoverState
    sockets: list[socket.socket]
    connection: socket.socket  #: to the parent


def open_state_directory(config: ProcessConfig, log: LogSink) -> StateDirectory | None:
    """Open the directory that outlives this process; None if there is to be none, or it cannot be used.

    Raises OSError for a shortage, which passes.
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
    """Take over from the process that serves; None if there is none, or its state cannot be read.

    Raises OSError for a shortage, which passes.
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
        # the parent may be of another release: this process starts without it, on sockets of its own
        log(LogKind.STATE_DIRECTORY, f"state: {exc}")
        inherited.close()
        return None
    return Inheritance(state, inherited.sockets, inherited.connection)


def bind_sockets(config: ProcessConfig) -> list[socket.socket]:
    """Bind the clients' socket, and after it the peers' if there is one; raises ConfigError."""
    sockets = [bind_socket(config.listen, socket.SOCK_STREAM, reuse_port=True)]
    if config.settings.allows_peer_messages and config.peer_listen:
        sockets.append(bind_socket(config.peer_listen, socket.SOCK_DGRAM, reuse_port=True))
    return sockets
