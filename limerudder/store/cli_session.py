"""Shared parts of the commands of `limerudder state`: calls to the running node, output, and failures."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, NoReturn, ParamSpec, TypeVar

import click

from limerudder.cli import fail
from limerudder.exit_codes import ExitCode

if TYPE_CHECKING:
    from limerudder.store.client import ControlClient

LABEL_COLUMNS = 14
COLUMN_SEPARATOR = "  "
OUTCOME_UNKNOWN_KIND = "unsure"

#: Exit codes by the error kind of a control call
EXIT_CODES = {
    "wrong": ExitCode.INVALID_INPUT,
    "refused": ExitCode.REJECTED,
    "busy": ExitCode.UNAVAILABLE,
    "not_now": ExitCode.UNAVAILABLE,
    OUTCOME_UNKNOWN_KIND: ExitCode.OUTCOME_UNKNOWN,
    "not_there": ExitCode.NOT_FOUND,
    "compacted": ExitCode.NOT_FOUND,
}

JsonObject = dict[str, Any]
Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class CommandSession:
    """The options that all commands share, and the operations that depend on them."""

    def __init__(self, directory: str | None, wait_seconds: float, as_json: bool) -> None:
        self.as_json = as_json
        self._directory = directory
        self._wait_seconds = wait_seconds

    @contextmanager
    def connect(self) -> Iterator[ControlClient]:
        """Provide a connection to the node; ends the process if no node runs."""
        from limerudder.store.client import ControlClient, ControlUnavailableError

        if not self._directory:
            fail(
                "pass --folder or set LIMERUDDER_STATE: the data directory of this node",
                ExitCode.INVALID_INPUT,
            )
        try:
            with ControlClient(self._directory, self._wait_seconds) as client:
                yield client
        except ControlUnavailableError as error:
            fail(str(error), ExitCode.UNAVAILABLE)

    def call(self, name: str, **arguments: Any) -> JsonObject:
        """Make a call to the node and return its answer; ends the process if the call failed."""
        with self.connect() as client:
            answer = client.call(name, **arguments)
        self.require_ok(answer)
        return answer

    def require_ok(self, answer: JsonObject) -> None:
        """Remove `ok` from an answer; ends the process if the call failed."""
        if not answer.pop("ok"):
            self.fail_with(answer)

    def fail_with(self, answer: JsonObject) -> NoReturn:
        """End the process with the error of a failed call."""
        if self.as_json:
            click.echo(json.dumps(answer))
        kind = answer["kind"]
        suffix = "; the call may have been carried out" if kind == OUTCOME_UNKNOWN_KIND else ""
        fail(answer["error"] + suffix, EXIT_CODES.get(kind, ExitCode.FAILED))

    def show(self, answer: JsonObject, rows: Sequence[JsonObject] | None = None) -> None:
        """Print an answer as JSON, as a table of rows, or as one line per field."""
        if self.as_json:
            click.echo(json.dumps(answer))
        elif rows is not None:
            click.echo(format_table(rows), nl=False)
        else:
            for name, value in answer.items():
                click.echo(f"{name:<{LABEL_COLUMNS}} {value}")

    def show_write(self, answer: JsonObject) -> None:
        """Print the answer to a write; ends the process if its comparison failed."""
        self.show(answer, [{"revision": answer["revision"], "done": answer["done"]}])
        if not answer["done"]:
            revision = answer["items"][0].get("modified", 0)
            fail(f"nothing was done: the key's last change is revision {revision}", ExitCode.REJECTED)


pass_session = click.make_pass_decorator(CommandSession)


def without_none(**arguments: Any) -> JsonObject:
    """Return the arguments that are not None."""
    return {name: value for name, value in arguments.items() if value is not None}


def format_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return rows as a table with field names as headings; columns are as wide as their widest cell."""
    if not rows:
        return ""
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [names] + [[_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    return "".join(_format_line(line, widths) for line in lines)


def _cell(value: Any) -> str:
    return "" if value is None else str(value)


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [f"{cell:<{width}}" for cell, width in zip(cells, widths, strict=True)]
    return COLUMN_SEPARATOR.join(padded).rstrip() + "\n"


def run_offline(
    operation: Callable[Parameters, Result], *arguments: Parameters.args, **options: Parameters.kwargs
) -> Result:
    """Run an operation on data directories and return its result; ends the process if it fails."""
    from limerudder.store.disk_errors import DiskError

    try:
        return operation(*arguments, **options)
    except DiskError as error:
        fail(str(error), ExitCode.REJECTED)
    except OSError as error:
        fail(f"{error.filename or ''}: {error.strerror}", ExitCode.FAILED)
