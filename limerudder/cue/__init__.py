"""A subset of the CUE language, in which the operator's file and its schema are written.

A file is one struct whose fields are values, types, bounds, disjunctions or references. The file and the
schema are unified, and the result must be concrete. `parser` parses text into the tree of `syntax_tree`,
`evaluation` evaluates expressions to `values`, `unification` unifies two values, `concrete_values` applies
defaults, and `load` combines these steps: it returns plain values or raises an exception with all errors.

Source: the CUE language specification.
"""
