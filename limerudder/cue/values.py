"""What a tree means: values, types, bounds, alternatives, records and lists, with references followed."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from limerudder.cue import syntax as tree
from limerudder.cue.syntax import SourceError, SourcePosition

KINDS = ("string", "int", "float", "number", "bool", "null", "duration", "size", "any")
MAX_REFERENCE_DEPTH = 64  #: references within references, and what they hold
MAX_VALUES = 100_000  #: of one meaning; references can multiply what a short file says


@dataclass(frozen=True, slots=True)
class Scalar:
    """A concrete value: microseconds for a duration, bytes for a size."""

    place: SourcePosition
    kind: str
    value: Any
    text: str

    def __str__(self) -> str:
        return self.text


@dataclass(frozen=True, slots=True)
class Constraint:
    """Any value of these kinds that keeps these bounds."""

    place: SourcePosition
    kinds: frozenset[str]
    bounds: tuple[tuple[str, Scalar], ...] = ()

    def __str__(self) -> str:
        kinds = " | ".join(kind for kind in KINDS if kind in self.kinds)
        everything = self.kinds >= SCALARS
        words = ["number" if self.kinds == NUMBERS else kinds] if not everything or not self.bounds else []
        return " & ".join(words + [f"{sign}{limit}" for sign, limit in self.bounds])

    def lacks(self, value: Scalar) -> bool:
        """Whether the value breaks this rule."""
        return value.kind not in self.kinds or not all(_keeps(value, *bound) for bound in self.bounds)


@dataclass(frozen=True, slots=True)
class Disjunction:
    """One of these meanings; the favoured ones first where nothing else is said."""

    place: SourcePosition
    parts: tuple[tuple[Meaning, bool], ...]

    def __str__(self) -> str:
        return " | ".join(str(part) for part, _ in self.parts)


@dataclass(frozen=True, slots=True)
class Field:
    """A field of a record."""

    place: SourcePosition
    meaning: Meaning
    optional: bool


@dataclass(frozen=True, slots=True)
class StructValue:
    """A record; `closed` where no field but these may be."""

    place: SourcePosition
    fields: dict[str, Field] = field(hash=False)
    others: Meaning | None = None
    closed: bool = False

    def __str__(self) -> str:
        return "a record {" + ", ".join([*self.fields, *(["..."] if not self.closed else [])]) + "}"


@dataclass(frozen=True, slots=True)
class ListValue:
    """A list: these, and then any number of `rest` where it is not None."""

    place: SourcePosition
    items: tuple[Meaning, ...]
    rest: Meaning | None

    def __str__(self) -> str:
        return f"a list of {self.rest}" if self.rest else f"a list of {len(self.items)} items"


Meaning = Scalar | Constraint | Disjunction | StructValue | ListValue

SCALARS = frozenset({"string", "int", "float", "bool", "null", "duration", "size"})
NUMBERS = frozenset({"int", "float"})
KIND_SETS = {
    **{kind: frozenset({kind}) for kind in SCALARS},
    "number": NUMBERS,
    "float": NUMBERS,
    "any": SCALARS,
}


def _keeps(value: Scalar, sign: str, limit: Scalar) -> bool:
    if sign == "!=":
        return (value.kind, value.value) != (limit.kind, limit.value)
    if sign == "=~":
        return value.kind == "string" and re.search(limit.value, value.value) is not None
    alike = value.kind == limit.kind or {value.kind, limit.kind} <= NUMBERS
    if not alike or value.kind in ("bool", "null"):
        return False
    if sign == ">=":
        return bool(value.value >= limit.value)
    if sign == "<=":
        return bool(value.value <= limit.value)
    return bool(value.value > limit.value if sign == ">" else value.value < limit.value)


class ReferenceScope:
    """The names of a record, and of those around it."""

    def __init__(self, record: tree.StructLiteral, outer: ReferenceScope | None) -> None:
        self.trees: dict[str, list[tree.Tree]] = {}
        for one in record.fields:
            self.trees.setdefault(one.name, []).append(one.tree)
        self.outer = outer

    def all_names(self) -> Iterator[str]:
        """Every name that can be referred to from here."""
        scope: ReferenceScope | None = self
        while scope:
            yield from scope.trees
            scope = scope.outer


class Evaluator:
    """Gives trees their meaning; what is wrong is added to `errors`, and read as anything at all."""

    def __init__(self, errors: list[SourceError]) -> None:
        self.errors = errors
        self.depth = self.made = 0

    def read(self, what: tree.Tree, scope: ReferenceScope | None, closed: bool = False) -> Meaning:
        """The meaning of a tree; `closed` where it is that of a definition."""
        self.depth += 1
        self.made += 1
        try:
            if self.depth > MAX_REFERENCE_DEPTH or self.made > MAX_VALUES:
                return self._wrong(what.place, "a reference leads back to itself, or too far")
            return self._read(what, scope, closed)
        finally:
            self.depth -= 1

    def _read(self, what: tree.Tree, scope: ReferenceScope | None, closed: bool) -> Meaning:
        from limerudder.cue.unification import Unifier  # the two know each other

        match what:
            case tree.Literal(place, kind, value, text):
                return Scalar(place, kind, value, text)
            case tree.Bound(place, sign, limit):
                meant = Scalar(limit.place, limit.kind, limit.value, limit.text)
                kinds = (
                    SCALARS if sign == "!=" else NUMBERS if limit.kind in NUMBERS else KIND_SETS[limit.kind]
                )
                if sign == "=~" and limit.kind != "string":
                    return self._wrong(limit.place, f"{limit.text} stands here, expected a string to match")
                if sign != "!=" and limit.kind in ("bool", "null"):
                    return self._wrong(limit.place, f"{limit.text} stands here, expected what has an order")
                return Constraint(place, kinds, ((sign, meant),))
            case tree.Conjunction(_, parts):
                first, *rest = (self.read(part, scope, closed) for part in parts)
                for part in rest:
                    first = Unifier(self.errors).unify(first, part, ())
                return first
            case tree.Disjunction(place, parts):
                return Disjunction(
                    place, tuple((self.read(part, scope, closed), mark) for part, mark in parts)
                )
            case tree.ListLiteral(place, items, rest_tree):
                rest_meaning = self.read(rest_tree, scope, closed) if rest_tree else None
                return ListValue(place, tuple(self.read(item, scope, closed) for item in items), rest_meaning)
            case tree.StructLiteral():
                return self.record(what, scope, closed)
            case tree.Reference():
                return self._follow(what, scope)

    def record(self, what: tree.StructLiteral, scope: ReferenceScope | None, closed: bool) -> StructValue:
        """A record's meaning; its definitions are there to be referred to and are no fields of it."""
        from limerudder.cue.unification import Unifier

        inner, fields = ReferenceScope(what, scope), dict[str, Field]()
        for one in what.fields:
            definition = one.name.startswith("#")
            meaning = self.read(one.tree, inner, closed or definition)
            if definition:
                continue
            if one.name in fields:  # said twice: both hold
                before = fields[one.name]
                meaning = Unifier(self.errors).unify(before.meaning, meaning, (one.name,))
                fields[one.name] = Field(one.place, meaning, before.optional and one.optional)
            else:
                fields[one.name] = Field(one.place, meaning, one.optional)
        others = self.read(what.others, inner, closed) if what.others else None
        return StructValue(what.place, fields, others, closed and not what.open and others is None)

    def _follow(self, what: tree.Reference, scope: ReferenceScope | None) -> Meaning:
        name, *path = what.names
        at = scope
        while at and name not in at.trees:
            at = at.outer
        if at is None:
            if name in KINDS and not path:
                return Constraint(what.place, KIND_SETS[name])
            known = [*KINDS, *(scope.all_names() if scope else ())]
            return self._wrong(what.place, f"{name} is not defined{nearest(name, known)}")
        found = at.trees[name]
        for step in path:
            records = [one for one in found if isinstance(one, tree.StructLiteral)]
            if not records:
                return self._wrong(
                    what.place, f"{'.'.join(what.names)}: {step} is sought in what is no record"
                )
            at = ReferenceScope(records[0], at)
            if step not in at.trees:
                return self._wrong(
                    what.place, f"{'.'.join(what.names)}: there is no {step}{nearest(step, at.trees)}"
                )
            found = at.trees[step]
        return self.read(found[0], at, closed=what.names[-1].startswith("#"))

    def _wrong(self, place: SourcePosition, text: str) -> Meaning:
        self.errors.append(SourceError(place, text))
        return Constraint(place, SCALARS)


def nearest(name: str, known: Any) -> str:
    """Words that offer the name that was probably meant, or none."""
    from difflib import get_close_matches

    close = get_close_matches(name, list(known), 1, 0.6)
    return f"; did you mean {close[0]}?" if close else ""
