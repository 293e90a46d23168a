"""What a node knows of hosts that must get nothing new: what it heard itself, and what all have agreed on.

A fact is kept durably here the moment it is heard, with or without a quorum, and written to the records
when that can be done. Until then, and ever after, a host is out where either says so. Only two things lift
a drain:

- a newer start of the host than the one that was drained: a drain is remembered with the host's start, and
  covers that start and all before it. A list that says `active` with the same start changes nothing;
- the hand, by `maint-off`, for what stood when it was called. What others put down meanwhile stays: where
  words meet, the safer wins.

No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from limerudder.store.state_machine import Compare, CompareTarget, Put, Transaction

HOST_KEY_PREFIX = "hosts/"  #: a key a host
NEVER_DRAINED = -1  #: no start of this host was drained


class HostRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What is agreed on about a host; JSON in the records."""

    drained: int = NEVER_DRAINED  # starts up to this one, in ms since 1970, get nothing new
    held: bool = False
    by: str = ""  # whose hand holds it
    back_at: int = 0  # when a hand last put it back, in us

    def out(self, started_ms: int) -> bool:
        """Whether the process of this start gets nothing new."""
        return self.held or started_ms <= self.drained


class DrainObserved(msgspec.Struct, frozen=True, array_like=True, tag="drain"):
    """Discovery has said that this start of a host drains."""

    host: str
    started_ms: int


class MaintenanceHold(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """A hand holds the host out."""

    host: str
    by: str


class ReturnToService(msgspec.Struct, frozen=True, array_like=True, tag="back"):
    """A hand puts it back, having seen the record as of this revision."""

    host: str
    at: int
    basis: int


DrainFact = DrainObserved | MaintenanceHold | ReturnToService

_json = msgspec.json.Encoder().encode
_decode_record: msgspec.json.Decoder[Any] = msgspec.json.Decoder(HostRecord)
_encode_fact = msgspec.msgpack.Encoder().encode
_decode_fact: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(DrainFact)


def encode_fact(fact: DrainFact) -> bytes:
    """A fact as the disk keeps it."""
    return _encode_fact(fact)


def decode_fact(data: bytes) -> DrainFact:
    """A fact from the disk; msgspec.DecodeError where it is none."""
    fact: DrainFact = _decode_fact.decode(data)
    return fact


def encode_host_record(record: HostRecord) -> bytes:
    """A record's value."""
    return _json(record)


def decode_host_record(value: bytes) -> HostRecord:
    """A record from a value; msgspec.DecodeError where it is none."""
    record: HostRecord = _decode_record.decode(value)
    return record


def apply_fact(record: HostRecord, modified: int, fact: DrainFact) -> HostRecord:
    """The record with a fact: `modified` is the revision at which it last changed."""
    match fact:
        case DrainObserved(_, started_ms):
            return HostRecord(max(record.drained, started_ms), record.held, record.by, record.back_at)
        case MaintenanceHold(_, by):
            return HostRecord(record.drained, True, by if not record.held else record.by, record.back_at)
        case ReturnToService(_, at, basis):
            if modified > basis:  # guards what others have put down since the hand looked
                return record
            return HostRecord(NEVER_DRAINED, False, "", max(record.back_at, at))
    raise AssertionError("all facts are above")


class KnownRecord(NamedTuple):
    """A record as the disk last kept it."""

    modified: int
    record: HostRecord


class DrainLog:
    """Facts that are not in the records yet, over the records as they were last known here."""

    def __init__(self, known: Mapping[str, KnownRecord], facts: Mapping[int, DrainFact]) -> None:
        self.known = dict(known)  # by host
        self.facts = dict(sorted(facts.items()))  # by number, in the order they came
        self.next_fact = max(facts, default=0) + 1
        self.views: dict[str, HostRecord] = {}  # reckoned when asked for
        self.pushing: dict[str, tuple[int, ...]] = {}  # the facts of a host that are under way
        self.new_facts: list[tuple[int, DrainFact]] = []  # to be made durable
        self.gone_facts: list[int] = []  # to be forgotten by the disk
        self.changed: Callable[[str], None] = lambda host: None

    def view(self, host: str) -> HostRecord:
        """What holds for a host here and now."""
        view = self.views.get(host)
        if view is None:
            modified, view = self.known.get(host, KnownRecord(0, HostRecord()))
            for fact in self.facts.values():
                if fact.host == host:
                    view = apply_fact(view, modified, fact)
            self.views[host] = view
        return view

    def hosts(self) -> set[str]:
        """All that anything is known of."""
        return self.known.keys() | {fact.host for fact in self.facts.values()}

    def held(self) -> set[str]:
        """Those that a hand holds."""
        return {host for host in self.hosts() if self.view(host).held}

    # what is heard here

    def drain(self, host: str, started_ms: int) -> int | None:
        """Discovery says that it drains; gives the new fact's number, None where that is no news."""
        if started_ms <= self.view(host).drained:
            return None
        return self._add(DrainObserved(host, started_ms))

    def hold(self, host: str, by: str) -> int | None:
        """A hand holds it."""
        return None if self.view(host).held else self._add(MaintenanceHold(host, by))

    def back(self, host: str, at: int) -> int:
        """A hand puts it back: what was only noted here is dropped, what is agreed on is undone."""
        for number, fact in list(self.facts.items()):
            if fact.host == host and number not in self.pushing.get(host, ()):
                self._drop(number)
        return self._add(
            ReturnToService(host, at, self.known.get(host, KnownRecord(0, HostRecord())).modified)
        )

    def _add(self, fact: DrainFact) -> int:
        number, self.next_fact = self.next_fact, self.next_fact + 1
        self.facts[number] = fact
        self.new_facts.append((number, fact))
        self._touch(fact.host)
        return number

    def _drop(self, number: int) -> None:
        fact = self.facts.pop(number)
        self.new_facts = [one for one in self.new_facts if one[0] != number]
        self.gone_facts.append(number)
        self._touch(fact.host)

    def _touch(self, host: str) -> None:
        self.views.pop(host, None)
        self.changed(host)

    # the records

    def learn(self, host: str, modified: int, value: bytes | None) -> None:
        """The records say this of a host, as of that revision."""
        before = self.known.get(host)
        if before and before.modified >= modified:
            return  # guards what is known here against records that are still catching up
        try:
            record = decode_host_record(value) if value is not None else HostRecord()
        except msgspec.DecodeError:  # guards hosts that are out against a value that nobody can read
            return
        self.known[host] = KnownRecord(modified, record)
        self._touch(host)

    def push(
        self, host: str, modified: int, value: bytes | None
    ) -> tuple[Transaction, tuple[int, ...]] | None:
        """The write that brings a host's facts into the records, which hold this of it now.

        Gives the write and the facts in it, None where nothing has to be written; those facts are then
        dropped.
        """
        numbers = tuple(number for number, fact in self.facts.items() if fact.host == host)
        try:
            record = decode_host_record(value) if value is not None else HostRecord()
        except msgspec.DecodeError:
            record = HostRecord()
        after = record
        for number in numbers:
            after = apply_fact(after, modified, self.facts[number])
        if after == record:
            for number in numbers:
                self._drop(number)
            return None
        key = HOST_KEY_PREFIX + host
        self.pushing[host] = numbers
        return Transaction(
            (Compare(key, CompareTarget.MODIFIED, b"", modified),), (Put(key, encode_host_record(after)),)
        ), numbers

    def pushed(self, host: str, revision: int | None) -> None:
        """A push has ended: its facts stand in the records as of a revision, or do not."""
        numbers = self.pushing.pop(host, ())
        if revision is None:
            return
        for number in numbers:
            if number in self.facts:
                self._drop(number)
        for number, fact in list(self.facts.items()):
            # a hand that came amid the push has seen what was pushed
            if isinstance(fact, ReturnToService) and fact.host == host and fact.basis < revision:
                self.facts[number] = ReturnToService(host, fact.at, revision)
                self.new_facts.append((number, self.facts[number]))
        self._touch(host)

    def waiting(self) -> list[str]:
        """Hosts with facts that no push is under way for."""
        return sorted({fact.host for fact in self.facts.values()} - self.pushing.keys())
