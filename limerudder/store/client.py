"""A tool's side of the control socket: one call, one answer, blocking."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Iterator
from typing import Any

from limerudder.store.control import NAME


class ControlUnavailable(Exception):
    """No member can be called there."""


class ControlClient:
    """A connection to the member that runs on a folder."""

    def __init__(self, folder: str, wait: float = 5.0) -> None:
        self.wait = wait  # seconds
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(wait + 2)
        try:
            handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
            try:  # by a way that is short enough for a Unix socket's name
                self.sock.connect(f"/proc/self/fd/{handle}/{NAME}")
            finally:
                os.close(handle)
        except OSError as exc:
            self.sock.close()
            raise ControlUnavailable(f"no node with a store runs on {folder}: {exc.strerror}") from None
        self.file = self.sock.makefile("rb")

    def call(self, name: str, **given: Any) -> dict[str, Any]:
        """Make a call; its answer, `ok` or not."""
        told = {"call": name, "wait_ms": int(self.wait * 1000), **given}
        try:
            self.sock.sendall(json.dumps(told).encode() + b"\n")
            return self._line()
        except TimeoutError:
            return {"ok": False, "kind": "unsure", "error": "no answer came in time"}
        except OSError as exc:
            return {"ok": False, "kind": "unsure", "error": f"the node has gone: {exc.strerror}"}

    def lines(self) -> Iterator[dict[str, Any]]:
        """What comes after the answer to a watch."""
        self.sock.settimeout(None)
        while True:
            told = self._line()
            yield told
            if not told["ok"]:
                return

    def _line(self) -> dict[str, Any]:
        line = self.file.readline()
        if not line:
            return {"ok": False, "kind": "unsure", "error": "the node has gone"}
        told: dict[str, Any] = json.loads(line)
        return told

    def close(self) -> None:
        """Go."""
        self.file.close()
        self.sock.close()

    def __enter__(self) -> ControlClient:
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()
