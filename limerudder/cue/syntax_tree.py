"""The syntax tree of an operator file, in the terms of the CUE language specification."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from limerudder.cue.errors import SourcePosition


class Kind(StrEnum):
    """The kinds of scalar values. Durations and sizes are numbers with a unit."""

    STRING = "string"
    INT = "int"
    FLOAT = "float"
    BOOL = "bool"
    NULL = "null"
    DURATION = "duration"
    SIZE = "size"


class BoundOperator(StrEnum):
    """The operators of unary bounds."""

    AT_LEAST = ">="
    AT_MOST = "<="
    GREATER = ">"
    LESS = "<"
    NOT_EQUAL = "!="
    MATCHES = "=~"


@dataclass(frozen=True, slots=True)
class Literal:
    """A value as written; durations are in microseconds, sizes in bytes."""

    position: SourcePosition
    kind: Kind
    value: Any
    text: str


@dataclass(frozen=True, slots=True)
class Bound:
    """A unary bound such as `>=1`."""

    position: SourcePosition
    operator: BoundOperator
    limit: Literal


@dataclass(frozen=True, slots=True)
class Reference:
    """A name, or names joined by dots."""

    position: SourcePosition
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Conjunction:
    """A conjunction of operands: `a & b`."""

    position: SourcePosition
    operands: tuple[Expression, ...]


@dataclass(frozen=True, slots=True)
class Alternative:
    """One operand of a disjunction; `*` marks a default."""

    expression: Expression
    is_default: bool


@dataclass(frozen=True, slots=True)
class Disjunction:
    """A disjunction of alternatives: `*a | b`."""

    position: SourcePosition
    alternatives: tuple[Alternative, ...]


@dataclass(frozen=True, slots=True)
class FieldDeclaration:
    """A field of a struct; a name that starts with `#` declares a definition."""

    position: SourcePosition
    name: str
    optional: bool
    expression: Expression


@dataclass(frozen=True, slots=True)
class StructLiteral:
    """Fields in braces; `pattern` constrains all further fields, `is_open` (`...`) allows any."""

    position: SourcePosition
    fields: tuple[FieldDeclaration, ...]
    pattern: Expression | None
    is_open: bool


@dataclass(frozen=True, slots=True)
class ListLiteral:
    """Items in brackets; `rest` constrains all further items, None allows none."""

    position: SourcePosition
    items: tuple[Expression, ...]
    rest: Expression | None


Expression = Literal | Bound | Reference | Conjunction | Disjunction | StructLiteral | ListLiteral
