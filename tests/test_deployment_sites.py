"""The project's own variant deployments: readable, unlike each other, and known to nothing in the program."""

from __future__ import annotations

import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[1]
SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
# of the customers' deployments: classes, members and machines that the program may not know by name
CUSTOMERS = (
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
    """What a program could be fitted to."""
    listed = [entry["name"] for entry in (*site["class"], *site["tenant"], *site["tier"])]
    kinds = [kind["name"] for tier in site["tier"] for kind in tier["kind"]]
    return {site["name"], *listed, *kinds, *site["net"]["zones"]}


def test_there_are_two_and_one_asks_for_lists_and_one_gets_them_pushed() -> None:
    assert [read(path)["name"] for path in SITES] == [path.stem for path in SITES]
    assert sorted(read(path)["discovery"]["mode"] for path in SITES) == ["ask", "push"]


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_variant_deployment_is_whole_and_has_names_of_its_own(path: Path) -> None:
    site, text = read(path), path.read_text().lower()
    assert not [name for name in CUSTOMERS if name in text]
    assert all(not names(site) & names(read(other)) for other in SITES if other != path)
    assert len(site["fam"]["class"]) == len(site["class"]) >= 3
    assert sum(tenant["share"] for tenant in site["tenant"]) == pytest.approx(1)
    for low, high in (cls["share"] for cls in site["class"]):
        assert 0 < low < high < 1
    for cls in site["class"]:
        assert 0 < cls["aim_ms"] < cls["deadline_ms"]


def test_the_variants_differ_in_what_the_program_might_take_for_granted() -> None:
    one, other = (read(path) for path in SITES)
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
        assert one[table][key] != other[table][key], (table, key)
    assert {c["deadline_ms"] for c in one["class"]}.isdisjoint(c["deadline_ms"] for c in other["class"])


def test_nothing_in_the_program_is_fitted_to_a_deployment() -> None:
    known = {name for path in SITES for name in names(read(path))} | set(CUSTOMERS)
    files = subprocess.run(
        ["git", "ls-files", "limerudder", "deploy/balancer.toml"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert files
    for file in files:
        text = (ROOT / file).read_text().lower()
        assert not [name for name in known if name in text], file
