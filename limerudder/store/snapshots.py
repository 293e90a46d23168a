"""Snapshots of the replicated key-value state, encoded as a sequence of chunks.

The first chunk is a header, followed by chunks of items and chunks of sessions. The encoding of a state is
deterministic, so members can compare snapshots by their digest.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple, TypeVar

import msgspec

from limerudder.store.commands import CommandResult, Item
from limerudder.store.sessions import Session

SNAPSHOT_CHUNK_BYTES = 128 * 1024  #: Approximate size of a chunk
SNAPSHOT_FORMAT = 1  #: Current format; older formats are read as well, newer ones are rejected
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
        yield _encode(self._header)
        yield from _encode_chunks(self._items, _item_bytes, self._chunk_bytes)
        yield from _encode_chunks(self._sessions, _session_bytes, self._chunk_bytes)


def _item_bytes(row: ItemRow) -> int:
    key, item = row
    return len(item.value) + len(key) + ITEM_OVERHEAD_BYTES


def _session_bytes(row: SessionRow) -> int:
    _, _, results = row
    return SESSION_OVERHEAD_BYTES + RESULT_BYTES * len(results)


def _encode_chunks(rows: Sequence[Row], row_bytes: Callable[[Row], int], chunk_bytes: int) -> Iterator[bytes]:
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
    if header.format > SNAPSHOT_FORMAT:
        raise SnapshotError(f"snapshot has format {header.format}; this build reads up to {SNAPSHOT_FORMAT}")
    items: dict[str, Item] = {}
    sessions: dict[int, Session] = {}
    for chunk in chunks[1:]:
        if len(items) < header.item_count:
            items.update(_items_decoder.decode(chunk))
        else:
            sessions.update(_decode_sessions(chunk))
    return SnapshotContents(header, items, sessions)


def _decode_sessions(chunk: bytes) -> Iterator[tuple[int, Session]]:
    for session_id, acknowledged_serial, results in _sessions_decoder.decode(chunk):
        yield session_id, Session(acknowledged_serial, results)
