"""`limerudder lab …`: driving nodes and judging them. Its libraries come with the extra `lab`."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from limerudder.cli import EXAMPLES, fail
from limerudder.exit_codes import ExitCode


@click.group(
    epilog=EXAMPLES + "  limerudder lab load 127.0.0.1:8081 --phase 10,200",
    context_settings={"help_option_names": ["-h", "--help"]},
)
def lab() -> None:
    """Drive nodes and judge them. Needs `pip install limerudder[lab]`."""
    try:
        import hdrh  # type: ignore[import-untyped]
        import numpy  # noqa: F401

        assert hdrh
    except ImportError as exc:
        fail(f"{exc.name} is not installed: pip install 'limerudder[lab]'", ExitCode.INVALID_INPUT)


def _numbers(words: tuple[str, ...], least: int, most: int, what: str) -> list[list[float]]:
    found = []
    for word in words:
        try:
            numbers = [float(one) for one in word.split(",")]
        except ValueError:
            numbers = []
        if not least <= len(numbers) <= most:
            fail(f"{word} stands here, expected {what}", ExitCode.INVALID_INPUT)
        found.append(numbers)
    return found


def _weights(words: tuple[str, ...], default: str) -> dict[str, float]:
    found: dict[str, float] = {}
    for word in words or (default,):
        name, _, weight = word.partition("=")
        try:
            found[name] = float(weight or 1)
        except ValueError:
            fail(f"{word} stands here, expected NAME=WEIGHT", ExitCode.INVALID_INPUT)
    return found


@lab.command(
    epilog=EXAMPLES
    + "  limerudder lab load 127.0.0.1:8081 --phase 10,200 --phase 5,200,800 --burst 3,500,0.2\n"
    + "  limerudder lab load 127.0.0.1:8081 --trace launch.csv --figures run.jsonl"
)
@click.argument("targets", nargs=-1, required=True, metavar="ADDRESS:PORT...")
@click.option("--phase", "phases", multiple=True, help="SECONDS,RATE[,RATE AT ITS END]; Poisson, in turn.")
@click.option("--burst", "bursts", multiple=True, help="AT,MANY[,WITHIN]: so many at once, in seconds.")
@click.option("--class", "classes", multiple=True, help="NAME=WEIGHT of a class.")
@click.option("--tenant", "tenants", multiple=True, help="NAME=WEIGHT of a tenant.")
@click.option("--groups", default=0, help="How many groups, by Zipf's law.")
@click.option("--life", default=1.0, help="Median seconds that a client stays.")
@click.option("--life-sigma", default=0.0, help="Of the logarithm of that.")
@click.option("--seed", default=1, help="The same seed is the same arrivals.")
@click.option("--deadline", default=2000, help="Milliseconds that clients say they will wait.")
@click.option(
    "--trace", type=click.Path(dir_okay=False, path_type=Path), help="Arrivals from a file instead."
)
@click.option(
    "--save", type=click.Path(dir_okay=False, path_type=Path), help="Write the arrivals (.csv, .jsonl)."
)
@click.option(
    "--figures", type=click.Path(dir_okay=False, path_type=Path), help="Figures a second, JSON Lines."
)
def load(
    targets: tuple[str, ...], trace: Path | None, save: Path | None, figures: Path | None, **given: Any
) -> None:
    """Load nodes in an open loop, and tell latencies from the intended moments."""
    from limerudder.core.transport import parse_address
    from limerudder.loadtest.arrivals import Burst, Mix, Phase, PlanError, draw
    from limerudder.loadtest.load_generator import run
    from limerudder.loadtest.trace import read, write

    try:
        where = [parse_address(one) for one in targets]
    except ValueError as exc:
        fail(str(exc), ExitCode.INVALID_INPUT)
    phases = _numbers(given["phases"], 2, 3, "SECONDS,RATE[,RATE]")
    bursts = _numbers(given["bursts"], 2, 3, "AT,MANY[,WITHIN]")
    if bool(trace) == bool(phases or bursts):
        fail("say --phase or --burst, or --trace", ExitCode.INVALID_INPUT)
    try:
        mix = Mix(
            _weights(given["classes"], "chat"),
            _weights(given["tenants"], ""),
            given["groups"],
            life=given["life"],
            life_sigma=given["life_sigma"],
        )
        drawn = [Burst(at, int(many), *rest) for at, many, *rest in bursts]
        arrivals = read(trace) if trace else draw([Phase(*one) for one in phases], drawn, mix, given["seed"])
        if save:
            write(save, arrivals)
        with figures.open("w") if figures else _nothing() as file:
            tally = run(arrivals, where, given["deadline"], file)
    except PlanError as exc:
        fail(str(exc), ExitCode.INVALID_INPUT)
    except OSError as exc:
        fail(f"{exc.filename}: {exc.strerror}", ExitCode.FAILED)
    click.echo(json.dumps({"arrivals": len(arrivals), **tally.told()}, indent=2))


def _nothing() -> Any:
    from contextlib import nullcontext

    return nullcontext()
