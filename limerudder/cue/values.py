"""Values of expressions: scalars, constraints, disjunctions, structs and lists.

Values form the lattice of the CUE language specification, in which a type is a value too: `int` represents
all integers, `3` one of them, and unification finds the greatest value that is an instance of both.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any

from limerudder.cue.errors import SourcePosition
from limerudder.cue.syntax_tree import BoundOperator, Kind

SCALAR_KINDS: frozenset[Kind] = frozenset(Kind)
NUMBER_KINDS = frozenset({Kind.INT, Kind.FLOAT})

#: Kinds of values that the predeclared names represent.
PREDECLARED_KINDS: dict[str, frozenset[Kind]] = {
    "string": frozenset({Kind.STRING}),
    "int": frozenset({Kind.INT}),
    "float": NUMBER_KINDS,
    "number": NUMBER_KINDS,
    "bool": frozenset({Kind.BOOL}),
    "null": frozenset({Kind.NULL}),
    "duration": frozenset({Kind.DURATION}),
    "size": frozenset({Kind.SIZE}),
    "any": SCALAR_KINDS,
}


@dataclass(frozen=True, slots=True)
class Scalar:
    """A concrete value; durations are in microseconds, sizes in bytes."""

    position: SourcePosition
    kind: Kind
    value: Any
    text: str

    def __str__(self) -> str:
        return self.text


@dataclass(frozen=True, slots=True)
class BoundCheck:
    """A bound that a scalar must satisfy."""

    operator: BoundOperator
    limit: Scalar

    def __str__(self) -> str:
        return f"{self.operator}{self.limit}"

    def accepts(self, scalar: Scalar) -> bool:
        """Return whether a scalar satisfies this bound; unordered scalars can satisfy only `!=` and `=~`."""
        limit = self.limit
        if self.operator is BoundOperator.NOT_EQUAL:
            return (scalar.kind, scalar.value) != (limit.kind, limit.value)
        if self.operator is BoundOperator.MATCHES:
            return scalar.kind is Kind.STRING and re.search(limit.value, scalar.value) is not None
        comparable = scalar.kind == limit.kind or {scalar.kind, limit.kind} <= NUMBER_KINDS
        if not comparable or scalar.kind in (Kind.BOOL, Kind.NULL):
            return False
        if self.operator is BoundOperator.AT_LEAST:
            return bool(scalar.value >= limit.value)
        if self.operator is BoundOperator.AT_MOST:
            return bool(scalar.value <= limit.value)
        if self.operator is BoundOperator.GREATER:
            return bool(scalar.value > limit.value)
        return bool(scalar.value < limit.value)


@dataclass(frozen=True, slots=True)
class Constraint:
    """Any scalar of these kinds that satisfies all bounds."""

    position: SourcePosition
    kinds: frozenset[Kind]
    bounds: tuple[BoundCheck, ...] = ()

    def __str__(self) -> str:
        parts = [str(bound) for bound in self.bounds]
        if self.kinds < SCALAR_KINDS or not self.bounds:
            parts.insert(0, self._kinds_text())
        return " & ".join(parts)

    def _kinds_text(self) -> str:
        if self.kinds == NUMBER_KINDS:
            return "number"
        return " | ".join(kind for kind in Kind if kind in self.kinds)

    def accepts(self, scalar: Scalar) -> bool:
        """Return whether a scalar is an instance of this constraint."""
        return scalar.kind in self.kinds and all(bound.accepts(scalar) for bound in self.bounds)


@dataclass(frozen=True, slots=True)
class ValueAlternative:
    """One value of a disjunction; a default applies if no value is given."""

    value: Value
    is_default: bool


@dataclass(frozen=True, slots=True)
class DisjunctionValue:
    """A disjunction of values."""

    position: SourcePosition
    alternatives: tuple[ValueAlternative, ...]

    def __str__(self) -> str:
        return " | ".join(str(alternative.value) for alternative in self.alternatives)


@dataclass(frozen=True, slots=True)
class Field:
    """A field of a struct."""

    position: SourcePosition
    value: Value
    optional: bool


@dataclass(frozen=True, slots=True)
class StructValue:
    """A struct: `pattern` constrains further fields; a closed struct allows none."""

    position: SourcePosition
    fields: dict[str, Field] = field(hash=False)
    pattern: Value | None = None
    closed: bool = False

    def __str__(self) -> str:
        names = list(self.fields)
        if not self.closed:
            names.append("...")
        return "a record {" + ", ".join(names) + "}"


@dataclass(frozen=True, slots=True)
class ListValue:
    """A list: these items, then any number of `rest` items, or none if it is None."""

    position: SourcePosition
    items: tuple[Value, ...]
    rest: Value | None

    def __str__(self) -> str:
        return f"a list of {self.rest}" if self.rest else f"a list of {len(self.items)} items"


Value = Scalar | Constraint | DisjunctionValue | StructValue | ListValue
