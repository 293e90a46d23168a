"""Which endpoint lists the store's writer saves for nodes that restart."""

from __future__ import annotations

from typing import Any

from harness.configurations import host, hosts
from limerudder.core.discovery.endpoint_list import EndpointList, parse_endpoint_list
from limerudder.store.commands import CommandResult, OpenSession, Put, SessionWrite
from limerudder.store.durability import PersistedValue
from limerudder.store.endpoint_list_writer import WRITE_INTERVAL_US, EndpointListWriter

MAX_VALUE_BYTES = 64 << 10


class FakeStore:
    """A store whose member leads and answers each write at once."""

    def __init__(self) -> None:
        self.member = self
        self.is_leader = True
        self.written: list[bytes] = []
        self.compared_revisions: list[int] = []

    def now_us(self) -> int:
        return 0

    def schedule_output(self) -> None:
        pass

    def persisted_value(self, key: str) -> PersistedValue:
        return PersistedValue(len(self.written), self.written[-1] if self.written else None)

    def write(self, command: Any, deadline_us: int, callback: Any, now_us: int) -> None:
        if isinstance(command, SessionWrite):
            (put,) = command.transaction.on_success
            assert isinstance(put, Put)
            self.compared_revisions += [compare.number for compare in command.transaction.comparisons]
            self.written.append(put.value)
        else:
            assert isinstance(command, OpenSession)
        callback(CommandResult(1, len(self.written)), now_us)


def endpoint_list(version: int, *names: str, complete: bool = True) -> EndpointList:
    return parse_endpoint_list(hosts(*map(host, names), reset=complete) | {"generation": version})


def written_lists(*lists: EndpointList) -> int:
    """Write lists one after the other; return how many were saved."""
    store = FakeStore()
    writer = EndpointListWriter(store, MAX_VALUE_BYTES)  # type: ignore[arg-type]
    now_us = 0
    writer.write(lists[0], now_us)  # opens the session
    for content in lists:
        now_us += WRITE_INTERVAL_US
        writer.write(content, now_us)
    return len(store.written)


def test_a_list_is_saved_once() -> None:
    assert written_lists(endpoint_list(7, "h1"), endpoint_list(7, "h1"), endpoint_list(8, "h1", "h2")) == 2


def test_a_list_whose_complete_form_is_still_awaited_is_not_saved() -> None:
    """Guards against a restart from hosts of the old service, for which no change is ever told."""
    assert written_lists(endpoint_list(7, "old", "h1", complete=False)) == 0


def test_a_list_of_a_numbering_that_began_anew_is_saved() -> None:
    """Guards against a comparison of versions alone: a new service's list may have the same one."""
    assert written_lists(endpoint_list(7, "h1"), endpoint_list(7, "h2")) == 2
