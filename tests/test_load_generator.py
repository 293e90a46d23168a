"""The load generator: the arrivals it draws and counts, also during a stall or when it is late itself."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path
from random import Random

import pytest
import uvloop
from click.testing import CliRunner

from harness.stand_ins import StandInHost
from limerudder.cli import main
from limerudder.core.transport import parse_address
from limerudder.exit_codes import ExitCode
from limerudder.loadtest.arrivals import Arrival, Burst, Mix, Phase, PlanError, draw
from limerudder.loadtest.latency_histogram import LatencyHistogram
from limerudder.loadtest.load_generator import LoadGenerator
from limerudder.loadtest.trace import read_trace, write_trace

SECOND = 1_000_000


def count_arrivals(arrivals: list[Arrival], begin_seconds: float, end_seconds: float) -> int:
    """Return how many clients arrive within a period."""
    return sum(begin_seconds * SECOND <= arrival.at_us < end_seconds * SECOND for arrival in arrivals)


def test_the_same_seed_gives_the_same_load_at_the_planned_rates() -> None:
    phases = [Phase(20, 100), Phase(20, 100, 300)]
    burst_size = 500
    bursts = [Burst(5, burst_size, 0.1)]
    mix = Mix({"a": 3, "b": 1}, {"x": 1, "y": 1}, groups=10, median_lifetime_seconds=2, lifetime_sigma=0.5)
    arrivals = draw(phases, bursts, mix, 7)
    assert arrivals == draw(phases, bursts, mix, 7) != draw(phases, bursts, mix, 8)
    assert arrivals == sorted(arrivals, key=lambda arrival: arrival.at_us)
    assert burst_size <= count_arrivals(arrivals, 5, 5.1) < 540
    in_first_phase = count_arrivals(arrivals, 0, 20) - burst_size
    in_second_phase = len(arrivals) - burst_size - in_first_phase
    assert abs(in_first_phase - 2000) < 200, "within 4 deviations"
    assert abs(in_second_phase - 4000) < 300, "within 4 deviations"
    late_in_ramp = sum(arrival.at_us >= 30 * SECOND for arrival in arrivals)
    assert late_in_ramp > 2200, "the second half of a ramp has more than the first"
    class_counts = Counter(arrival.traffic_class for arrival in arrivals)
    assert 2.5 < class_counts["a"] / class_counts["b"] < 3.5
    assert {arrival.group for arrival in arrivals} == set(range(1, 11))
    assert len({arrival.lifetime_us for arrival in arrivals}) > 1000


@pytest.mark.parametrize(
    ("phases", "bursts", "mix", "error"),
    [
        ([Phase(0, 1)], [], Mix(), "a phase of 0 s"),
        ([Phase(1, -1)], [], Mix(), "a rate of -1"),
        ([Phase(1, 1, 2e6)], [], Mix(), "a rate of 2000000"),
        ([Phase(86400, 1e6)], [], Mix(), "at most 20000000 are drawn"),
        ([], [Burst(-1, 5)], Mix(), "none may be negative"),
        ([Phase(1, 1)], [], Mix({}), "classes"),
        ([Phase(1, 1)], [], Mix({"a": -1}), "classes"),
        ([Phase(1, 1)], [], Mix(median_lifetime_seconds=-1), "may not be negative"),
    ],
)
def test_an_impossible_plan_is_an_error(
    phases: list[Phase], bursts: list[Burst], mix: Mix, error: str
) -> None:
    with pytest.raises(PlanError, match=error):
        draw(phases, bursts, mix, 1)


@pytest.mark.parametrize("name", ["t.csv", "t.jsonl"])
def test_a_trace_is_read_as_it_was_written_and_an_invalid_line_is_reported(tmp_path: Path, name: str) -> None:
    path = tmp_path / name
    arrivals = draw([Phase(2, 50)], [], Mix({"a": 1}, {"x": 1}, groups=3), 1)
    write_trace(path, arrivals)
    assert read_trace(path) == sorted(arrivals)
    bad_line = '{"at": 1}\n' if name.endswith("jsonl") else "at,cls\nx,a\n"
    path.write_text(bad_line)
    with pytest.raises(PlanError, match=rf"{name}:\d: .*expected at, cls, tenant, group, life"):
        read_trace(path)
    for text in ('{"at": -1, "cls": "a"}\n', "[" * 9000 + "\n", "7\n"):
        (tmp_path / "b.jsonl").write_text(text)
        with pytest.raises(PlanError, match="b.jsonl:1"):
            read_trace(tmp_path / "b.jsonl")
    with pytest.raises(PlanError, match="cannot read"):
        read_trace(tmp_path / "none.csv")


def test_all_arrivals_during_a_stall_have_its_delay_in_their_latency() -> None:
    """A server stalls for 2 s on a simulated clock: exactly the arrivals during the stall are slow."""
    arrivals = draw([Phase(10, 500)], [], Mix(), 3)
    stall_begin_us = 4 * SECOND
    stall_end_us = 6 * SECOND
    usual_latency_us = 800
    slow_us = 50_000
    random = Random(1)
    histogram = LatencyHistogram()
    slow_in_stall = 0
    for arrival in arrivals:
        histogram.record_arrival(0)
        answered_us = arrival.at_us + usual_latency_us + random.randrange(200)
        if stall_begin_us <= answered_us < stall_end_us:
            answered_us = stall_end_us
            slow_in_stall += stall_end_us - arrival.at_us > slow_us
        histogram.record_answer("UP", answered_us - arrival.at_us)
    assert abs(histogram.count_slower_than(slow_us) - slow_in_stall) <= slow_in_stall / 100
    latency = histogram.summary()["latency_us"]
    assert latency["p50"] < 1100 and latency["p99"] > 1_800_000, "p99 shows the stall"


def test_no_client_is_skipped_by_a_generator_that_is_slower_than_its_arrivals() -> None:
    async def scenario() -> None:
        host = StandInHost("h")
        await host.start()
        target = parse_address(host.address)
        arrivals = [Arrival(0, "chat", "", 0, 10_000)] * 400  # all at the same time
        generator = LoadGenerator(arrivals, [target])
        histogram = await generator.run()
        host.close()
        assert histogram.arrived == 400 == sum(histogram.answers.values())
        assert histogram.waiting == 0
        assert histogram.answers["UP"] == 400 == len(host.request_times)
        assert histogram.late_arrivals > 0, "the generator reports its lateness"
        max_latency = histogram.latency.get_max_value()
        max_lateness = histogram.generator_lateness.get_max_value()
        assert max_latency >= max_lateness * 0.99, "lateness counts as latency"
        assert not generator.clients
        assert generator.established_count == 0

    uvloop.run(asyncio.wait_for(scenario(), 60))


def test_rejections_missing_answers_and_a_halt_each_count_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        async def busy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(b"BUSY 100\r\n")
            writer.close()

        servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for serve in (silent, busy)]
        targets = [server.sockets[0].getsockname() for server in servers] + [("127.0.0.1", 9)]
        figures_path = tmp_path / "f.jsonl"
        with figures_path.open("w") as figures:
            generator = LoadGenerator([Arrival(0, "chat", "", 0, 0)] * 30, targets, figures=figures)
            histogram = await generator.run(drain_seconds=0.2)
        assert histogram.answers == {"none": 10, "BUSY": 10, "refused connection": 10}
        assert histogram.waiting == 0
        assert json.loads(figures_path.read_text().splitlines()[-1])["came"] == 30
        halted = LoadGenerator([Arrival(n * SECOND, "chat", "", 0, 0) for n in range(100)], targets)
        halted.halt()
        assert (await halted.run()).arrived == 0
        for server in servers:
            server.close()

    uvloop.run(asyncio.wait_for(scenario(), 60))


def test_the_command_reports_invalid_arguments_and_an_impossible_plan(tmp_path: Path) -> None:
    def run(*args: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["lab", "load", *args])
        return result.exit_code, result.stderr

    for args, message in [
        (["nowhere", "--phase", "1,1"], "nowhere"),
        (["127.0.0.1:9"], "give either --phase or --burst, or --trace"),
        (["127.0.0.1:9", "--phase", "x"], "invalid value x, expected SECONDS,RATE[,RATE]"),
        (["127.0.0.1:9", "--phase", "1,-1"], "a rate of -1"),
        (["127.0.0.1:9", "--phase", "1,1", "--class", "a=x"], "invalid value a=x, expected NAME=WEIGHT"),
        (["127.0.0.1:9", "--trace", str(tmp_path / "none.csv")], "cannot read"),
    ]:
        code, error = run(*args)
        assert code == ExitCode.INVALID_INPUT, args
        assert message in error, (args, error)
