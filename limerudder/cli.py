"""The command line: `limerudder` and its sub-commands.

Each command imports what it needs beyond click itself, so that no command pays for another's libraries.
"""

from __future__ import annotations

import json
import os
import sys
from dataclasses import asdict, dataclass
from importlib import import_module
from typing import TYPE_CHECKING, Any, NoReturn

import click

from limerudder import __version__
from limerudder.exit_codes import ExitCode

if TYPE_CHECKING:
    from limerudder.schema import OperatorFile

#: Begins the examples at the end of a help text; click leaves the lines of its paragraph as they are.
EXAMPLES = "\b\nExamples:\n"
SHORT_HELP_CHARACTERS = 80


@dataclass(frozen=True)
class LazyCommand:
    """Where a command is defined that is imported only when it is called."""

    module: str  #: relative to this package
    attribute: str
    short_help: str

    def load(self) -> click.Command:
        """Import and return the command."""
        command = getattr(import_module(self.module, __package__), self.attribute)
        assert isinstance(command, click.Command)
        return command


class LazyGroup(click.Group):
    """A group some of whose commands are imported only when they are called."""

    def __init__(self, *args: Any, lazy_commands: dict[str, LazyCommand], **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.lazy_commands = lazy_commands

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, without importing any."""
        return sorted([*super().list_commands(ctx), *self.lazy_commands])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return the command of this name, imported now if it is a lazy one."""
        lazy_command = self.lazy_commands.get(name)
        if lazy_command is None:
            return super().get_command(ctx, name)
        return lazy_command.load()

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands into the help text, without importing any."""
        rows = [(name, self._short_help(name)) for name in self.list_commands(ctx)]
        with formatter.section("Commands"):
            formatter.write_dl(rows)

    def _short_help(self, name: str) -> str:
        command = self.commands.get(name)
        if command is None:
            return self.lazy_commands[name].short_help
        return command.get_short_help_str(SHORT_HELP_CHARACTERS)


def fail(text: str, code: ExitCode = ExitCode.FAILED) -> NoReturn:
    """Print one line on standard error and end the process with this exit code."""
    click.echo(f"limerudder: {text}", err=True)
    sys.exit(code)


@click.group(
    cls=LazyGroup,
    lazy_commands={
        "state": LazyCommand(".store.cli", "state", "Look after the replicated store."),
        "lab": LazyCommand(".loadtest.cli", "lab", "Drive nodes and judge them."),
    },
    epilog=EXAMPLES + "  limerudder node\n  limerudder check limerudder.cue\n  limerudder state status",
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.version_option(__version__, message="limerudder %(version)s")
def main() -> None:
    """Balance long-lived connections, and look after the nodes that do.

    Exit codes are told in docs/COMMANDS.md.
    """


@main.command(epilog=EXAMPLES + "  PROXY_CONFIG=/run/balancer/config.json limerudder node")
@click.option("--file", type=click.Path(dir_okay=False), help="The operator's file.")
def node(file: str | None) -> None:
    """Run a node until it is told to stop.

    The same as `python -m limerudder`: PROXY_CONFIG names the platform's file, and LIMERUDDER_FILE the
    operator's where the option does not.
    """
    from limerudder.__main__ import main as run_node

    if file:
        os.environ["LIMERUDDER_FILE"] = file
    sys.exit(run_node())


@main.command(epilog=EXAMPLES + "  limerudder check deploy/limerudder.cue\n  limerudder check --schema")
@click.argument("file", required=False, type=click.Path(dir_okay=False))
@click.option("--schema", is_flag=True, help="Print what may stand in the file, and end.")
@click.option("--json", "as_json", is_flag=True, help="Print what the file says, with defaults.")
def check(file: str | None, schema: bool, as_json: bool) -> None:
    """Check the operator's file and tell everything that is wrong with it."""
    from limerudder.schema import SCHEMA

    if schema:
        click.echo(SCHEMA, nl=False)
        return
    if file is None:
        raise click.UsageError("FILE is missing")
    operator_file = _read_operator_file(file)
    if as_json:
        click.echo(json.dumps(asdict(operator_file), indent=2))
    else:
        click.echo(f"{file}: good")


def _read_operator_file(path: str) -> OperatorFile:
    """Read the operator's file, or end the process with every error in it."""
    from limerudder.cue.errors import CueError
    from limerudder.cue.parser import MAX_FILE_BYTES
    from limerudder.schema import read_operator_file

    try:
        with open(path, "rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
        return read_operator_file(content, path)
    except OSError as exc:
        fail(f"cannot read {path}: {exc.strerror}", ExitCode.INVALID_INPUT)
    except CueError as exc:
        click.echo(str(exc), err=True)
        plural = "s" if len(exc.errors) != 1 else ""
        fail(f"{path} has {len(exc.errors)} error{plural}", ExitCode.INVALID_INPUT)


@main.command(epilog=EXAMPLES + '  eval "$(limerudder completion bash)"')
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the lines that make a shell complete this command."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class, "click supports all three shells"
    click.echo(completion_class(main, {}, "limerudder", "_LIMERUDDER_COMPLETE").source())


if __name__ == "__main__":
    main(prog_name="limerudder")
