"""What a client session needs of the node that handles its request."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from limerudder.core.client.admission import AdmissionControl
from limerudder.core.operations.counters import Counters
from limerudder.core.ports import ClientSession, ConnectRequest
from limerudder.core.timer_wheel import TimerWheel


class RequestHandler(Protocol):
    """Accepts the requests of client sessions: the node."""

    timer_wheel: TimerWheel
    counters: Counters
    admission: AdmissionControl
    report_fields: Sequence[str]

    def accept_request(
        self, session: ClientSession, request: ConnectRequest, now_us: int
    ) -> RequestObserver | None:
        """Accept a request; None, after counting it, if this node cannot accept it."""


class RequestObserver(Protocol):
    """Is notified that the client of a request has disconnected."""

    def client_disconnected(self, now_us: int) -> None:
        """The client has disconnected, before or after its final answer."""
