"""One HTTP call to discovery: a watch that brings list after list, or a poll that brings one."""

from __future__ import annotations

import json
from collections.abc import Callable

import httptools

from limerudder.core.discovery.endpoint_list import EndpointList, EndpointListError, parse_endpoint_list
from limerudder.core.discovery.json_stream import JsonObjectStream, JsonStreamError
from limerudder.core.transport import OutboundMachineBase
from limerudder.policy.discovery_timing import CallDeadline

PATH = "/discovery/hosts"
MAX_LIST_BYTES = 1 << 22  #: a longer list is a fault of the service
HTTP_OK = 200


class DiscoveryCall(OutboundMachineBase):
    """The state machine of one call, whose response is read as it comes.

    `on_list` is called with each endpoint list, `on_end` once, when no more comes, with whether it failed.
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
        self.after_version = after_version  # a watch gets the changes since then; a poll has None
        self.is_watch = after_version is not None
        self.deadline = deadline
        self._ended = False
        self._on_list = on_list
        self._on_end = on_end
        self._parser = httptools.HttpResponseParser(self)
        self._objects = JsonObjectStream(MAX_LIST_BYTES)
        self._parsed: list[EndpointList] = []  # to be reported once the parser has returned
        self._lists_received = 0
        self._response_complete = False

    @property
    def partial_list_bytes(self) -> int:
        """How many bytes have come of the list that is not complete."""
        return len(self._objects.partial_object)

    # called by the driver

    def first_bytes(self, now_us: int) -> bytes:
        """The request."""
        query = f"?watch=1&after={self.after_version}" if self.is_watch else ""
        headers = f"Host: {self._host}\r\nAccept: application/json\r\n"
        return f"GET {PATH}{query} HTTP/1.1\r\n{headers}\r\n".encode()

    def data_received(self, data: bytes, now_us: int) -> None:
        """Part of the response; a malformed one fails the call."""
        if self._ended:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, EndpointListError, JsonStreamError):
            self._end(True, now_us)
            return
        parsed = self._parsed
        self._parsed = []
        self.deadline.record_bytes(len(parsed), bool(self._objects.partial_object), now_us)
        for endpoint_list in parsed:
            self._on_list(self, endpoint_list, now_us)
        if self._response_complete:
            self._end(self.is_watch, now_us)  # a watch is never complete: its end is a failure

    def eof_received(self, now_us: int) -> None:
        """The service has closed the connection before the response was complete."""
        self._end(True, now_us)

    def connection_lost(self, now_us: int) -> None:
        """The connection broke, or could not be established."""
        self._end(True, now_us)

    def close(self) -> None:
        """Close the connection; nothing more is reported."""
        self._ended = True
        if self.transport:
            self.transport.close()

    def _end(self, failed: bool, now_us: int) -> None:
        if not self._ended:
            self.close()
            self._on_end(self, failed, now_us)

    # called by httptools; the names are its own

    def on_headers_complete(self) -> None:
        """The status is known. Raises EndpointListError if it is not 200."""
        status = self._parser.get_status_code()
        if status != HTTP_OK:
            raise EndpointListError(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """Lists, with empty lines as heartbeats between them; chunks need not agree with either.

        Raises EndpointListError or JsonStreamError.
        """
        for text in self._objects.feed(data):
            self._parsed.append(_parse_json(text))
            self._lists_received += 1

    def on_message_complete(self) -> None:
        """The response is complete. Raises EndpointListError if its list is not."""
        self._response_complete = True
        if self._objects.partial_object or not (self.is_watch or self._lists_received):
            raise EndpointListError("the answer ends before its list does")


def _parse_json(text: bytes) -> EndpointList:
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise EndpointListError(f"not JSON: {error}") from error
    return parse_endpoint_list(document)
