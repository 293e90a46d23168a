"""Hosts one Balancer an instance and speaks the bench's wire on standard input and output.

The instances share this process and nothing else: each has its own settings, state and random source.
"""

from __future__ import annotations

import gc
import sys
from random import Random
from typing import BinaryIO

from . import wire
from .choice import Balancer
from .interface import Fault, ServerEntry


def _read(stream: BinaryIO, size: int, what: str) -> bytes:
    """Exactly `size` bytes; nothing at all only where a batch might start."""
    data = stream.read(size)
    if len(data) < size and (data or what != "header"):
        raise wire.WireError(f"the input ends inside a {what}: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batch after batch until the input ends."""
    balancers: dict[int, Balancer] = {}
    tables: dict[int, list[ServerEntry]] = {}
    while header := _read(source, wire.BATCH_HEADER.size, "header"):
        size, now, number = wire.BATCH_HEADER.unpack(header)
        if size > wire.MAX_FRAME:
            raise wire.WireError(f"batch {number} claims {size} bytes, more than {wire.MAX_FRAME}")
        records: list[bytes] = []
        body = _read(source, size, "batch") if size else b""
        try:
            for who, event in wire.decode(body, tables):
                if isinstance(event, wire.Attach):
                    balancers[who] = Balancer(event.settings, Random(event.seed))
                    continue
                balancer = balancers.get(who)
                if balancer is None:
                    raise wire.WireError(f"{type(event).__name__} for instance {who}, which is not attached")
                if isinstance(event, wire.Crash):
                    del balancers[who]
                    continue
                try:
                    for action in balancer.handle(event, now):
                        records.append(wire.encode(who, action))
                except Exception as exc:  # the wire wants a faulty module named, not a dead process
                    records.append(wire.encode(who, Fault(f"{type(exc).__name__}: {exc}")))
        except wire.WireError as exc:
            raise wire.WireError(f"batch {number}: {exc}") from exc
        out = b"".join(records)
        sink.write(wire.REPLY_HEADER.pack(len(out), len(records), number) + out)
        sink.flush()


def main() -> int:
    """Run the drill; a malformed input is told in one line on standard error."""
    gc.disable()  # records are freed by count; a collector's pauses would be booked to a node
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as exc:
        print(f"firgrade: {exc}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
