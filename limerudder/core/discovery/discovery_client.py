"""A node's discovery client: one watch at a time, additional polls, and retries of failed calls."""

from __future__ import annotations

from typing import Protocol

from limerudder.core.discovery.discovery_call import DiscoveryCall
from limerudder.core.discovery.endpoint_list import EndpointList
from limerudder.core.discovery.list_history import ListHistory
from limerudder.core.operations.counters import CounterName
from limerudder.core.operations.log_events import LogKind
from limerudder.core.services import NodeServices
from limerudder.core.transport import Address
from limerudder.policy.discovery_timing import (
    CHECK_INTERVAL_US,
    COMPLETE_TIMEOUT_US,
    LARGE_LIST_BYTES,
    MAX_COMPLETE_TIMEOUT_US,
    CallDeadline,
    client_retry_wait_us,
)


class EndpointObserver(Protocol):
    """Receives endpoint lists and failures; implemented by the node."""

    def endpoints_received(self, endpoints: EndpointList, now_us: int) -> None:
        """A complete list or changes to it have arrived."""

    def endpoints_unchanged(self, version: int, now_us: int) -> None:
        """A poll was unnecessary, since the watch has missed nothing."""

    def endpoints_failed(self, version: int, now_us: int) -> None:
        """A call failed or the watch ended; the list received so far is kept."""


class DiscoveryClient:
    """Watches and polls discovery at one address, which can be changed.

    Lists of concurrent calls are ordered by their version (`ListHistory`). A call that answers with a version
    below the one known when it was opened shows that the service has begun a new numbering.
    """

    def __init__(
        self,
        address: Address,
        known: EndpointList,
        is_pushed: bool,
        observer: EndpointObserver,
        services: NodeServices,
    ) -> None:
        """`known`: the observer's list; if it is incomplete, a complete one is requested."""
        self.watch: DiscoveryCall | None = None
        self.has_endpoint_list = False  # Whether the current watch has received its first list
        self.awaits_complete_list = not known.is_complete  # Whether the service has yet to send one
        self._address = address
        self._is_pushed = is_pushed  # Whether an agent on this machine sends the lists, not a shared service
        self._observer = observer
        self._network = services.network
        self._timer_wheel = services.timer_wheel
        self._counters = services.counters
        self._log = services.log
        self._history = ListHistory(known.version)
        self._reopen_watch_at_us: int | None = None
        self._repeat_poll_at_us: int | None = None
        self._polls: set[DiscoveryCall] = set()
        self._complete_timeout_us = COMPLETE_TIMEOUT_US

    @property
    def version(self) -> int:
        """Version of the observer's list."""
        return self._history.version

    def start(self, now_us: int) -> None:
        """Open the watch if lists are pushed: the policy then does not request them."""
        self._check_calls(now_us)
        if self._is_pushed:
            self.ensure_watch(now_us)

    def ensure_watch(self, now_us: int) -> None:
        """Open the watch. If it is already open, nothing was missed and the shared service is not polled."""
        if self.watch is None:
            self._open_watch(now_us)
        elif self.has_endpoint_list and self.awaits_complete_list:
            self._poll_if_none_is_open(now_us)  # The previous poll has failed
        elif self.has_endpoint_list:
            self._observer.endpoints_unchanged(self.version, now_us)

    def close_watch(self) -> None:
        """Close the watch."""
        if self.watch:
            self.watch.close()
        self.watch = None
        self._reopen_watch_at_us = None

    def poll(self, now_us: int) -> None:
        """Request the complete list once."""
        self._polls.add(self._call(None, now_us))

    def change_address(self, address: Address, now_us: int) -> None:
        """Switch to discovery at another address; the list stays until the new service has sent its own."""
        if address == self._address:
            return
        self._address = address
        # Versions of two services are unrelated: a watch after a version of the old service might never
        # receive the changes of the new one. A late answer from the old service must not overwrite the list.
        self._begin_history()
        self.close_watch()
        self._close_polls()
        self.ensure_watch(now_us)

    # Calls

    def _open_watch(self, now_us: int) -> None:
        self._reopen_watch_at_us = None
        self.has_endpoint_list = False
        self.watch = self._call(self.version, now_us)

    def _poll_if_none_is_open(self, now_us: int) -> None:
        self._repeat_poll_at_us = None
        if not self._polls:
            self.poll(now_us)

    def _call(self, after_version: int | None, now_us: int) -> DiscoveryCall:
        self._counters.increment(CounterName.DISCOVERY_CALLS)
        host, port = self._address
        deadline = CallDeadline(self._is_pushed, now_us, self._complete_timeout_us)
        call = DiscoveryCall(f"{host}:{port}", after_version, self._list_received, self._call_ended, deadline)
        call.min_version = self.version
        call.transport = self._network.dial(self._address, call)
        return call

    def _close_polls(self) -> None:
        for poll in self._polls:
            poll.close()
        self._polls.clear()
        self._repeat_poll_at_us = None

    def _call_ended(self, call: DiscoveryCall, failed: bool, now_us: int) -> None:
        retry_at_us = now_us + client_retry_wait_us(self._is_pushed)
        if call is self.watch:
            self.watch = None
            self._reopen_watch_at_us = retry_at_us
        else:
            self._polls.discard(call)
            if self.awaits_complete_list:
                self._repeat_poll_at_us = retry_at_us
        if not self._polls:
            self._history.forget_changes()
        if failed:
            self._counters.increment(CounterName.DISCOVERY_FAILURES)
            self._observer.endpoints_failed(self.version, now_us)

    # Lists

    def _list_received(self, call: DiscoveryCall, received: EndpointList, now_us: int) -> None:
        """Apply a list. If that fails, the list does not count as received, and a later call repeats it."""
        is_renumbered = received.version < call.min_version
        if is_renumbered:
            self._begin_numbering(call, received, now_us)
        current = self._history.merge(received)
        self._report_outdated(received, current)
        self._observer.endpoints_received(current, now_us)
        self._history.record(received, keep_changes=bool(self._polls))
        call.min_version = received.version
        self.has_endpoint_list = self.has_endpoint_list or call is self.watch
        # At the first address no complete list is awaited, to limit the load on the shared service: changes
        # to the list that a node starts with are enough.
        self.awaits_complete_list = self.awaits_complete_list and not received.is_complete
        if self.awaits_complete_list and not is_renumbered and self._repeat_poll_at_us is None:
            self._poll_if_none_is_open(now_us)  # The changes apply to a list that this node never received

    def _begin_numbering(self, call: DiscoveryCall, received: EndpointList, now_us: int) -> None:
        """Discard what was received in an earlier numbering of the service, and the calls opened in it."""
        self._counters.increment(CounterName.DISCOVERY_RENUMBERED)
        text = f"discovery: version {received.version} follows version {call.min_version}"
        self._log(LogKind.DISCOVERY_RENUMBERED, f"{text}: its numbering has begun anew")
        self._begin_history()
        self._polls.discard(call)
        self._close_polls()
        retry_at_us = now_us + client_retry_wait_us(self._is_pushed)
        if call is not self.watch:
            self._polls.add(call)
            self.close_watch()
            self._reopen_watch_at_us = retry_at_us
        if not received.is_complete:
            self._repeat_poll_at_us = retry_at_us

    def _begin_history(self) -> None:
        self._history = ListHistory()
        self.awaits_complete_list = True

    def _report_outdated(self, received: EndpointList, current: EndpointList) -> None:
        if received.version >= current.version:
            return
        self._counters.increment(CounterName.ENDPOINT_LISTS_OUTDATED)
        kind = "complete list" if received.is_complete else "list of changes"
        text = f"discovery: a {kind} of version {received.version} arrived after version {current.version}"
        self._log(LogKind.ENDPOINT_LIST_OUTDATED, f"{text}; newer entries are kept")

    # Deadlines and retries

    def _check_calls(self, now_us: int) -> None:
        """Fail the calls that are past their deadline, and repeat failed ones that are due."""
        self._timer_wheel.schedule(now_us + CHECK_INTERVAL_US, self._check_calls)
        for call in self._open_calls():
            if call.deadline.is_expired(now_us):
                self._extend_timeout_for_size(call.partial_list_bytes)
                call.connection_lost(now_us)
        if self.watch is None and _is_due(self._reopen_watch_at_us, now_us):
            self._open_watch(now_us)
        if self.awaits_complete_list and _is_due(self._repeat_poll_at_us, now_us):
            self._poll_if_none_is_open(now_us)

    def _extend_timeout_for_size(self, partial_list_bytes: int) -> None:
        """Extend the timeout of later calls if an expired call had received part of a large list."""
        if partial_list_bytes >= LARGE_LIST_BYTES:
            self._complete_timeout_us = min(2 * self._complete_timeout_us, MAX_COMPLETE_TIMEOUT_US)

    def _open_calls(self) -> list[DiscoveryCall]:
        calls = [*self._polls]
        if self.watch:
            calls.append(self.watch)
        return calls


def _is_due(time_us: int | None, now_us: int) -> bool:
    return time_us is not None and now_us >= time_us
