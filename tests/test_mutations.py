"""The planted defects fit the shipped text, and are defects rather than errors of their own."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from harness.mutations import MUTATIONS, Mutation, MutationError

ROOT = Path(__file__).parent.parent
IMPORT_WITH_MUTATION = """
import importlib, sys
from harness.mutations import MUTATIONS, install_mutation
mutation = MUTATIONS[int(sys.argv[1])]
install_mutation(mutation)
importlib.import_module(mutation.module)
"""


def _is_name_part(character: str) -> bool:
    return character.isalnum() or character == "_"


def _splits_a_name(source: str, position: int) -> bool:
    return _is_name_part(source[position - 1]) and _is_name_part(source[position])


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_its_text_occurs_exactly_once_in_its_module(mutation: Mutation) -> None:
    source = mutation.path().read_text()
    assert source.count(mutation.before) == 1
    assert mutation.apply(source) != source


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_its_text_begins_and_ends_between_names(mutation: Mutation) -> None:
    source = mutation.path().read_text()
    start = source.index(mutation.before)
    assert not _splits_a_name(source, start)
    assert not _splits_a_name(source, start + len(mutation.before))


@pytest.mark.parametrize("number", range(len(MUTATIONS)), ids=[mutation.name for mutation in MUTATIONS])
def test_the_changed_module_is_imported(number: int) -> None:
    args = [sys.executable, "-c", IMPORT_WITH_MUTATION, str(number)]
    done = subprocess.run(args, capture_output=True, text=True, cwd=ROOT, check=False)
    assert (done.returncode, done.stderr) == (0, "")


def test_names_are_unique() -> None:
    assert len({mutation.name for mutation in MUTATIONS}) == len(MUTATIONS)


def test_a_mutation_that_does_not_fit_is_an_error() -> None:
    with pytest.raises(MutationError, match="occurs 0 times"):
        Mutation("gone", "harness.mutations", "a" + "b" * 40, "").apply("text")
    with pytest.raises(MutationError, match="occurs 2 times"):
        Mutation("twice", "harness.mutations", "x", "y").apply("x x")
