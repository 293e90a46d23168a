"""Snapshots of the replicated key-value state, encoded as a sequence of chunks.

The first chunk is a header, followed by blocks of items and blocks of sessions. Normally each block is a
chunk. A block may be too large for that, since a session's results contain the items that it has read: then
the blocks form a stream, each after its length, which is cut into chunks of equal size. The encoding of a
state is deterministic, so members can compare snapshots by their digest.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple, TypeVar

import msgspec

from limerudder.store.commands import CommandResult, Item
from limerudder.store.raft.messages import MAX_DATA_BYTES
from limerudder.store.sessions import Session

SNAPSHOT_CHUNK_BYTES = 128 * 1024  #: Approximate size of a chunk
SNAPSHOT_FORMAT = 1  #: Format in which each block is a chunk
#: Format in which the blocks are a stream; earlier releases reject it, so it is used only where necessary
STREAM_FORMAT = 2
BLOCK_LENGTH = struct.Struct("!Q")  #: Length that precedes each block of the stream
ITEM_OVERHEAD_BYTES = 32  #: Estimated encoded size of an item without its key and value
SESSION_OVERHEAD_BYTES = 32  #: Estimated encoded size of a session without its results
RESULT_BYTES = 64  #: Estimated encoded size of a result

Row = TypeVar("Row")
ItemRow = tuple[str, Item]
SessionRow = tuple[int, int, dict[int, CommandResult]]  # identifier, acknowledged serial, results


class SnapshotError(Exception):
    """A snapshot cannot be decoded."""


class SnapshotHeader(msgspec.Struct, frozen=True, array_like=True):
    """The first chunk: the snapshot's position in the log, and the contents of the other chunks."""

    format: int
    applied_index: int
    revision: int
    item_count: int
    session_count: int


class SnapshotContents(NamedTuple):
    """A decoded snapshot."""

    header: SnapshotHeader
    items: dict[str, Item]
    sessions: dict[int, Session]


_encode = msgspec.msgpack.Encoder().encode
_header_decoder: msgspec.msgpack.Decoder[SnapshotHeader] = msgspec.msgpack.Decoder(SnapshotHeader)
_items_decoder: msgspec.msgpack.Decoder[list[ItemRow]] = msgspec.msgpack.Decoder(list[ItemRow])
_sessions_decoder: msgspec.msgpack.Decoder[list[SessionRow]] = msgspec.msgpack.Decoder(list[SessionRow])


class SnapshotView:
    """A point-in-time copy of the state, which can be encoded while the state changes."""

    def __init__(
        self,
        applied_index: int,
        revision: int,
        items: Mapping[str, Item],
        sessions: Mapping[int, Session],
        chunk_bytes: int,
    ) -> None:
        self._chunk_bytes = chunk_bytes
        self._header = SnapshotHeader(SNAPSHOT_FORMAT, applied_index, revision, len(items), len(sessions))
        self._items: list[ItemRow] = list(items.items())
        self._sessions: list[SessionRow] = [
            (session_id, session.acknowledged_serial, dict(session.results))
            for session_id, session in sessions.items()
        ]

    def chunks(self) -> Iterator[bytes]:
        """Yields the encoded chunks; the encoding of a state is deterministic."""
        blocks = [
            *_encode_blocks(self._items, _item_bytes, self._chunk_bytes),
            *_encode_blocks(self._sessions, _session_bytes, self._chunk_bytes),
        ]
        if all(len(block) <= MAX_DATA_BYTES for block in blocks):
            yield _encode(self._header)
            yield from blocks
        else:
            yield _encode(msgspec.structs.replace(self._header, format=STREAM_FORMAT))
            yield from _encode_stream(blocks, self._chunk_bytes)


def _item_bytes(row: ItemRow) -> int:
    key, item = row
    return len(item.value) + len(key) + ITEM_OVERHEAD_BYTES


def _session_bytes(row: SessionRow) -> int:
    _, _, results = row
    return SESSION_OVERHEAD_BYTES + sum(map(_result_bytes, results.values()))


def _result_bytes(result: CommandResult) -> int:
    return RESULT_BYTES + sum(len(item.value) for item in result.items if item)


def _encode_stream(blocks: Iterable[bytes], chunk_bytes: int) -> Iterator[bytes]:
    stream = b"".join(part for block in blocks for part in (BLOCK_LENGTH.pack(len(block)), block))
    for start in range(0, len(stream), chunk_bytes):
        yield stream[start : start + chunk_bytes]


def _decode_stream(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Yields the blocks of a stream; raises SnapshotError if it ends within one."""
    stream = b"".join(chunks)
    position = 0
    while position < len(stream):
        start = position + BLOCK_LENGTH.size
        if start > len(stream):
            raise SnapshotError("snapshot ends within a block's length")
        (length,) = BLOCK_LENGTH.unpack_from(stream, position)
        position = start + length
        if position > len(stream):
            raise SnapshotError("snapshot ends within a block")
        yield stream[start:position]


def _encode_blocks(rows: Sequence[Row], row_bytes: Callable[[Row], int], chunk_bytes: int) -> Iterator[bytes]:
    """Encodes rows in lists of about `chunk_bytes`, which the last row of a list may exceed."""
    chunk: list[Row] = []
    remaining_bytes = chunk_bytes
    for row in rows:
        chunk.append(row)
        remaining_bytes -= row_bytes(row)
        if remaining_bytes <= 0:
            yield _encode(chunk)
            chunk = []
            remaining_bytes = chunk_bytes
    if chunk:
        yield _encode(chunk)


def decode_snapshot(chunks: Sequence[bytes]) -> SnapshotContents:
    """Decodes a snapshot; raises SnapshotError if it is malformed, incomplete or of a newer format."""
    try:
        contents = _decode_chunks(chunks)
    except (msgspec.DecodeError, IndexError) as exc:
        raise SnapshotError(f"malformed snapshot: {exc}") from exc
    header = contents.header
    found_counts = len(contents.items), len(contents.sessions)
    if found_counts != (header.item_count, header.session_count):
        raise SnapshotError("snapshot has a wrong number of items or sessions")
    return contents


def _decode_chunks(chunks: Sequence[bytes]) -> SnapshotContents:
    header = _header_decoder.decode(chunks[0])
    if header.format > STREAM_FORMAT:
        raise SnapshotError(f"snapshot has format {header.format}; this build reads up to {STREAM_FORMAT}")
    blocks = _decode_stream(chunks[1:]) if header.format == STREAM_FORMAT else iter(chunks[1:])
    items: dict[str, Item] = {}
    sessions: dict[int, Session] = {}
    for block in blocks:
        if len(items) < header.item_count:
            items.update(_items_decoder.decode(block))
        else:
            sessions.update(_decode_sessions(block))
    return SnapshotContents(header, items, sessions)


def _decode_sessions(block: bytes) -> Iterator[tuple[int, Session]]:
    for session_id, acknowledged_serial, results in _sessions_decoder.decode(block):
        yield session_id, Session(acknowledged_serial, results)
