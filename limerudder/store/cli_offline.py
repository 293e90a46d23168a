"""The commands of `limerudder state` that operate on data directories without a running node."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

import click

from limerudder.cli import EXAMPLES, fail
from limerudder.exit_codes import ExitCode
from limerudder.store.cli_session import CommandSession, pass_session, run_offline

if TYPE_CHECKING:
    from limerudder.store.data_directory import MemberAddress
    from limerudder.store.recovery import DataLoss


@click.command(
    epilog=EXAMPLES
    + "  limerudder state init /tmp/new n0=10.0.0.4:7950 n1=10.0.0.5:7950 n2=10.0.0.6:7950\n"
    + "  limerudder state init /var/lib/limerudder/n3 --ticket WORD"
)
@click.argument("folder", type=click.Path())
@click.argument("members", nargs=-1)
@click.option("--ticket", help="Create one new member's data directory from the ticket of `state add`.")
@pass_session
def init(session: CommandSession, folder: str, members: tuple[str, ...], ticket: str | None) -> None:
    """Create a cluster, or a new member's data directory.

    For a cluster, creates one data directory per member under FOLDER; each is to be moved to that member's
    machine. No node is started.
    """
    from limerudder.store.data_directory import init_cluster, join_cluster

    if bool(ticket) == bool(members):
        fail("pass either the initial members as NAME=ADDRESS or --ticket", ExitCode.INVALID_INPUT)
    if ticket:
        member = run_offline(join_cluster, folder, ticket)
        session.show({"name": member.name, "listen": member.address, "folder": folder})
        return
    directories = run_offline(init_cluster, folder, _parse_members(members))
    _show_directories(session, directories)


@click.command(
    epilog=EXAMPLES + "  limerudder state restore limerudder.state /tmp/new n0=10.0.0.4:7950 n1=10.0.0.5:7950"
)
@click.argument("path", type=click.Path())
@click.argument("folder", type=click.Path())
@click.argument("members", nargs=-1, required=True)
@pass_session
def restore(session: CommandSession, path: str, folder: str, members: tuple[str, ...]) -> None:
    """Create a new cluster with a backup's records; like `init`, with a data directory for each member."""
    from limerudder.store.data_directory import restore_backup

    directories = run_offline(restore_backup, folder, path, _parse_members(members))
    _show_directories(session, directories)


@click.command(epilog=EXAMPLES + "  limerudder state recover /var/lib/limerudder/n0 --do-it")
@click.argument("folder", type=click.Path())
@click.option("--do-it", is_flag=True, help="Without this option the command only prints what would be lost.")
@pass_session
def recover(session: CommandSession, folder: str, do_it: bool) -> None:
    """Create a new cluster of one member after a quorum has been lost permanently.

    The member keeps all its records and becomes the only member. Other members' data directories cannot be
    used afterwards.
    """
    import msgspec

    from limerudder.store.recovery import recover_single_member

    loss = run_offline(recover_single_member, folder, confirmed=do_it)
    if session.as_json:
        session.show({**msgspec.to_builtins(loss), "done": do_it})
        return
    for line in _describe_loss(loss):
        click.echo(line)
    if do_it:
        click.echo(
            f"Done: {loss.name} is the only member of its cluster. Start it, then add members one by one."
        )
    else:
        click.echo("Nothing was done. Run the command with --do-it to recover.")


def _parse_members(arguments: Sequence[str]) -> list[MemberAddress]:
    return [_parse_member(argument) for argument in arguments]


def _parse_member(argument: str) -> MemberAddress:
    from limerudder.core.transport import parse_address
    from limerudder.store.data_directory import MemberAddress

    name, separator, address = argument.partition("=")
    try:
        parse_address(address)
    except ValueError:
        is_valid = False
    else:
        is_valid = bool(name and separator)
    if not is_valid:
        fail(f"{argument}: expected NAME=IPv4:PORT", ExitCode.INVALID_INPUT)
    return MemberAddress(name, address)


def _show_directories(session: CommandSession, directories: list[str]) -> None:
    session.show({"folders": directories}, [{"folder": directory} for directory in directories])


def _describe_loss(loss: DataLoss) -> list[str]:
    others = ", ".join(loss.other_members) or "nobody else"
    return [
        f"{loss.name} has all entries up to {loss.last_index}; its snapshot ends at {loss.snapshot_index}.",
        f"May be lost: every write acknowledged after entry {loss.last_index} by a quorum without"
        f" {loss.name}.",
        f"  {others} may have more: inspect each remaining directory, and recover the one with the most.",
        f"May reappear: the last {loss.uncertain_entries} entries, of which some may never have been"
        f" acknowledged.",
        "Lost in any case: sessions of writers that are waiting for an answer from another member.",
    ]
