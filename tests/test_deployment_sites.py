"""The project's variant deployments: complete, different from each other, and not named in the program."""

from __future__ import annotations

import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[1]
SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
# Classes, members and machines of the customers' deployments; the program must not contain these names.
CUSTOMER_NAMES = (
    "quebec",
    "palermo",
    "pontypridd",
    "status-watch",
    "image-submit",
    "live-readings",
    "series-replay",
    "station-notes",
    "shelf-scan",
    "parcel-alloc",
    "expiry-list",
    "door-status",
    "abitibi",
    "consorzio",
    "cwm-taf",
)


def read(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text())


def names(site: dict[str, Any]) -> set[str]:
    """Return the names that a deployment defines; the program must not depend on any of them."""
    listed = [entry["name"] for entry in (*site["class"], *site["tenant"], *site["tier"])]
    kinds = [kind["name"] for tier in site["tier"] for kind in tier["kind"]]
    return {site["name"], *listed, *kinds, *site["net"]["zones"]}


def deadlines(site: dict[str, Any]) -> set[float]:
    return {traffic_class["deadline_ms"] for traffic_class in site["class"]}


def test_one_of_two_variants_polls_discovery_and_the_other_receives_pushed_lists() -> None:
    assert [read(path)["name"] for path in SITES] == [path.stem for path in SITES]
    assert sorted(read(path)["discovery"]["mode"] for path in SITES) == ["ask", "push"]


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_variant_deployment_is_complete_and_has_unique_names(path: Path) -> None:
    site = read(path)
    text = path.read_text().lower()
    assert not [name for name in CUSTOMER_NAMES if name in text]
    other_paths = [other for other in SITES if other != path]
    assert all(not names(site) & names(read(other)) for other in other_paths)
    assert len(site["fam"]["class"]) == len(site["class"]) >= 3
    assert sum(tenant["share"] for tenant in site["tenant"]) == pytest.approx(1)
    for traffic_class in site["class"]:
        lowest_share, highest_share = traffic_class["share"]
        assert 0 < lowest_share < highest_share < 1
        assert 0 < traffic_class["aim_ms"] < traffic_class["deadline_ms"]


def test_the_variants_differ_in_settings_that_the_program_might_assume() -> None:
    first, second = (read(path) for path in SITES)
    for table, key in [
        ("allow", "peers"),
        ("allow", "max_attempts"),
        ("rules", "drain_grace_ms"),
        ("rules", "fall_multiple"),
        ("rules", "fall_ms"),
        ("prices", "moves"),
        ("prices", "cross_zone"),
        ("clients", "marks_retry"),
    ]:
        assert first[table][key] != second[table][key], (table, key)
    assert deadlines(first).isdisjoint(deadlines(second))


def program_files() -> list[str]:
    """Return the files of the program that are under version control."""
    command = ["git", "ls-files", "limerudder", "deploy/balancer.toml"]
    listed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    return listed.stdout.split()


def test_the_program_contains_no_name_of_a_deployment() -> None:
    deployment_names = {name for path in SITES for name in names(read(path))} | set(CUSTOMER_NAMES)
    files = program_files()
    assert files
    for file in files:
        text = (ROOT / file).read_text().lower()
        assert not [name for name in deployment_names if name in text], file
