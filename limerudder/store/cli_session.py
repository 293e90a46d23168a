"""What the commands of `limerudder state` share: calls to the running node, output, and failing."""

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

#: by the kind of a control call's error
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
    """The options that all commands take, and what they do with them."""

    def __init__(self, directory: str | None, wait_seconds: float, as_json: bool) -> None:
        self.as_json = as_json
        self._directory = directory
        self._wait_seconds = wait_seconds

    @contextmanager
    def connect(self) -> Iterator[ControlClient]:
        """Give a connection to the node; ends the process if there is none."""
        from limerudder.store.client import ControlClient, ControlUnavailableError

        if not self._directory:
            fail(
                "say --folder, or set LIMERUDDER_STATE: the folder of this node's store",
                ExitCode.INVALID_INPUT,
            )
        try:
            with ControlClient(self._directory, self._wait_seconds) as client:
                yield client
        except ControlUnavailableError as error:
            fail(str(error), ExitCode.UNAVAILABLE)

    def call(self, name: str, **arguments: Any) -> JsonObject:
        """Make a call to the node and return its answer; ends the process if it was not carried out."""
        with self.connect() as client:
            answer = client.call(name, **arguments)
        self.require_ok(answer)
        return answer

    def require_ok(self, answer: JsonObject) -> None:
        """Take `ok` out of an answer; ends the process if the call was not carried out."""
        if not answer.pop("ok"):
            self.fail_with(answer)

    def fail_with(self, answer: JsonObject) -> NoReturn:
        """End the process with the error of a call that was not carried out."""
        if self.as_json:
            click.echo(json.dumps(answer))
        kind = answer["kind"]
        suffix = "; it may have been done" if kind == OUTCOME_UNKNOWN_KIND else ""
        fail(answer["error"] + suffix, EXIT_CODES.get(kind, ExitCode.FAILED))

    def show(self, answer: JsonObject, rows: Sequence[JsonObject] | None = None) -> None:
        """Print an answer: as JSON, as a table of rows, or one line for each field."""
        if self.as_json:
            click.echo(json.dumps(answer))
        elif rows is not None:
            click.echo(format_table(rows), nl=False)
        else:
            for name, value in answer.items():
                click.echo(f"{name:<{LABEL_COLUMNS}} {value}")

    def show_write(self, answer: JsonObject) -> None:
        """Print the answer to a write; ends the process if its comparison did not hold."""
        self.show(answer, [{"revision": answer["revision"], "done": answer["done"]}])
        if not answer["done"]:
            revision = answer["items"][0].get("modified", 0)
            fail(f"nothing was done: its last change is revision {revision}", ExitCode.REJECTED)


pass_session = click.make_pass_decorator(CommandSession)


def without_none(**arguments: Any) -> JsonObject:
    """Return the arguments that have a value."""
    return {name: value for name, value in arguments.items() if value is not None}


def format_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return rows as columns, each as wide as its widest cell, under the names of their fields."""
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
