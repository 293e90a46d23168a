"""Orders the endpoint lists of concurrent calls by their version.

A watch and a poll of the same service may be open at the same time, and the answer of one may still be in
transit while a newer list arrives on the other. A list is therefore not simply applied on arrival: entries
that a newer list has changed keep the newer state. Versions are compared only within one numbering of a
service; the discovery client starts a new history when the numbering begins anew.
"""

from __future__ import annotations

from typing import NamedTuple

from limerudder.core.discovery.endpoint_list import Endpoint, EndpointList

NO_VERSION = 0  #: Version lower than any that a service uses: a watch after it starts with the complete list


class _Change(NamedTuple):
    """An entry and the version of the list of changes that contained it."""

    version: int
    endpoint: Endpoint


class ListHistory:
    """The lists received so far, as far as they are needed to detect outdated entries in later ones."""

    def __init__(self, version: int = NO_VERSION) -> None:
        self.version = version  # Highest version received
        self._complete_version: int | None = None  # Version of the newest complete list
        self._changes: dict[str, _Change] = {}  # Changes that the answer to an open poll may lack, by name

    def merge(self, received: EndpointList) -> EndpointList:
        """Return the received list with outdated entries replaced by the newer ones, or left out."""
        if self._is_outdated(received):
            return EndpointList(self.version, False, ())
        version = max(self.version, received.version)
        newer = {
            name: change.endpoint
            for name, change in self._changes.items()
            if change.version > received.version
        }
        if not newer:
            return received._replace(version=version)
        current = tuple(endpoint for endpoint in received.endpoints if endpoint.name not in newer)
        if received.is_complete:
            current += tuple(newer.values())
        return EndpointList(version, received.is_complete, current)

    def record(self, received: EndpointList, keep_changes: bool) -> None:
        """Record a list that has been applied; `keep_changes`: whether a poll is open."""
        self.version = max(self.version, received.version)
        if received.is_complete and not self._is_outdated(received):
            self._complete_version = received.version
        elif keep_changes:
            self._record_changes(received)

    def forget_changes(self) -> None:
        """Forget the changes, as no poll is open: an answer to a later one contains them."""
        self._changes.clear()

    def _is_outdated(self, received: EndpointList) -> bool:
        return self._complete_version is not None and received.version < self._complete_version

    def _record_changes(self, received: EndpointList) -> None:
        for endpoint in received.endpoints:
            change = self._changes.get(endpoint.name)
            if change is None or change.version <= received.version:
                self._changes[endpoint.name] = _Change(received.version, endpoint)
