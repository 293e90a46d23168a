"""A file against a schema, from text to plain values."""

from __future__ import annotations

from typing import Any

from limerudder.cue.syntax import CueError, SourceError, SourcePosition, parse
from limerudder.cue.unification import Unifier, concrete
from limerudder.cue.values import Evaluator, ReferenceScope, StructValue

SCHEMA = "schema"  #: the schema's name in messages


def load(text: str | bytes, file: str, schema: str, root: str) -> dict[str, Any]:
    """The values of `file`, whose text may use the schema's definitions; it is held to the definition `root`.

    Durations come as microseconds, sizes as bytes. Raises FileError with all that is wrong.
    """
    errors: list[SourceError] = []
    outer = ReferenceScope(parse(schema, SCHEMA), None)
    record = parse(text, file)
    (wanted,) = outer.trees[root]
    told = Evaluator(errors).record(record, outer, closed=False)
    held_to = Evaluator(errors).read(wanted, outer, closed=True)
    unifier = Unifier(errors, own=file)
    both = unifier.unify(held_to, told, ())
    assert isinstance(both, StructValue)
    lacking: list[SourceError] = []
    values = concrete(both, (), lacking, SourcePosition(file, 1, 1))
    told_of = {error.text.partition(":")[0] for error in errors}
    errors += [error for error in lacking if error.text.partition(":")[0] not in told_of]
    if errors:
        raise CueError(errors)
    assert isinstance(values, dict)
    return values
