"""Typed records: the language of the operator's file and of its schema.

A small part of CUE: a file is one record whose fields are values, types, bounds, alternatives or references;
the file and the schema are unified, and what comes out must be concrete. `syntax` reads text, `values`
is what text means, `unify` brings two meanings together, `load` does it all and gives plain values or every
error.
"""
