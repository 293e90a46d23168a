"""Bringing two meanings together, and making what comes out concrete."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from limerudder.cue.syntax import SourceError, SourcePosition
from limerudder.cue.values import (
    Constraint,
    Disjunction,
    Field,
    ListValue,
    Meaning,
    Scalar,
    StructValue,
    nearest,
)

Path = tuple[str, ...]
SHAPES = {StructValue: "a record", ListValue: "a list"}


class Unifier:
    """Unifies; what cannot be is added to `errors` with the place of the operator's own word."""

    def __init__(self, errors: list[SourceError], own: str | None = None) -> None:
        self.errors = errors
        self.own = own  # the file whose places are told where there is a choice

    def unify(self, a: Meaning, b: Meaning, path: Path) -> Meaning:
        """What both allow."""
        if isinstance(a, Disjunction) or isinstance(b, Disjunction):
            return self._choose(a, b, path)
        if isinstance(a, StructValue) and isinstance(b, StructValue):
            return self._records(a, b, path)
        if isinstance(a, ListValue) and isinstance(b, ListValue):
            return self._lists(a, b, path)
        if isinstance(a, Scalar | Constraint) and isinstance(b, Scalar | Constraint):
            return self._scalars(a, b, path)
        return self._clash(a, b, path)

    def _scalars(self, a: Scalar | Constraint, b: Scalar | Constraint, path: Path) -> Meaning:
        match a, b:
            case Scalar(), Scalar():
                same = (a.kind, a.value) == (b.kind, b.value)
                return a if same else self._clash(a, b, path)
            case Scalar(), Constraint():
                return self._clash(a, b, path) if b.lacks(a) else a
            case Constraint(), Scalar():
                return self._clash(b, a, path) if a.lacks(b) else b
            case Constraint(), Constraint():
                kinds = a.kinds & b.kinds
                return Constraint(a.place, kinds, a.bounds + b.bounds) if kinds else self._clash(a, b, path)
        raise AssertionError("all pairs are above")

    def _choose(self, a: Meaning, b: Meaning, path: Path) -> Meaning:
        lefts = a.parts if isinstance(a, Disjunction) else ((a, False),)
        rights = b.parts if isinstance(b, Disjunction) else ((b, False),)
        fitting, failed = list[tuple[Meaning, bool]](), list[list[SourceError]]()
        for left, left_mark in lefts:
            for right, right_mark in rights:
                errors: list[SourceError] = []
                meaning = Unifier(errors, self.own).unify(left, right, path)
                if errors:
                    failed.append(errors)
                elif all(meaning != other for other, _ in fitting):
                    fitting.append((meaning, left_mark or right_mark))
        if not fitting:
            # where shapes agree, what is wrong lies inside: that is told, and not the list of alternatives
            inner = [one for one in failed if not any(" stands here, " in e.text for e in one)]
            deep = [one for one in failed if all(_depth(e) > len(path) for e in one)]
            if deep or inner:
                _, _, least = min((len(one), number, one) for number, one in enumerate(deep or inner))
                self.errors.extend(least)
                return fitting_any(a, b)
            return self._clash(a, b, path)
        place = a.place if isinstance(a, Disjunction) else b.place
        return fitting[0][0] if len(fitting) == 1 else Disjunction(place, tuple(fitting))

    def _records(self, a: StructValue, b: StructValue, path: Path) -> StructValue:
        fields = dict[str, Field]()
        for name in [*a.fields, *(name for name in b.fields if name not in a.fields)]:
            mine, other = a.fields.get(name), b.fields.get(name)
            where = (*path, name)
            if mine and other:
                meaning = self.unify(mine.meaning, other.meaning, where)
                at = other.place if other.place.file == self.own else mine.place
                fields[name] = Field(at, meaning, mine.optional and other.optional)
                continue
            here = mine or other
            assert here
            lacking = b if mine else a
            if lacking.closed:
                self.errors.append(
                    SourceError(here.place, f"{dotted(where)}: no such field{nearest(name, lacking.fields)}")
                )
                continue
            meaning = self.unify(here.meaning, lacking.others, where) if lacking.others else here.meaning
            fields[name] = Field(here.place, meaning, here.optional)
        place = b.place if b.place.file == self.own else a.place
        return StructValue(place, fields, a.others or b.others, a.closed or b.closed)

    def _lists(self, a: ListValue, b: ListValue, path: Path) -> Meaning:
        items = []
        for number in range(max(len(a.items), len(b.items))):
            mine = a.items[number] if number < len(a.items) else a.rest
            other = b.items[number] if number < len(b.items) else b.rest
            if mine is None or other is None:
                return self._clash(a, b, path)
            items.append(self.unify(mine, other, (*path, str(number))))
        rest = self.unify(a.rest, b.rest, path) if a.rest and b.rest else None
        return ListValue(b.place if b.place.file == self.own else a.place, tuple(items), rest)

    def _clash(self, a: Meaning, b: Meaning, path: Path) -> Meaning:
        here, other = (b, a) if b.place.file == self.own and a.place.file != self.own else (a, b)
        if isinstance(other, Scalar) and not isinstance(here, Scalar) and here.place.file == other.place.file:
            here, other = other, here
        self.errors.append(SourceError(here.place, f"{dotted(path)}: {here} stands here, expected {other}"))
        return a


def fitting_any(a: Meaning, b: Meaning) -> Meaning:
    """What to go on with after an error."""
    return a if not isinstance(a, Disjunction) else b


def _depth(error: SourceError) -> int:
    return error.text.partition(": ")[0].count(".") + 1


def dotted(path: Path) -> str:
    """Where in the record."""
    return ".".join(path) or "the file"


def concrete(meaning: Meaning, path: Path, errors: list[SourceError], at: SourcePosition) -> Any:
    """The plain value: defaults taken, optional fields left out; what is still open is an error at `at`."""
    match meaning:
        case Scalar():
            return meaning.value
        case Disjunction(_, parts):
            favoured = [part for part, mark in parts if mark] or [
                part for part, _ in parts if isinstance(part, Scalar)
            ]
            if len(favoured) == 1 or any(mark for _, mark in parts):
                return concrete(favoured[0], path, errors, at)
        case StructValue(place, fields):
            return _record(place, fields, path, errors)
        case ListValue(_, items):
            return [concrete(item, (*path, str(n)), errors, item.place) for n, item in enumerate(items)]
    errors.append(SourceError(at, f"{dotted(path)}: nothing is said, expected {meaning}"))
    return None


def _record(
    place: SourcePosition, fields: Mapping[str, Field], path: Path, errors: list[SourceError]
) -> dict[str, Any]:
    values = {}
    for name, one in fields.items():
        if one.optional:
            continue
        values[name] = concrete(
            one.meaning, (*path, name), errors, place if one.place.file != place.file else one.place
        )
    return values
