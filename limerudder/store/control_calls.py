"""Handlers of the control socket's calls; `CALLS` maps the name of each call to its handler.

A handler parses its arguments from the call and answers through its context, immediately or later. It raises
one of `control_protocol.CALL_ERRORS` if the call is malformed or cannot be carried out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from limerudder.store.backup import write_backup
from limerudder.store.calls import CallFailure, CallFailureKind
from limerudder.store.commands import OpenSession
from limerudder.store.control_arguments import (
    GetArguments,
    parse_backup_path,
    parse_delete,
    parse_get,
    parse_new_member,
    parse_put,
    parse_session_write,
    parse_transaction,
    parse_watch,
)
from limerudder.store.control_protocol import (
    MICROSECONDS_PER_MILLISECOND,
    ControlError,
    ControlErrorKind,
    JsonObject,
    Respond,
    item_to_json,
)
from limerudder.store.control_watch import WatchStream
from limerudder.store.control_writes import ConnectionWriter, submit_command
from limerudder.store.data_directory import encode_join_token
from limerudder.store.drain_log import HOST_KEY_PREFIX
from limerudder.store.durability import SnapshotJob
from limerudder.store.member import Member
from limerudder.store.rpc import RequestKind
from limerudder.store.store import Store

MEMBER_ID_BYTES = 8


@dataclass(frozen=True, slots=True)
class CallContext:
    """Context of a handler: the store, the caller's connection, the deadline, and the answer callback."""

    store: Store
    writer: ConnectionWriter
    watch: WatchStream
    deadline_us: int
    respond: Respond

    @property
    def member(self) -> Member:
        """The member that receives the call."""
        return self.store.member


CallHandler = Callable[[CallContext, JsonObject], None]


def status(context: CallContext, call: JsonObject) -> None:
    """Answer with the member's state."""
    context.respond(msgspec.to_builtins(context.store.status()))


def members(context: CallContext, call: JsonObject) -> None:
    """Answer with the members of the cluster."""
    context.respond({"members": msgspec.to_builtins(context.store.member_statuses())})


def hosts(context: CallContext, call: JsonObject) -> None:
    """Answer with this member's records of hosts, and whether each has been agreed on by the cluster."""
    drain_log = context.member.drain_log
    hosts_with_pending_facts = {fact.host for fact in drain_log.pending_facts.values()}
    rows = [
        {
            "host": host,
            "agreed": host not in hosts_with_pending_facts,
            **msgspec.to_builtins(drain_log.effective_record(host)),
        }
        for host in sorted(drain_log.hosts())
    ]
    context.respond({"hosts": rows, "key": HOST_KEY_PREFIX})


def get(context: CallContext, call: JsonObject) -> None:
    """Answer with a key or all keys with a prefix; with `stale`, from this member's state."""
    arguments = parse_get(call)
    if arguments.allow_stale:
        _respond_with_items(context, arguments)
        return

    def on_read(failure: CallFailure | None, now_us: int) -> None:
        if failure:
            context.respond(failure)
        else:
            _respond_with_items(context, arguments)

    context.member.read_barrier(context.deadline_us, on_read, context.store.now_us())


def _respond_with_items(context: CallContext, arguments: GetArguments) -> None:
    state = context.member.state
    if arguments.prefix is not None:
        found = state.list_prefix(arguments.prefix, arguments.max_items)
        items = [item_to_json(key, item) for key, item in found]
    else:
        single_item = state.get(arguments.key)
        if single_item is None:
            context.respond(CallFailure(CallFailureKind.NOT_FOUND, f"there is no {arguments.key}"))
            return
        items = [item_to_json(arguments.key, single_item)]
    staleness_us = context.member.max_staleness_us(context.store.now_us())
    context.respond(
        {
            "items": items,
            "revision": state.revision,
            "age_ms": staleness_us // MICROSECONDS_PER_MILLISECOND,
        }
    )


def watch(context: CallContext, call: JsonObject) -> None:
    """Answer with the revision at which the watch starts, then send the changes under a prefix."""
    state = context.member.state
    arguments = parse_watch(call, state.revision)
    context.watch.check_revision(arguments.after_revision)
    context.respond({"watching": True, "after": arguments.after_revision})
    context.watch.start(arguments)


def put(context: CallContext, call: JsonObject) -> None:
    """Set a key; with `modified`, only if that is the revision of its last change."""
    context.writer.write(parse_put(call), context.deadline_us, context.respond)


def delete(context: CallContext, call: JsonObject) -> None:
    """Remove a key; with `modified`, only if that is the revision of its last change."""
    context.writer.write(parse_delete(call), context.deadline_us, context.respond)


def transact(context: CallContext, call: JsonObject) -> None:
    """Carry out a transaction."""
    context.writer.write(parse_transaction(call), context.deadline_us, context.respond)


def open_session(context: CallContext, call: JsonObject) -> None:
    """Open a session for the caller, which outlives the connection."""
    submit_command(context.store, OpenSession(), context.deadline_us, context.respond)


def write_in_session(context: CallContext, call: JsonObject) -> None:
    """Carry out a transaction in the caller's session; retries are not applied again."""
    submit_command(context.store, parse_session_write(call), context.deadline_us, context.respond)


def add_member(context: CallContext, call: JsonObject) -> None:
    """Add a member; the answer contains the join token for its data directory."""
    new_member = parse_new_member(call)
    join_token = encode_join_token(context.store.identity.cluster_id, new_member)
    answer: JsonObject = {"member": f"{new_member.id:016x}", "ticket": join_token}
    _submit_request(context, RequestKind.ADD_MEMBER, msgspec.msgpack.encode(new_member), answer)


def remove_member(context: CallContext, call: JsonObject) -> None:
    """Remove a member from the cluster."""
    _submit_request(context, RequestKind.REMOVE_MEMBER, _encode_member_id(context, call), {})


def transfer_leadership(context: CallContext, call: JsonObject) -> None:
    """Transfer the leadership to another member."""
    _submit_request(context, RequestKind.TRANSFER_LEADERSHIP, _encode_member_id(context, call), {})


def _encode_member_id(context: CallContext, call: JsonObject) -> bytes:
    member = context.member.config.find_by_name(str(call["member"]))
    if member is None:
        raise ControlError(ControlErrorKind.NOT_FOUND, f"there is no member {call['member']}")
    return member.id.to_bytes(MEMBER_ID_BYTES, "big")


def _submit_request(context: CallContext, kind: RequestKind, data: bytes, answer: JsonObject) -> None:
    def on_reply(outcome: bytes | CallFailure, now_us: int) -> None:
        context.respond(outcome if isinstance(outcome, CallFailure) else answer)

    context.member.submit_request(kind, data, context.deadline_us, on_reply, context.store.now_us())


def backup(context: CallContext, call: JsonObject) -> None:
    """Write the state, as of a linearizable read, to a file."""
    path = parse_backup_path(call)

    def on_read(failure: CallFailure | None, now_us: int) -> None:
        if failure:
            context.respond(failure)
        else:
            _start_backup(context, path)

    context.member.read_barrier(context.deadline_us, on_read, context.store.now_us())


def _start_backup(context: CallContext, path: str) -> None:
    snapshot_job = context.member.capture_snapshot()
    revision = context.member.state.revision
    cluster_id = context.store.identity.cluster_id

    def on_written(future: asyncio.Future[None]) -> None:
        error = future.exception()
        if error:
            context.respond(CallFailure(CallFailureKind.REJECTED, f"cannot write {path}: {error}"))
        else:
            context.respond({"path": path, "revision": revision, "entry": snapshot_job.index})

    # Runs in another thread, since writing a large state would stall the event loop
    loop = asyncio.get_running_loop()
    writing = loop.run_in_executor(None, _build_and_write_backup, path, cluster_id, snapshot_job)
    writing.add_done_callback(on_written)


def _build_and_write_backup(path: str, cluster_id: int, snapshot_job: SnapshotJob) -> None:
    write_backup(path, cluster_id, snapshot_job.build())


CALLS: dict[str, CallHandler] = {
    "status": status,
    "members": members,
    "get": get,
    "put": put,
    "delete": delete,
    "txn": transact,
    "open": open_session,
    "do": write_in_session,
    "watch": watch,
    "add": add_member,
    "remove": remove_member,
    "transfer": transfer_leadership,
    "backup": backup,
    "hosts": hosts,
}
