"""Command line: `limerudder` and its subcommands.

Each command imports its own dependencies except click, so that no command loads another's libraries.
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

#: Start of the examples at the end of a help text; click does not rewrap a paragraph that begins with \b.
EXAMPLES = "\b\nExamples:\n"
SHORT_HELP_CHARACTERS = 80


@dataclass(frozen=True)
class LazyCommand:
    """Location of a command that is imported only when it is invoked."""

    module: str  #: Module name relative to this package
    attribute: str
    short_help: str

    def load(self) -> click.Command:
        """Import and return the command."""
        command = getattr(import_module(self.module, __package__), self.attribute)
        assert isinstance(command, click.Command)
        return command


class LazyGroup(click.Group):
    """A group in which some commands are imported only when they are invoked."""

    def __init__(self, *args: Any, lazy_commands: dict[str, LazyCommand], **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.lazy_commands = lazy_commands

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands without importing them."""
        return sorted([*super().list_commands(ctx), *self.lazy_commands])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return the command with this name, importing it if it is lazy."""
        lazy_command = self.lazy_commands.get(name)
        if lazy_command is None:
            return super().get_command(ctx, name)
        return lazy_command.load()

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands to the help text without importing them."""
        rows = [(name, self._short_help(name)) for name in self.list_commands(ctx)]
        with formatter.section("Commands"):
            formatter.write_dl(rows)

    def _short_help(self, name: str) -> str:
        command = self.commands.get(name)
        if command is None:
            return self.lazy_commands[name].short_help
        return command.get_short_help_str(SHORT_HELP_CHARACTERS)


def fail(text: str, code: ExitCode = ExitCode.FAILED) -> NoReturn:
    """Print one line to standard error and exit with this code."""
    click.echo(f"limerudder: {text}", err=True)
    sys.exit(code)


@click.group(
    cls=LazyGroup,
    lazy_commands={
        "state": LazyCommand(".store.cli", "state", "Administer the replicated store."),
        "lab": LazyCommand(".loadtest.cli", "lab", "Run load tests against nodes."),
    },
    epilog=EXAMPLES + "  limerudder node\n  limerudder check limerudder.cue\n  limerudder state status",
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.version_option(__version__, message="limerudder %(version)s")
def main() -> None:
    """Balance long-lived connections, and manage the nodes that do so.

    docs/COMMANDS.md lists the exit codes.
    """


@main.command(epilog=EXAMPLES + "  PROXY_CONFIG=/run/balancer/config.json limerudder node")
@click.option("--file", type=click.Path(dir_okay=False), help="The operator's file.")
def node(file: str | None) -> None:
    """Run a node until a signal stops it.

    Equivalent to `python -m limerudder`: PROXY_CONFIG names the platform's file; LIMERUDDER_FILE names the
    operator's file if the option is not given.
    """
    from limerudder.__main__ import main as run_node

    if file:
        os.environ["LIMERUDDER_FILE"] = file
    sys.exit(run_node())


@main.command(epilog=EXAMPLES + "  limerudder check deploy/limerudder.cue\n  limerudder check --schema")
@click.argument("file", required=False, type=click.Path(dir_okay=False))
@click.option("--schema", is_flag=True, help="Print the schema of the file and exit.")
@click.option("--json", "as_json", is_flag=True, help="Print the content of the file, including defaults.")
def check(file: str | None, schema: bool, as_json: bool) -> None:
    """Check the operator's file and report all errors in it."""
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
    """Read the operator's file, or report all errors in it and exit."""
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
    """Print the shell code that enables completion for this command."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class, "click supports all three shells"
    click.echo(completion_class(main, {}, "limerudder", "_LIMERUDDER_COMPLETE").source())


if __name__ == "__main__":
    main(prog_name="limerudder")
