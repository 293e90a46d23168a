"""The command line: `limerudder` and its sub-commands.

What a sub-command needs beyond click is imported by it alone, so that none pays for another.
"""

from __future__ import annotations

import sys
from importlib import import_module
from typing import Any, NoReturn

import click

from limerudder import __version__
from limerudder.exits import FAILED, WRONG_INPUT

EXAMPLES = "\b\nExamples:\n"


class Lazily(click.Group):
    """A group whose sub-commands are imported when they are called for."""

    def __init__(self, *args: Any, elsewhere: dict[str, tuple[str, str, str]], **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.elsewhere = elsewhere  # name -> module, attribute, help in a line

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All of them."""
        return sorted([*super().list_commands(ctx), *self.elsewhere])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """One of them, imported now where it must be."""
        if name not in self.elsewhere:
            return super().get_command(ctx, name)
        module, attribute, _ = self.elsewhere[name]
        command = getattr(import_module(module, __package__), attribute)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """The list in the help text; nothing is imported for it."""
        rows = []
        for name in self.list_commands(ctx):
            here = self.commands.get(name)
            rows.append((name, here.get_short_help_str(80) if here else self.elsewhere[name][2]))
        with formatter.section("Commands"):
            formatter.write_dl(rows)


def fail(text: str, code: int = FAILED) -> NoReturn:
    """End with a line on standard error."""
    click.echo(f"limerudder: {text}", err=True)
    sys.exit(code)


@click.group(
    cls=Lazily,
    elsewhere={
        "state": (".store.cli", "state", "Look after the replicated store."),
        "lab": (".loadtest.cli", "lab", "Drive nodes and judge them."),
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
    import os

    from limerudder.__main__ import main as run

    if file:
        os.environ["LIMERUDDER_FILE"] = file
    sys.exit(run())


@main.command(epilog=EXAMPLES + "  limerudder check deploy/limerudder.cue\n  limerudder check --schema")
@click.argument("file", required=False, type=click.Path(dir_okay=False))
@click.option("--schema", is_flag=True, help="Print what may stand in the file, and end.")
@click.option("--json", "as_json", is_flag=True, help="Print what the file says, with defaults.")
def check(file: str | None, schema: bool, as_json: bool) -> None:
    """Check the operator's file and tell everything that is wrong with it."""
    from limerudder.cue.errors import CueError
    from limerudder.cue.parser import MAX_FILE_BYTES
    from limerudder.schema import SCHEMA, read_operator_file

    if schema:
        click.echo(SCHEMA, nl=False)
        return
    if file is None:
        raise click.UsageError("FILE is missing")
    try:
        with open(file, "rb") as opened:
            text = opened.read(MAX_FILE_BYTES + 1)
        told = read_operator_file(text, file)
    except OSError as exc:
        fail(f"cannot read {file}: {exc.strerror}", WRONG_INPUT)
    except CueError as exc:
        click.echo(str(exc), err=True)
        fail(f"{file} has {len(exc.errors)} error{'s' if len(exc.errors) != 1 else ''}", WRONG_INPUT)
    if as_json:
        import json
        from dataclasses import asdict

        click.echo(json.dumps(asdict(told), indent=2))
    else:
        click.echo(f"{file}: good")


@main.command(epilog=EXAMPLES + '  eval "$(limerudder completion bash)"')
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the lines that make a shell complete this command."""
    from click.shell_completion import get_completion_class

    complete = get_completion_class(shell)
    assert complete, "click has all three"
    click.echo(complete(main, {}, "limerudder", "_LIMERUDDER_COMPLETE").source())


if __name__ == "__main__":
    main(prog_name="limerudder")
