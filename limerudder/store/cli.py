"""The commands `limerudder state …`, which administer the replicated store.

Those here call the node that runs on a data directory; `cli_offline` has those for directories without one.
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
@click.option("--folder", envvar="LIMERUDDER_STATE", type=click.Path(), help="This node's store.")
@click.option("--wait", default=5.0, type=click.FloatRange(0.1, 600), help="Seconds for an answer.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON, one object.")
@click.pass_context
def state(ctx: click.Context, folder: str | None, wait: float, as_json: bool) -> None:
    """Administer the replicated store: through the node that runs on --folder, or folders without a node."""
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
    """Print who the members are, who leads, and how far each is."""
    answer = session.call("members")
    session.show(answer, answer["members"])


@state.command(epilog=EXAMPLES + "  limerudder state hosts")
@pass_session
def hosts(session: CommandSession) -> None:
    """Print what this node knows of hosts: drained, held, put back; agreed on or not yet."""
    answer = session.call("hosts")
    session.show(answer, answer["hosts"])


@state.command(
    epilog=EXAMPLES + "  limerudder state get config/log\n  limerudder state get --prefix hosts/ --stale"
)
@click.argument("key")
@click.option("--prefix", is_flag=True, help="All keys that begin so.")
@click.option("--stale", is_flag=True, help="Ask this member alone: quick, without a quorum, maybe old.")
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
@click.option("--modified", type=int, help="Only where this was its last change's revision; 0: only if new.")
@pass_session
def put(session: CommandSession, key: str, value: str, modified: int | None) -> None:
    """Set a key. VALUE `-` is read from standard input."""
    text = sys.stdin.read() if value == READ_STANDARD_INPUT else value
    session.show_write(session.call("put", key=key, value=text, **without_none(modified=modified)))


@state.command(epilog=EXAMPLES + "  limerudder state delete kv/x")
@click.argument("key")
@click.option("--modified", type=int, help="Only where this was its last change's revision.")
@pass_session
def delete(session: CommandSession, key: str, modified: int | None) -> None:
    """Remove a key."""
    session.show_write(session.call("delete", key=key, **without_none(modified=modified)))


@state.command(epilog=EXAMPLES + "  limerudder state watch config/\n  limerudder state watch '' --after 12")
@click.argument("prefix", default="")
@click.option("--after", type=int, help="Changes after this revision; else from now on.")
@click.option("--most", "max_changes", type=int, help="End after so many changes.")
@pass_session
def watch(session: CommandSession, prefix: str, after: int | None, max_changes: int | None) -> None:
    """Print changes as they come, a JSON object a line."""
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
@click.option("--learner", is_flag=True, help="Receives everything and never votes.")
@pass_session
def add(session: CommandSession, name: str, address: str, learner: bool) -> None:
    """Add a member, and print the ticket that its folder is made from."""
    session.show(session.call("add", member=name, address=address, learner=learner))


@state.command(epilog=EXAMPLES + "  limerudder state remove n4")
@click.argument("name")
@pass_session
def remove(session: CommandSession, name: str) -> None:
    """Remove a member for good: its folder is of no use afterwards."""
    session.call("remove", member=name)
    session.show({"removed": name})


@state.command(epilog=EXAMPLES + "  limerudder state transfer n1")
@click.argument("name")
@pass_session
def transfer(session: CommandSession, name: str) -> None:
    """Have a member lead, before work on the leader's machine."""
    session.call("transfer", member=name)
    session.show({"asked_to_lead": name})


@state.command(epilog=EXAMPLES + "  limerudder state backup /var/backups/limerudder.state")
@click.argument("path", type=click.Path())
@pass_session
def backup(session: CommandSession, path: str) -> None:
    """Write all records into a file of the node's machine."""
    session.show(session.call("backup", path=os.path.abspath(path)))
