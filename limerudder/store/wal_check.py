"""Detects damage in the middle of SQLite's write-ahead log.

SQLite stops its recovery at the first frame with a wrong checksum. It treats everything from that frame on as
the torn tail of a crash, and silently drops committed transactions if the frame was damaged after its sync.
Since each transaction is synced before the next one begins, a crash can tear only the last transaction.
The format is described in section 4 of https://www.sqlite.org/fileformat2.html.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from limerudder.store.disk_errors import DiskCorruptedError

WAL_HEADER = struct.Struct(">8I")
FRAME_HEADER = struct.Struct(">6I")
MAGIC_NUMBERS = (0x377F0682, 0x377F0683)  #: The lowest bit is set if checksums use big-endian words
MIN_PAGE_BYTES = 512
MAX_PAGE_BYTES = 65536
CHECKSUMMED_HEADER_BYTES = 24  #: Checksummed part of the log's header
CHECKSUMMED_FRAME_HEADER_BYTES = 8  #: Checksummed part of a frame's header; the checksum also covers the page
MAX_TORN_TRANSACTIONS = 1  #: Maximum number of torn transactions after a crash
WORD_MASK = 0xFFFFFFFF

Checksum = tuple[int, int]


class WalHeader(NamedTuple):
    """The fields of the write-ahead log's header that are needed to verify its frames."""

    page_bytes: int
    salts: tuple[int, int]
    byte_order: str  # byte order of the checksummed words, as a `struct` format character
    checksum: Checksum


def check_write_ahead_log(path: str) -> None:
    """Raise DiskCorruptedError if a damaged frame is followed by complete transactions.

    A missing file, or a header that SQLite ignores as well, does not count as damage.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except FileNotFoundError:
        return
    header = _read_header(data)
    if header is not None:
        _check_frames(path, data, header)


def _read_header(data: bytes) -> WalHeader | None:
    if len(data) < WAL_HEADER.size:
        return None
    magic, _, page_bytes, _, salt_1, salt_2, sum_1, sum_2 = WAL_HEADER.unpack_from(data)
    if magic not in MAGIC_NUMBERS or not MIN_PAGE_BYTES <= page_bytes <= MAX_PAGE_BYTES:
        return None
    byte_order = ">" if magic & 1 else "<"
    checksum = _add_to_checksum((0, 0), data[:CHECKSUMMED_HEADER_BYTES], byte_order)
    if checksum != (sum_1, sum_2):
        return None
    return WalHeader(page_bytes, (salt_1, salt_2), byte_order, checksum)


def _check_frames(path: str, data: bytes, header: WalHeader) -> None:
    frame_bytes = FRAME_HEADER.size + header.page_bytes
    checksum = header.checksum
    damaged_frame: int | None = None
    transactions_after_damage = 0
    for start in range(WAL_HEADER.size, len(data) - frame_bytes + 1, frame_bytes):
        _, database_pages, salt_1, salt_2, sum_1, sum_2 = FRAME_HEADER.unpack_from(data, start)
        if (salt_1, salt_2) != header.salts:
            break  # frames from before the last restart of the log follow
        if damaged_frame is None:
            checksum = _add_frame_to_checksum(checksum, data[start : start + frame_bytes], header.byte_order)
            if checksum != (sum_1, sum_2):
                damaged_frame = (start - WAL_HEADER.size) // frame_bytes
        if damaged_frame is not None and database_pages != 0:  # nonzero in the last frame of a transaction
            transactions_after_damage += 1
    if damaged_frame is not None and transactions_after_damage > MAX_TORN_TRANSACTIONS:
        raise DiskCorruptedError(
            f"{path}: frame {damaged_frame}: checksum does not match,"
            f" and {transactions_after_damage} transactions end at or after it"
        )


def _add_frame_to_checksum(checksum: Checksum, frame: bytes, byte_order: str) -> Checksum:
    covered = frame[:CHECKSUMMED_FRAME_HEADER_BYTES] + frame[FRAME_HEADER.size :]
    return _add_to_checksum(checksum, covered, byte_order)


def _add_to_checksum(checksum: Checksum, data: bytes, byte_order: str) -> Checksum:
    sum_1, sum_2 = checksum
    for word_1, word_2 in struct.iter_unpack(byte_order + "II", data):
        sum_1 = (sum_1 + word_1 + sum_2) & WORD_MASK
        sum_2 = (sum_2 + word_2 + sum_1) & WORD_MASK
    return sum_1, sum_2
