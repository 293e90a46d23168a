"""`limerudder state …`: looking after the store."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import click

from limerudder.cli import EXAMPLES, fail
from limerudder.exit_codes import ExitCode

CODES = {
    "wrong": ExitCode.INVALID_INPUT,
    "refused": ExitCode.REJECTED,
    "busy": ExitCode.UNAVAILABLE,
    "not_now": ExitCode.UNAVAILABLE,
    "unsure": ExitCode.OUTCOME_UNKNOWN,
    "not_there": ExitCode.NOT_FOUND,
    "compacted": ExitCode.NOT_FOUND,
}


class Here:
    """What all of these commands need."""

    def __init__(self, folder: str | None, wait: float, as_json: bool) -> None:
        self.folder, self.wait, self.as_json = folder, wait, as_json

    def call(self, name: str, **given: Any) -> dict[str, Any]:
        """Make a call to the node; ends the command where it is not done."""
        from limerudder.store.client import ControlClient, ControlUnavailable

        if not self.folder:
            fail(
                "say --folder, or set LIMERUDDER_STATE: the folder of this node's store",
                ExitCode.INVALID_INPUT,
            )
        try:
            with ControlClient(self.folder, self.wait) as client:
                told = client.call(name, **given)
        except ControlUnavailable as exc:
            fail(str(exc), ExitCode.UNAVAILABLE)
        if not told.pop("ok"):
            self.failed(told)
        return told

    def failed(self, told: dict[str, Any]) -> NoReturn:
        """End with what the node said."""
        if self.as_json:
            click.echo(json.dumps(told))
        words = "; it may have been done" if told["kind"] == "unsure" else ""
        fail(told["error"] + words, CODES.get(told["kind"], ExitCode.FAILED))

    def show(self, told: Any, rows: Sequence[dict[str, Any]] | None = None) -> None:
        """Print an answer: as JSON, a table of its rows, or a line a field."""
        if self.as_json:
            click.echo(json.dumps(told))
        elif rows is not None:
            click.echo(table(rows), nl=False)
        else:
            for name, value in told.items():
                click.echo(f"{name:<14} {value}")


def table(rows: Sequence[dict[str, Any]]) -> str:
    """Rows in columns as wide as they need."""
    if not rows:
        return ""
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [names] + [["" if row.get(n) is None else str(row.get(n)) for n in names] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    lines = (
        "  ".join(f"{cell:<{width}}" for cell, width in zip(line, widths, strict=True)) for line in cells
    )
    return "".join(line.rstrip() + "\n" for line in lines)


here = click.make_pass_decorator(Here)


@click.group(
    epilog=EXAMPLES
    + "  limerudder state --folder /var/lib/limerudder/n0 status\n  limerudder state --json members",
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.option("--folder", envvar="LIMERUDDER_STATE", type=click.Path(), help="This node's store.")
@click.option("--wait", default=5.0, type=click.FloatRange(0.1, 600), help="Seconds for an answer.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON, one object.")
@click.pass_context
def state(ctx: click.Context, folder: str | None, wait: float, as_json: bool) -> None:
    """Look after the replicated store: by the node that runs on --folder, or on folders that no node has."""
    ctx.obj = Here(os.path.abspath(folder) if folder else None, wait, as_json)


def offline(call: Any, *args: Any) -> Any:
    """Do something to folders; ends the command where that cannot be."""
    from limerudder.store.disk_errors import DiskError

    try:
        return call(*args)
    except DiskError as exc:
        fail(str(exc), ExitCode.REJECTED)
    except OSError as exc:
        fail(f"{exc.filename or ''}: {exc.strerror}", ExitCode.FAILED)


def pairs(members: Sequence[str]) -> list[tuple[str, str]]:
    """NAME=ADDRESS each."""
    from limerudder.core.transport import parse_address

    found = []
    for word in members:
        name, equals, address = word.partition("=")
        try:
            parse_address(address)
        except ValueError:
            equals = ""
        if not equals or not name:
            fail(f"{word} stands here, expected NAME=IPv4:PORT", ExitCode.INVALID_INPUT)
        found.append((name, address))
    return found


@state.command(
    epilog=EXAMPLES
    + "  limerudder state init /tmp/new n0=10.0.0.4:7950 n1=10.0.0.5:7950 n2=10.0.0.6:7950\n"
    + "  limerudder state init /var/lib/limerudder/n3 --ticket WORD"
)
@click.argument("folder", type=click.Path())
@click.argument("members", nargs=-1)
@click.option("--ticket", help="Make one new member's folder, with what `state add` has printed.")
@here
def init(self: Here, folder: str, members: tuple[str, ...], ticket: str | None) -> None:
    """Begin a cluster, or make a new member's folder.

    A cluster begins with a folder a member under FOLDER, each to be taken to its own machine: nothing runs
    yet.
    """
    from limerudder.store import data_directory as folders

    if bool(ticket) == bool(members):
        fail("say the first members as NAME=ADDRESS, or --ticket", ExitCode.INVALID_INPUT)
    if ticket:
        one = offline(folders.join_cluster, folder, ticket)
        return self.show({"name": one.name, "listen": one.address, "folder": folder})
    made = offline(folders.init_cluster, folder, pairs(members))
    self.show({"folders": made}, [{"folder": path} for path in made])


@state.command(epilog=EXAMPLES + "  limerudder state status")
@here
def status(self: Here) -> None:
    """How the member stands."""
    self.show(self.call("status"))


@state.command(epilog=EXAMPLES + "  limerudder state members")
@here
def members(self: Here) -> None:
    """Who the members are, who leads, and how far each is."""
    told = self.call("members")
    self.show(told, told["members"])


@state.command(epilog=EXAMPLES + "  limerudder state hosts")
@here
def hosts(self: Here) -> None:
    """What this node knows of hosts: drained, held, put back; agreed on or not yet."""
    told = self.call("hosts")
    self.show(told, told["hosts"])


@state.command(
    epilog=EXAMPLES + "  limerudder state get config/log\n  limerudder state get --prefix hosts/ --stale"
)
@click.argument("key")
@click.option("--prefix", is_flag=True, help="All keys that begin so.")
@click.option("--stale", is_flag=True, help="Ask this member alone: quick, without a quorum, maybe old.")
@here
def get(self: Here, key: str, prefix: bool, stale: bool) -> None:
    """Read a key."""
    told = self.call("get", **{"prefix" if prefix else "key": key}, stale=stale)
    if self.as_json or prefix:
        return self.show(told, told["items"])
    value = told["items"][0]["value"]
    click.echo(value if isinstance(value, str) else json.dumps(value))


@state.command(
    epilog=EXAMPLES
    + "  limerudder state put config/discovery '\"10.2.0.1:8500\"'\n"
    + "  limerudder state put kv/x y --modified 17"
)
@click.argument("key")
@click.argument("value")
@click.option("--modified", type=int, help="Only where this was its last change's revision; 0: only if new.")
@here
def put(self: Here, key: str, value: str, modified: int | None) -> None:
    """Set a key. VALUE `-` is read from standard input."""
    text = sys.stdin.read() if value == "-" else value
    told = self.call("put", key=key, value=text, **({} if modified is None else {"modified": modified}))
    written(self, told)


@state.command(epilog=EXAMPLES + "  limerudder state delete kv/x")
@click.argument("key")
@click.option("--modified", type=int, help="Only where this was its last change's revision.")
@here
def delete(self: Here, key: str, modified: int | None) -> None:
    """Remove a key."""
    written(self, self.call("delete", key=key, **({} if modified is None else {"modified": modified})))


def written(self: Here, told: dict[str, Any]) -> None:
    """Tell what came of a write."""
    self.show(told, [{"revision": told["revision"], "done": told["done"]}])
    if not told["done"]:
        item = told["items"][0]
        fail(f"nothing was done: its last change is revision {item.get('modified', 0)}", ExitCode.REJECTED)


@state.command(epilog=EXAMPLES + "  limerudder state watch config/\n  limerudder state watch '' --after 12")
@click.argument("prefix", default="")
@click.option("--after", type=int, help="Changes after this revision; else from now on.")
@click.option("--most", type=int, help="End after so many changes.")
@here
def watch(self: Here, prefix: str, after: int | None, most: int | None) -> None:
    """Print changes as they come, a JSON object a line."""
    from limerudder.store.client import ControlClient, ControlUnavailable

    if not self.folder:
        fail("say --folder, or set LIMERUDDER_STATE: the folder of this node's store", ExitCode.INVALID_INPUT)
    try:
        with ControlClient(self.folder, self.wait) as client:
            told = client.call("watch", prefix=prefix, **({} if after is None else {"after": after}))
            if not told["ok"]:
                self.failed(told)
            for number, event in enumerate(client.lines()):
                if not event.pop("ok"):
                    self.failed(event)
                click.echo(json.dumps(event))
                if number + 1 == most:
                    return
    except ControlUnavailable as exc:
        fail(str(exc), ExitCode.UNAVAILABLE)
    except KeyboardInterrupt:
        sys.exit(ExitCode.OK)


@state.command(epilog=EXAMPLES + "  limerudder state add n4 10.0.0.8:7950")
@click.argument("name")
@click.argument("address")
@click.option("--learner", is_flag=True, help="It is to hear all and count for nothing, for good.")
@here
def add(self: Here, name: str, address: str, learner: bool) -> None:
    """Add a member, and print the ticket that its folder is made from."""
    self.show(self.call("add", member=name, address=address, learner=learner))


@state.command(epilog=EXAMPLES + "  limerudder state remove n4")
@click.argument("name")
@here
def remove(self: Here, name: str) -> None:
    """Take a member out, for good: its folder is of no use afterwards."""
    self.call("remove", member=name)
    self.show({"removed": name})


@state.command(epilog=EXAMPLES + "  limerudder state transfer n1")
@click.argument("name")
@here
def transfer(self: Here, name: str) -> None:
    """Have a member lead, before its leader's machine is worked on."""
    self.call("transfer", member=name)
    self.show({"asked_to_lead": name})


@state.command(epilog=EXAMPLES + "  limerudder state backup /var/backups/limerudder.state")
@click.argument("path", type=click.Path())
@here
def backup(self: Here, path: str) -> None:
    """Write all records into a file of the node's machine."""
    self.show(self.call("backup", path=os.path.abspath(path)))


@state.command(
    epilog=EXAMPLES + "  limerudder state restore limerudder.state /tmp/new n0=10.0.0.4:7950 n1=10.0.0.5:7950"
)
@click.argument("path", type=click.Path())
@click.argument("folder", type=click.Path())
@click.argument("members", nargs=-1, required=True)
@here
def restore(self: Here, path: str, folder: str, members: tuple[str, ...]) -> None:
    """Begin a new cluster with a backup's records; as with `init`, a folder a member."""
    from limerudder.store import data_directory as folders

    made = offline(folders.restore_backup, folder, path, pairs(members))
    self.show({"folders": made}, [{"folder": one} for one in made])


@state.command(epilog=EXAMPLES + "  limerudder state recover /var/lib/limerudder/n0 --do-it")
@click.argument("folder", type=click.Path())
@click.option("--do-it", is_flag=True, help="Without this it is only told what would be lost.")
@here
def recover(self: Here, folder: str, do_it: bool) -> None:
    """Begin anew with one member after a quorum is lost for good.

    The member becomes a cluster of its own with all that it has. Other members' folders are of no use
    afterwards.
    """
    import msgspec

    from limerudder.store.recovery import recover_single_member

    lost = offline(recover_single_member, folder, do_it)
    if self.as_json:
        return self.show({**msgspec.to_builtins(lost), "done": do_it})
    others = ", ".join(lost.other_members) or "nobody else"
    click.echo(
        f"{lost.name} has all entries up to {lost.last_index}; its snapshot stands at {lost.snapshot_index}."
    )
    click.echo(
        f"May be lost: every write acknowledged after entry {lost.last_index}"
        f" by a quorum without {lost.name}."
    )
    click.echo(
        f"  {others} may have more: look at each folder that is left, and recover the one with the most."
    )
    click.echo(
        f"May come back: the last {lost.uncertain_entries} entries,"
        " of which some may never have been acknowledged."
    )
    click.echo("Lost in any case: sessions of writers that wait for an answer with the other members.")
    if do_it:
        click.echo(f"Done: {lost.name} is a cluster of its own. Start it, then add members one by one.")
    else:
        click.echo("Nothing was done. Say --do-it to do it.")
