"""Typed records: the language of the operator's file and of its schema, a small part of CUE.

A file is one struct whose fields are values, types, bounds, disjunctions or references. The file and the
schema are unified, and the result must be concrete. `parser` reads text into the tree of `syntax_tree`,
`evaluation` gives expressions their `values`, `unification` brings two values together, `concrete_values`
takes the defaults, and `load` does it all and returns plain values or raises every error.

Source: the CUE language specification.
"""
