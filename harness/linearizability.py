"""Checks that the history of client calls is linearizable in the order of the store's revisions."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass

from limerudder.store.state_machine import KeyValueState


@dataclass
class ClientCall:
    """A client's read or write, with its start and end times and the revision of its answer."""

    client: int
    started_us: int
    key: str
    is_write: bool
    value: bytes | None
    finished_us: int | None = None
    revision: int = 0


class LinearizabilityError(AssertionError):
    """The history of client calls is not linearizable; the message gives the reason."""


def check_linearizable(
    history: Sequence[ClientCall], commands: Mapping[int, bytes], checked_keys: Collection[str]
) -> int:
    """Check a history against the committed commands by log index; return the number of answered writes."""
    finished = sorted(
        (call for call in history if call.finished_us is not None), key=lambda call: call.finished_us or 0
    )
    _check_real_time_order(history, finished)
    values = _replay(commands, checked_keys)
    for call in finished:
        if call.is_write:
            _check_write(call, values)
        else:
            _check_read(call, values)
    return sum(call.is_write for call in finished)


def _check_real_time_order(history: Sequence[ClientCall], finished: Sequence[ClientCall]) -> None:
    """Check that a call returns no earlier revision than any call that ended before it.

    A write must return a later revision.
    """
    seen_revision = 0
    position = 0
    for call in sorted(history, key=lambda call: call.started_us):
        while position < len(finished) and (finished[position].finished_us or 0) < call.started_us:
            seen_revision = max(seen_revision, finished[position].revision)
            position += 1
        if call.finished_us is None:
            continue
        is_stale = call.revision < seen_revision
        if is_stale or call.is_write and call.revision <= seen_revision:
            raise LinearizabilityError(f"{call} started after revision {seen_revision} was observed")


def _replay(
    commands: Mapping[int, bytes], checked_keys: Collection[str]
) -> dict[tuple[str, int], bytes | None]:
    """Return the values by key and the revision that set them; every value is written once."""
    values: dict[tuple[str, int], bytes | None] = {}
    written: set[bytes] = set()
    for revision, key, value in _changes(commands):
        if value is not None and key in checked_keys:
            if value in written:
                raise LinearizabilityError(
                    f"{value[:20]!r} was written twice, the second time at revision {revision}"
                )
            written.add(value)
        values[key, revision] = value
    return values


def _changes(commands: Mapping[int, bytes]) -> Iterator[tuple[int, str, bytes | None]]:
    """Yield the revision, key and value of each change that the commands make, in order."""
    state = KeyValueState(1 << 30)
    for index in sorted(commands):
        state.apply(index, commands[index])
    for event in state.history:
        yield event.revision, event.key, event.item.value if event.item else None


def _check_write(call: ClientCall, values: Mapping[tuple[str, int], bytes | None]) -> None:
    key = call.key, call.revision
    if key not in values or values[key] != call.value:
        raise LinearizabilityError(f"{call} was acknowledged but not applied")


def _check_read(call: ClientCall, values: Mapping[tuple[str, int], bytes | None]) -> None:
    revisions = (revision for key, revision in values if key == call.key and revision <= call.revision)
    last_revision = max(revisions, default=0)
    value = values[call.key, last_revision] if last_revision else None
    if value != call.value:
        raise LinearizabilityError(f"{call} returned a value that the key did not have")
