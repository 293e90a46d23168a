"""Single decisions, and one test for each failure found."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from limerudder.policy.actions import (
    CheckHealth,
    FailRequest,
    LogMessage,
    MigrateClient,
    RejectRequest,
    StartAttempt,
    WatchEndpoints,
)
from limerudder.policy.balancer import MANY, Balancer
from limerudder.policy.events import (
    AttemptOutcome,
    EndpointUpdate,
    HealthCheckResult,
    LatencySample,
    LoadSample,
    PeerMessage,
    PredecessorConnections,
    ServerEntry,
    ServerState,
    TimerFired,
    UpdateKind,
)
from limerudder.policy.records import SECOND, Server
from limerudder.policy.settings import (
    Settings,
)
from tests.policy_driver import BASE, Driver, entry

PLAIN = replace(BASE, allows_health_checks=False, has_groups=False)
SWEEPS = replace(BASE, prices={})  # probes cost nothing: every server is asked, again and again


def fleet(n: int, **kwargs: int) -> list[ServerEntry]:
    return [entry(s, **kwargs) for s in range(1, n + 1)]


def test_the_draw_joins_the_fewer_own_connections() -> None:
    driver = Driver(PLAIN, servers=fleet(2))
    for _ in range(40):
        driver.connect()
    assert {s.count for s in driver.balancer.servers.values()} == {20}


def test_the_draw_is_random_among_more_servers_than_d() -> None:
    """With d = 2 of 10 the emptiest server is not always drawn: it is a sample, not a scan."""
    driver = Driver(PLAIN, servers=fleet(10))
    for s in range(1, 10):
        driver.open(s)
    hits = 0
    for _ in range(200):
        number = driver.connect()
        hits += driver.where(number) == 10
        driver.end(number, AttemptOutcome.OK)
    assert 20 < hits < 80  # 2 in 10 draws contain it


def test_a_retry_leaves_out_servers_tried() -> None:
    driver = Driver(PLAIN, servers=fleet(3))
    number = driver.request()
    seen = {driver.where(number)}
    for _ in range(2):
        driver.end(number, AttemptOutcome.CONNECT_FAILED)
        assert driver.where(number) not in seen
        seen.add(driver.where(number))


def test_full_sets_a_ceiling_that_relaxes() -> None:
    driver = Driver(PLAIN, servers=fleet(1))
    for _ in range(10):
        driver.connect()
    number = driver.request()
    driver.end(number, AttemptOutcome.FULL)
    driver.run(SECOND)
    assert driver.asked[number].answered and number not in driver.attempts
    driver.run(2 * SECOND)  # a tenth of ten a second
    assert driver.where(driver.request()) == 1


def test_a_draining_server_gets_nothing_at_once() -> None:
    driver = Driver(PLAIN, servers=fleet(2))
    driver.members([entry(1, ServerState.DRAINING)])
    assert {driver.where(driver.connect()) for _ in range(20)} == {2}
    driver.members([entry(2)], UpdateKind.FULL)
    driver.members([entry(1, ServerState.READY)])
    assert 1 in {
        driver.where(driver.connect()) for _ in range(20)
    }, "back under the same id, it is used again"


def test_all_draining_refuses_and_comes_back() -> None:
    driver = Driver(PLAIN, servers=fleet(2, state=ServerState.DRAINING))
    number = driver.request()
    driver.run(SECOND)
    assert driver.asked[number].answered
    driver.members(fleet(2))
    driver.connect()


def test_a_suspect_server_comes_back_by_one_trial() -> None:
    driver = Driver(PLAIN, servers=fleet(2))
    number = driver.request()
    bad = driver.where(number)
    driver.end(number, AttemptOutcome.CONNECT_FAILED)
    assert driver.where(number) != bad
    driver.establish(number)
    assert {driver.where(driver.connect()) for _ in range(10)} == {3 - bad}
    driver.run(SECOND)
    there = [driver.where(driver.request()) for _ in range(4)]
    assert there.count(bad) == 1


def test_when_all_look_bad_nobody_is_shut_out() -> None:
    driver = Driver(PLAIN, servers=fleet(3))
    for s in range(1, 4):
        driver.give(LatencySample(driver.open(s), s, 900.0, 0))
    driver.connect()


def test_delay_notes_shut_a_server_out_and_silence_lets_it_back() -> None:
    driver = Driver(PLAIN, servers=fleet(2))
    number = driver.open(1)
    driver.give(LatencySample(number, 1, 90.0, 0))
    assert {driver.where(driver.connect()) for _ in range(9)} == {2}
    driver.run(3 * SECOND)
    assert driver.where(driver.connect()) == 1


def test_unsafe_work_that_may_have_run_is_failed_not_refused() -> None:
    driver = Driver(PLAIN, servers=fleet(3))
    number = driver.request(cls=1)
    actions = driver.end(number, AttemptOutcome.RESET)
    assert [type(a) for a in actions if isinstance(a, FailRequest | RejectRequest | StartAttempt)] == [
        FailRequest
    ]


def test_a_cold_server_keeps_to_its_budget() -> None:
    """A new id holds nothing and would win every draw; the budget, not the count, must decide."""
    sent = 0
    for seed in range(20):
        driver = Driver(PLAIN, seed, fleet(9))
        for _ in range(100):
            driver.end(driver.connect(), AttemptOutcome.OK)
            driver.run(SECOND // 10)
        driver.members([entry(10, since=driver.now)])
        for _ in range(30):
            number = driver.connect()
            sent += driver.where(number) == 10
            driver.end(number, AttemptOutcome.OK)
            driver.run(SECOND // 10)
    # 10/s over 9 servers, twice a share of 0.25 to 0.475 over three seconds: 2.4 a run at the most
    assert 0 < sent <= 20 * 2.4


@pytest.mark.parametrize(
    ("load", "others", "nodes", "elsewhere", "times"),
    [
        (None, 0.2, 2, 0, 1),
        (0.1, 0.2, 2, 0, 3),
        (0.1, 0.4, 2, 0, 2),
        (0.1, 0.9, 2, 0, 1),
        (0.5, 0.2, 2, 0, 1),
        (0.1, 0.2, 14, 0, 1),
        (0.1, 0.2, 2, 9, 1),
    ],
    ids=["no report", "idle", "others half busy", "others busy", "busy", "many nodes", "amid an upgrade"],
)
def test_a_cold_server_that_reports_room_earns_more(
    load: float | None, others: float, nodes: int, elsewhere: int, times: int
) -> None:
    """A host put back stood at a fifth of what it could do while the others were past theirs.

    What it can do beyond the usual is what the others' reports leave, and no more.
    """
    driver = Driver(replace(PLAIN, node_count=nodes), servers=fleet(4))
    driver.members([entry(5, since=driver.now)])
    warming, server = driver.balancer.warming, driver.balancer.servers[5]
    warming.request_rate.value, warming.request_rate.at = 1.0, driver.now
    driver.balancer.loads.mean_reported_load = others
    if elsewhere:
        driver.balancer.handle(PredecessorConnections(1, elsewhere), driver.now)
    if load is not None:
        server.load, server.load_at = load, driver.now
    server.tokens, server.tokens_at = 0.0, driver.now - SECOND
    driver.balancer._may_warm(server)
    assert server.tokens == pytest.approx(times * 2 * 0.25 / 4 + warming.min_tokens_per_second)


def test_a_whole_cold_fleet_is_not_reckoned_as_one_server() -> None:
    driver = Driver(PLAIN, servers=fleet(9))
    driver.members(fleet(9, since=driver.now))
    assert driver.balancer.warming.serving_weight == 9


def test_reports_spare_the_busier_server() -> None:
    driver = Driver(replace(BASE, has_groups=False), servers=fleet(4))
    for s, load in ((1, 0.84), (2, 0.3), (3, 0.3), (4, 0.3)):
        for _ in range(8):
            driver.open(s)
        driver.report(s, load)
    driver.balancer._sweep()
    assert 1 not in {driver.where(driver.connect()) for _ in range(4)}


def test_all_at_the_mean_turns_nobody_away() -> None:
    """Incident i4f7320: 32 servers healthy at 0.74, none under the mean, everyone refused."""
    driver = Driver(replace(BASE, has_groups=False), servers=fleet(4))
    for s in range(1, 5):
        for _ in range(10):
            driver.open(s)
        driver.report(s, 0.74)
    driver.balancer._sweep()
    driver.connect()


def test_overfull_servers_get_no_more_and_all_full_refuses() -> None:
    driver = Driver(replace(BASE, has_groups=False), servers=fleet(3))
    for s in range(1, 4):
        driver.report(s, 1.2)
    number = driver.request()
    driver.run(SECOND)
    assert driver.asked[number].answered and not driver.logged(StartAttempt)
    assert driver.logged(LogMessage)


@pytest.mark.parametrize("load", [float("nan"), -2.0, 1e9])
def test_reports_out_of_range_are_passed_over(load: float) -> None:
    driver = Driver(BASE, servers=fleet(2))
    number = driver.request()
    for _ in range(6):
        for s in (1, 2):
            driver.report(s, load)
        driver.run(SECOND // 20)
    assert number in driver.attempts


def test_a_server_whose_reports_stop_is_not_frozen_out() -> None:
    driver = Driver(SWEEPS, servers=fleet(1))
    driver.report(1, 1.5)
    driver.run(60 * SECOND)
    driver.connect()


def test_probes_that_nobody_answers_any_more_turn_nobody_away() -> None:
    """Asked and silent is a sign of overload at one server; at all of them, probing itself has failed."""
    driver = Driver(BASE, servers=fleet(30))
    numbers = []
    for _ in range(10):
        numbers.append(driver.request())
        driver.run(SECOND // 2)
        for number in numbers:
            if number in driver.attempts and not driver.attempts[number].live:
                driver.establish(number)
    assert all(number in driver.attempts for number in numbers[5:])


def test_a_silent_server_is_not_taken_for_empty() -> None:
    """At full size a quarter of all joins went to servers past their capacity that had not answered yet."""
    driver = Driver(BASE, servers=fleet(2))
    number = driver.request()
    asked = [a.server_id for a in driver.logged(CheckHealth) if isinstance(a, CheckHealth)]
    assert sorted(asked) == [1, 2] and number not in driver.attempts
    driver.report(1, 0.2)
    driver.run(SECOND // 2)
    assert driver.where(number) == 1


def test_a_node_with_few_requests_asks_only_whom_it_is_about_to_draw() -> None:
    """Incident iad2208: 1,667 nodes swept 196 servers each, five million probes in eight seconds."""
    driver = Driver(replace(BASE, prices={"probe": 0.002}, node_count=600), servers=fleet(100))
    for _ in range(20):
        driver.run(5 * SECOND)
        number = driver.request(group=7)
        for probe in driver.logged(CheckHealth)[-2:]:
            driver.report(getattr(probe, "server_id"), 0.3)  # noqa: B009
        driver.run(SECOND // 10)
        driver.establish(number)
    assert 0 < len(driver.logged(CheckHealth)) <= 20 * 5 + 8


def test_nodes_that_know_nothing_of_each_other_gather_a_group() -> None:
    """At full size no node holds any of a group; drawn afresh at each, its shared work is done everywhere."""
    places = []
    for seed in range(40):
        driver = Driver(replace(BASE, allows_health_checks=False), seed, fleet(50))
        places.append(driver.where(driver.connect(group=99)))
    assert len(set(places)) <= 2
    groups = [Driver(replace(BASE, allows_health_checks=False), 1, fleet(50)) for _ in range(1)][0]
    assert len({groups.where(groups.connect(group=g)) for g in range(1, 60)}) > 15


def test_easing_by_many_nodes_moves_the_share_that_is_too_much() -> None:
    """Where each of 500 nodes holds one connection, rounding up would move all of them at once."""
    moved = 0
    for seed in range(200):
        driver = Driver(replace(BASE, node_count=500), seed, fleet(6))
        for s in range(2, 7):
            driver.give(LoadSample(driver.open(s), s, 1000.0, 0))
        number = driver.open(1)
        driver.give(LoadSample(number, 1, 1000.0, 0))
        driver.give(LatencySample(number, 1, 2000.0, 0))
        moved += len(driver.logged(MigrateClient))
    assert 30 < moved < 95  # three tenths of 200


def test_a_request_costs_the_same_with_ten_and_with_two_hundred_servers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Incident if1c6f9: while all were full, each look at a request touched every server, 431 us an event."""
    looked: list[int] = []
    plain = Balancer.eligible

    def counted(self: Balancer, *args: Any) -> bool:
        looked.append(1)
        return plain(self, *args)

    monkeypatch.setattr(Balancer, "eligible", counted)
    cost = {}
    for n in (10, 200):
        driver = Driver(PLAIN, servers=fleet(n))
        looked.clear()
        driver.connect()
        cost[n, "room"] = len(looked)
        for s in range(1, n + 1):
            for _ in range(2):
                driver.open(s)
            driver.balancer.servers[s].ceiling, driver.balancer.servers[s].ceiling_at = 1, driver.now
        looked.clear()
        driver.request()
        cost[n, "full"] = len(looked)
    assert cost[10, "room"] == cost[200, "room"] == 2
    assert cost[200, "full"] <= 2 * 16 and cost[10, "full"] == 2 * 10


def loaded() -> tuple[Driver, list[int]]:
    """Two servers; the first holds ten connections, each dearer than the one before."""
    driver = Driver(BASE, servers=fleet(2))
    numbers = [driver.open(1) for _ in range(10)]
    for i, number in enumerate(numbers):
        driver.give(LoadSample(number, 1, 1000.0 + i, 0))
    driver.run(2 * SECOND)
    return driver, numbers


def test_easing_moves_the_dearest_and_not_again_for_the_same_report() -> None:
    driver, numbers = loaded()
    driver.report(1, 1.2)
    moved = [a.request_id for a in driver.logged(MigrateClient) if isinstance(a, MigrateClient)]
    assert moved and moved[0] == numbers[-1] and len(moved) < 6
    driver.report(1, 1.4)
    assert len(driver.logged(MigrateClient)) == len(moved)


@pytest.mark.parametrize(
    ("loads", "eased"), [([1.4], True), ([0.95], True), ([0.88] * 5, False), ([0.5], False)]
)
def test_reports_ease_a_server_near_its_capacity(loads: list[float], eased: bool) -> None:
    driver, _ = loaded()
    for load in loads:
        driver.report(1, load)
    assert (0 < len(driver.logged(MigrateClient)) < 10) is eased


def test_what_has_piled_up_is_eased_and_spared_until_it_is_worked_off() -> None:
    """Wide day, seed 3: two servers that aged stood at 0.97 with a pile of seconds, and earned nothing."""
    driver, _ = loaded()
    server = driver.balancer.servers[1]
    for load, moves in ((1.5, True), (1.5, False), (0.8, True), (0.8, False)):
        before = len(driver.logged(MigrateClient))
        driver.report(1, load)
        assert (
            len(driver.logged(MigrateClient)) > before
        ) is moves, "just below capacity a pile stays for seconds"
        driver.now += SECOND
    assert server.piled > 0 and driver.where(driver.connect()) == 2
    driver.report(1, 0.2)
    assert server.piled == 0


def test_the_connections_of_a_draining_server_are_moved_bit_by_bit_before_it_stops() -> None:
    """Disco day, seed 3: 58 connections were cut off by servers that drained and then stopped."""
    driver, numbers = loaded()
    driver.members(fleet(2, state=ServerState.DRAINING)[:1])
    moved = []
    for _ in range(5):
        driver.run(SECOND // 4)
        moved.append(len(driver.logged(MigrateClient)))
    assert 0 < moved[0] < moved[1] < moved[4] == len(numbers)


def test_a_server_sets_up_few_at_a_time_and_the_others_are_asked_meanwhile() -> None:
    """Reload day, seed 3: a node just back sent 26 to the one server it knew, in half a second."""
    driver = Driver(PLAIN, servers=fleet(2))
    numbers = [driver.request() for _ in range(12)]
    places = [driver.where(n) for n in numbers if n in driver.attempts]
    assert sorted(places) == [1] * 4 + [2] * 4
    for number in numbers[:8]:
        driver.establish(number)
    driver.run(SECOND // 5)
    assert sorted(driver.where(n) for n in numbers) == [1] * 6 + [2] * 6
    for ending in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.OK):
        driver.end(numbers.pop(), ending)
    for number in numbers:
        driver.establish(number)
    driver.run(SECOND)
    assert all(s.setting_up == 0 for s in driver.balancer.servers.values())


def test_an_attempt_is_not_given_up_at_the_aim_while_half_of_the_time_is_left() -> None:
    """Incident r3c1a4b: after a restart 25 set-ups were given up at the aim and sent again."""
    driver = Driver(PLAIN, servers=fleet(2))
    number = driver.request()
    first = driver.where(number)
    driver.run(SECOND * 9 // 10)
    assert driver.sends[number] == 1, "the aim of 500 ms is past"
    driver.run(SECOND // 5)
    assert driver.sends[number] == 2 and driver.where(number) != first
    late = driver.request(time_left=SECOND * 6 // 10)
    driver.run(SECOND * 4 // 10)
    assert driver.sends[late] == 1, "with little time left, the aim is what an attempt gets"


REPORTS = replace(SWEEPS, report_fields=("inflight", "x0"), node_count=2)


def reported(settings: Settings, held: float, load: float) -> Driver:
    """A node that holds nothing, with swept reports of two servers."""
    driver = Driver(settings, servers=fleet(2))
    for server in (1, 2):
        driver.give(HealthCheckResult(server, 1000, AttemptOutcome.OK, (held, load)))
    driver.give(TimerFired(0))
    return driver


@pytest.mark.parametrize(("held", "unit"), [(38.0, 0.03), (0.0, 0.15), (math.nan, 0.15)])
def test_what_one_adds_is_reckoned_from_what_servers_say_they_hold(held: float, unit: float) -> None:
    """Reload day, seed 29110028191: a node just back took each connection for 0.15 of a server."""
    assert reported(REPORTS, held, 0.6).balancer.loads.load_per_connection == pytest.approx(unit)


@pytest.mark.parametrize(("flags", "load", "served"), [(0, 0.6, 16), (16, 0.6, 40), (16, 0.8, 2)])
def test_what_comes_back_is_not_counted_twice_while_the_fleet_has_room(
    flags: int, load: float, served: int
) -> None:
    """Reload day: a node stopped, and its clients were refused room they had just had."""
    driver = reported(REPORTS, 39.0, load)
    for _ in range(40):
        number = driver.request(flags=flags)
        if number in driver.attempts:
            driver.establish(number)
    assert len(driver.attempts) == served


def test_connections_of_before_pay_for_sweeps() -> None:
    driver = Driver(BASE, servers=fleet(5))
    driver.run(SECOND)
    assert not driver.logged(CheckHealth)
    for _ in range(50):
        driver.open(1)
    driver.run(2 * SECOND)
    assert driver.logged(CheckHealth)


def test_a_group_stays_on_the_servers_that_hold_it() -> None:
    driver = Driver(replace(BASE, allows_health_checks=False), servers=fleet(8))
    places = {driver.where(driver.connect(group=7)) for _ in range(20)}
    assert len(places) == 1
    assert len({driver.where(driver.connect(group=8 + i)) for i in range(40)}) > 3


def test_own_zone_first_where_crossing_is_priced() -> None:
    told = replace(PLAIN, prices={"crossZone": 0.1})
    driver = Driver(told, servers=[entry(1, zone=0), entry(2, zone=1), entry(3, zone=1)])
    assert {driver.where(driver.connect()) for _ in range(10)} == {1}
    driver.members([entry(1, ServerState.DRAINING)])
    assert driver.where(driver.connect()) in (2, 3)


def test_a_group_does_not_pull_its_members_over_a_priced_zone() -> None:
    told = replace(BASE, allows_health_checks=False, prices={"crossZone": 0.1})
    driver = Driver(told, servers=[entry(1, zone=0), entry(2, zone=1)])
    driver.open(2, group=5)
    assert driver.where(driver.connect(group=5)) == 1


def test_set_ups_failing_everywhere_are_spaced_out() -> None:
    """Incident i4f7320: tries at once kept the shared store behind for good (185 attempts a request)."""
    driver = Driver(PLAIN, servers=fleet(20))
    for _ in range(50):
        driver.request()
    for _ in range(20):
        driver.run(50_000)
        for number in [a.id for a in driver.attempts.values() if not a.live]:
            driver.end(number, AttemptOutcome.ERROR)
    before = len(driver.logged(StartAttempt))
    for _ in range(20):
        driver.request()
        for number in [a.id for a in driver.attempts.values() if not a.live]:
            driver.end(number, AttemptOutcome.ERROR)
        driver.run(50_000)
    assert len(driver.logged(StartAttempt)) - before <= 4
    driver.run(3 * SECOND)
    for _ in range(30):  # the store is back: successes take the spacing away
        driver.request()
        driver.run(SECOND // 3)
        for number in [a.id for a in driver.attempts.values() if not a.live]:
            driver.establish(number)
    assert driver.balancer.spacing.interval_us == 0


def test_discovery_on_request_subscribes_renews_and_backs_off() -> None:
    driver = Driver(replace(PLAIN, discovery="on_request"), servers=fleet(2))
    assert driver.logged(WatchEndpoints) == [WatchEndpoints(True)]
    driver.members([entry(2)])
    driver.run(BASE.poll_interval_us)
    assert (
        len(driver.logged(WatchEndpoints)) == 2
    ), "renewed within the time after which a node counts as told"
    asked = len(driver.logged(WatchEndpoints))
    for _ in range(6):
        driver.give(EndpointUpdate(UpdateKind.FAILED, 0, ()))
    driver.run(SECOND)
    assert len(driver.logged(WatchEndpoints)) <= asked + 1


def test_a_clock_that_jumps_breaks_nothing() -> None:
    driver = Driver(PLAIN, servers=fleet(3))
    number = driver.connect()
    driver.now += 10**6 * SECOND
    driver.connect()
    driver.end(number, AttemptOutcome.OK)


def test_empty_lists_hold_then_refuse() -> None:
    driver = Driver(BASE)
    driver.members([], UpdateKind.CACHED)
    number = driver.request()
    driver.run(3 * SECOND)
    assert driver.asked[number].answered


def test_a_tenant_beyond_its_share_gets_no_scarce_room() -> None:
    told = replace(SWEEPS, has_groups=False, tenant_quotas=(4.0, 1000.0), over_quota_weight=0.1)
    driver = Driver(told, servers=fleet(2))
    for s in (1, 2):
        for _ in range(40):
            driver.open(s)
        driver.report(s, 0.75)
    driver.balancer.asking = False
    assert not driver.attempts.keys() & {driver.request(tenant=0)}, "80 of tenant 0 here, 160 over both nodes"
    driver.connect(tenant=1)


def test_when_all_are_slow_only_little_used_servers_get_more() -> None:
    """Incident i14f10e: all slow, each filled to 0.85, so what had piled up never drained."""
    driver = Driver(replace(SWEEPS, has_groups=False), servers=fleet(2))
    driver.balancer.asking = False
    for s in (1, 2):
        for _ in range(40):
            number = driver.open(s)
        driver.report(s, 0.75)
        driver.give(LatencySample(number, s, 500.0, 0))
    assert driver.request() not in driver.attempts
    driver.report(1, 0.5)
    assert driver.request() in driver.attempts


def test_a_drop_that_meets_our_own_move_is_no_strike() -> None:
    driver = Driver(BASE, servers=fleet(2))
    numbers = [driver.open(1) for _ in range(10)]
    for number in numbers:
        driver.give(LoadSample(number, 1, 1000.0, 0))
    driver.give(LatencySample(numbers[0], 1, 80.0, 0))
    driver.report(1, 1.2)
    moved = [a.request_id for a in driver.logged(MigrateClient) if isinstance(a, MigrateClient)]
    driver.end(moved[0], AttemptOutcome.RESET)
    assert driver.balancer.servers[1].strikes == 0


def test_sweeps_start_as_soon_as_requests_pay_for_them() -> None:
    """A node that lost its past is met by its clients at once; it must not stay blind for a whole sweep."""
    driver = Driver(replace(BASE, prices={"probe": 0.002}), servers=fleet(10))
    for group in range(10):
        driver.request(group=group)
    driver.run(SECOND * 3 // 5)
    assert len({getattr(a, "server_id") for a in driver.logged(CheckHealth)}) == 10  # noqa: B009
    for server in range(1, 11):
        driver.report(server, 0.5)
    before = len(driver.logged(CheckHealth))
    driver.run(2 * SECOND)  # the price paces them
    assert len(driver.logged(CheckHealth)) - before <= 30


def test_a_node_that_holds_next_to_nothing_still_finds_room() -> None:
    """After a restart a node's few connections are no measure of what one more adds to a server."""
    driver = Driver(replace(BASE, prices={"probe": 0.002}), servers=fleet(2))
    driver.report(1, 0.65)
    driver.report(2, 0.65)
    driver.run(3 * SECOND)  # a sweep has reckoned what one connection adds
    for server in (1, 2):
        driver.report(server, 0.65)
    assert driver.where(driver.request()) in (1, 2)


def test_where_loads_swing_more_room_is_kept() -> None:
    """Reports that jump about leave no trust in the last one: a server at 0.7 may be past 1 soon."""

    def answered(steps: tuple[float, float]) -> bool:
        driver = Driver(replace(BASE, prices={"probe": 0.002}), servers=fleet(2))
        for server in (1, 2):
            for _ in range(8):
                driver.open(server)
        for k in range(60):
            for server in (1, 2):
                driver.report(server, steps[k % 2])
            driver.run(SECOND // 10)
        for server in (1, 2):
            driver.report(server, 0.7)
        number = driver.request()
        driver.run(SECOND)
        return number in driver.attempts

    assert answered((0.7, 0.7))
    assert not answered((0.5, 1.0))


def test_one_low_report_does_not_draw_the_crowd() -> None:
    """A server long seen at 0.8 is taken for 0.6 after one report of 0.4, and for 0.4 only after several."""
    driver = Driver(replace(BASE, prices={"probe": 0.002}), servers=fleet(2))
    for _ in range(20):
        driver.report(1, 0.8)
        driver.report(2, 0.8)
        driver.run(SECOND // 10)
    driver.report(1, 0.4)
    first = driver.balancer.servers[1]
    assert driver.balancer.estimate(first) == pytest.approx(0.6, abs=0.01)
    for _ in range(6):
        driver.report(1, 0.4)
    assert driver.balancer.estimate(first) == pytest.approx(0.4, abs=0.01)


def test_cold_servers_whose_budget_is_spent_do_not_keep_all_others_out() -> None:
    """Growth while all are slow: the new servers look well and may take nothing, so nobody was served."""
    driver = Driver(PLAIN, servers=fleet(2))
    driver.members([entry(s, since=driver.now) for s in range(3, 9)])
    for s in range(3, 9):
        driver.balancer.servers[s].tokens = 0.0
    for s in (1, 2):
        driver.give(LatencySample(driver.open(s), s, 900.0, 0))
    assert driver.where(driver.request()) in (1, 2)


def test_a_group_is_not_scattered_where_its_servers_are_full() -> None:
    """Each further server does the group's work again: at full size 119 group-server pairs became 680."""
    places = set()
    for seed in range(20):  # as many nodes that know nothing of each other
        driver = Driver(replace(BASE, prices={"probe": 0.002}, node_count=600), seed, fleet(60))
        driver.request(group=7)
        for _ in range(12):
            for probe in driver.logged(CheckHealth):
                driver.report(getattr(probe, "server_id"), 0.95)  # noqa: B009
            driver.run(SECOND // 20)
        places |= {getattr(a, "server_id") for a in driver.logged(StartAttempt)}  # noqa: B009
    assert len(places) <= 4


def test_a_large_list_replaced_at_once_is_taken_over_and_warmed_within_bounds() -> None:
    """One of a thousand nodes: no send to an old server, next to none to cold ones, all of them once warm."""
    told = replace(BASE, node_count=1000, allows_health_checks=False)
    driver = Driver(told, servers=fleet(150))
    for group in range(40):
        driver.connect(group=group)
    driver.members([entry(s, since=driver.now) for s in range(1001, 1151)], UpdateKind.FULL)
    before = len(driver.logged(StartAttempt))
    for group in range(20):
        driver.request(group=group)
    assert all(getattr(a, "server_id") > 1000 for a in driver.logged(StartAttempt)[before:])  # noqa: B009
    assert len(driver.balancer.ready) == 150
    for number, attempt in list(driver.attempts.items()):
        if not attempt.live:
            driver.establish(number)
    assert (
        len(driver.logged(StartAttempt)) - before < 10
    ), "held back: cold budgets of one of a thousand nodes"
    for _ in range(4 * told.warm_up_us // SECOND):
        driver.run(SECOND // 4)
        for number, attempt in list(driver.attempts.items()):
            if not attempt.live:
                driver.establish(number)
    assert {driver.where(driver.connect(group=group)) > 1000 for group in range(20)} == {True}


@pytest.mark.parametrize("data", [b"", b"\xff" * 256, b"load=nan"])
def test_what_peers_say_is_passed_over(data: bytes) -> None:
    driver = Driver(replace(BASE, allows_peer_messages=True), servers=fleet(3))
    assert driver.give(PeerMessage(7, data)) == [] and driver.balancer.malformed_peer_messages() == 1
    assert driver.balancer.ready and not driver.balancer.flows


def test_a_delta_that_takes_off_an_unknown_server_changes_nothing() -> None:
    driver = Driver(PLAIN, servers=fleet(3))
    driver.members([entry(99, ServerState.GONE)])
    driver.members([entry(98, ServerState.DRAINING)])
    assert {driver.where(driver.connect()) for _ in range(30)} == {1, 2, 3}


def test_larger_servers_are_drawn_more_often() -> None:
    """Drawn alike, hosts of 1.5 stood at 1.5 times what they can do while those of 4 stood at 0.05."""
    sizes = {1: 4.0, 2: 4.0, **{s: 1.0 for s in range(3, 11)}}
    large = 0
    for seed in range(40):
        driver = Driver(PLAIN, seed, [entry(s)._replace(weight=w) for s, w in sizes.items()])
        for _ in range(5):  # as many nodes that hold a few each
            large += driver.where(driver.connect()) <= 2
    assert 70 < large < 150  # of 200: half by size, a fifth by number


@pytest.mark.parametrize("weight", [0.0, -1.0, math.nan, math.inf, 1e300])
def test_nonsense_for_a_size_harms_nobody(weight: float) -> None:
    driver = Driver(replace(PLAIN, has_groups=True), servers=[entry(1)._replace(weight=weight), entry(2)])
    for _ in range(20):
        driver.connect(group=7)
    driver.members([entry(1, ServerState.GONE)])
    driver.members([entry(1)._replace(weight=weight)])
    driver.connect(group=7)


AWAY = replace(BASE, prices={"crossZone": 0.16, "moves": 0.0087, "probe": 0.002})


def moved_home(settings: Settings, load: float) -> int:
    """How many of four connections that stand in another zone are sent away in 20 s."""
    driver = Driver(settings, servers=[entry(1), entry(2, zone=1)])
    for _ in range(4):
        driver.open(2)
    for _ in range(200):
        driver.run(SECOND // 10)
        driver.report(1, load)
        driver.report(2, 0.3)
    return len(driver.logged(MigrateClient))


def test_what_stands_in_another_zone_is_brought_home_where_there_is_room() -> None:
    """On six of six fleet days crossings cost 0.067 to 0.096 of the result, by what stood at first."""
    assert moved_home(AWAY, 0.2) == 4
    assert moved_home(AWAY, 0.8) == 0, "no room at home"
    assert (
        moved_home(replace(AWAY, prices={"crossZone": 0.16, "moves": 0.1}), 0.2) == 0
    ), "moves cost too much"


def test_a_node_that_asks_only_before_draws_asks_at_home_before_it_brings_anyone_there() -> None:
    driver = Driver(AWAY, servers=[entry(1), entry(2, zone=1)])
    driver.open(2)
    driver.run(12 * SECOND)
    assert not driver.logged(MigrateClient), "moved to a home of which nothing is known"
    assert {p.server_id for p in driver.logged(CheckHealth) if isinstance(p, CheckHealth)} >= {1}


def test_bringing_home_is_spread_over_time() -> None:
    driver = Driver(AWAY, servers=[entry(1), entry(2, zone=1)])
    for _ in range(30):
        driver.open(2)
    for _ in range(10):
        driver.report(1, 0.1)
        driver.report(2, 0.5)
        driver.run(SECOND // 10)
    assert 0 < len(driver.logged(MigrateClient)) <= 4


def test_home_is_filled_no_further_than_the_tier_stands_or_the_old_place_does() -> None:
    """calm+mass: a zone's own servers at 0.7 had no room for a burst; 289 resets, 393 set-ups timed out."""

    def moved(home: float, away: float) -> int:
        driver = Driver(AWAY, servers=[entry(1), entry(2, zone=1)])
        for _ in range(10):
            driver.open(2)
        for _ in range(100):
            driver.report(1, home)
            driver.report(2, away)
            driver.run(SECOND // 10)
        return len(driver.logged(MigrateClient))

    assert moved(0.3, 0.6) > 0
    assert moved(0.6, 0.3) == 0


def test_a_draw_among_thousands_weighs_no_more_of_them_than_among_hundreds() -> None:
    driver = Driver(PLAIN, servers=fleet(3000))
    loads, size = driver.balancer.loads, driver.balancer.loads.effective_size
    weighed: list[int] = []

    def count(server: Server, now_us: int) -> float:
        weighed.append(server.id)
        return size(server, now_us)

    loads.effective_size = count  # type: ignore[method-assign]
    met = {driver.balancer.sample(driver.balancer.ready)[0].id for _ in range(100)}
    assert len(weighed) <= 100 * MANY
    assert len(met) > 90, "any of them may be drawn"


def test_a_keyed_request_is_sent_again_only_while_a_late_dial_would_be_within_its_window() -> None:
    """The line is written when the connection is up, as late as the settings let a dial take."""
    window, dial = BASE.classes[2].idempotency_window_us, BASE.connect_timeout_us
    for after, again in ((window - dial - 1, True), (window - dial, False)):
        driver = Driver(PLAIN, servers=fleet(4))
        number = driver.request(cls=2)
        driver.now += after
        actions = driver.end(number, AttemptOutcome.RESET)
        assert any(isinstance(a, StartAttempt) for a in actions) is again, after
