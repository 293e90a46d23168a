"""Hosts one Balancer an instance and speaks the bench's wire on standard input and output.

The instances share this process and nothing else: each has its own settings, state and random source.
"""

from __future__ import annotations

import gc
import sys
from random import Random
from typing import BinaryIO

from limerudder.policy.actions import PolicyError
from limerudder.policy.balancer import Balancer
from limerudder.policy.events import ServerEntry
from limerudder.simulator import protocol


def _read(stream: BinaryIO, size: int, what: str) -> bytes:
    """Exactly `size` bytes; nothing at all only where a batch might start."""
    data = stream.read(size)
    if len(data) < size and (data or what != "header"):
        raise protocol.ProtocolError(f"the input ends inside a {what}: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batch after batch until the input ends."""
    balancers: dict[int, Balancer] = {}
    tables: dict[int, list[ServerEntry]] = {}
    while header := _read(source, protocol.BATCH_HEADER.size, "header"):
        size, now, number = protocol.BATCH_HEADER.unpack(header)
        if size > protocol.MAX_FRAME:
            raise protocol.ProtocolError(
                f"batch {number} claims {size} bytes, more than {protocol.MAX_FRAME}"
            )
        records: list[bytes] = []
        body = _read(source, size, "batch") if size else b""
        try:
            for who, event in protocol.decode(body, tables):
                if isinstance(event, protocol.InstanceStarted):
                    balancers[who] = Balancer(event.settings, Random(event.seed))
                    continue
                balancer = balancers.get(who)
                if balancer is None:
                    raise protocol.ProtocolError(
                        f"{type(event).__name__} for instance {who}, which is not attached"
                    )
                if isinstance(event, protocol.InstanceCrashed):
                    del balancers[who]
                    continue
                try:
                    for action in balancer.handle(event, now):
                        records.append(protocol.encode(who, action))
                except Exception as exc:  # the wire wants a faulty module named, not a dead process
                    records.append(protocol.encode(who, PolicyError(f"{type(exc).__name__}: {exc}")))
        except protocol.ProtocolError as exc:
            raise protocol.ProtocolError(f"batch {number}: {exc}") from exc
        out = b"".join(records)
        sink.write(protocol.REPLY_HEADER.pack(len(out), len(records), number) + out)
        sink.flush()


def main() -> int:
    """Run the drill; a malformed input is told in one line on standard error."""
    gc.disable()  # records are freed by count; a collector's pauses would be booked to a node
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except protocol.ProtocolError as exc:
        print(f"limerudder: {exc}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
