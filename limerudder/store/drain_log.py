"""Hosts that must not receive new connections, as observed by this node or agreed on by the cluster.

A fact is made durable at this member as soon as it is observed, with or without a quorum, and is written to
the replicated state as soon as possible. A host is excluded if the member's own facts or the agreed record
exclude it. A drain ends only with:

- a newer start of the host than the drained one: a drain is recorded with the host's start time and covers
  that start and all earlier ones. An endpoint list that shows the same start as active again has no effect;
- an operator's `maint-off`, which ends the drains and holds that are active at this member when it is called.
  Those that others record concurrently remain: of two conflicting facts, the one that excludes the host takes
  precedence.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec

from limerudder.store.commands import Compare, CompareTarget, Put, Transaction

HOST_KEY_PREFIX = "hosts/"  #: The key of a host's agreed record is this prefix and the host's name
NEVER_DRAINED = -1  #: Value of `drained` if no start of the host has been drained


class HostRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The agreed record of a host, stored as JSON: the field names are part of the stored format."""

    drained: int = NEVER_DRAINED  # processes started up to this time (ms since 1970) get no new connections
    held: bool = False  # an operator's maintenance hold is active
    by: str = ""  # name of the node at which the hold was placed
    back_at: int = 0  # time of an operator's last return of the host to service, in microseconds

    def excludes(self, started_ms: int) -> bool:
        """Whether a process of the host that started at this time gets no new connections."""
        return self.held or started_ms <= self.drained


class DrainObserved(msgspec.Struct, frozen=True, array_like=True, tag="drain"):
    """Discovery has listed this start of a host as draining."""

    host: str
    started_ms: int


class MaintenanceHold(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """An operator has placed a maintenance hold on a host, at the node `held_by`."""

    host: str
    held_by: str


class ReturnToService(msgspec.Struct, frozen=True, array_like=True, tag="back"):
    """An operator has returned a host to service, based on its record as of `basis_revision`."""

    host: str
    returned_at_us: int
    basis_revision: int


DrainFact = DrainObserved | MaintenanceHold | ReturnToService

_encode_json = msgspec.json.Encoder().encode
_record_decoder: msgspec.json.Decoder[HostRecord] = msgspec.json.Decoder(HostRecord)
_encode_msgpack = msgspec.msgpack.Encoder().encode
_fact_decoder: msgspec.msgpack.Decoder[DrainFact] = msgspec.msgpack.Decoder(DrainFact)


def encode_fact(fact: DrainFact) -> bytes:
    """Encodes a fact for the disk."""
    return _encode_msgpack(fact)


def decode_fact(data: bytes) -> DrainFact:
    """Decodes a fact from the disk; raises msgspec.DecodeError if it is malformed."""
    return _fact_decoder.decode(data)


def encode_host_record(record: HostRecord) -> bytes:
    """Encodes a record to the value of its key."""
    return _encode_json(record)


def decode_host_record(value: bytes) -> HostRecord:
    """Decodes a record from the value of its key; raises msgspec.DecodeError if it is malformed."""
    return _record_decoder.decode(value)


def apply_fact(record: HostRecord, modified_revision: int, fact: DrainFact) -> HostRecord:
    """Returns the record with a fact applied; `modified_revision` is that of the given record."""
    match fact:
        case DrainObserved(_, started_ms):
            return HostRecord(max(record.drained, started_ms), record.held, record.by, record.back_at)
        case MaintenanceHold(_, held_by):
            holder = record.by if record.held else held_by
            return HostRecord(record.drained, True, holder, record.back_at)
        case ReturnToService(_, returned_at_us, basis_revision):
            if modified_revision > basis_revision:
                # drains and holds recorded after `basis_revision`, unseen by the operator, remain active
                return record
            return HostRecord(NEVER_DRAINED, False, "", max(record.back_at, returned_at_us))
    raise AssertionError("every type of fact is handled above")


class AgreedRecord(NamedTuple):
    """A host's agreed record, and the revision at which it was last modified."""

    modified_revision: int
    record: HostRecord


NO_AGREED_RECORD = AgreedRecord(0, HostRecord())


class NumberedFact(NamedTuple):
    """A fact and its number, which identifies it on this member's disk."""

    number: int
    fact: DrainFact


class DrainLogChanges(NamedTuple):
    """Changes of the pending facts that are to be made durable."""

    added: tuple[NumberedFact, ...]
    deleted: tuple[int, ...]  # numbers of facts


class DrainLog:
    """Facts that are not in the replicated state yet, and the last agreed records received by this member."""

    def __init__(self, agreed: Mapping[str, AgreedRecord], facts: Mapping[int, DrainFact]) -> None:
        self.pending_facts = dict(sorted(facts.items()))  # fact number -> fact, in the order of observation
        self.host_changed: Callable[[str], None] = lambda host: None
        self._unsaved_facts: list[NumberedFact] = []  # facts to be made durable
        self._unsaved_deletions: list[int] = []  # numbers of facts to be deleted from the disk
        self._agreed = dict(agreed)  # host -> record
        self._next_number = max(facts, default=0) + 1
        self._effective_records: dict[str, HostRecord] = {}  # cache of `effective_record`: host -> record
        self._facts_being_written: dict[str, tuple[int, ...]] = {}  # host -> numbers of its facts

    def effective_record(self, host: str) -> HostRecord:
        """Returns the record that this member applies: the host's agreed record with all pending facts."""
        record = self._effective_records.get(host)
        if record is None:
            modified_revision, agreed = self._agreed.get(host, NO_AGREED_RECORD)
            record = self._with_facts(agreed, modified_revision, self._fact_numbers(host))
            self._effective_records[host] = record
        return record

    def hosts(self) -> set[str]:
        """Returns all hosts with an agreed record or a pending fact."""
        return self._agreed.keys() | {fact.host for fact in self.pending_facts.values()}

    def held_hosts(self) -> set[str]:
        """Returns the hosts under a maintenance hold."""
        return {host for host in self.hosts() if self.effective_record(host).held}

    def _fact_numbers(self, host: str) -> tuple[int, ...]:
        return tuple(number for number, fact in self.pending_facts.items() if fact.host == host)

    def _with_facts(self, record: HostRecord, modified_revision: int, numbers: tuple[int, ...]) -> HostRecord:
        for number in numbers:
            record = apply_fact(record, modified_revision, self.pending_facts[number])
        return record

    def record_drain(self, host: str, started_ms: int) -> int | None:
        """Records that discovery lists a start of a host as draining; returns the new fact's number, or None.

        None means that the drain is active already.
        """
        if started_ms <= self.effective_record(host).drained:
            return None
        return self._add(DrainObserved(host, started_ms))

    def record_hold(self, host: str, held_by: str) -> int:
        """Records an operator's hold; returns the number of the fact that stands for it.

        A host that is held already is held anew: another member may have recorded a return to service that is
        older than this call but has not arrived here, and is based on the hold that this member knows. Only a
        hold that is still to be written counts for this call too.
        """
        for number in self._fact_numbers(host):
            is_hold = isinstance(self.pending_facts[number], MaintenanceHold)
            if is_hold and number not in self._facts_being_written.get(host, ()):
                return number
        return self._add(MaintenanceHold(host, held_by))

    def record_return(self, host: str, returned_at_us: int) -> int:
        """Records that an operator returns a host to service; returns the new fact's number.

        Pending facts that are not being written yet are deleted. The new fact reverses those that are being
        written or already agreed on.
        """
        for number in self._fact_numbers(host):
            if number not in self._facts_being_written.get(host, ()):
                self._drop(number)
        basis_revision = self._agreed.get(host, NO_AGREED_RECORD).modified_revision
        return self._add(ReturnToService(host, returned_at_us, basis_revision))

    def _add(self, fact: DrainFact) -> int:
        number = self._next_number
        self._next_number += 1
        self.pending_facts[number] = fact
        self._unsaved_facts.append(NumberedFact(number, fact))
        self._refresh(fact.host)
        return number

    def _drop(self, number: int) -> None:
        fact = self.pending_facts.pop(number)
        self._unsaved_facts = [unsaved for unsaved in self._unsaved_facts if unsaved.number != number]
        self._unsaved_deletions.append(number)
        self._refresh(fact.host)

    def _refresh(self, host: str) -> None:
        self._effective_records.pop(host, None)
        self.host_changed(host)

    def has_unsaved(self) -> bool:
        """Whether there are changes that `take_unsaved` has not returned yet."""
        return bool(self._unsaved_facts or self._unsaved_deletions)

    def is_unsaved(self, number: int) -> bool:
        """Whether `take_unsaved` has not returned the fact of this number yet."""
        return any(unsaved.number == number for unsaved in self._unsaved_facts)

    def take_unsaved(self) -> DrainLogChanges:
        """Returns the unsaved changes; each change is returned only once."""
        changes = DrainLogChanges(tuple(self._unsaved_facts), tuple(self._unsaved_deletions))
        self._unsaved_facts = []
        self._unsaved_deletions = []
        return changes

    def update_agreed(self, host: str, modified_revision: int, value: bytes | None) -> None:
        """Applies a host's agreed record from the replicated state; `value` is None if it was removed."""
        current = self._agreed.get(host)
        if current and current.modified_revision > modified_revision:
            return  # a replicated state that is still catching up must not replace a newer record
        try:
            record = decode_host_record(value) if value is not None else HostRecord()
        except msgspec.DecodeError:
            return  # a malformed value must not return an excluded host to service
        self._agreed[host] = AgreedRecord(modified_revision, record)
        self._refresh(host)

    def prepare_write(self, host: str, modified_revision: int, value: bytes | None) -> Transaction | None:
        """Returns the write that adds a host's facts to its agreed record, and marks them as being written.

        `modified_revision` and `value` are the current ones of the host's key. Deletes the facts and returns
        None if they change nothing. A hold is written even if the record has one: the record's new revision
        makes returns without effect that are based on an older one.
        """
        numbers = self._fact_numbers(host)
        record = _record_or_default(value)
        updated = self._with_facts(record, modified_revision, numbers)
        has_hold = any(isinstance(self.pending_facts[number], MaintenanceHold) for number in numbers)
        if updated == record and not (has_hold and updated.held):
            for number in numbers:
                self._drop(number)
            return None
        self._facts_being_written[host] = numbers
        key = HOST_KEY_PREFIX + host
        unchanged = Compare(key, CompareTarget.MODIFIED, b"", modified_revision)
        return Transaction((unchanged,), (Put(key, encode_host_record(updated)),))

    def finish_write(self, host: str, revision: int | None) -> None:
        """Ends a write: its facts are agreed on at `revision`, or remain pending if that is None."""
        numbers = self._facts_being_written.pop(host, ())
        if revision is None:
            return
        for number in numbers:
            if number in self.pending_facts:
                self._drop(number)
        self._rebase_returns(host, revision)
        self._refresh(host)

    def _rebase_returns(self, host: str, revision: int) -> None:
        """Raises the basis revision of returns recorded during the write: the operator had seen its facts."""
        for number, fact in list(self.pending_facts.items()):
            if not isinstance(fact, ReturnToService) or fact.host != host:
                continue
            if fact.basis_revision < revision:
                rebased = ReturnToService(host, fact.returned_at_us, revision)
                self.pending_facts[number] = rebased
                self._unsaved_facts.append(NumberedFact(number, rebased))

    def hosts_to_write(self) -> list[str]:
        """Returns the hosts with pending facts and no write in progress."""
        return sorted({fact.host for fact in self.pending_facts.values()} - self._facts_being_written.keys())


def _record_or_default(value: bytes | None) -> HostRecord:
    if value is None:
        return HostRecord()
    try:
        return decode_host_record(value)
    except msgspec.DecodeError:
        return HostRecord()
