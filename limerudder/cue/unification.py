"""Unification of two values: the greatest value that is an instance of both."""

from __future__ import annotations

from limerudder.cue.errors import SourceError
from limerudder.cue.suggestions import suggestion
from limerudder.cue.values import (
    Constraint,
    DisjunctionValue,
    Field,
    ListValue,
    Scalar,
    StructValue,
    Value,
    ValueAlternative,
)

Path = tuple[str, ...]  #: Field names and list indexes from the top level of the file


class Unifier:
    """Unifies values; collects conflicts as errors, positioned in the operator's own file if possible."""

    def __init__(self, errors: list[SourceError], own_file: str | None = None) -> None:
        self._errors = errors
        self._own_file = own_file  # file preferred for the positions of errors

    def unify(self, left: Value, right: Value, path: Path) -> Value:
        """Return the greatest instance of both values; after a conflict, the left value."""
        if isinstance(left, DisjunctionValue) or isinstance(right, DisjunctionValue):
            return self._unify_alternatives(left, right, path)
        if isinstance(left, StructValue) and isinstance(right, StructValue):
            return self._unify_structs(left, right, path)
        if isinstance(left, ListValue) and isinstance(right, ListValue):
            return self._unify_lists(left, right, path)
        if isinstance(left, Scalar | Constraint) and isinstance(right, Scalar | Constraint):
            return self._unify_scalars(left, right, path)
        return self._conflict(left, right, path)

    def _unify_scalars(self, left: Scalar | Constraint, right: Scalar | Constraint, path: Path) -> Value:
        match left, right:
            case Scalar(), Scalar():
                is_same = (left.kind, left.value) == (right.kind, right.value)
                return left if is_same else self._conflict(left, right, path)
            case Scalar(), Constraint():
                return left if right.accepts(left) else self._conflict(left, right, path)
            case Constraint(), Scalar():
                return right if left.accepts(right) else self._conflict(right, left, path)
            case Constraint(), Constraint():
                kinds = left.kinds & right.kinds
                if not kinds:
                    return self._conflict(left, right, path)
                return Constraint(left.position, kinds, left.bounds + right.bounds)
        raise AssertionError("all combinations are matched above")

    def _unify_alternatives(self, left: Value, right: Value, path: Path) -> Value:
        unified: list[ValueAlternative] = []
        failures: list[list[SourceError]] = []
        for left_alternative in _alternatives(left):
            for right_alternative in _alternatives(right):
                errors: list[SourceError] = []
                unifier = Unifier(errors, self._own_file)
                value = unifier.unify(left_alternative.value, right_alternative.value, path)
                if errors:
                    failures.append(errors)
                elif all(value != other.value for other in unified):
                    is_default = left_alternative.is_default or right_alternative.is_default
                    unified.append(ValueAlternative(value, is_default))
        if not unified:
            return self._no_alternative_fits(left, right, failures, path)
        if len(unified) == 1:
            return unified[0].value
        position = left.position if isinstance(left, DisjunctionValue) else right.position
        return DisjunctionValue(position, tuple(unified))

    def _no_alternative_fits(
        self, left: Value, right: Value, failures: list[list[SourceError]], path: Path
    ) -> Value:
        """Report the errors within the best matching alternative, or else a conflict with all of them."""
        nested = [errors for errors in failures if all(_depth(error) > len(path) for error in errors)]
        without_conflict = [
            errors for errors in failures if not any(" stands here, " in error.text for error in errors)
        ]
        candidates = nested or without_conflict
        if not candidates:
            return self._conflict(left, right, path)
        fewest_errors: list[SourceError] = min(candidates, key=len)
        self._errors.extend(fewest_errors)
        return right if isinstance(left, DisjunctionValue) else left

    def _unify_structs(self, left: StructValue, right: StructValue, path: Path) -> StructValue:
        fields: dict[str, Field] = {}
        for name in [*left.fields, *(name for name in right.fields if name not in left.fields)]:
            field = self._unify_field(left, right, name, (*path, name))
            if field is not None:
                fields[name] = field
        position = right.position if right.position.file == self._own_file else left.position
        return StructValue(position, fields, left.pattern or right.pattern, left.closed or right.closed)

    def _unify_field(self, left: StructValue, right: StructValue, name: str, path: Path) -> Field | None:
        """Return a field of the unified struct; None, with an error, if a closed struct does not allow it."""
        left_field = left.fields.get(name)
        right_field = right.fields.get(name)
        if left_field and right_field:
            value = self.unify(left_field.value, right_field.value, path)
            is_own = right_field.position.file == self._own_file
            position = right_field.position if is_own else left_field.position
            return Field(position, value, left_field.optional and right_field.optional)
        present = left_field or right_field
        assert present
        other_struct = right if left_field else left
        if other_struct.closed:
            message = f"{format_path(path)}: no such field{suggestion(name, other_struct.fields)}"
            self._errors.append(SourceError(present.position, message))
            return None
        value = (
            self.unify(present.value, other_struct.pattern, path) if other_struct.pattern else present.value
        )
        return Field(present.position, value, present.optional)

    def _unify_lists(self, left: ListValue, right: ListValue, path: Path) -> Value:
        items = []
        for index in range(max(len(left.items), len(right.items))):
            left_item = left.items[index] if index < len(left.items) else left.rest
            right_item = right.items[index] if index < len(right.items) else right.rest
            if left_item is None or right_item is None:
                return self._conflict(left, right, path)
            items.append(self.unify(left_item, right_item, (*path, str(index))))
        rest = self.unify(left.rest, right.rest, path) if left.rest and right.rest else None
        position = right.position if right.position.file == self._own_file else left.position
        return ListValue(position, tuple(items), rest)

    def _conflict(self, left: Value, right: Value, path: Path) -> Value:
        found = left
        expected = right
        if right.position.file == self._own_file and left.position.file != self._own_file:
            found, expected = right, left
        same_file = found.position.file == expected.position.file
        if same_file and isinstance(expected, Scalar) and not isinstance(found, Scalar):
            found, expected = expected, found
        message = f"{format_path(path)}: {found} stands here, expected {expected}"
        self._errors.append(SourceError(found.position, message))
        return left


def _alternatives(value: Value) -> tuple[ValueAlternative, ...]:
    if isinstance(value, DisjunctionValue):
        return value.alternatives
    return (ValueAlternative(value, is_default=False),)


def _depth(error: SourceError) -> int:
    """Return the number of names in the path at the start of an error's text."""
    return error.text.partition(": ")[0].count(".") + 1


def format_path(path: Path) -> str:
    """Return a path in the form used in error messages."""
    return ".".join(path) or "the file"
