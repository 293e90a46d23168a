"""The bench's wire: frames of binary records, turned into events and back from actions.

Nothing is guessed: what does not fit the layout raises WireError with the place in the frame.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from struct import Struct, error, unpack_from
from typing import NamedTuple

from . import interface as io
from .settings import SettingsError, read_settings

BATCH_HEADER = Struct("<IQI")
REPLY_HEADER = Struct("<III")
#: The largest frame read. Batches may be megabytes long; more than this is a broken length field.
MAX_FRAME = 1 << 28


class WireError(Exception):
    """A frame or a record that does not follow the layout."""


class Attach(NamedTuple):
    """An instance starts; the one record that creates a Balancer."""

    seed: int
    settings: io.Settings


class Crash(NamedTuple):
    """An instance was killed."""


WireEvent = io.Event | Attach | Crash

_ENTRY = Struct("<IHBHBfQ")
_COUNTED = {
    2: ("attach", Struct("<HQI")),
    3: ("finished", Struct("<HQBIHIBB")),
    4: ("message", Struct("<HIH")),
    6: ("directory", Struct("<BI")),
    8: ("sampled", Struct("<HIIHB")),
    9: ("sync", Struct("<HBQB")),
}
_FIXED: dict[int, tuple[str, Struct, Callable[..., io.Event | Crash]]] = {
    0: ("reminder", Struct("<HI"), io.Timer),
    1: ("new_request", Struct("<HQBHQIIQB"), io.Request),
    5: ("progress", Struct("<HQIfBB"), io.Note),
    7: ("under_way", Struct("<HQIBI"), io.Established),
    10: ("aborted", Struct("<HQ"), io.Gone),
    11: ("crash_now", Struct("<H"), Crash),
    12: ("preexisting", Struct("<HQBHQIIQBI"), io.Open),
}
_ENDINGS = frozenset(int(e) for e in io.Ending)


def _report(body: bytes, at: int, n: int) -> tuple[float, ...]:
    return unpack_from(f"<{n}f", body, at) if n else ()


def decode(body: bytes, tables: dict[int, list[io.ServerEntry]]) -> Iterator[tuple[int, WireEvent]]:
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
                yield who, make(*values)
                continue
            if code not in _COUNTED:
                raise WireError(f"unknown event code {code} at byte {at} of the frame")
            name, layout = _COUNTED[code]
            who, *values = layout.unpack_from(body, at + 1)
            at += 1 + layout.size
            if code == 3:
                if values[3] not in _ENDINGS:
                    raise WireError(f"unknown outcome {values[3]} in finished at byte {start}")
                report = _report(body, at, values[6])
                at += 4 * values[6]
                yield who, io.Outcome._make((*values[:6], report))
            elif code == 8:
                report = _report(body, at, values[3])
                at += 4 * values[3]
                yield who, io.Probed._make((*values[:3], report))
            elif code == 6:  # here the first field is the number of the list, not an instance
                size = values[0] * _ENTRY.size
                if at + size > end:
                    raise WireError(f"directory of {values[0]} entries at byte {start} runs past the frame")
                tables[who] = [io.ServerEntry(*e) for e in _ENTRY.iter_unpack(body[at : at + size])]
                at += size
            elif code == 9:
                kind, version, table = values
                if kind > 3:
                    raise WireError(f"unknown sync mode {kind} at byte {start}")
                if kind != io.ListKind.FAILED and table not in tables:
                    raise WireError(f"sync at byte {start} names list {table}, which was never sent")
                entries = () if kind == io.ListKind.FAILED else tables[table]
                yield who, io.Members(kind, version, entries)
            else:
                size = values[1]
                if at + size > end:
                    raise WireError(f"{name} at byte {start} runs past the frame")
                data = body[at : at + size]
                at += size
                if code == 4:
                    yield who, io.PeerMessage(values[0], data)
                else:
                    yield who, Attach(values[0], parse_settings(data))
    except error as exc:
        raise WireError(f"{name} at byte {start} is cut short: {exc}") from exc


def parse_settings(data: bytes) -> io.Settings:
    """Read the settings of an attach; unknown keys are passed over."""
    try:
        text = data.decode()
    except UnicodeDecodeError as exc:
        raise WireError(f"settings are not UTF-8: {exc}") from exc
    try:
        return read_settings(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))
    except SettingsError as exc:
        raise WireError(str(exc)) from exc


_TEXT = Struct("<BHH")
_TELL = Struct("<BHIH")
_BARE = Struct("<BH")
_PLAIN: dict[type, tuple[int, Struct]] = {
    io.Send: (64, Struct("<BHQII")),
    io.Refuse: (65, Struct("<BHQI")),
    io.Fail: (66, Struct("<BHQ")),
    io.Cancel: (67, Struct("<BHQB")),
    io.SetTimer: (68, Struct("<BHQI")),
    io.Probe: (69, Struct("<BHI")),
    io.CloseIdle: (70, Struct("<BHI")),
    io.Watch: (74, Struct("<BH?")),
    io.Fetch: (75, _BARE),
    io.Move: (76, Struct("<BHQ")),
}


def encode(who: int, action: io.Action) -> bytes:
    """One action as a record."""
    plain = _PLAIN.get(type(action))
    if plain is not None:
        return plain[1].pack(plain[0], who, *action)
    if isinstance(action, io.Tell):
        data = action.data[:256]
        return _TELL.pack(71, who, action.peer, len(data)) + data
    if isinstance(action, io.Log | io.Fault):
        data = action.text.encode()[:4000]
        return _TEXT.pack(72 if isinstance(action, io.Log) else 73, who, len(data)) + data
    raise TypeError(f"not an action: {action!r}")
