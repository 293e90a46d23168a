"""One HTTP call to discovery: a watch, which receives a stream of lists, or a poll, which receives one."""

from __future__ import annotations

import json
from collections.abc import Callable

import httptools

from limerudder.core.discovery.endpoint_list import EndpointList, EndpointListError, parse_endpoint_list
from limerudder.core.discovery.json_stream import JsonObjectStream, JsonStreamError
from limerudder.core.transport import OutboundMachineBase
from limerudder.policy.discovery_timing import CallDeadline

PATH = "/discovery/hosts"
MAX_LIST_BYTES = 1 << 22  #: Maximum size of a list; a longer one is a fault of the service
HTTP_OK = 200


class DiscoveryCall(OutboundMachineBase):
    """State machine of one call, which parses the response incrementally.

    `on_list` is called with each endpoint list, `on_end` once at the end with whether the call failed.
    """

    def __init__(
        self,
        host: str,
        after_version: int | None,
        on_list: Callable[[DiscoveryCall, EndpointList, int], None],
        on_end: Callable[[DiscoveryCall, bool, int], None],
        deadline: CallDeadline,
    ) -> None:
        self._host = host
        self.after_version = after_version  # A watch receives the changes since this version; None for a poll
        self.is_watch = after_version is not None
        self.min_version = 0  # A list of a lower version shows that the service's numbering has begun anew
        self.deadline = deadline
        self._ended = False
        self._on_list = on_list
        self._on_end = on_end
        self._parser = httptools.HttpResponseParser(self)
        self._objects = JsonObjectStream(MAX_LIST_BYTES)
        self._parsed: list[EndpointList] = []  # Lists to report once the parser has returned
        self._lists_received = 0
        self._response_complete = False

    @property
    def partial_list_bytes(self) -> int:
        """Number of received bytes of the incomplete list."""
        return len(self._objects.partial_object)

    # Called by the driver

    def first_bytes(self, now_us: int) -> bytes:
        """Return the request."""
        query = f"?watch=1&after={self.after_version}" if self.is_watch else ""
        headers = f"Host: {self._host}\r\nAccept: application/json\r\n"
        return f"GET {PATH}{query} HTTP/1.1\r\n{headers}\r\n".encode()

    def data_received(self, data: bytes, now_us: int) -> None:
        """Part of the response has arrived; a malformed response fails the call after the lists before it."""
        if self._ended:
            return
        is_malformed = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, EndpointListError, JsonStreamError):
            is_malformed = True
        self._report_lists(now_us)
        if is_malformed:
            self._end(True, now_us)
        elif self._response_complete:
            self._end(self.is_watch, now_us)  # A watch never completes: its end is a failure

    def _report_lists(self, now_us: int) -> None:
        parsed = self._parsed
        self._parsed = []
        self.deadline.record_bytes(len(parsed), bool(self._objects.partial_object), now_us)
        for endpoint_list in parsed:
            if not self._ended:
                self._report_list(endpoint_list, now_us)

    def _report_list(self, endpoint_list: EndpointList, now_us: int) -> None:
        try:
            self._on_list(self, endpoint_list, now_us)
        except Exception:  # the next call repeats this list and those that follow it
            self._end(True, now_us)
            raise

    def eof_received(self, now_us: int) -> None:
        """The service has closed the connection before the response was complete."""
        self._end(True, now_us)

    def connection_lost(self, now_us: int) -> None:
        """The connection broke, or could not be established."""
        self._end(True, now_us)

    def close(self) -> None:
        """Close the connection; nothing further is reported."""
        self._ended = True
        if self.transport:
            self.transport.close()

    def _end(self, failed: bool, now_us: int) -> None:
        if not self._ended:
            self.close()
            self._on_end(self, failed, now_us)

    # Called by httptools, which prescribes the names

    def on_headers_complete(self) -> None:
        """The status has arrived. Raises EndpointListError if it is not 200."""
        status = self._parser.get_status_code()
        if status != HTTP_OK:
            raise EndpointListError(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """Lists have arrived, with empty lines between them as heartbeats; chunks may split both anywhere.

        Raises EndpointListError or JsonStreamError.
        """
        try:
            objects = self._objects.feed(data)
        except JsonStreamError as error:
            self._parse_lists(error.completed)
            raise
        self._parse_lists(objects)

    def _parse_lists(self, objects: list[bytes]) -> None:
        for text in objects:
            self._parsed.append(_parse_json(text))
            self._lists_received += 1

    def on_message_complete(self) -> None:
        """The response is complete. Raises EndpointListError if its list is incomplete or missing."""
        self._response_complete = True
        if self._objects.partial_object or not (self.is_watch or self._lists_received):
            raise EndpointListError("response ended before its list was complete")


def _parse_json(text: bytes) -> EndpointList:
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise EndpointListError(f"not JSON: {error}") from error
    return parse_endpoint_list(document)
