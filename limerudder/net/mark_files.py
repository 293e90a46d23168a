"""Marks as empty files in the state folder: made and removed whole, seen by every process there."""

from __future__ import annotations

import os
from contextlib import suppress
from urllib.parse import quote, unquote

PREFIX = "held-"


class MarkFiles:
    """One empty file a name."""

    def __init__(self, folder: str) -> None:
        self.folder = folder

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, PREFIX + quote(name, safe=""))

    def read(self) -> set[str]:
        """All that are there."""
        found = (name for name in os.listdir(self.folder) if name.startswith(PREFIX))
        return {unquote(name.removeprefix(PREFIX)) for name in found}

    def add(self, name: str) -> None:
        """Make its file."""
        os.close(os.open(self._path(name), os.O_CREAT | os.O_WRONLY, 0o600))

    def remove(self, name: str) -> None:
        """Remove its file."""
        with suppress(FileNotFoundError):
            os.unlink(self._path(name))
