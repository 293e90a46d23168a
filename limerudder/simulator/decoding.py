"""Decodes the simulator's frames into events of the connection policy.

Data that does not match the layout raises ProtocolError with its position in the frame.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from struct import Struct
from typing import NamedTuple

from limerudder.policy.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    ConnectionEstablished,
    EndpointUpdate,
    Event,
    ExistingConnection,
    HealthCheckResult,
    LatencySample,
    LoadSample,
    NewRequest,
    PeerMessage,
    ServerEntry,
    TimerFired,
    UpdateKind,
)
from limerudder.policy.settings import Settings
from limerudder.policy.settings_reader import SettingsError, read_settings
from limerudder.simulator.protocol import (
    EventCode,
    InstanceCrashed,
    InstanceStarted,
    ProtocolError,
    SimulatorEvent,
)

CODE_BYTES = 1
REPORT_FIELD_BYTES = 4
SERVER_ENTRY = Struct("<IHBHBfQ")
KNOWN_OUTCOMES = frozenset(int(outcome) for outcome in AttemptOutcome)
SAMPLE_TYPES: dict[int, type[LoadSample] | type[LatencySample]] = {1: LoadSample, 2: LatencySample}


def decode(body: bytes, server_lists: dict[int, list[ServerEntry]]) -> Iterator[tuple[int, SimulatorEvent]]:
    """Yield (instance, event) in the order of the frame.

    `server_lists` are the process's server lists by number; new ones are added. A number may be reused for
    another list within a frame, so each is resolved when it is read. Raises ProtocolError.
    """
    reader = _FrameReader(body, server_lists)
    end = len(body)
    while reader.position < end:
        instance, event = reader.read_record()
        if event is not None:
            yield instance, event


def parse_settings(data: bytes) -> Settings:
    """Parse the settings of an attach record; unknown keys are ignored. Raises ProtocolError."""
    try:
        text = data.decode()
    except UnicodeDecodeError as exc:
        raise ProtocolError(f"settings are not UTF-8: {exc}") from exc
    pairs = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)
    try:
        return read_settings(pairs)
    except SettingsError as exc:
        raise ProtocolError(str(exc)) from exc


class _FrameReader:
    """Reads the records of one frame in order.

    The `read_` methods for single records accept the record's fixed fields, the first of which is the
    instance, and read the rest. Invalid data raises ProtocolError or, past the end, struct.error.
    """

    def __init__(self, body: bytes, server_lists: dict[int, list[ServerEntry]]) -> None:
        self.position = 0  # Position of the next byte to read
        self._body = body
        self._record_start = 0
        self._server_lists = server_lists

    def read_record(self) -> tuple[int, SimulatorEvent | None]:
        """Read a record; return its instance and its event, or None for a record without an event."""
        start = self.position
        self._record_start = start
        code = self._body[start]
        name = "record"
        try:
            fixed_record = _FIXED_RECORDS.get(code)
            if fixed_record is not None:
                name, layout, make_event = fixed_record
                instance, *fields = layout.unpack_from(self._body, start + CODE_BYTES)
                self.position = start + CODE_BYTES + layout.size
                return instance, make_event(*fields)
            variable_record = _VARIABLE_RECORDS.get(code)
            if variable_record is None:
                raise ProtocolError(f"unknown event code {code} at byte {start} of the frame")
            name, layout, read_event = variable_record
            instance, *fields = layout.unpack_from(self._body, start + CODE_BYTES)
            self.position = start + CODE_BYTES + layout.size
            return instance, read_event(self, instance, *fields)
        except struct.error as exc:
            raise ProtocolError(f"{name} at byte {start} is truncated: {exc}") from exc

    def read_attach(self, _instance: int, seed: int, size: int) -> InstanceStarted:
        return InstanceStarted(seed, parse_settings(self._read_bytes(size, "attach")))

    def read_finished(
        self,
        _instance: int,
        request: int,
        attempt: int,
        server: int,
        outcome: int,
        latency_us: int,
        is_closed: int,
        report_size: int,
    ) -> AttemptEnded:
        if outcome not in KNOWN_OUTCOMES:
            raise ProtocolError(f"unknown outcome {outcome} in finished at byte {self._record_start}")
        report = self._read_report(report_size)
        return AttemptEnded(request, attempt, server, outcome, latency_us, is_closed, report)

    def read_message(self, _instance: int, sender: int, size: int) -> PeerMessage:
        return PeerMessage(sender, self._read_bytes(size, "message"))

    def read_directory(self, list_number: int, entry_count: int) -> None:
        """Read a server list. It belongs to no instance: the list number replaces the instance number."""
        size = entry_count * SERVER_ENTRY.size
        data = self._read_bytes(size, f"directory of {entry_count} entries")
        self._server_lists[list_number] = [ServerEntry(*entry) for entry in SERVER_ENTRY.iter_unpack(data)]

    def read_sampled(
        self, _instance: int, server: int, latency_us: int, outcome: int, report_size: int
    ) -> HealthCheckResult:
        return HealthCheckResult(server, latency_us, outcome, self._read_report(report_size))

    def read_sync(self, _instance: int, kind: int, version: int, list_number: int) -> EndpointUpdate:
        if kind > UpdateKind.CACHED:
            raise ProtocolError(f"unknown sync mode {kind} at byte {self._record_start}")
        if kind == UpdateKind.FAILED:
            return EndpointUpdate(kind, version, ())
        if list_number not in self._server_lists:
            raise ProtocolError(
                f"sync at byte {self._record_start} refers to list {list_number}, which was not sent"
            )
        return EndpointUpdate(kind, version, self._server_lists[list_number])

    def _read_report(self, size: int) -> tuple[float, ...]:
        if not size:
            return ()
        report = struct.unpack_from(f"<{size}f", self._body, self.position)
        self.position += REPORT_FIELD_BYTES * size
        return report

    def _read_bytes(self, size: int, part: str) -> bytes:
        end = self.position + size
        if end > len(self._body):
            raise ProtocolError(f"{part} at byte {self._record_start} extends past the end of the frame")
        data = self._body[self.position : end]
        self.position = end
        return data


def _make_sample(
    request: int, server: int, value: float, attempt: int, kind: int
) -> LoadSample | LatencySample | None:
    """Return a sample of a supported kind; None for kinds that the policy does not use."""
    sample_type = SAMPLE_TYPES.get(kind)
    return sample_type(request, server, value, attempt) if sample_type else None


class _FixedRecord(NamedTuple):
    """A record of fixed size, whose fields after the instance are those of its event."""

    name: str
    layout: Struct
    make_event: Callable[..., Event | InstanceCrashed | None]


class _VariableRecord(NamedTuple):
    """A record with a part of variable size, or with fields that have to be checked."""

    name: str
    layout: Struct
    read_event: Callable[..., SimulatorEvent | None]  # A method of _FrameReader


_FIXED_RECORDS: dict[int, _FixedRecord] = {
    EventCode.REMINDER: _FixedRecord("reminder", Struct("<HI"), TimerFired),
    EventCode.NEW_REQUEST: _FixedRecord("new_request", Struct("<HQBHQIIQB"), NewRequest),
    EventCode.PROGRESS: _FixedRecord("progress", Struct("<HQIfBB"), _make_sample),
    EventCode.UNDER_WAY: _FixedRecord("under_way", Struct("<HQIBI"), ConnectionEstablished),
    EventCode.ABORTED: _FixedRecord("aborted", Struct("<HQ"), ClientDisconnected),
    EventCode.CRASH_NOW: _FixedRecord("crash_now", Struct("<H"), InstanceCrashed),
    EventCode.PREEXISTING: _FixedRecord("preexisting", Struct("<HQBHQIIQBI"), ExistingConnection),
}
_VARIABLE_RECORDS: dict[int, _VariableRecord] = {
    EventCode.ATTACH: _VariableRecord("attach", Struct("<HQI"), _FrameReader.read_attach),
    EventCode.FINISHED: _VariableRecord("finished", Struct("<HQBIHIBB"), _FrameReader.read_finished),
    EventCode.MESSAGE: _VariableRecord("message", Struct("<HIH"), _FrameReader.read_message),
    EventCode.DIRECTORY: _VariableRecord("directory", Struct("<BI"), _FrameReader.read_directory),
    EventCode.SAMPLED: _VariableRecord("sampled", Struct("<HIIHB"), _FrameReader.read_sampled),
    EventCode.SYNC: _VariableRecord("sync", Struct("<HBQB"), _FrameReader.read_sync),
}
