"""Tests of inferred loads: capacity, costly connections, recovery from bursts of resets.

Loads are in microseconds of work per second.
"""

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
from limerudder.policy.actions import MigrateClient, RejectRequest
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
from tests.policy_driver import (
    BASE_SETTINGS,
    FREE_HEALTH_CHECKS,
    SAFE_CLASS,
    Driver,
    server_entries,
    server_entry,
)

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
NO_REPORTS_NOR_LATENCY = replace(NO_REPORTS, reports_latency=False)
MEAN_LOAD = 30_000.0
CLIENT_COUNT = 200
SERVER_SIZES = [1.6, 1.0, 0.7] * 2


def make_fleet(
    seed: int, load: float, settings: Settings = NO_REPORTS, resets: bool = False
) -> OverloadFleet:
    """Return three nodes, servers of three sizes, and clients that need `load` times the total capacity."""
    rng = Random(seed)
    clients = [
        SimulatedClient(
            key=index + 1,
            traffic_class=index % 2,
            load=rng.expovariate(1 / MEAN_LOAD),
            group=rng.randrange(1, 9),
        )
        for index in range(CLIENT_COUNT)
    ]
    capacity_unit = len(clients) * MEAN_LOAD / load / sum(SERVER_SIZES)
    capacities = [size * capacity_unit for size in SERVER_SIZES]
    fleet = OverloadFleet(replace(settings, node_count=3), capacities, clients, seed, resets)
    for index, client in enumerate(clients):
        fleet.schedule(index / 100, partial(fleet.connect, client))
    return fleet


def mean_served(fleet: OverloadFleet, seconds: float) -> float:
    """Return the mean share of the clients' priority weight that was served over the last seconds."""
    return mean(fleet.served[-int(seconds * SECOND / STEP) :])


@pytest.mark.parametrize("seed", range(3))
def test_backlogs_do_not_last_where_message_latency_shows_them(seed: int) -> None:
    with_latency = make_fleet(seed, 0.65)
    without_latency = make_fleet(seed, 0.65, NO_REPORTS_NOR_LATENCY)
    with_latency.run(25)
    without_latency.run(25)
    assert mean_served(with_latency, 10) > 0.8
    assert mean_served(with_latency, 10) > mean_served(without_latency, 10) + 0.1


@pytest.mark.parametrize("seed", range(6))
def test_one_costly_connection_is_migrated_instead_of_all_the_others(seed: int) -> None:
    driver = Driver(NO_REPORTS, seed, server_entries(2))
    costly = driver.add_connection(1)
    driver.deliver(LoadSample(costly, 1, 100 * MEAN_LOAD, 0))
    for _ in range(29):
        request_id = driver.add_connection(1)
        driver.deliver(LoadSample(request_id, 1, MEAN_LOAD, 0))
    for latency_ms in (100.0, 400.0):
        driver.now_us += SECOND
        driver.deliver(LatencySample(costly + 1, 1, latency_ms, 0))
    assert driver.migrated_requests() == [costly]


class ResetCounts(NamedTuple):
    """Resets and attempts while all nodes are restarted, over several seeds."""

    resets: int
    resets_afterwards: int
    attempts_afterwards: int


def count_resets_while_nodes_restart(settings: Settings) -> ResetCounts:
    """Restart all nodes while servers reset their newest connections and no message latency is sampled.

    `resets_afterwards` and `attempts_afterwards` cover the 17 s that begin 4 s after the last restart.
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


def test_servers_reset_fewer_connections_during_restarts_where_own_load_is_counted() -> None:
    inferring = count_resets_while_nodes_restart(NO_REPORTS)
    not_inferring = count_resets_while_nodes_restart(NO_REPORTS_NOR_LATENCY)
    assert inferring.resets < 0.6 * not_inferring.resets
    assert inferring.resets_afterwards < 0.6 * not_inferring.resets_afterwards
    assert inferring.attempts_afterwards < 200, "out of 800 clients in total"


def test_a_server_that_resets_two_connections_within_a_second_gets_none_until_its_load_decays() -> None:
    loads, server = make_inferred_server()
    loads.record_reset(server, 20 * SECOND)
    assert loads.has_capacity(server, TARGET_LOAD, None, 20 * SECOND), "a single reset may be chance"
    loads.record_reset(server, 20 * SECOND + SECOND // 2)
    server.connections = {}
    assert not loads.has_capacity(server, TARGET_LOAD, None, 21 * SECOND)
    assert loads.has_capacity(server, TARGET_LOAD, None, 27 * SECOND)


def test_an_estimate_makes_a_full_server_the_last_choice_but_rejects_no_client() -> None:
    driver = Driver(replace(NO_REPORTS, tenant_quotas=(math.inf, 100.0)), servers=server_entries(2))
    for _ in range(90):
        request_id = driver.add_connection(1, group=5)
        driver.deliver(LoadSample(request_id, 1, MEAN_LOAD, 0))
    assert driver.server_of(driver.connect(group=5)) == 2, "although the group is at the other server"
    for _ in range(40):
        driver.connect()
    assert not driver.actions_of_type(RejectRequest)


def test_a_server_that_establishes_a_connection_slowly_is_avoided_for_a_second() -> None:
    driver = Driver(NO_REPORTS, servers=server_entries(2))
    request_id = driver.request()
    slow_server = driver.server_of(request_id)
    other_server = 3 - slow_server
    driver.now_us += SAFE_CLASS.latency_objective_us // 2
    driver.establish(request_id)
    assert {driver.server_of(driver.connect()) for _ in range(6)} == {other_server}
    driver.run(SECOND)
    assert driver.server_of(driver.connect()) == slow_server


@pytest.mark.parametrize("quotas", [(200.0,), ()])
def test_clients_migrate_to_the_local_zone_only_with_message_latency_and_quotas(
    quotas: tuple[float, ...],
) -> None:
    """The driver also checks that no server gets a health check, which the settings do not allow."""
    settings = replace(NO_REPORTS, prices={"crossZone": 0.13, "moves": 0.01}, tenant_quotas=quotas)
    driver = Driver(settings, servers=[server_entry(1), server_entry(2, zone=1)])
    for _ in range(8):
        request_id = driver.add_connection(2)
        driver.deliver(LoadSample(request_id, 2, MEAN_LOAD, 0))
    driver.run(20 * SECOND)
    assert not driver.actions_of_type(MigrateClient)
    driver.deliver(LatencySample(1, 2, 30.0, 0))
    driver.run(20 * SECOND)
    migrates = bool(driver.actions_of_type(MigrateClient))
    assert migrates == bool(quotas), "without quotas a server's capacity is unknown"


@pytest.mark.parametrize(
    ("settings", "errors_until_paced"),
    [(NO_REPORTS, 3), (FREE_HEALTH_CHECKS, 1)],
    ids=["without reports", "with reports"],
)
def test_one_error_starts_pacing_except_in_a_new_process_without_reports(
    settings: Settings, errors_until_paced: int
) -> None:
    driver = Driver(settings, servers=server_entries(8))
    driver.end_attempt(driver.request(), AttemptOutcome.ERROR)
    assert (driver.balancer.pacer.interval_us > 0) == (errors_until_paced == 1)
    for _ in range(errors_until_paced - 1):
        driver.end_attempt(driver.request(), AttemptOutcome.ERROR)
    assert driver.balancer.pacer.interval_us > 0


class InferredServer(NamedTuple):
    """One server with 100 connections of the mean load, as one of two nodes sees it."""

    loads: InferredLoads
    server: Server


def make_inferred_server() -> InferredServer:
    """Return a server with 100 connections of the mean load, as one of two nodes sees it."""
    loads = InferredLoads(replace(NO_REPORTS, node_count=2), SECOND)
    server = Server(1)
    server.state = ServerState.READY
    loads.on_server_state_change(server, [server], server.weight, SECOND)
    for index in range(100):
        event = ExistingConnection(index + 1, 0, 0, 7, 0, 0, 0, 0, 1)
        connection = Connection(event, NO_REPORTS.classes[0], SECOND)
        connection.established = True
        connection.is_migratable = True
        server.connections[connection.id] = connection
        loads.record_connection_load(connection, MEAN_LOAD)
    return InferredServer(loads, server)


def new_connection(request_id: int, client_key: int, flags: int = 0, now_us: int = SECOND) -> Connection:
    """Return the connection of a request that has no attempt yet."""
    event = NewRequest(request_id, 0, 0, client_key, SECOND, 0, 0, flags)
    return Connection(event, NO_REPORTS.classes[0], now_us)


def record_rising_latency(loads: InferredLoads, server: Server) -> float:
    """Record a latency that rises by 0.25 s per second, which corresponds to a load of 1.25.

    Return the load that this node has to migrate away from the server.
    """
    loads.record_message_latency(server, 100_000, 10 * SECOND)
    loads.remember_own_load(server)
    return loads.record_message_latency(server, 350_000, 11 * SECOND)


def test_the_slope_of_message_latency_gives_the_load_and_the_excess() -> None:
    loads, server = make_inferred_server()
    excess = record_rising_latency(loads, server)
    expected_load = 1.25 * loads.capacity(server, 11 * SECOND)
    assert loads.total_load(server, 11 * SECOND) == pytest.approx(expected_load, rel=0.01)
    expected_excess = loads.own_load(server) * (1 - loads.permitted_load(350_000) / 1.25)
    assert excess == pytest.approx(expected_excess)
    assert not loads.has_capacity(server, TARGET_LOAD, None, 11 * SECOND)


def test_the_load_of_other_nodes_decays_while_a_server_has_no_messages() -> None:
    loads, server = make_inferred_server()
    record_rising_latency(loads, server)
    remaining = list(server.connections.items())[:10]
    server.connections = dict(remaining)  # The node's other connections have ended
    total_loads = [loads.total_load(server, (11 + seconds) * SECOND) for seconds in range(8)]
    assert total_loads == sorted(total_loads, reverse=True)
    assert total_loads[7] == pytest.approx(loads.own_load(server))
    assert not loads.has_capacity(server, TARGET_LOAD, None, 11 * SECOND)
    assert loads.has_capacity(server, TARGET_LOAD, None, 16 * SECOND)


def test_a_costly_client_is_recognized_when_it_reconnects() -> None:
    loads, server = make_inferred_server()
    connection = next(iter(server.connections.values()))
    loads.record_connection_load(connection, 50 * MEAN_LOAD)
    reconnected = new_connection(999, connection.client_key, FLAG_RECONNECT)
    other = new_connection(998, connection.client_key + 1)
    assert loads.connection_load(reconnected) == 50 * MEAN_LOAD
    assert loads.is_costly(reconnected)
    assert loads.connection_load(other) == pytest.approx(MEAN_LOAD)
    assert not loads.is_costly(other)


def test_the_number_of_costly_clients_remembered_is_bounded() -> None:
    """Each client first reports the mean load, so that the mean remains far below the costly load."""
    loads, _ = make_inferred_server()
    costly_load = 99 * COSTLY_FACTOR * MEAN_LOAD
    for index in range(2 * MAX_COSTLY_KEYS):
        connection = new_connection(index, client_key=index + 9, now_us=0)
        loads.record_connection_load(connection, MEAN_LOAD)
        loads.record_connection_load(connection, costly_load)
    assert len(loads._costly_keys) == MAX_COSTLY_KEYS


@given(st.lists(st.tuples(st.floats(0, 1e7), st.integers(1, 5 * SECOND)), max_size=30))
def test_estimates_stay_in_bounds_for_any_message_latencies(samples: list[tuple[float, int]]) -> None:
    loads, server = make_inferred_server()
    now_us = 10 * SECOND
    for latency_us, wait_us in samples:
        now_us += wait_us
        excess = loads.record_message_latency(server, latency_us, now_us)
        assert 0 <= excess <= loads.own_load(server)
        assert loads.own_load(server) <= loads.total_load(server, now_us) < math.inf
        assert loads.capacity(server, now_us) > 0
