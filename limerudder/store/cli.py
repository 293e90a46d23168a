"""The commands `limerudder state …`, which administer the replicated store.

These commands call the node that runs on a data directory; those of `cli_offline` need no running node.
"""

from __future__ import annotations

import json
import os
import sys

import click

from limerudder.cli import EXAMPLES
from limerudder.exit_codes import ExitCode
from limerudder.store.cli_offline import init, recover, restore
from limerudder.store.cli_session import CommandSession, pass_session, without_none

READ_STANDARD_INPUT = "-"


@click.group(
    epilog=EXAMPLES
    + "  limerudder state --folder /var/lib/limerudder/n0 status\n  limerudder state --json members",
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.option("--folder", envvar="LIMERUDDER_STATE", type=click.Path(), help="Data directory of this node.")
@click.option("--wait", default=5.0, type=click.FloatRange(0.1, 600), help="Seconds to wait for an answer.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON, one object.")
@click.pass_context
def state(ctx: click.Context, folder: str | None, wait: float, as_json: bool) -> None:
    """Administer the replicated store, through the node running on --folder or in offline directories."""
    ctx.obj = CommandSession(os.path.abspath(folder) if folder else None, wait, as_json)


state.add_command(init)
state.add_command(restore)
state.add_command(recover)


@state.command(epilog=EXAMPLES + "  limerudder state status")
@pass_session
def status(session: CommandSession) -> None:
    """Print the member's state."""
    session.show(session.call("status"))


@state.command(epilog=EXAMPLES + "  limerudder state members")
@pass_session
def members(session: CommandSession) -> None:
    """Print the members, which of them leads, and the replication progress of each."""
    answer = session.call("members")
    session.show(answer, answer["members"])


@state.command(epilog=EXAMPLES + "  limerudder state hosts")
@pass_session
def hosts(session: CommandSession) -> None:
    """Print this node's records of hosts (drains, holds, returns) and whether the members agreed on each."""
    answer = session.call("hosts")
    session.show(answer, answer["hosts"])


@state.command(
    epilog=EXAMPLES + "  limerudder state get config/log\n  limerudder state get --prefix hosts/ --stale"
)
@click.argument("key")
@click.option("--prefix", is_flag=True, help="Read all keys that begin with KEY.")
@click.option(
    "--stale", is_flag=True, help="Read from this member only: fast, without a quorum, possibly outdated."
)
@pass_session
def get(session: CommandSession, key: str, prefix: bool, stale: bool) -> None:
    """Read a key."""
    selection = {"prefix": key} if prefix else {"key": key}
    answer = session.call("get", **selection, stale=stale)
    if session.as_json or prefix:
        session.show(answer, answer["items"])
        return
    value = answer["items"][0]["value"]
    click.echo(value if isinstance(value, str) else json.dumps(value))


@state.command(
    epilog=EXAMPLES
    + "  limerudder state put config/discovery '\"10.2.0.1:8500\"'\n"
    + "  limerudder state put kv/x y --modified 17"
)
@click.argument("key")
@click.argument("value")
@click.option("--modified", type=int, help="Only if this is the revision of its last change; 0: only if new.")
@pass_session
def put(session: CommandSession, key: str, value: str, modified: int | None) -> None:
    """Set a key. If VALUE is `-`, the value is read from standard input."""
    text = sys.stdin.read() if value == READ_STANDARD_INPUT else value
    session.show_write(session.call("put", key=key, value=text, **without_none(modified=modified)))


@state.command(epilog=EXAMPLES + "  limerudder state delete kv/x")
@click.argument("key")
@click.option("--modified", type=int, help="Only if this is the revision of its last change.")
@pass_session
def delete(session: CommandSession, key: str, modified: int | None) -> None:
    """Remove a key."""
    session.show_write(session.call("delete", key=key, **without_none(modified=modified)))


@state.command(epilog=EXAMPLES + "  limerudder state watch config/\n  limerudder state watch '' --after 12")
@click.argument("prefix", default="")
@click.option("--after", type=int, help="Print changes after this revision; by default, new changes.")
@click.option("--most", "max_changes", type=int, help="Exit after this number of changes.")
@pass_session
def watch(session: CommandSession, prefix: str, after: int | None, max_changes: int | None) -> None:
    """Print changes as they occur, one JSON object per line."""
    try:
        with session.connect() as client:
            answer = client.call("watch", prefix=prefix, **without_none(after=after))
            if not answer["ok"]:
                session.fail_with(answer)
            for number, change in enumerate(client.changes(), start=1):
                session.require_ok(change)
                click.echo(json.dumps(change))
                if number == max_changes:
                    return
    except KeyboardInterrupt:
        sys.exit(ExitCode.OK)


@state.command(epilog=EXAMPLES + "  limerudder state add n4 10.0.0.8:7950")
@click.argument("name")
@click.argument("address")
@click.option("--learner", is_flag=True, help="Add a learner: it receives all entries and never votes.")
@pass_session
def add(session: CommandSession, name: str, address: str, learner: bool) -> None:
    """Add a member, and print the ticket from which its data directory is created."""
    session.show(session.call("add", member=name, address=address, learner=learner))


@state.command(epilog=EXAMPLES + "  limerudder state remove n4")
@click.argument("name")
@pass_session
def remove(session: CommandSession, name: str) -> None:
    """Remove a member permanently: its data directory cannot be used afterwards."""
    session.call("remove", member=name)
    session.show({"removed": name})


@state.command(epilog=EXAMPLES + "  limerudder state transfer n1")
@click.argument("name")
@pass_session
def transfer(session: CommandSession, name: str) -> None:
    """Transfer the leadership to a member, for example before work on the leader's machine."""
    session.call("transfer", member=name)
    session.show({"asked_to_lead": name})


@state.command(epilog=EXAMPLES + "  limerudder state backup /var/backups/limerudder.state")
@click.argument("path", type=click.Path())
@pass_session
def backup(session: CommandSession, path: str) -> None:
    """Write all records to a file on the node's machine."""
    session.show(session.call("backup", path=os.path.abspath(path)))
