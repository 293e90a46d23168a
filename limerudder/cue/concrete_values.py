"""Conversion of unified values to plain ones: applies defaults, reports values that are not concrete."""

from __future__ import annotations

from typing import Any

from limerudder.cue.errors import SourceError, SourcePosition
from limerudder.cue.unification import Path, format_path
from limerudder.cue.values import DisjunctionValue, ListValue, Scalar, StructValue, Value


class Concretizer:
    """Makes values concrete; collects an error for each that is neither concrete nor has a default."""

    def __init__(self) -> None:
        self.errors: list[SourceError] = []

    def concretize(self, value: Value, path: Path, position: SourcePosition) -> Any:
        """Return a plain value; None, with an error at `position`, if the value is not concrete."""
        match value:
            case Scalar():
                return value.value
            case StructValue():
                return self._struct(value, path)
            case ListValue():
                return self._list(value, path)
            case DisjunctionValue():
                default = _default(value)
                if default is not None:
                    return self.concretize(default, path, position)
        message = f"{format_path(path)}: nothing is said, expected {value}"
        self.errors.append(SourceError(position, message))
        return None

    def _struct(self, struct: StructValue, path: Path) -> dict[str, Any]:
        """Return the fields of a struct, without optional fields that are not set."""
        values = {}
        for name, field in struct.fields.items():
            if field.optional:
                continue
            in_same_file = field.position.file == struct.position.file
            position = field.position if in_same_file else struct.position
            values[name] = self.concretize(field.value, (*path, name), position)
        return values

    def _list(self, value: ListValue, path: Path) -> list[Any]:
        values = []
        for index, item in enumerate(value.items):
            values.append(self.concretize(item, (*path, str(index)), item.position))
        return values


def _default(disjunction: DisjunctionValue) -> Value | None:
    """Return the first marked default, or else the only scalar; None if the choice is ambiguous."""
    marked = [alternative.value for alternative in disjunction.alternatives if alternative.is_default]
    if marked:
        return marked[0]
    scalars = [
        alternative.value for alternative in disjunction.alternatives if isinstance(alternative.value, Scalar)
    ]
    return scalars[0] if len(scalars) == 1 else None
