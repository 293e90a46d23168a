"""Source positions and errors of operator files."""

from __future__ import annotations

from dataclasses import dataclass

MAX_REPORTED_ERRORS = 50  #: Maximum number of errors reported for a file


@dataclass(frozen=True, slots=True)
class SourcePosition:
    """A position in a file; lines and columns start at 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class SourceError:
    """An error and its position."""

    position: SourcePosition
    text: str

    def __str__(self) -> str:
        return f"{self.position}: {self.text}"


class CueError(Exception):
    """An invalid file; `errors` lists its errors by position, at most `MAX_REPORTED_ERRORS`."""

    def __init__(self, errors: list[SourceError]) -> None:
        ordered = sorted(set(errors), key=_source_order)
        self.errors = ordered[:MAX_REPORTED_ERRORS]
        super().__init__("\n".join(map(str, self.errors)))


def _source_order(error: SourceError) -> tuple[int, int, str]:
    return error.position.line, error.position.column, error.text
