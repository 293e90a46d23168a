"""Tests of the frames and messages of peer connections."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limerudder.store import rpc
from limerudder.store.framing import (
    MAX_FRAME_BYTES,
    FrameDecoder,
    FrameError,
    FrameTooLongError,
    encode_frame,
)
from limerudder.store.raft.messages import (
    AppendEntries,
    ClusterConfig,
    Entry,
    EntryKind,
    InstallSnapshotChunk,
    Member,
    RequestVote,
    SnapshotMeta,
)


@given(st.lists(st.binary(max_size=300), max_size=6), st.lists(st.integers(1, 50), min_size=1, max_size=40))
@settings(derandomize=True, deadline=None)
def test_frames_are_reassembled_from_pieces_of_any_size(bodies: list[bytes], sizes: list[int]) -> None:
    data = b"".join(map(encode_frame, bodies))
    decoder = FrameDecoder()
    found: list[bytes] = []
    position = 0
    piece_count = 0
    while position < len(data):
        size = sizes[piece_count % len(sizes)]
        found += decoder.feed(data[position : position + size])
        position += size
        piece_count += 1
    assert found == bodies


@given(st.binary(max_size=400))
@settings(derandomize=True, deadline=None)
def test_malformed_input_raises_a_documented_error_or_waits_for_more(data: bytes) -> None:
    try:
        bodies = FrameDecoder().feed(data)
        for body in bodies:
            rpc.decode_message(body)
    except (FrameError, msgspec.DecodeError):
        pass


def test_excessive_lengths_and_flipped_bits_are_rejected() -> None:
    with pytest.raises(FrameError, match=f"exceeds the limit of {MAX_FRAME_BYTES} bytes"):
        FrameDecoder().feed((MAX_FRAME_BYTES + 1).to_bytes(4, "big") + bytes(4))
    corrupted = bytearray(encode_frame(b"hello"))
    corrupted[-1] ^= 1
    with pytest.raises(FrameError, match="checksum"):
        FrameDecoder().feed(bytes(corrupted))


def test_a_payload_that_the_receiver_would_reject_is_not_framed() -> None:
    assert FrameDecoder().feed(encode_frame(bytes(MAX_FRAME_BYTES)))
    with pytest.raises(FrameTooLongError, match=f"at most {MAX_FRAME_BYTES} fit"):
        encode_frame(bytes(MAX_FRAME_BYTES + 1))


def test_messages_survive_encoding_and_decoding() -> None:
    config = ClusterConfig((Member(1, "a", "127.0.0.1:1"),))
    meta = SnapshotMeta(4, 2, config, 3, 77)
    for message in (
        RequestVote(3, 9, 2, True, False),
        AppendEntries(3, 8, 2, (Entry(9, 3, EntryKind.DATA, b"x"), Entry(10, 3, EntryKind.EMPTY)), 8, 5),
        InstallSnapshotChunk(3, meta, 1, b"data", 5),
        rpc.Request(1, rpc.RequestKind.WRITE, b"x"),
        rpc.Reply(1, rpc.ReplyStatus.DONE, b""),
    ):
        assert rpc.decode_message(rpc.encode_message(message)) == message
