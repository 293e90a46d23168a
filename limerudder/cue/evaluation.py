"""Evaluation of expressions to values: resolves references, unifies conjunctions and closes definitions."""

from __future__ import annotations

from collections.abc import Iterator

from limerudder.cue.errors import SourceError, SourcePosition
from limerudder.cue.suggestions import suggestion
from limerudder.cue.syntax_tree import (
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
from limerudder.cue.unification import Unifier
from limerudder.cue.values import (
    NUMBER_KINDS,
    PREDECLARED_KINDS,
    SCALAR_KINDS,
    BoundCheck,
    Constraint,
    DisjunctionValue,
    Field,
    ListValue,
    Scalar,
    StructValue,
    Value,
    ValueAlternative,
)

MAX_EVALUATION_DEPTH = 64  #: Maximum depth of nested references and values
MAX_EVALUATED_VALUES = 100_000  #: Maximum number of values per file; references can expand a short file
DEFINITION_MARK = "#"


class ReferenceScope:
    """The names declared in a struct and in its enclosing structs."""

    def __init__(self, struct: StructLiteral, outer: ReferenceScope | None) -> None:
        self.expressions: dict[str, list[Expression]] = {}
        for declaration in struct.fields:
            self.expressions.setdefault(declaration.name, []).append(declaration.expression)
        self.outer = outer

    def all_names(self) -> Iterator[str]:
        """Yield every name that can be referenced in this scope."""
        scope: ReferenceScope | None = self
        while scope:
            yield from scope.expressions
            scope = scope.outer

    def find(self, name: str) -> ReferenceScope | None:
        """Return the innermost scope that declares a name."""
        scope: ReferenceScope | None = self
        while scope and name not in scope.expressions:
            scope = scope.outer
        return scope


class Evaluator:
    """Evaluates expressions and collects errors; the value of an invalid expression is any scalar."""

    def __init__(self, errors: list[SourceError]) -> None:
        self._errors = errors
        self._depth = 0
        self._evaluated_count = 0

    def evaluate(self, expression: Expression, scope: ReferenceScope | None, closed: bool = False) -> Value:
        """Return the value of an expression; `closed` is set for the value of a definition."""
        self._depth += 1
        self._evaluated_count += 1
        try:
            if self._depth > MAX_EVALUATION_DEPTH or self._evaluated_count > MAX_EVALUATED_VALUES:
                message = "a reference leads back to itself, or too far"
                return self._error(expression.position, message)
            return self._evaluate(expression, scope, closed)
        finally:
            self._depth -= 1

    def _evaluate(self, expression: Expression, scope: ReferenceScope | None, closed: bool) -> Value:
        match expression:
            case Literal():
                return _scalar(expression)
            case Bound():
                return self._bound(expression)
            case Conjunction():
                return self._conjunction(expression, scope, closed)
            case Disjunction():
                return self._disjunction(expression, scope, closed)
            case ListLiteral():
                return self._list(expression, scope, closed)
            case StructLiteral():
                return self.struct(expression, scope, closed)
            case Reference():
                return self._reference(expression, scope)

    def _bound(self, bound: Bound) -> Value:
        limit = bound.limit
        operator = bound.operator
        if operator is BoundOperator.MATCHES and limit.kind is not Kind.STRING:
            message = f"{limit.text} stands here, expected a string to match"
            return self._error(limit.position, message)
        if operator is not BoundOperator.NOT_EQUAL and limit.kind in (Kind.BOOL, Kind.NULL):
            message = f"{limit.text} stands here, expected an ordered value"
            return self._error(limit.position, message)
        check = BoundCheck(operator, _scalar(limit))
        return Constraint(bound.position, _bounded_kinds(bound), (check,))

    def _conjunction(self, expression: Conjunction, scope: ReferenceScope | None, closed: bool) -> Value:
        values = [self.evaluate(operand, scope, closed) for operand in expression.operands]
        result = values[0]
        for value in values[1:]:
            result = Unifier(self._errors).unify(result, value, ())
        return result

    def _disjunction(self, expression: Disjunction, scope: ReferenceScope | None, closed: bool) -> Value:
        alternatives = tuple(
            ValueAlternative(self.evaluate(alternative.expression, scope, closed), alternative.is_default)
            for alternative in expression.alternatives
        )
        return DisjunctionValue(expression.position, alternatives)

    def _list(self, expression: ListLiteral, scope: ReferenceScope | None, closed: bool) -> Value:
        rest = self.evaluate(expression.rest, scope, closed) if expression.rest else None
        items = tuple(self.evaluate(item, scope, closed) for item in expression.items)
        return ListValue(expression.position, items, rest)

    def struct(self, struct: StructLiteral, scope: ReferenceScope | None, closed: bool) -> StructValue:
        """Return the value of a struct; its definitions can be referenced but are not fields."""
        inner_scope = ReferenceScope(struct, scope)
        fields: dict[str, Field] = {}
        for declaration in struct.fields:
            self._declare(declaration, inner_scope, closed, fields)
        pattern = self.evaluate(struct.pattern, inner_scope, closed) if struct.pattern else None
        is_closed = closed and not struct.is_open and pattern is None
        return StructValue(struct.position, fields, pattern, is_closed)

    def _declare(
        self, declaration: FieldDeclaration, scope: ReferenceScope, closed: bool, fields: dict[str, Field]
    ) -> None:
        """Evaluate a declaration and add its field; a field declared twice must satisfy both declarations."""
        name = declaration.name
        is_definition = name.startswith(DEFINITION_MARK)
        value = self.evaluate(declaration.expression, scope, closed or is_definition)
        if is_definition:
            return
        optional = declaration.optional
        earlier = fields.get(name)
        if earlier is not None:
            value = Unifier(self._errors).unify(earlier.value, value, (name,))
            optional = earlier.optional and optional
        fields[name] = Field(declaration.position, value, optional)

    def _reference(self, reference: Reference, scope: ReferenceScope | None) -> Value:
        name, *path = reference.names
        found_scope = scope.find(name) if scope else None
        if found_scope is None:
            return self._predeclared(reference, scope)
        expressions = found_scope.expressions[name]
        full_name = ".".join(reference.names)
        for step in path:
            structs = [expression for expression in expressions if isinstance(expression, StructLiteral)]
            if not structs:
                return self._error(
                    reference.position, f"{full_name}: {step} is selected from a value that is not a struct"
                )
            found_scope = ReferenceScope(structs[0], found_scope)
            if step not in found_scope.expressions:
                suggested = suggestion(step, found_scope.expressions)
                return self._error(reference.position, f"{full_name}: there is no {step}{suggested}")
            expressions = found_scope.expressions[step]
        is_definition = reference.names[-1].startswith(DEFINITION_MARK)
        return self.evaluate(expressions[0], found_scope, closed=is_definition)

    def _predeclared(self, reference: Reference, scope: ReferenceScope | None) -> Value:
        name, *path = reference.names
        if name in PREDECLARED_KINDS and not path:
            return Constraint(reference.position, PREDECLARED_KINDS[name])
        known_names = [*PREDECLARED_KINDS, *(scope.all_names() if scope else ())]
        return self._error(reference.position, f"{name} is not defined{suggestion(name, known_names)}")

    def _error(self, position: SourcePosition, text: str) -> Value:
        self._errors.append(SourceError(position, text))
        return Constraint(position, SCALAR_KINDS)


def _scalar(literal: Literal) -> Scalar:
    return Scalar(literal.position, literal.kind, literal.value, literal.text)


def _bounded_kinds(bound: Bound) -> frozenset[Kind]:
    """Return the kinds of values that can satisfy a bound."""
    if bound.operator is BoundOperator.NOT_EQUAL:
        return SCALAR_KINDS
    if bound.limit.kind in NUMBER_KINDS:
        return NUMBER_KINDS
    return PREDECLARED_KINDS[bound.limit.kind]
