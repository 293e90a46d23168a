"""Loads inferred where nothing is reported: room, costly connections, recovery from waves of resets."""

from __future__ import annotations

import math
from dataclasses import replace
from functools import partial
from random import Random
from statistics import mean
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.overload_fleet import STEP, OverloadFleet, SimulatedClient
from limerudder.policy.actions import (
    MigrateClient,
    RejectRequest,
)
from limerudder.policy.events import (
    FLAG_RECONNECT,
    AttemptOutcome,
    ExistingConnection,
    LatencySample,
    LoadSample,
    NewRequest,
    ServerState,
)
from limerudder.policy.load_inference import COSTLY_FACTOR, MAX_COSTLY_KEYS, TARGET_LOAD, InferredLoads
from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.settings import Settings
from tests.policy_driver import BASE_SETTINGS, SAFE_CLASS, Driver, server_entry

NO_REPORTS = replace(
    BASE_SETTINGS,
    classes=(replace(SAFE_CLASS, priority_weight=3.0), replace(SAFE_CLASS, priority_weight=1.0)),
    allows_health_checks=False,
    report_via="none",
    report_fields=(),
    reports_latency=True,
    tenant_quotas=(200.0,),
    prices={},
)
MEAN_LOAD = 30_000.0


def make_fleet(
    seed: int, load: float, settings: Settings = NO_REPORTS, resets: bool = False
) -> OverloadFleet:
    """Three nodes, hosts of three sizes, and clients that ask for `load` of what all hosts can do."""
    rng = Random(seed)
    sizes = [1.6, 1.0, 0.7] * 2
    clients = [
        SimulatedClient(n + 1, n % 2, rng.expovariate(1 / MEAN_LOAD), rng.randrange(1, 9)) for n in range(200)
    ]
    unit = len(clients) * MEAN_LOAD / load / sum(sizes)
    capacities = [size * unit for size in sizes]
    fleet = OverloadFleet(replace(settings, node_count=3), capacities, clients, seed, resets)
    for number, client in enumerate(clients):
        fleet.schedule(number / 100, partial(fleet.connect, client))
    return fleet


def mean_served(fleet: OverloadFleet, seconds: float) -> float:
    """The mean share of the clients' worth that was served over the last seconds."""
    return mean(fleet.served[-int(seconds * SECOND / STEP) :])


@pytest.mark.parametrize("seed", range(3))
def test_backlogs_do_not_stand_where_messages_tell_of_them(seed: int) -> None:
    inferring = make_fleet(seed, 0.65)
    ignorant = make_fleet(seed, 0.65, replace(NO_REPORTS, reports_latency=False))
    inferring.run(25)
    ignorant.run(25)
    assert mean_served(inferring, 10) > 0.8
    assert mean_served(inferring, 10) > mean_served(ignorant, 10) + 0.1


@pytest.mark.parametrize("seed", range(6))
def test_one_costly_connection_leaves_and_not_all_the_others_in_its_stead(seed: int) -> None:
    driver = Driver(NO_REPORTS, seed, [server_entry(s) for s in (1, 2)])
    for number in range(1, 31):
        driver.deliver(
            LoadSample(driver.add_connection(1), 1, MEAN_LOAD if number > 1 else 100 * MEAN_LOAD, 0)
        )
    for latency_ms in (100.0, 400.0):
        driver.now_us += SECOND
        driver.deliver(LatencySample(2, 1, latency_ms, 0))
    moved = [action.request_id for action in driver.actions if isinstance(action, MigrateClient)]
    assert moved == [1]


class ResetCounts(NamedTuple):
    """What happened while all nodes were replaced, over several seeds."""

    resets: int
    resets_afterwards: int
    attempts_afterwards: int


def count_resets_while_nodes_restart(settings: Settings) -> ResetCounts:
    """Replace all nodes while hosts reset their newest connections, and messages tell nothing.

    Resets and attempts afterwards are those of the 17 s after the last restart.
    """
    resets = 0
    resets_afterwards = 0
    attempts_afterwards = 0
    for seed in range(4):
        fleet = make_fleet(seed, 0.6, settings, resets=True)
        fleet.run(12)
        for node in range(3):
            fleet.restart(node)
            fleet.run(4)
        resets_before = fleet.resets
        attempts_before = fleet.attempts
        fleet.run(17)
        resets += fleet.resets
        resets_afterwards += fleet.resets - resets_before
        attempts_afterwards += fleet.attempts - attempts_before
    return ResetCounts(resets, resets_afterwards, attempts_afterwards)


def test_hosts_reset_fewer_connections_through_restarts_where_own_load_is_counted() -> None:
    inferring = count_resets_while_nodes_restart(NO_REPORTS)
    ignorant = count_resets_while_nodes_restart(replace(NO_REPORTS, reports_latency=False))
    assert inferring.resets < 0.6 * ignorant.resets
    assert inferring.resets_afterwards < 0.6 * ignorant.resets_afterwards
    assert inferring.attempts_afterwards < 200, "of 800 clients in all"


def test_a_host_that_resets_two_connections_within_a_second_gets_none_until_that_decays() -> None:
    loads, server = loaded_server()
    loads.record_reset(server, 20 * SECOND)
    assert loads.has_room(server, TARGET_LOAD, None, 20 * SECOND), "one may be chance"
    loads.record_reset(server, 20 * SECOND + SECOND // 2)
    server.connections = {}
    assert not loads.has_room(server, TARGET_LOAD, None, 21 * SECOND)
    assert loads.has_room(server, TARGET_LOAD, None, 27 * SECOND)


def test_a_guess_draws_a_full_host_last_and_rejects_nobody() -> None:
    driver = Driver(
        replace(NO_REPORTS, tenant_quotas=(math.inf, 100.0)), servers=[server_entry(s) for s in (1, 2)]
    )
    for _ in range(90):
        driver.deliver(LoadSample(driver.add_connection(1, group=5), 1, MEAN_LOAD, 0))
    assert driver.server_of(driver.connect(group=5)) == 2, "though its group stands at the other"
    for _ in range(40):
        driver.connect()
    assert not driver.actions_of_type(RejectRequest)


def test_a_slow_set_up_keeps_connections_from_its_host_for_a_second() -> None:
    driver = Driver(NO_REPORTS, servers=[server_entry(s) for s in (1, 2)])
    number = driver.request()
    slow = driver.server_of(number)
    driver.now_us += SAFE_CLASS.latency_objective_us // 2
    driver.establish(number)
    assert {driver.server_of(driver.connect()) for _ in range(6)} == {3 - slow}
    driver.run(SECOND)
    assert driver.server_of(driver.connect()) == slow


@pytest.mark.parametrize("quotas", [(200.0,), ()])
def test_no_client_is_moved_home_before_a_message_tells_the_load_and_no_host_is_checked(
    quotas: tuple[float],
) -> None:
    priced = replace(NO_REPORTS, prices={"crossZone": 0.13, "moves": 0.01}, tenant_quotas=quotas)
    driver = Driver(priced, servers=[server_entry(1), server_entry(2, zone=1)])
    for _ in range(8):
        driver.deliver(LoadSample(driver.add_connection(2), 2, MEAN_LOAD, 0))
    driver.run(20 * SECOND)
    assert not driver.actions_of_type(MigrateClient)
    driver.deliver(LatencySample(1, 2, 30.0, 0))
    driver.run(20 * SECOND)
    assert bool(driver.actions_of_type(MigrateClient)) == bool(
        quotas
    ), "nor where nothing tells a host's capacity"


@pytest.mark.parametrize("reports", [False, True])
def test_one_error_starts_pacing_at_once_except_at_a_young_process_without_reports(reports: bool) -> None:
    driver = Driver(
        replace(BASE_SETTINGS, prices={}) if reports else NO_REPORTS,
        servers=[server_entry(s) for s in range(1, 9)],
    )
    driver.end_attempt(driver.request(), AttemptOutcome.ERROR)
    assert (driver.balancer.pacer.interval_us > 0) == reports
    for _ in range(0 if reports else 2):
        driver.end_attempt(driver.request(), AttemptOutcome.ERROR)
    assert driver.balancer.pacer.interval_us > 0


def loaded_server() -> tuple[InferredLoads, Server]:
    """One server with 100 connections of the mean load, as one of two nodes sees it."""
    loads = InferredLoads(replace(NO_REPORTS, node_count=2), SECOND)
    server = Server(1, SECOND, 0.0)
    server.state = ServerState.READY
    loads.on_server_state_change(server, [server], SECOND)
    for number in range(100):
        flow = Connection(
            ExistingConnection(number + 1, 0, 0, 7, 0, 0, 0, 0, 1), NO_REPORTS.classes[0], SECOND
        )
        flow.live = flow.established = True
        server.connections[flow.id] = flow
        loads.record_connection_load(flow, MEAN_LOAD)
    return loads, server


def test_the_slope_of_message_latency_tells_the_load_and_how_much_has_to_leave() -> None:
    loads, server = loaded_server()
    loads.record_message_latency(server, 100_000, 10 * SECOND)
    loads.remember_own_load(server)
    excess = loads.record_message_latency(
        server, 350_000, 11 * SECOND
    )  # a quarter of a second a second: a load of 1.25
    assert loads.total_load(server, 11 * SECOND) == pytest.approx(
        1.25 * loads.capacity(server, 11 * SECOND), rel=0.01
    )
    assert excess == pytest.approx(loads.own_load(server) * (1 - loads.permitted_load(350_000) / 1.25))
    assert not loads.has_room(server, TARGET_LOAD, None, 11 * SECOND)


def test_the_load_of_other_nodes_decays_while_a_server_is_quiet() -> None:
    loads, server = loaded_server()
    loads.record_message_latency(server, 100_000, 10 * SECOND)
    loads.remember_own_load(server)
    loads.record_message_latency(server, 350_000, 11 * SECOND)
    server.connections = dict(list(server.connections.items())[:10])  # this node's own have left
    asked = [loads.total_load(server, (11 + s) * SECOND) for s in range(8)]
    assert asked == sorted(asked, reverse=True) and asked[7] == pytest.approx(loads.own_load(server))
    assert not loads.has_room(server, TARGET_LOAD, None, 11 * SECOND) and loads.has_room(
        server, TARGET_LOAD, None, 16 * SECOND
    )


def test_a_costly_key_is_costly_when_its_client_reconnects_and_a_bounded_number_is_remembered() -> None:
    loads, server = loaded_server()
    flow = next(iter(server.connections.values()))
    loads.record_connection_load(flow, 50 * MEAN_LOAD)
    reconnected = Connection(
        NewRequest(999, 0, 0, 7, SECOND, 0, 0, FLAG_RECONNECT), NO_REPORTS.classes[0], SECOND
    )
    other = Connection(NewRequest(998, 0, 0, 8, SECOND, 0, 0, 0), NO_REPORTS.classes[0], SECOND)
    assert loads.connection_load(reconnected) == 50 * MEAN_LOAD and loads.is_costly(reconnected)
    assert loads.connection_load(other) == pytest.approx(MEAN_LOAD) and not loads.is_costly(other)
    for key in range(2 * MAX_COSTLY_KEYS):
        loads.record_connection_load(
            Connection(NewRequest(key, 0, 0, key + 9, SECOND, 0, 0, 0), NO_REPORTS.classes[0], 0),
            99 * COSTLY_FACTOR * MEAN_LOAD,
        )
    assert len(loads._costly_keys) <= MAX_COSTLY_KEYS


@given(st.lists(st.tuples(st.floats(0, 1e7), st.integers(1, 5 * SECOND)), max_size=30))
def test_estimates_stay_in_bounds_for_any_message_latencies(samples: list[tuple[float, int]]) -> None:
    loads, server = loaded_server()
    now = 10 * SECOND
    for latency_us, wait_us in samples:
        now += wait_us
        excess = loads.record_message_latency(server, latency_us, now)
        assert 0 <= excess <= loads.own_load(server)
        assert loads.own_load(server) <= loads.total_load(server, now) < math.inf
        assert loads.capacity(server, now) > 0
