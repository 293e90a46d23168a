"""The load generator: what it draws and counts, and that neither a stall nor its slowness hides a client."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random

import pytest
import uvloop
from click.testing import CliRunner

from harness.stand_ins import StandInHost
from limerudder.cli import main
from limerudder.exit_codes import ExitCode
from limerudder.loadtest.arrivals import Arrival, Burst, Mix, Phase, PlanError, draw
from limerudder.loadtest.latency_histogram import LatencyHistogram
from limerudder.loadtest.load_generator import LoadGenerator
from limerudder.loadtest.trace import read_trace, write_trace

SECOND = 1_000_000


def test_the_same_seed_is_the_same_load_and_rates_are_what_was_asked() -> None:
    phases, bursts = [Phase(20, 100), Phase(20, 100, 300)], [Burst(5, 500, 0.1)]
    mix = Mix({"a": 3, "b": 1}, {"x": 1, "y": 1}, groups=10, median_lifetime_seconds=2, lifetime_sigma=0.5)
    one = draw(phases, bursts, mix, 7)
    assert one == draw(phases, bursts, mix, 7) != draw(phases, bursts, mix, 8)
    assert one == sorted(one, key=lambda arrival: arrival.at_us)
    inside = [a for a in one if 5 * SECOND <= a.at_us < 5.1 * SECOND]
    assert 500 <= len(inside) < 540
    first = sum(a.at_us < 20 * SECOND for a in one) - 500
    assert abs(first - 2000) < 200 and abs(len(one) - 500 - first - 4000) < 300, "within 4 deviations"
    late = sum(a.at_us >= 30 * SECOND for a in one)
    assert late > 2200, "the second half of a ramp has more than the first"
    assert 2.5 < sum(a.traffic_class == "a" for a in one) / sum(a.traffic_class == "b" for a in one) < 3.5
    assert {a.group for a in one} == set(range(1, 11)) and len({a.lifetime_us for a in one}) > 1000


@pytest.mark.parametrize(
    ("phases", "bursts", "mix", "told"),
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
def test_a_plan_that_cannot_be_is_told(phases: list[Phase], bursts: list[Burst], mix: Mix, told: str) -> None:
    with pytest.raises(PlanError, match=told):
        draw(phases, bursts, mix, 1)


@pytest.mark.parametrize("name", ["t.csv", "t.jsonl"])
def test_a_trace_is_read_as_it_was_written_and_a_bad_line_is_named(tmp_path: Path, name: str) -> None:
    path = tmp_path / name
    arrivals = draw([Phase(2, 50)], [], Mix({"a": 1}, {"x": 1}, groups=3), 1)
    write_trace(path, arrivals)
    assert read_trace(path) == sorted(arrivals)
    bad = '{"at": 1}\n' if name.endswith("jsonl") else "at,cls\nx,a\n"
    path.write_text(bad)
    with pytest.raises(PlanError, match=rf"{name}:\d: .*expected at, cls, tenant, group, life"):
        read_trace(path)
    for text in ('{"at": -1, "cls": "a"}\n', "[" * 9000 + "\n", "7\n"):
        (tmp_path / "b.jsonl").write_text(text)
        with pytest.raises(PlanError, match="b.jsonl:1"):
            read_trace(tmp_path / "b.jsonl")
    with pytest.raises(PlanError, match="cannot read"):
        read_trace(tmp_path / "none.csv")


def test_all_arrivals_of_a_stall_are_late_by_what_they_waited() -> None:
    """A server that stalls for 2 s, on a clock of our own: exactly those that came meanwhile are late."""
    arrivals = draw([Phase(10, 500)], [], Mix(), 3)
    begin, end, usual, random = 4 * SECOND, 6 * SECOND, 800, Random(1)
    histogram, in_stall = LatencyHistogram(), 0
    for one in arrivals:
        histogram.record_arrival(0)
        answered = one.at_us + usual + random.randrange(200)
        stalled = begin <= answered < end
        in_stall += stalled and end - one.at_us > 50_000
        histogram.record_answer("UP", (end if stalled else answered) - one.at_us)
    assert abs(histogram.count_slower_than(50_000) - in_stall) <= in_stall / 100
    told = histogram.summary()["latency_us"]
    assert told["p50"] < 1100 and told["p99"] > 1_800_000, "p99 shows it"


def test_nobody_is_skipped_by_a_generator_that_is_slower_than_its_arrivals() -> None:
    async def story() -> None:
        host = StandInHost("h")
        await host.start()
        where = (host.address.split(":")[0], int(host.address.split(":")[1]))
        arrivals = [Arrival(0, "chat", "", 0, 10_000)] * 400  # all at one moment
        generator = LoadGenerator(arrivals, [where])
        histogram = await generator.run()
        host.close()
        assert histogram.arrived == 400 == sum(histogram.answers.values()) and histogram.waiting == 0
        assert histogram.answers["UP"] == 400 == len(host.request_times)
        assert histogram.late_arrivals > 0, "and it says that it was late"
        assert (
            histogram.latency.get_max_value() >= histogram.generator_lateness.get_max_value() * 0.99
        ), "which counts as latency"
        assert not generator.clients and generator.served_count == 0

    uvloop.run(asyncio.wait_for(story(), 60))


def test_refusals_silence_and_a_halt_each_count_once(tmp_path: Path) -> None:
    async def story() -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        async def busy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(b"BUSY 100\r\n")
            writer.close()

        servers = [await asyncio.start_server(one, "127.0.0.1", 0) for one in (silent, busy)]
        targets = [server.sockets[0].getsockname() for server in servers] + [("127.0.0.1", 9)]
        figures = (tmp_path / "f.jsonl").open("w")
        generator = LoadGenerator([Arrival(0, "chat", "", 0, 0)] * 30, targets, figures=figures)
        histogram = await generator.run(drain_seconds=0.2)
        figures.close()
        assert (
            histogram.answers == {"none": 10, "BUSY": 10, "refused connection": 10} and histogram.waiting == 0
        )
        assert json.loads((tmp_path / "f.jsonl").read_text().splitlines()[-1])["came"] == 30
        later = LoadGenerator([Arrival(n * SECOND, "chat", "", 0, 0) for n in range(100)], targets)
        later.halt()
        assert (await later.run()).arrived == 0
        for server in servers:
            server.close()

    uvloop.run(asyncio.wait_for(story(), 60))


def test_the_command_tells_a_wrong_call_and_an_impossible_plan(tmp_path: Path) -> None:
    def run(*args: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["lab", "load", *args])
        return result.exit_code, result.stderr

    for args, words in [
        (["nowhere", "--phase", "1,1"], "nowhere"),
        (["127.0.0.1:9"], "say --phase or --burst, or --trace"),
        (["127.0.0.1:9", "--phase", "x"], "x stands here, expected SECONDS,RATE[,RATE]"),
        (["127.0.0.1:9", "--phase", "1,-1"], "a rate of -1"),
        (["127.0.0.1:9", "--phase", "1,1", "--class", "a=x"], "expected NAME=WEIGHT"),
        (["127.0.0.1:9", "--trace", str(tmp_path / "none.csv")], "cannot read"),
    ]:
        code, told = run(*args)
        assert code == ExitCode.INVALID_INPUT and words in told, (args, told)
