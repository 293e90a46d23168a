"""Splits a byte stream into JSON objects, whatever their layout and wherever chunks are cut."""

from __future__ import annotations

import re

MAX_DEPTH = 32  #: nested objects and arrays; an endpoint list has three
_STRUCTURAL = re.compile(rb'[{}\[\]"]')  # the next character that matters outside strings
_IN_STRING = re.compile(rb'["\\]')  # the next character that matters within a string
_WHITESPACE = b" \t\r\n"
_OPENING_BRACE = ord("{")


class JsonStreamError(ValueError):
    """The stream is not a sequence of JSON objects, or one exceeds a limit."""


class JsonObjectStream:
    """Returns each object's text once its closing brace has come; whitespace between objects is skipped.

    Only the nesting of brackets and strings is checked, not what is inside. Every byte is scanned once.
    """

    def __init__(self, max_object_bytes: int) -> None:
        self.partial_object = bytearray()  # what has come of the object that is not complete
        self._max_object_bytes = max_object_bytes
        self._depth = 0
        self._in_string = False
        self._position = 0  # up to where `partial_object` is scanned

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; the objects that are complete with them. Raises JsonStreamError."""
        self.partial_object += data
        objects: list[bytes] = []
        while self._scan_next(objects):
            pass
        if len(self.partial_object) > self._max_object_bytes:
            raise JsonStreamError(f"an object is longer than {self._max_object_bytes} bytes")
        return objects

    def _scan_next(self, objects: list[bytes]) -> bool:
        """Scan up to the next character that matters; False if there is none yet."""
        if not self._depth:
            self._skip_to_object()
        if self._position >= len(self.partial_object):
            return False
        pattern = _IN_STRING if self._in_string else _STRUCTURAL
        match = pattern.search(self.partial_object, self._position)
        if match is None:
            self._position = len(self.partial_object)
            return False
        character = match.group()
        self._position = match.end()
        if character == b"\\":
            return self._skip_escaped_character()
        if character == b'"':
            self._in_string = not self._in_string
        elif character in b"{[":
            self._enter()
        else:
            self._leave(objects)
        return True

    def _skip_to_object(self) -> None:
        buffer = self.partial_object
        whitespace_bytes = len(buffer) - len(buffer.lstrip(_WHITESPACE))
        del buffer[:whitespace_bytes]
        self._position = 0
        if buffer and buffer[0] != _OPENING_BRACE:
            raise JsonStreamError(f"an object was expected, not {bytes(buffer[:20])!r}")

    def _skip_escaped_character(self) -> bool:
        if self._position >= len(self.partial_object):
            self._position -= 1  # the escaped character is yet to come: scan the backslash again then
            return False
        self._position += 1
        return True

    def _enter(self) -> None:
        self._depth += 1
        if self._depth > MAX_DEPTH:
            raise JsonStreamError(f"more than {MAX_DEPTH} levels within each other")

    def _leave(self, objects: list[bytes]) -> None:
        self._depth -= 1
        if not self._depth:
            objects.append(bytes(self.partial_object[: self._position]))
            del self.partial_object[: self._position]
