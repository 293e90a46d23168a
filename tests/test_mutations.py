"""Each mutation applies to its module, and the mutated module can still be imported."""

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
def test_text_to_replace_occurs_exactly_once_in_its_module(mutation: Mutation) -> None:
    source = mutation.path().read_text()
    assert source.count(mutation.before) == 1
    assert mutation.apply(source) != source


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_text_to_replace_begins_and_ends_between_names(mutation: Mutation) -> None:
    source = mutation.path().read_text()
    start = source.index(mutation.before)
    assert not _splits_a_name(source, start)
    assert not _splits_a_name(source, start + len(mutation.before))


@pytest.mark.parametrize("number", range(len(MUTATIONS)), ids=[mutation.name for mutation in MUTATIONS])
def test_the_mutated_module_is_importable(number: int) -> None:
    args = [sys.executable, "-c", IMPORT_WITH_MUTATION, str(number)]
    completed = subprocess.run(args, capture_output=True, text=True, cwd=ROOT, check=False)
    assert (completed.returncode, completed.stderr) == (0, "")


def test_names_are_unique() -> None:
    assert len({mutation.name for mutation in MUTATIONS}) == len(MUTATIONS)


def test_a_mutation_without_a_unique_match_is_an_error() -> None:
    with pytest.raises(MutationError, match="occurs 0 times"):
        Mutation("gone", "harness.mutations", "a" + "b" * 40, "").apply("text")
    with pytest.raises(MutationError, match="occurs 2 times"):
        Mutation("twice", "harness.mutations", "x", "y").apply("x x")
