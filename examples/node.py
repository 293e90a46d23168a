"""A minimal node: one Balancer, two servers, and one client that connects and disconnects."""

from __future__ import annotations

from random import Random

from limerudder.policy import Balancer
from limerudder.policy.actions import (
    StartAttempt,
)
from limerudder.policy.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    ConnectionEstablished,
    EndpointUpdate,
    NewRequest,
    ServerEntry,
    ServerState,
    UpdateKind,
)
from limerudder.policy.settings import (
    Settings,
    TrafficClass,
)

SETTINGS = Settings(
    node_count=1,
    zone=0,
    classes=(
        TrafficClass(
            latency_objective_us=500_000, deadline_us=2_000_000, effect="safe", message_objective_us=100_000
        ),
    ),
    discovery="pushed",
    poll_interval_us=10_000_000,
    drain_grace_us=2_000_000,
    initial_capacity=0.25,
    warm_up_us=10_000_000,
    overload_factor=2.0,
    overload_window_us=1_000_000,
    max_attempts=3,
)


REQUEST_ID = 1
CONNECT_US = 700
LIFETIME_US = 10_000_000


def main() -> None:
    """Handle one request from start to end, then deliver late events, then discard the Balancer."""
    now_us = 1_000_000
    balancer = Balancer(SETTINGS, Random(7))
    entries = [
        ServerEntry(server_id, zone=0, kind=0, cell=0, state=ServerState.READY, weight=1.0, ready_since_us=0)
        for server_id in (1, 2)
    ]
    balancer.handle(EndpointUpdate(UpdateKind.CACHED, version=1, entries=entries), now_us)

    request = NewRequest(
        REQUEST_ID, traffic_class=0, tenant=0, key=0, time_left_us=2_000_000, hint=0, group=0, flags=0
    )
    (first,) = balancer.handle(request, now_us)
    assert isinstance(first, StartAttempt)
    print(f"request {REQUEST_ID} goes to server {first.server_id}")

    now_us += 900
    (second,) = balancer.handle(_attempt_ended(0, first.server_id, AttemptOutcome.FULL), now_us)
    assert isinstance(second, StartAttempt) and second.server_id != first.server_id
    print(f"rejected as full, it goes to server {second.server_id}")

    now_us += CONNECT_US
    established = ConnectionEstablished(REQUEST_ID, second.server_id, attempt=1, latency_us=CONNECT_US)
    balancer.handle(established, now_us)

    now_us += LIFETIME_US
    ended = _attempt_ended(1, second.server_id, AttemptOutcome.OK)
    balancer.handle(ended, now_us)
    assert balancer.handle(ended, now_us) == []  # a repeated event changes nothing
    assert balancer.handle(ClientDisconnected(99), now_us) == []  # an unknown request is ignored
    print("its connection has ended")
    del balancer  # a node that stops discards its Balancer; its connections end with it


def _attempt_ended(attempt: int, server_id: int, outcome: AttemptOutcome) -> AttemptEnded:
    return AttemptEnded(
        REQUEST_ID,
        attempt=attempt,
        server_id=server_id,
        outcome=outcome,
        latency_us=900,
        request_closed=int(outcome == AttemptOutcome.OK),
        load_report=(),
    )


if __name__ == "__main__":
    main()
