"""The bench's wire: frames of binary records, turned into events and back from actions.

Nothing is guessed: what does not fit the layout raises WireError with the place in the frame.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from struct import Struct, error, unpack_from
from typing import NamedTuple

from limerudder.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    MigrateClient,
    PolicyError,
    PollEndpoints,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
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
from limerudder.policy.settings import (
    Settings,
)
from limerudder.policy.settings_reader import SettingsError, read_settings

BATCH_HEADER = Struct("<IQI")
REPLY_HEADER = Struct("<III")
#: The largest frame read. Batches may be megabytes long; more than this is a broken length field.
MAX_FRAME = 1 << 28


class ProtocolError(Exception):
    """A frame or a record that does not follow the layout."""


class InstanceStarted(NamedTuple):
    """An instance starts; the one record that creates a Balancer."""

    seed: int
    settings: Settings


class InstanceCrashed(NamedTuple):
    """An instance was killed."""


SimulatorEvent = Event | InstanceStarted | InstanceCrashed

_ENTRY = Struct("<IHBHBfQ")
_COUNTED = {
    2: ("attach", Struct("<HQI")),
    3: ("finished", Struct("<HQBIHIBB")),
    4: ("message", Struct("<HIH")),
    6: ("directory", Struct("<BI")),
    8: ("sampled", Struct("<HIIHB")),
    9: ("sync", Struct("<HBQB")),
}
_SAMPLE_KINDS: dict[int, type[LoadSample] | type[LatencySample]] = {1: LoadSample, 2: LatencySample}


def _sample(
    request: int, server: int, value: float, attempt: int, kind: int
) -> LoadSample | LatencySample | None:
    """A sample of a known kind; None for kinds that this policy has no use for."""
    sample = _SAMPLE_KINDS.get(kind)
    return sample(request, server, value, attempt) if sample else None


_FIXED: dict[int, tuple[str, Struct, Callable[..., Event | InstanceCrashed | None]]] = {
    0: ("reminder", Struct("<HI"), TimerFired),
    1: ("new_request", Struct("<HQBHQIIQB"), NewRequest),
    5: ("progress", Struct("<HQIfBB"), _sample),
    7: ("under_way", Struct("<HQIBI"), ConnectionEstablished),
    10: ("aborted", Struct("<HQ"), ClientDisconnected),
    11: ("crash_now", Struct("<H"), InstanceCrashed),
    12: ("preexisting", Struct("<HQBHQIIQBI"), ExistingConnection),
}
_ENDINGS = frozenset(int(e) for e in AttemptOutcome)


def _report(body: bytes, at: int, n: int) -> tuple[float, ...]:
    return unpack_from(f"<{n}f", body, at) if n else ()


def decode(body: bytes, tables: dict[int, list[ServerEntry]]) -> Iterator[tuple[int, SimulatorEvent]]:
    """Yield (instance, event) in the order of the frame.

    `tables` are the process's numbered server lists. A number may stand for a new list later in the same
    batch, so each is resolved as it is met.
    """
    at, end, fixed = 0, len(body), _FIXED
    name = "record"
    try:
        while at < end:
            start, code = at, body[at]
            found = fixed.get(code)
            if found is not None:
                name, layout, make = found
                who, *values = layout.unpack_from(body, at + 1)
                at += 1 + layout.size
                event = make(*values)
                if event is not None:
                    yield who, event
                continue
            if code not in _COUNTED:
                raise ProtocolError(f"unknown event code {code} at byte {at} of the frame")
            name, layout = _COUNTED[code]
            who, *values = layout.unpack_from(body, at + 1)
            at += 1 + layout.size
            if code == 3:
                if values[3] not in _ENDINGS:
                    raise ProtocolError(f"unknown outcome {values[3]} in finished at byte {start}")
                report = _report(body, at, values[6])
                at += 4 * values[6]
                yield who, AttemptEnded._make((*values[:6], report))
            elif code == 8:
                report = _report(body, at, values[3])
                at += 4 * values[3]
                yield who, HealthCheckResult._make((*values[:3], report))
            elif code == 6:  # here the first field is the number of the list, not an instance
                size = values[0] * _ENTRY.size
                if at + size > end:
                    raise ProtocolError(
                        f"directory of {values[0]} entries at byte {start} runs past the frame"
                    )
                tables[who] = [ServerEntry(*e) for e in _ENTRY.iter_unpack(body[at : at + size])]
                at += size
            elif code == 9:
                kind, version, table = values
                if kind > 3:
                    raise ProtocolError(f"unknown sync mode {kind} at byte {start}")
                if kind != UpdateKind.FAILED and table not in tables:
                    raise ProtocolError(f"sync at byte {start} names list {table}, which was never sent")
                entries = () if kind == UpdateKind.FAILED else tables[table]
                yield who, EndpointUpdate(kind, version, entries)
            else:
                size = values[1]
                if at + size > end:
                    raise ProtocolError(f"{name} at byte {start} runs past the frame")
                data = body[at : at + size]
                at += size
                if code == 4:
                    yield who, PeerMessage(values[0], data)
                else:
                    yield who, InstanceStarted(values[0], parse_settings(data))
    except error as exc:
        raise ProtocolError(f"{name} at byte {start} is cut short: {exc}") from exc


def parse_settings(data: bytes) -> Settings:
    """Read the settings of an attach; unknown keys are passed over."""
    try:
        text = data.decode()
    except UnicodeDecodeError as exc:
        raise ProtocolError(f"settings are not UTF-8: {exc}") from exc
    try:
        return read_settings(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))
    except SettingsError as exc:
        raise ProtocolError(str(exc)) from exc


_TEXT = Struct("<BHH")
_TELL = Struct("<BHIH")
_BARE = Struct("<BH")
_PLAIN: dict[type, tuple[int, Struct]] = {
    StartAttempt: (64, Struct("<BHQII")),
    RejectRequest: (65, Struct("<BHQI")),
    FailRequest: (66, Struct("<BHQ")),
    CancelAttempt: (67, Struct("<BHQB")),
    SetTimer: (68, Struct("<BHQI")),
    CheckHealth: (69, Struct("<BHI")),
    CloseIdleConnections: (70, Struct("<BHI")),
    WatchEndpoints: (74, Struct("<BH?")),
    PollEndpoints: (75, _BARE),
    MigrateClient: (76, Struct("<BHQ")),
}


def encode(who: int, action: Action) -> bytes:
    """One action as a record."""
    plain = _PLAIN.get(type(action))
    if plain is not None:
        return plain[1].pack(plain[0], who, *action)
    if isinstance(action, SendPeerMessage):
        data = action.data[:256]
        return _TELL.pack(71, who, action.peer, len(data)) + data
    if isinstance(action, LogMessage | PolicyError):
        data = action.text.encode()[:4000]
        return _TEXT.pack(72 if isinstance(action, LogMessage) else 73, who, len(data)) + data
    raise TypeError(f"not an action: {action!r}")
