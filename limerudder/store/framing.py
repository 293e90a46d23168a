"""Frames of a byte stream: the length of the payload, its CRC-32 and the payload."""

from __future__ import annotations

import struct
from zlib import crc32

MAX_FRAME_BYTES = 1 << 20  #: Maximum payload size of a frame; longer frames are rejected
FRAME_HEADER = struct.Struct("!II")  #: Length and checksum of the payload


class FrameError(Exception):
    """The stream contains an invalid frame, after which nothing can be decoded."""


class FrameTooLongError(Exception):
    """A payload exceeds the limit, so that the receiver would reject its frame; `size_bytes` is its size."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes; at most {MAX_FRAME_BYTES} fit into a frame")
        self.size_bytes = size_bytes


def encode_frame(payload: bytes) -> bytes:
    """Return the frame of a payload; raises FrameTooLongError."""
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLongError(len(payload))
    return FRAME_HEADER.pack(len(payload), crc32(payload)) + payload


class FrameDecoder:
    """Splits a stream, received in pieces of any size, into payloads."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes  # can be changed between calls
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the payloads that are complete.

        Raises FrameError on a length over the limit or a wrong checksum.
        """
        buffer = self._buffer
        buffer += data
        payloads: list[bytes] = []
        start = 0
        while len(buffer) - start >= FRAME_HEADER.size:
            length, checksum = FRAME_HEADER.unpack_from(buffer, start)
            if length > self.max_frame_bytes:
                raise FrameError(f"frame of {length} bytes exceeds the limit of {self.max_frame_bytes} bytes")
            payload_start = start + FRAME_HEADER.size
            payload_end = payload_start + length
            if len(buffer) < payload_end:
                break
            payload = bytes(buffer[payload_start:payload_end])
            if crc32(payload) != checksum:
                raise FrameError("frame checksum does not match")
            payloads.append(payload)
            start = payload_end
        del buffer[:start]
        return payloads
