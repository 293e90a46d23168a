"""The record of a run: what was sent, answered and run, with the time since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines to a file; times are seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the time since the start of the run, in seconds."""
        return time.monotonic() - self._started_at

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
