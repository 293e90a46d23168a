"""Loads felt where nothing is reported: what fits, dear connections, storms that end by themselves."""

from __future__ import annotations

import math
from dataclasses import replace
from functools import partial
from random import Random
from statistics import mean

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
from limerudder.policy.load_inference import AIM, DEAR, KEYS, InferredLoads
from limerudder.policy.records import SECOND, Connection, Server
from limerudder.policy.settings import (
    Settings,
)
from tests.policy_driver import BASE, SAFE, Driver, entry

SILENT = replace(
    BASE,
    classes=(replace(SAFE, priority_weight=3.0), replace(SAFE, priority_weight=1.0)),
    allows_health_checks=False,
    report_via="none",
    report_fields=(),
    reports_latency=True,
    tenant_quotas=(200.0,),
    prices={},
)
USUAL = 30_000.0


def tier(seed: int, load: float, settings: Settings = SILENT, shed: bool = False) -> OverloadFleet:
    """Three nodes, hosts of three sizes, and clients that ask for so much of what the hosts can do."""
    rng, sizes = Random(seed), [1.6, 1.0, 0.7] * 2
    told = [
        SimulatedClient(n + 1, n % 2, rng.expovariate(1 / USUAL), rng.randrange(1, 9)) for n in range(200)
    ]
    unit = len(told) * USUAL / load / sum(sizes)
    crowd = OverloadFleet(replace(settings, node_count=3), [size * unit for size in sizes], told, seed, shed)
    for n, client in enumerate(told):
        crowd.later(n / 100, partial(crowd.come, client))
    return crowd


def level(crowd: OverloadFleet, seconds: float) -> float:
    return mean(crowd.served[-int(seconds * SECOND / STEP) :])


@pytest.mark.parametrize("seed", range(3))
def test_piles_do_not_stand_where_messages_tell_of_them(seed: int) -> None:
    felt, deaf = tier(seed, 0.65), tier(seed, 0.65, replace(SILENT, reports_latency=False))
    for crowd in (felt, deaf):
        crowd.run(25)
    assert level(felt, 10) > 0.8
    assert level(felt, 10) > level(deaf, 10) + 0.1


@pytest.mark.parametrize("seed", range(6))
def test_one_dear_connection_leaves_and_not_all_the_others_in_its_stead(seed: int) -> None:
    driver = Driver(SILENT, seed, [entry(s) for s in (1, 2)])
    for number in range(1, 31):
        driver.give(LoadSample(driver.open(1), 1, USUAL if number > 1 else 100 * USUAL, 0))
    for took in (100.0, 400.0):
        driver.now += SECOND
        driver.give(LatencySample(2, 1, took, 0))
    moved = [action.request_id for action in driver.log if isinstance(action, MigrateClient)]
    assert moved == [1]


def storm(settings: Settings) -> tuple[int, int, int]:
    """Hosts break off their newest and messages tell nothing, while all nodes are replaced.

    How many are broken off in all, how many of these in the 17 s after, and the attempts of those.
    """
    broken = late = again = 0
    for seed in range(4):
        crowd = tier(seed, 0.6, settings, shed=True)
        crowd.run(12)
        for node in range(3):
            crowd.restart(node)
            crowd.run(4)
        before, attempts = crowd.broken, crowd.attempts
        crowd.run(17)
        broken, late, again = broken + crowd.broken, late + crowd.broken - before, again + crowd.attempts
        again -= attempts
    return broken, late, again


def test_hosts_break_off_fewer_through_restarts_where_own_load_is_weighed() -> None:
    (broken, late, again), deaf = storm(SILENT), storm(replace(SILENT, reports_latency=False))
    assert broken < 0.6 * deaf[0] and late < 0.6 * deaf[1]
    assert again < 200, "of 800 clients in all"


def test_a_host_that_breaks_off_two_within_a_second_gets_nothing_until_that_fades() -> None:
    felt, server = known()
    felt.dropped(server, 20 * SECOND)
    assert felt.room(server, AIM, None, 20 * SECOND), "one may be chance"
    felt.dropped(server, 20 * SECOND + SECOND // 2)
    server.flows = {}
    assert not felt.room(server, AIM, None, 21 * SECOND)
    assert felt.room(server, AIM, None, 27 * SECOND)


def test_a_guess_draws_a_full_host_last_and_turns_nobody_away() -> None:
    driver = Driver(replace(SILENT, tenant_quotas=(math.inf, 100.0)), servers=[entry(s) for s in (1, 2)])
    for _ in range(90):
        driver.give(LoadSample(driver.open(1, group=5), 1, USUAL, 0))
    assert driver.where(driver.connect(group=5)) == 2, "though its group stands at the other"
    for _ in range(40):
        driver.connect()
    assert not driver.logged(RejectRequest)


def test_a_slow_set_up_spares_its_host_for_a_second() -> None:
    driver = Driver(SILENT, servers=[entry(s) for s in (1, 2)])
    number = driver.request()
    slow = driver.where(number)
    driver.now += SAFE.latency_objective_us // 2
    driver.establish(number)
    assert {driver.where(driver.connect()) for _ in range(6)} == {3 - slow}
    driver.run(SECOND)
    assert driver.where(driver.connect()) == slow


@pytest.mark.parametrize("quotas", [(200.0,), ()])
def test_nobody_is_brought_home_before_a_message_tells_and_no_host_is_probed(quotas: tuple[float]) -> None:
    priced = replace(SILENT, prices={"crossZone": 0.13, "moves": 0.01}, tenant_quotas=quotas)
    driver = Driver(priced, servers=[entry(1), entry(2, zone=1)])
    for _ in range(8):
        driver.give(LoadSample(driver.open(2), 2, USUAL, 0))
    driver.run(20 * SECOND)
    assert not driver.logged(MigrateClient)
    driver.give(LatencySample(1, 2, 30.0, 0))
    driver.run(20 * SECOND)
    assert bool(driver.logged(MigrateClient)) == bool(quotas), "nor where nothing tells what a host can do"


@pytest.mark.parametrize("reports", [False, True])
def test_one_error_spaces_sends_out_at_once_but_at_a_young_process_without_reports(reports: bool) -> None:
    driver = Driver(replace(BASE, prices={}) if reports else SILENT, servers=[entry(s) for s in range(1, 9)])
    driver.end(driver.request(), AttemptOutcome.ERROR)
    assert (driver.balancer.spacing.gap > 0) == reports
    for _ in range(0 if reports else 2):
        driver.end(driver.request(), AttemptOutcome.ERROR)
    assert driver.balancer.spacing.gap > 0


def known(load: float = USUAL) -> tuple[InferredLoads, Server]:
    felt, server = InferredLoads(replace(SILENT, node_count=2), SECOND), Server(1, SECOND, 0.0)
    server.state = ServerState.READY
    felt.listed(server, [server], SECOND)
    for number in range(100):
        flow = Connection(ExistingConnection(number + 1, 0, 0, 7, 0, 0, 0, 0, 1), SILENT.classes[0], SECOND)
        flow.live = flow.up = True
        server.flows[flow.id] = flow
        felt.weigh(flow, load)
    return felt, server


def test_a_slope_of_messages_tells_the_load_and_what_is_to_leave() -> None:
    felt, server = known()
    felt.note(server, 100_000, 10 * SECOND)
    felt.settle(server)
    goal = felt.note(server, 350_000, 11 * SECOND)  # a quarter of a second a second: a load of 1.25
    assert felt.asked(server, 11 * SECOND) == pytest.approx(1.25 * felt.can(server, 11 * SECOND), rel=0.01)
    assert goal == pytest.approx(felt.mine(server) * (1 - felt.may(350_000) / 1.25))
    assert not felt.room(server, AIM, None, 11 * SECOND)


def test_what_others_ask_fades_while_all_is_quiet() -> None:
    felt, server = known()
    felt.note(server, 100_000, 10 * SECOND)
    felt.settle(server)
    felt.note(server, 350_000, 11 * SECOND)
    server.flows = dict(list(server.flows.items())[:10])  # this node's own have left
    asked = [felt.asked(server, (11 + s) * SECOND) for s in range(8)]
    assert asked == sorted(asked, reverse=True) and asked[7] == pytest.approx(felt.mine(server))
    assert not felt.room(server, AIM, None, 11 * SECOND) and felt.room(server, AIM, None, 16 * SECOND)


def test_a_key_that_was_dear_is_dear_when_it_comes_again_and_few_are_remembered() -> None:
    felt, server = known()
    flow = next(iter(server.flows.values()))
    felt.weigh(flow, 50 * USUAL)
    again = Connection(NewRequest(999, 0, 0, 7, SECOND, 0, 0, FLAG_RECONNECT), SILENT.classes[0], SECOND)
    other = Connection(NewRequest(998, 0, 0, 8, SECOND, 0, 0, 0), SILENT.classes[0], SECOND)
    assert felt.weight(again) == 50 * USUAL and felt.dear(again)
    assert felt.weight(other) == pytest.approx(USUAL) and not felt.dear(other)
    for key in range(2 * KEYS):
        felt.weigh(
            Connection(NewRequest(key, 0, 0, key + 9, SECOND, 0, 0, 0), SILENT.classes[0], 0),
            99 * DEAR * USUAL,
        )
    assert len(felt.keys) <= KEYS


@given(st.lists(st.tuples(st.floats(0, 1e7), st.integers(1, 5 * SECOND)), max_size=30))
def test_whatever_messages_say_estimates_stay_in_bounds(words: list[tuple[float, int]]) -> None:
    felt, server = known()
    now = 10 * SECOND
    for took, wait in words:
        now += wait
        goal = felt.note(server, took, now)
        assert 0 <= goal <= felt.mine(server)
        assert felt.mine(server) <= felt.asked(server, now) < math.inf
        assert felt.can(server, now) > 0
