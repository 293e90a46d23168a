"""Maintenance marks as empty files in the state directory, visible to every process of a node.

A file is created or removed in one system call, so no process sees a partial mark. The file names are a
persistent format. A file's modification time tells the other processes that a host has been marked again.
"""

from __future__ import annotations

import os
from contextlib import suppress
from urllib.parse import quote, unquote

FILE_NAME_PREFIX = "held-"
FILE_MODE = 0o600


class MarkFiles:
    """Maintenance marks, one empty file each. All methods raise OSError if the directory cannot be used."""

    def __init__(self, directory: str) -> None:
        self._directory = directory
        self._modified_ns: dict[str, int] = {}  # known modification time of each mark, by name
        self._marked_here: set[str] = set()

    def read(self) -> set[str]:
        """Return the names of all marks."""
        return {
            unquote(file_name.removeprefix(FILE_NAME_PREFIX))
            for file_name in os.listdir(self._directory)
            if file_name.startswith(FILE_NAME_PREFIX)
        }

    def add(self, name: str) -> None:
        """Create the mark of this name, or renew it if it exists already."""
        descriptor = os.open(self._path(name), os.O_CREAT | os.O_WRONLY, FILE_MODE)
        try:
            os.utime(descriptor)
            self._modified_ns[name] = os.fstat(descriptor).st_mtime_ns
        finally:
            os.close(descriptor)
        self._marked_here.add(name)

    def remove(self, name: str) -> None:
        """Remove the mark of this name; it may have been removed already."""
        with suppress(FileNotFoundError):
            os.unlink(self._path(name))
        self._marked_here.discard(name)

    def marked_here(self) -> set[str]:
        """Return the names that this process has marked itself."""
        return set(self._marked_here)

    def take_renewed(self) -> set[str]:
        """Return the marks that another process has renewed since the last call."""
        previous = self._modified_ns
        self._modified_ns = {}
        for name in self.read():
            with suppress(FileNotFoundError):
                self._modified_ns[name] = os.stat(self._path(name)).st_mtime_ns
        return {
            name
            for name, modified_ns in self._modified_ns.items()
            if name in previous and previous[name] != modified_ns
        }

    def _path(self, name: str) -> str:
        return os.path.join(self._directory, FILE_NAME_PREFIX + quote(name, safe=""))
