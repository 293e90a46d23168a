"""From text to a tree: the grammar, on Lark, and the bounds on what is read at all."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedToken, v_args

MAX_FILE_BYTES = 256 * 1024  #: of a file
MAX_DEPTH = 32  #: brackets within brackets
MAX_ERRORS = 50  #: told of one file

GRAMMAR = r"""
start: fields
fields: (field ","?)*
?field: label ":" expr            -> must
      | label "?" ":" expr        -> may
      | "[" IDENT "]" ":" expr    -> others
      | ELLIPSIS                  -> open
label: IDENT | DEFINITION | STRING
?expr: choice ("|" choice)*       -> either
?choice: "*" both                 -> favoured
       | both
?both: one ("&" one)*             -> both
?one: literal
    | BOUND literal               -> bound
    | name ("." name)*            -> reference
    | "{" fields "}"              -> record
    | "[" (expr ("," expr)*)? ","? "]"                      -> closed_list
    | "[" (expr ",")* ELLIPSIS expr? ","? "]"               -> open_list
    | "(" expr ")"                -> group
name: IDENT | DEFINITION
literal: STRING | NUMBER | WORD
BOUND: ">=" | "<=" | ">" | "<" | "!=" | "=~"
ELLIPSIS: "..."
WORD.3: /(true|false|null)(?![A-Za-z0-9_])/
IDENT.1: /[A-Za-z_][A-Za-z0-9_]*/
DEFINITION: /#[A-Za-z_][A-Za-z0-9_]*/
NUMBER.2: /-?[0-9][0-9_]*(\.[0-9]+)?([A-Za-zµ]+)?/
STRING: /"(\\.|[^"\\\n])*"/
COMMENT: /\/\/[^\n]*/
%ignore COMMENT
%ignore /[ \t\r\n]+/
"""

DURATIONS = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}  #: microseconds
SIZES = {
    "B": 1,
    "KB": 1000,
    "MB": 10**6,
    "GB": 10**9,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
}  #: bytes
NAMES = {
    "COLON": "':'",
    "COMMA": "','",
    "RBRACE": "'}'",
    "RSQB": "']'",
    "$END": "the end of the file",
    "IDENT": "a name",
    "DEFINITION": "a definition like #Name",
    "STRING": "a string",
    "NUMBER": "a number",
    "WORD": "true, false or null",
}


@dataclass(frozen=True, slots=True)
class SourcePosition:
    """Where something stands."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class SourceError:
    """What is wrong, and where."""

    place: SourcePosition
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


class CueError(Exception):
    """A file that cannot be used; `errors` holds all that is wrong with it, in the order of the file."""

    def __init__(self, errors: list[SourceError]) -> None:
        self.errors = sorted(set(errors), key=lambda e: (e.place.line, e.place.column, e.text))[:MAX_ERRORS]
        super().__init__("\n".join(map(str, self.errors)))


# the tree


@dataclass(frozen=True, slots=True)
class Literal:
    """A value as it stands: `kind` is string, int, float, bool, null, duration (us) or size (bytes)."""

    place: SourcePosition
    kind: str
    value: Any
    text: str


@dataclass(frozen=True, slots=True)
class Bound:
    """`>=1` and its like."""

    place: SourcePosition
    sign: str
    limit: Literal


@dataclass(frozen=True, slots=True)
class Reference:
    """A name, or names joined by dots."""

    place: SourcePosition
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Conjunction:
    """All of these at once: `a & b`."""

    place: SourcePosition
    parts: tuple[Tree, ...]


@dataclass(frozen=True, slots=True)
class Disjunction:
    """One of these: `*a | b`; the favoured one is taken where nothing else is said."""

    place: SourcePosition
    parts: tuple[tuple[Tree, bool], ...]


@dataclass(frozen=True, slots=True)
class FieldDeclaration:
    """A field of a record."""

    place: SourcePosition
    name: str
    optional: bool
    tree: Tree


@dataclass(frozen=True, slots=True)
class StructLiteral:
    """Fields in braces; `others` is what every further field must be, `open` lets any in."""

    place: SourcePosition
    fields: tuple[FieldDeclaration, ...]
    others: Tree | None
    open: bool


@dataclass(frozen=True, slots=True)
class ListLiteral:
    """Items in brackets; `rest` is what every further item must be, None where there may be none."""

    place: SourcePosition
    items: tuple[Tree, ...]
    rest: Tree | None


Tree = Literal | Bound | Reference | Conjunction | Disjunction | StructLiteral | ListLiteral


class _SyntaxProblem(Exception):
    def __init__(self, error: SourceError) -> None:
        self.error = error


class _TreeBuilder(Transformer[Token, Any]):
    """Lark's tree to ours."""

    def __init__(self, file: str, errors: list[SourceError]) -> None:
        super().__init__()
        self.file, self.errors = file, errors

    def _at(self, token: Token) -> SourcePosition:
        return SourcePosition(self.file, token.line or 1, token.column or 1)

    def literal(self, parts: list[Token]) -> Literal:
        (token,) = parts
        place, text = self._at(token), str(token)
        if token.type == "STRING":
            try:
                return Literal(place, "string", json.loads(text), text)
            except ValueError:
                self.errors.append(
                    SourceError(place, f"{text} is no string: an escape or character is not allowed")
                )
                return Literal(place, "string", "", text)
        if token.type == "WORD":
            value = {"true": True, "false": False, "null": None}[text]
            return Literal(place, "null" if value is None else "bool", value, text)
        return self._number(place, text)

    def _number(self, place: SourcePosition, text: str) -> Literal:
        match = re.fullmatch(r"(-?[0-9][0-9_]*(?:\.[0-9]+)?)([A-Za-zµ]*)", text)
        assert match, "the grammar lets no other number in"
        digits, unit = match[1].replace("_", ""), match[2].replace("µ", "u")
        if len(digits) > 40:
            self.errors.append(SourceError(place, f"a number of {len(digits)} digits; at most 40 are read"))
            return Literal(place, "int", 0, text)
        number: int | float = float(digits) if "." in digits else int(digits)
        for kind, units in (("duration", DURATIONS), ("size", SIZES)):
            if unit in units:
                return Literal(place, kind, round(number * units[unit]), text)
        if unit:
            known = ", ".join([*DURATIONS, *SIZES])
            self.errors.append(SourceError(place, f"{text} has the unit {unit}; there are {known}"))
        return Literal(place, "float" if "." in digits else "int", number, text)

    def bound(self, parts: list[Any]) -> Bound:
        sign, limit = parts
        if sign == "=~" and limit.kind == "string":
            try:
                re.compile(limit.value)
            except (re.error, RecursionError, OverflowError) as exc:
                self.errors.append(SourceError(limit.place, f"{limit.text} is no regular expression: {exc}"))
                limit = Literal(limit.place, "string", "", limit.text)
        return Bound(self._at(sign), str(sign), limit)

    def name(self, parts: list[Token]) -> Token:
        return parts[0]

    label = name

    def reference(self, parts: list[Token]) -> Reference:
        return Reference(self._at(parts[0]), tuple(map(str, parts)))

    def group(self, parts: list[Any]) -> Any:
        return parts[0]

    def favoured(self, parts: list[Any]) -> tuple[Any, bool]:
        return parts[0], True

    def either(self, parts: list[Any]) -> Any:
        marked = [part if isinstance(part, tuple) else (part, False) for part in parts]
        return marked[0][0] if len(marked) == 1 else Disjunction(marked[0][0].place, tuple(marked))

    def both(self, parts: list[Any]) -> Any:
        return parts[0] if len(parts) == 1 else Conjunction(parts[0].place, tuple(parts))

    def must(self, parts: list[Any]) -> FieldDeclaration:
        return self._field(parts, False)

    def may(self, parts: list[Any]) -> FieldDeclaration:
        return self._field(parts, True)

    def _field(self, parts: list[Any], optional: bool) -> FieldDeclaration:
        label, tree = parts
        name = self.literal([label]).value if label.type == "STRING" else str(label)
        return FieldDeclaration(self._at(label), name, optional, tree[0] if isinstance(tree, tuple) else tree)

    def others(self, parts: list[Any]) -> tuple[str, Any]:
        kind, tree = parts
        if kind != "string":
            self.errors.append(SourceError(self._at(kind), f"[{kind}] stands here, expected [string]"))
        return "others", tree

    def open(self, parts: list[Any]) -> tuple[str, Any]:
        return "open", None

    def fields(self, parts: list[Any]) -> list[Any]:
        return parts

    @v_args(meta=True)
    def record(self, meta: Any, parts: list[Any]) -> StructLiteral:
        return self._record(SourcePosition(self.file, meta.line, meta.column), parts[0])

    def _record(self, place: SourcePosition, parts: list[Any]) -> StructLiteral:
        fields = tuple(part for part in parts if isinstance(part, FieldDeclaration))
        marks: dict[str, Any] = dict(part for part in parts if isinstance(part, tuple))
        return StructLiteral(place, fields, marks.get("others"), "open" in marks)

    @v_args(meta=True)
    def closed_list(self, meta: Any, parts: list[Any]) -> ListLiteral:
        return ListLiteral(
            SourcePosition(self.file, meta.line, meta.column), tuple(p for p in parts if p), None
        )

    @v_args(meta=True)
    def open_list(self, meta: Any, parts: list[Any]) -> ListLiteral:
        place = SourcePosition(self.file, meta.line, meta.column)
        (dots,) = (n for n, part in enumerate(parts) if isinstance(part, Token))
        rest = parts[dots + 1] if len(parts) > dots + 1 else Reference(place, ("any",))
        return ListLiteral(place, tuple(parts[:dots]), rest)

    def start(self, parts: list[Any]) -> StructLiteral:
        return self._record(SourcePosition(self.file, 1, 1), parts[0])


@lru_cache(1)
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def _decoded(text: str | bytes, file: str) -> str:
    """The text, or FileError where it is too long or no UTF-8."""
    given = text if isinstance(text, bytes) else text.encode(errors="replace")
    if len(given) > MAX_FILE_BYTES:
        place = SourcePosition(file, 1, 1)
        raise CueError([SourceError(place, f"more than {MAX_FILE_BYTES} bytes, which is all that is read")])
    try:
        return given.decode()
    except UnicodeDecodeError as exc:
        line = given.count(b"\n", 0, exc.start) + 1
        raise CueError([SourceError(SourcePosition(file, line, 1), "bytes that are no UTF-8")]) from None


def parse(given: str | bytes, file: str) -> StructLiteral:
    """The tree of a whole file.

    Raises FileError with every syntax error (one a line): more than `MOST_BYTES`, brackets deeper than
    `MOST_DEPTH`, bytes that are no UTF-8, words where others were expected.
    """
    text = _decoded(given, file)
    _bounded(text, file)
    errors: list[SourceError] = []

    def skip(exc: Exception) -> bool:
        """Tell the first error of a line, drop what stands there, and go on for the others."""
        if isinstance(exc, UnexpectedCharacters):
            stands, expected = repr(text[exc.pos_in_stream or 0]), "a name, a value or a bracket"
            line, column = exc.line, exc.column
        elif isinstance(exc, UnexpectedToken):
            ends = exc.token.type == "$END"
            stands = "the end of the file" if ends else str(exc.token)[:40]
            names = sorted({NAMES.get(name, "") for name in exc.accepts or exc.expected} - {""})
            expected = " or ".join(names[:6]) or "nothing more"
            line, column = exc.token.line or 1, exc.token.column or 1
            if ends:  # Lark tells the last token's place
                line, column = text.count("\n") + 1, len(text) - text.rfind("\n")
        else:
            return False
        if errors and errors[-1].place.line == line:
            return len(errors) < MAX_ERRORS and "end of the file" not in stands
        errors.append(
            SourceError(SourcePosition(file, line, column), f"{stands} stands here, expected {expected}")
        )
        return len(errors) < MAX_ERRORS and "end of the file" not in stands

    try:
        tree = _parser().parse(text, on_error=skip)
        record = _TreeBuilder(file, errors).transform(tree)
    except (UnexpectedCharacters, UnexpectedToken):
        raise CueError(errors) from None
    if errors:
        raise CueError(errors)
    assert isinstance(record, StructLiteral)
    return record


def _bounded(text: str, file: str) -> None:
    """Guards the stack, here and in all that walks the tree, against brackets without end."""
    depth = 0
    for token in re.finditer(r'"(?:\\.|[^"\\\n])*"|//[^\n]*|[\[{(]|[\]})]', text):
        if token[0] in "[{(":
            depth += 1
            if depth > MAX_DEPTH:
                line = text.count("\n", 0, token.start()) + 1
                column = token.start() - (text.rfind("\n", 0, token.start()) + 1) + 1
                raise CueError(
                    [
                        SourceError(
                            SourcePosition(file, line, column), f"nested deeper than {MAX_DEPTH} brackets"
                        )
                    ]
                )
        elif token[0] in "]})":
            depth -= 1
