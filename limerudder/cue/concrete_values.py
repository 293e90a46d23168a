"""Plain values from unified ones: defaults are taken, and what is still open is an error."""

from __future__ import annotations

from typing import Any

from limerudder.cue.errors import SourceError, SourcePosition
from limerudder.cue.unification import Path, dotted
from limerudder.cue.values import DisjunctionValue, ListValue, Scalar, StructValue, Value


class Concretizer:
    """Makes values concrete; what has neither value nor default is collected as an error."""

    def __init__(self) -> None:
        self.errors: list[SourceError] = []

    def concretize(self, value: Value, path: Path, position: SourcePosition) -> Any:
        """Return a plain value; None, and an error at `position`, for what is not concrete."""
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
        message = f"{dotted(path)}: nothing is said, expected {value}"
        self.errors.append(SourceError(position, message))
        return None

    def _struct(self, struct: StructValue, path: Path) -> dict[str, Any]:
        """Return a struct's fields, without those that are optional and not given."""
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
    """Return the first marked default, or the only scalar; None where there is no clear choice."""
    marked = [one.value for one in disjunction.alternatives if one.is_default]
    if marked:
        return marked[0]
    scalars = [one.value for one in disjunction.alternatives if isinstance(one.value, Scalar)]
    return scalars[0] if len(scalars) == 1 else None
