"""Maintenance marks as empty files in the state directory, visible to every process of a node.

A file is created or removed in one system call, so no process sees a partial mark. The file names are a
persistent format.
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

    def read(self) -> set[str]:
        """Return the names of all marks."""
        return {
            unquote(file_name.removeprefix(FILE_NAME_PREFIX))
            for file_name in os.listdir(self._directory)
            if file_name.startswith(FILE_NAME_PREFIX)
        }

    def add(self, name: str) -> None:
        """Create the mark of this name; it may exist already."""
        os.close(os.open(self._path(name), os.O_CREAT | os.O_WRONLY, FILE_MODE))

    def remove(self, name: str) -> None:
        """Remove the mark of this name; it may have been removed already."""
        with suppress(FileNotFoundError):
            os.unlink(self._path(name))

    def _path(self, name: str) -> str:
        return os.path.join(self._directory, FILE_NAME_PREFIX + quote(name, safe=""))
