"""The commands of `limerudder state` that work on data directories while no node runs on them."""

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
@click.option("--ticket", help="Make one new member's folder, with what `state add` has printed.")
@pass_session
def init(session: CommandSession, folder: str, members: tuple[str, ...], ticket: str | None) -> None:
    """Begin a cluster, or make a new member's folder.

    A cluster begins with a folder for each member under FOLDER, to be moved to its own machine: nothing runs
    yet.
    """
    from limerudder.store.data_directory import init_cluster, join_cluster

    if bool(ticket) == bool(members):
        fail("say the first members as NAME=ADDRESS, or --ticket", ExitCode.INVALID_INPUT)
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
    """Begin a new cluster with a backup's records; as with `init`, a folder for each member."""
    from limerudder.store.data_directory import restore_backup

    directories = run_offline(restore_backup, folder, path, _parse_members(members))
    _show_directories(session, directories)


@click.command(epilog=EXAMPLES + "  limerudder state recover /var/lib/limerudder/n0 --do-it")
@click.argument("folder", type=click.Path())
@click.option("--do-it", is_flag=True, help="Without this the command only prints what would be lost.")
@pass_session
def recover(session: CommandSession, folder: str, do_it: bool) -> None:
    """Begin a new cluster of one member after a quorum is lost for good.

    The member becomes a cluster of its own with all that it has. Other members' folders are of no use
    afterwards.
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
        click.echo(f"Done: {loss.name} is a cluster of its own. Start it, then add members one by one.")
    else:
        click.echo("Nothing was done. Say --do-it to do it.")


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
        fail(f"{argument} stands here, expected NAME=IPv4:PORT", ExitCode.INVALID_INPUT)
    return MemberAddress(name, address)


def _show_directories(session: CommandSession, directories: list[str]) -> None:
    session.show({"folders": directories}, [{"folder": directory} for directory in directories])


def _describe_loss(loss: DataLoss) -> list[str]:
    others = ", ".join(loss.other_members) or "nobody else"
    return [
        f"{loss.name} has all entries up to {loss.last_index}; its snapshot stands at {loss.snapshot_index}.",
        f"May be lost: every write acknowledged after entry {loss.last_index} by a quorum without"
        f" {loss.name}.",
        f"  {others} may have more: look at each folder that is left, and recover the one with the most.",
        f"May come back: the last {loss.uncertain_entries} entries, of which some may never have been"
        f" acknowledged.",
        "Lost in any case: sessions of writers that wait for an answer with the other members.",
    ]
