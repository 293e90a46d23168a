"""The command `limerudder lab`: load tests of nodes. The extra `lab` installs its dependencies."""

from __future__ import annotations

import json
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

import click

from limerudder.cli import EXAMPLES, fail
from limerudder.exit_codes import ExitCode

PHASE_FORM = "SECONDS,RATE[,RATE]"
BURST_FORM = "AT,MANY[,WITHIN]"
DEFAULT_CLASS = "chat"
DEFAULT_TENANT = ""


@click.group(
    epilog=EXAMPLES + "  limerudder lab load 127.0.0.1:8081 --phase 10,200",
    context_settings={"help_option_names": ["-h", "--help"]},
)
def lab() -> None:
    """Run load tests against nodes. Needs `pip install limerudder[lab]`."""
    try:
        import hdrh  # type: ignore[import-untyped]
        import numpy  # noqa: F401

        assert hdrh
    except ImportError as exc:
        fail(f"{exc.name} is not installed: pip install 'limerudder[lab]'", ExitCode.INVALID_INPUT)


@dataclass(frozen=True, slots=True)
class _PlanOptions:
    """The options that define the arrivals to be drawn."""

    phases: tuple[str, ...]
    bursts: tuple[str, ...]
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    groups: int
    life: float
    life_sigma: float
    seed: int


@lab.command(
    epilog=EXAMPLES
    + "  limerudder lab load 127.0.0.1:8081 --phase 10,200 --phase 5,200,800 --burst 3,500,0.2\n"
    + "  limerudder lab load 127.0.0.1:8081 --trace launch.csv --figures run.jsonl"
)
@click.argument("targets", nargs=-1, required=True, metavar="ADDRESS:PORT...")
@click.option(
    "--phase",
    "phases",
    multiple=True,
    help="SECONDS,RATE[,RATE AT ITS END] of Poisson arrivals; phases run in turn.",
)
@click.option(
    "--burst",
    "bursts",
    multiple=True,
    help="AT,MANY[,WITHIN]: MANY arrivals from AT on, over WITHIN seconds.",
)
@click.option("--class", "classes", multiple=True, help="NAME=WEIGHT of a traffic class.")
@click.option("--tenant", "tenants", multiple=True, help="NAME=WEIGHT of a tenant.")
@click.option("--groups", default=0, help="Number of groups, chosen by Zipf's law.")
@click.option("--life", default=1.0, help="Median seconds for which a client stays connected.")
@click.option("--life-sigma", default=0.0, help="Standard deviation of the logarithm of that time.")
@click.option("--seed", default=1, help="Random seed; the same seed gives the same arrivals.")
@click.option("--deadline", default=2000, help="Deadline in milliseconds that clients send.")
@click.option(
    "--trace", type=click.Path(dir_okay=False, path_type=Path), help="Read the arrivals from a file instead."
)
@click.option(
    "--save", type=click.Path(dir_okay=False, path_type=Path), help="Write the arrivals (.csv, .jsonl)."
)
@click.option(
    "--figures",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write results every second, as JSON Lines.",
)
def load(
    targets: tuple[str, ...],
    deadline: int,
    trace: Path | None,
    save: Path | None,
    figures: Path | None,
    **plan_options: Any,
) -> None:
    """Run an open-loop load test; latencies are measured from the intended arrival times."""
    from limerudder.loadtest.arrivals import PlanError
    from limerudder.loadtest.load_generator import run_load_test
    from limerudder.loadtest.trace import read_trace, write_trace

    addresses = _parse_addresses(targets)
    options = _PlanOptions(**plan_options)
    if bool(trace) == bool(options.phases or options.bursts):
        fail("give either --phase or --burst, or --trace", ExitCode.INVALID_INPUT)
    try:
        arrivals = read_trace(trace) if trace else _draw_arrivals(options)
        if save:
            write_trace(save, arrivals)
        with _open_for_writing(figures) as file:
            histogram = run_load_test(arrivals, addresses, deadline, file)
    except PlanError as exc:
        fail(str(exc), ExitCode.INVALID_INPUT)
    except OSError as exc:
        fail(f"{exc.filename}: {exc.strerror}", ExitCode.FAILED)
    click.echo(json.dumps({"arrivals": len(arrivals), **histogram.summary()}, indent=2))


def _parse_addresses(targets: tuple[str, ...]) -> list[tuple[str, int]]:
    from limerudder.core.transport import parse_address

    try:
        return [parse_address(target) for target in targets]
    except ValueError as exc:
        fail(str(exc), ExitCode.INVALID_INPUT)


def _draw_arrivals(options: _PlanOptions) -> list[Any]:
    from limerudder.loadtest.arrivals import Burst, Mix, Phase, draw

    phases = [Phase(*numbers) for numbers in _parse_numbers(options.phases, PHASE_FORM)]
    bursts = [
        Burst(at, int(count), *within) for at, count, *within in _parse_numbers(options.bursts, BURST_FORM)
    ]
    mix = Mix(
        classes=_parse_weights(options.classes, DEFAULT_CLASS),
        tenants=_parse_weights(options.tenants, DEFAULT_TENANT),
        groups=options.groups,
        median_lifetime_seconds=options.life,
        lifetime_sigma=options.life_sigma,
    )
    return draw(phases, bursts, mix, options.seed)


def _parse_numbers(arguments: tuple[str, ...], form: str) -> list[list[float]]:
    """Parse options that consist of two or three numbers, separated by commas."""
    parsed = []
    for argument in arguments:
        try:
            numbers = [float(part) for part in argument.split(",")]
        except ValueError:
            numbers = []
        if len(numbers) not in (2, 3):
            fail(f"invalid value {argument}, expected {form}", ExitCode.INVALID_INPUT)
        parsed.append(numbers)
    return parsed


def _parse_weights(arguments: tuple[str, ...], default: str) -> dict[str, float]:
    weights: dict[str, float] = {}
    for argument in arguments or (default,):
        name, _, weight = argument.partition("=")
        try:
            weights[name] = float(weight or 1)
        except ValueError:
            fail(f"invalid value {argument}, expected NAME=WEIGHT", ExitCode.INVALID_INPUT)
    return weights


def _open_for_writing(path: Path | None) -> AbstractContextManager[IO[str] | None]:
    return path.open("w") if path else nullcontext()
