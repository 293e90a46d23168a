"""Loading of a file according to a schema: converts text to plain values."""

from __future__ import annotations

from typing import Any

from limerudder.cue.concrete_values import Concretizer
from limerudder.cue.errors import CueError, SourceError, SourcePosition
from limerudder.cue.evaluation import Evaluator, ReferenceScope
from limerudder.cue.parser import parse
from limerudder.cue.unification import Unifier
from limerudder.cue.values import StructValue

SCHEMA_NAME = "schema"  #: File name of the schema in error messages


def load(text: str | bytes, file: str, schema: str, root: str) -> dict[str, Any]:
    """Return the values of a file that must satisfy the schema's definition `root`.

    The file may reference the schema's definitions. Durations are returned in microseconds, sizes in bytes.
    Raises CueError with all errors in the file.
    """
    schema_scope = ReferenceScope(parse(schema, SCHEMA_NAME), None)
    struct = parse(text, file)
    (definition,) = schema_scope.expressions[root]
    errors: list[SourceError] = []
    given = Evaluator(errors).struct(struct, schema_scope, closed=False)
    required = Evaluator(errors).evaluate(definition, schema_scope, closed=True)
    unified = Unifier(errors, own_file=file).unify(required, given, ())
    assert isinstance(unified, StructValue)
    concretizer = Concretizer()
    values = concretizer.concretize(unified, (), SourcePosition(file, 1, 1))
    errors += _not_reported_yet(concretizer.errors, errors)
    if errors:
        raise CueError(errors)
    assert isinstance(values, dict)
    return values


def _not_reported_yet(errors: list[SourceError], reported: list[SourceError]) -> list[SourceError]:
    """Return the errors at paths for which no error has been reported."""
    reported_paths = {_path_text(error) for error in reported}
    return [error for error in errors if _path_text(error) not in reported_paths]


def _path_text(error: SourceError) -> str:
    return error.text.partition(":")[0]
