"""Frames: a length, a checksum, and that many bytes. Fed in any pieces; gives whole frames or an error."""

from __future__ import annotations

import struct
from zlib import crc32

MAX_FRAME_BYTES = 1 << 20  #: bytes of a frame; more is never believed
HEAD = struct.Struct("!II")


class FrameError(Exception):
    """Bytes that are no frames: the connection cannot go on."""


def encode_frame(data: bytes) -> bytes:
    """A frame with this in it."""
    assert len(data) <= MAX_FRAME_BYTES, "whoever writes keeps to the limit"
    return HEAD.pack(len(data), crc32(data)) + data


class FrameDecoder:
    """What has come of a connection."""

    def __init__(self, most: int = MAX_FRAME_BYTES) -> None:
        self.most = most
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole now. FrameError on a length over the limit, or a wrong checksum."""
        self.rest += data
        found: list[bytes] = []
        at = 0
        while len(self.rest) - at >= HEAD.size:
            length, crc = HEAD.unpack_from(self.rest, at)
            if length > self.most:
                raise FrameError(f"a frame of {length} bytes; at most {self.most} are taken")
            if len(self.rest) - at - HEAD.size < length:
                break
            body = bytes(self.rest[at + HEAD.size : at + HEAD.size + length])
            if crc32(body) != crc:
                raise FrameError("a frame whose checksum does not match")
            found.append(body)
            at += HEAD.size + length
        del self.rest[:at]
        return found
