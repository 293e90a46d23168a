"""Parsing of text into a syntax tree: a Lark grammar, with limits on the size and nesting of a file."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedToken, v_args

from limerudder.cue.errors import MAX_REPORTED_ERRORS, CueError, SourceError, SourcePosition
from limerudder.cue.literals import parse_keyword, parse_number, parse_string
from limerudder.cue.syntax_tree import (
    Alternative,
    Bound,
    BoundOperator,
    Conjunction,
    Disjunction,
    Expression,
    FieldDeclaration,
    Kind,
    ListLiteral,
    Literal,
    Reference,
    StructLiteral,
)

MAX_FILE_BYTES = 256 * 1024
MAX_NESTING_DEPTH = 32  #: Maximum depth of nested brackets
MAX_EXPECTED_NAMES = 6  #: Maximum number of expected tokens in a syntax error
MAX_TOKEN_TEXT = 40  #: Maximum length of an unexpected token in a syntax error

GRAMMAR = r"""
start: declarations
declarations: (declaration ","?)*
?declaration: label ":" expression          -> required_field
      | label "?" ":" expression            -> optional_field
      | "[" IDENT "]" ":" expression        -> pattern
      | ELLIPSIS                            -> ellipsis
label: IDENT | DEFINITION | STRING
?expression: alternative ("|" alternative)* -> disjunction
?alternative: "*" conjunction               -> default
       | conjunction
?conjunction: operand ("&" operand)*        -> conjunction
?operand: literal
    | BOUND literal                         -> bound
    | name ("." name)*                      -> reference
    | "{" declarations "}"                  -> struct
    | "[" (expression ("," expression)*)? ","? "]"        -> closed_list
    | "[" (expression ",")* ELLIPSIS expression? ","? "]" -> open_list
    | "(" expression ")"                    -> group
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

#: Names of terminals in error messages.
TERMINAL_NAMES = {
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
BRACKETS = re.compile(r'"(?:\\.|[^"\\\n])*"|//[^\n]*|[\[{(]|[\]})]')
END_OF_FILE = "$END"


def parse(source: str | bytes, file: str) -> StructLiteral:
    """Return the syntax tree of a file.

    Raises CueError with the syntax errors, at most one per line. Files larger than `MAX_FILE_BYTES`, brackets
    nested deeper than `MAX_NESTING_DEPTH` and bytes that are not UTF-8 are errors too.
    """
    text = _decode(source, file)
    _check_nesting(text, file)
    reporter = _SyntaxErrorReporter(text, file)
    try:
        tree = _parser().parse(text, on_error=reporter.report)
        struct = _TreeBuilder(file, reporter.errors).transform(tree)
    except (UnexpectedCharacters, UnexpectedToken) as exc:
        raise CueError(reporter.errors) from exc
    if reporter.errors:
        raise CueError(reporter.errors)
    assert isinstance(struct, StructLiteral)
    return struct


@lru_cache(1)
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def _decode(source: str | bytes, file: str) -> str:
    data = source if isinstance(source, bytes) else source.encode(errors="replace")
    if len(data) > MAX_FILE_BYTES:
        message = f"more than {MAX_FILE_BYTES} bytes, which is all that is read"
        raise CueError([SourceError(SourcePosition(file, 1, 1), message)])
    try:
        return data.decode()
    except UnicodeDecodeError as exc:
        line = data.count(b"\n", 0, exc.start) + 1
        error = SourceError(SourcePosition(file, line, 1), "bytes that are not valid UTF-8")
        raise CueError([error]) from exc


def _check_nesting(text: str, file: str) -> None:
    """Raise CueError for brackets nested so deeply that traversing the tree could exhaust the stack."""
    depth = 0
    for token in BRACKETS.finditer(text):
        if token[0] in "[{(":
            depth += 1
            if depth > MAX_NESTING_DEPTH:
                position = _position_of_offset(text, token.start(), file)
                message = f"nested deeper than {MAX_NESTING_DEPTH} brackets"
                raise CueError([SourceError(position, message)])
        elif token[0] in "]})":
            depth -= 1


def _position_of_offset(text: str, offset: int, file: str) -> SourcePosition:
    line = text.count("\n", 0, offset) + 1
    line_start = text.rfind("\n", 0, offset) + 1
    return SourcePosition(file, line, offset - line_start + 1)


class _SyntaxErrorReporter:
    """Collects the first syntax error of each line; the parser skips unexpected tokens and continues."""

    def __init__(self, text: str, file: str) -> None:
        self.errors: list[SourceError] = []
        self._text = text
        self._file = file

    def report(self, exception: Exception) -> bool:
        """Record a parser error; return whether Lark should continue parsing."""
        if isinstance(exception, UnexpectedCharacters):
            error = self._unexpected_character(exception)
        elif isinstance(exception, UnexpectedToken):
            error = self._unexpected_token(exception)
        else:
            return False
        same_line = bool(self.errors) and self.errors[-1].position.line == error.position.line
        if not same_line:
            self.errors.append(error)
        return len(self.errors) < MAX_REPORTED_ERRORS and not _is_end_of_file(exception)

    def _unexpected_character(self, exception: UnexpectedCharacters) -> SourceError:
        character = self._text[exception.pos_in_stream or 0]
        position = SourcePosition(self._file, exception.line, exception.column)
        return SourceError(position, f"{character!r} stands here, expected a name, a value or a bracket")

    def _unexpected_token(self, exception: UnexpectedToken) -> SourceError:
        token = exception.token
        terminal_names = {TERMINAL_NAMES.get(name, "") for name in exception.accepts or exception.expected}
        expected_names = sorted(terminal_names - {""})
        expected = " or ".join(expected_names[:MAX_EXPECTED_NAMES]) or "nothing more"
        if _is_end_of_file(exception):  # Lark reports the last token instead
            line = self._text.count("\n") + 1
            column = len(self._text) - self._text.rfind("\n")
            found = "the end of the file"
        else:
            line = token.line or 1
            column = token.column or 1
            found = str(token)[:MAX_TOKEN_TEXT]
        position = SourcePosition(self._file, line, column)
        return SourceError(position, f"{found} stands here, expected {expected}")


def _is_end_of_file(exception: Exception) -> bool:
    return isinstance(exception, UnexpectedToken) and exception.token.type == END_OF_FILE


@dataclass(frozen=True, slots=True)
class _Pattern:
    """The declaration `[string]: expression`."""

    expression: Expression


@dataclass(frozen=True, slots=True)
class _Ellipsis:
    """The declaration `...`."""


_Declaration = FieldDeclaration | _Pattern | _Ellipsis


class _TreeBuilder(Transformer[Token, Any]):
    """Converts Lark's tree to the syntax tree; each method is named after a grammar rule."""

    def __init__(self, file: str, errors: list[SourceError]) -> None:
        super().__init__()
        self._file = file
        self._errors = errors

    def _position(self, token: Token) -> SourcePosition:
        return SourcePosition(self._file, token.line or 1, token.column or 1)

    def start(self, children: list[Any]) -> StructLiteral:
        return self._struct(SourcePosition(self._file, 1, 1), children[0])

    @v_args(meta=True)
    def struct(self, meta: Any, children: list[Any]) -> StructLiteral:
        return self._struct(SourcePosition(self._file, meta.line, meta.column), children[0])

    def _struct(self, position: SourcePosition, declarations: list[_Declaration]) -> StructLiteral:
        fields = tuple(item for item in declarations if isinstance(item, FieldDeclaration))
        patterns = [item.expression for item in declarations if isinstance(item, _Pattern)]
        is_open = any(isinstance(item, _Ellipsis) for item in declarations)
        last_pattern = patterns[-1] if patterns else None
        return StructLiteral(position, fields, last_pattern, is_open)

    def declarations(self, children: list[_Declaration]) -> list[_Declaration]:
        return children

    def required_field(self, children: list[Any]) -> FieldDeclaration:
        return self._field(children, optional=False)

    def optional_field(self, children: list[Any]) -> FieldDeclaration:
        return self._field(children, optional=True)

    def _field(self, children: list[Any], optional: bool) -> FieldDeclaration:
        label, expression = children
        name = self.literal([label]).value if label.type == "STRING" else str(label)
        return FieldDeclaration(self._position(label), name, optional, expression)

    def pattern(self, children: list[Any]) -> _Pattern:
        key_kind, expression = children
        if key_kind != Kind.STRING:
            message = f"[{key_kind}] stands here, expected [string]"
            self._errors.append(SourceError(self._position(key_kind), message))
        return _Pattern(expression)

    def ellipsis(self, children: list[Any]) -> _Ellipsis:
        return _Ellipsis()

    def name(self, children: list[Token]) -> Token:
        return children[0]

    label = name

    def default(self, children: list[Any]) -> Alternative:
        return Alternative(children[0], is_default=True)

    def disjunction(self, children: list[Any]) -> Any:
        alternatives = [
            child if isinstance(child, Alternative) else Alternative(child, is_default=False)
            for child in children
        ]
        first = alternatives[0].expression
        if len(alternatives) == 1:
            return first
        return Disjunction(first.position, tuple(alternatives))

    def conjunction(self, children: list[Any]) -> Any:
        if len(children) == 1:
            return children[0]
        return Conjunction(children[0].position, tuple(children))

    def group(self, children: list[Any]) -> Any:
        return children[0]

    def reference(self, children: list[Token]) -> Reference:
        return Reference(self._position(children[0]), tuple(map(str, children)))

    def bound(self, children: list[Any]) -> Bound:
        operator_token, limit = children
        operator = BoundOperator(str(operator_token))
        if operator is BoundOperator.MATCHES and limit.kind is Kind.STRING:
            limit = self._validate_pattern(limit)
        return Bound(self._position(operator_token), operator, limit)

    def _validate_pattern(self, limit: Literal) -> Literal:
        try:
            re.compile(limit.value)
        except (re.error, RecursionError, OverflowError) as exc:
            message = f"{limit.text} is not a valid regular expression: {exc}"
            self._errors.append(SourceError(limit.position, message))
            return Literal(limit.position, Kind.STRING, "", limit.text)
        return limit

    def literal(self, children: list[Token]) -> Literal:
        (token,) = children
        position = self._position(token)
        text = str(token)
        if token.type == "STRING":
            return parse_string(position, text, self._errors)
        if token.type == "WORD":
            return parse_keyword(position, text)
        return parse_number(position, text, self._errors)

    @v_args(meta=True)
    def closed_list(self, meta: Any, children: list[Any]) -> ListLiteral:
        position = SourcePosition(self._file, meta.line, meta.column)
        items = tuple(child for child in children if child)
        return ListLiteral(position, items, None)

    @v_args(meta=True)
    def open_list(self, meta: Any, children: list[Any]) -> ListLiteral:
        position = SourcePosition(self._file, meta.line, meta.column)
        (ellipsis_index,) = (index for index, child in enumerate(children) if isinstance(child, Token))
        has_rest = len(children) > ellipsis_index + 1
        rest = children[ellipsis_index + 1] if has_rest else Reference(position, ("any",))
        return ListLiteral(position, tuple(children[:ellipsis_index]), rest)
