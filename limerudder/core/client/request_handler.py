"""The interfaces that a client session uses to submit its request to the node."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from limerudder.core.client.admission import AdmissionControl
from limerudder.core.operations.counters import Counters
from limerudder.core.ports import ClientSession, ConnectRequest
from limerudder.core.timer_wheel import TimerWheel


class RequestHandler(Protocol):
    """Accepts the requests of client sessions; implemented by the node."""

    timer_wheel: TimerWheel
    counters: Counters
    admission: AdmissionControl
    report_fields: Sequence[str]

    def accept_request(
        self, session: ClientSession, request: ConnectRequest, now_us: int
    ) -> RequestObserver | None:
        """Accept a request; return None, after counting it, if the request is invalid."""


class RequestObserver(Protocol):
    """Is notified that the client of a request has disconnected."""

    def client_disconnected(self, now_us: int) -> None:
        """Handle the client's disconnection, before or after its final answer."""
