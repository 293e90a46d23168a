"""A blocking client of the control socket, with one call at a time."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from typing import Any

from limerudder.store.control_protocol import (
    ControlErrorKind,
    JsonObject,
    encode_line,
    error_answer,
    socket_path,
)

MILLISECONDS_PER_SECOND = 1000
SOCKET_TIMEOUT_MARGIN_SECONDS = 2  #: Time by which the socket's timeout exceeds a call's wait


class ControlUnavailableError(Exception):
    """No member runs on a data directory."""


class ControlClient:
    """A connection to the member that runs on a data directory."""

    def __init__(self, directory: str, wait_seconds: float = 5.0) -> None:
        """Connect; `wait_seconds` is the time limit of each call. Raises ControlUnavailableError."""
        self._wait_seconds = wait_seconds
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._socket.settimeout(wait_seconds + SOCKET_TIMEOUT_MARGIN_SECONDS)
        try:
            with socket_path(directory) as short_path:
                self._socket.connect(short_path)
        except OSError as error:
            self._socket.close()
            raise ControlUnavailableError(
                f"no node with a store runs on {directory}: {error.strerror}"
            ) from error
        self._reader = self._socket.makefile("rb")

    def call(self, name: str, **arguments: Any) -> JsonObject:
        """Make a call and return its answer, which may be an error."""
        wait_ms = int(self._wait_seconds * MILLISECONDS_PER_SECOND)
        try:
            self._socket.sendall(encode_line({"call": name, "wait_ms": wait_ms, **arguments}))
            return self._read_answer()
        except TimeoutError:
            return error_answer(ControlErrorKind.OUTCOME_UNKNOWN, "no answer came in time")
        except OSError as error:
            return error_answer(ControlErrorKind.OUTCOME_UNKNOWN, f"the node has gone: {error.strerror}")

    def changes(self) -> Iterator[JsonObject]:
        """Yield the answers of a watch, without a timeout; ends after the first that is not `ok`."""
        self._socket.settimeout(None)
        while True:
            answer = self._read_answer()
            yield answer
            if not answer["ok"]:
                return

    def close(self) -> None:
        """Disconnect."""
        self._reader.close()
        self._socket.close()

    def __enter__(self) -> ControlClient:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def _read_answer(self) -> JsonObject:
        line = self._reader.readline()
        if not line:
            return error_answer(ControlErrorKind.OUTCOME_UNKNOWN, "the node has gone")
        answer: JsonObject = json.loads(line)
        return answer
