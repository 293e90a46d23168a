"""Runs the connection policy in the simulator: one Balancer for each instance, on standard input and output.

The instances share only this process: each has its own settings, state and random source.
"""

from __future__ import annotations

import gc
import sys
from random import Random
from typing import BinaryIO

from limerudder.policy.actions import PolicyError
from limerudder.policy.balancer import Balancer
from limerudder.policy.events import ServerEntry
from limerudder.simulator.decoding import decode
from limerudder.simulator.encoding import encode
from limerudder.simulator.protocol import (
    BATCH_HEADER,
    MAX_FRAME_BYTES,
    REPLY_HEADER,
    InstanceCrashed,
    InstanceStarted,
    ProtocolError,
    SimulatorEvent,
)

EXIT_OK = 0
EXIT_MALFORMED_INPUT = 2


class InstanceRunner:
    """Runs the simulator's instances, each with its Balancer."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._server_lists: dict[int, list[ServerEntry]] = {}

    def handle_batch(self, body: bytes, now_us: int) -> list[bytes]:
        """Return the action records that answer a batch of events. Raises ProtocolError."""
        records: list[bytes] = []
        for instance, event in decode(body, self._server_lists):
            self._handle_event(instance, event, now_us, records)
        return records

    def _handle_event(self, instance: int, event: SimulatorEvent, now_us: int, records: list[bytes]) -> None:
        if isinstance(event, InstanceStarted):
            self._balancers[instance] = Balancer(event.settings, Random(event.seed))
            return
        balancer = self._balancers.get(instance)
        if balancer is None:
            name = type(event).__name__
            raise ProtocolError(f"{name} for instance {instance}, which is not attached")
        if isinstance(event, InstanceCrashed):
            del self._balancers[instance]
            return
        try:
            for action in balancer.handle(event, now_us):
                records.append(encode(instance, action))
        except Exception as exc:  # The protocol requires an error record, not a crash
            records.append(encode(instance, PolicyError(f"{type(exc).__name__}: {exc}")))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the end of the input. Raises ProtocolError."""
    runner = InstanceRunner()
    while header := _read_header(source):
        body_size, now_us, number = BATCH_HEADER.unpack(header)
        if body_size > MAX_FRAME_BYTES:
            raise ProtocolError(f"batch {number}: body of {body_size} bytes exceeds {MAX_FRAME_BYTES}")
        body = _read_exactly(source, body_size, "batch")
        try:
            records = runner.handle_batch(body, now_us)
        except ProtocolError as exc:
            raise ProtocolError(f"batch {number}: {exc}") from exc
        reply = b"".join(records)
        sink.write(REPLY_HEADER.pack(len(reply), len(records), number) + reply)
        sink.flush()


def _read_header(source: BinaryIO) -> bytes:
    """Return the header of the next batch, or empty bytes at the end of the input."""
    data = source.read(BATCH_HEADER.size)
    if data:
        _check_size(data, BATCH_HEADER.size, "header")
    return data


def _read_exactly(source: BinaryIO, size: int, part: str) -> bytes:
    data = source.read(size)
    _check_size(data, size, part)
    return data


def _check_size(data: bytes, size: int, part: str) -> None:
    if len(data) < size:
        raise ProtocolError(f"input truncated in a {part}: got {len(data)} of {size} bytes")


def main() -> int:
    """Serve standard input; report malformed input in one line on standard error."""
    gc.disable()  # Events create no reference cycles, and collector pauses would count as delays of a node
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ProtocolError as exc:
        print(f"limerudder: {exc}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
