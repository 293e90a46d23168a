"""A small node: one Balancer, two servers, one client that comes and goes."""

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


def main() -> None:
    """Walk one request through its life, then a late word on it, then the end of the node."""
    balancer, now = Balancer(SETTINGS, Random(7)), 1_000_000
    servers = [
        ServerEntry(s, zone=0, kind=0, cell=0, state=ServerState.READY, weight=1.0, ready_since_us=0)
        for s in (1, 2)
    ]
    balancer.handle(EndpointUpdate(UpdateKind.CACHED, version=1, entries=servers), now)

    request = NewRequest(
        request_id=1, traffic_class=0, tenant=0, key=0, time_left_us=2_000_000, hint=0, group=0, flags=0
    )
    (send,) = balancer.handle(request, now)
    assert isinstance(send, StartAttempt)
    print(f"request 1 goes to server {send.server_id}")

    full = AttemptEnded(
        1,
        attempt=0,
        server_id=send.server_id,
        outcome=AttemptOutcome.FULL,
        latency_us=900,
        request_closed=0,
        load_report=(),
    )
    (again,) = balancer.handle(full, now + 900)
    assert isinstance(again, StartAttempt) and again.server_id != send.server_id
    print(f"refused as full, it goes to server {again.server_id}")

    balancer.handle(ConnectionEstablished(1, again.server_id, attempt=1, latency_us=700), now + 1_600)
    end = AttemptEnded(
        1,
        attempt=1,
        server_id=again.server_id,
        outcome=AttemptOutcome.OK,
        latency_us=10**7,
        request_closed=1,
        load_report=(),
    )
    balancer.handle(end, now + 10**7)
    assert balancer.handle(end, now + 10**7) == []  # a repeated outcome changes nothing
    assert balancer.handle(ClientDisconnected(99), now + 10**7) == []  # nor does word on an unknown request
    print("its connection has ended")
    del balancer  # a node that ends just drops its Balancer; connections end with it


if __name__ == "__main__":
    main()
