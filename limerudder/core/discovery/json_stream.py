"""Splits a byte stream into JSON objects, independently of their layout and of chunk boundaries."""

from __future__ import annotations

import re

MAX_DEPTH = 32  #: Maximum nesting of objects and arrays; an endpoint list has three levels
_STRUCTURAL = re.compile(rb'[{}\[\]"]')  # Significant characters outside strings
_IN_STRING = re.compile(rb'["\\]')  # Significant characters inside a string
_WHITESPACE = b" \t\r\n"
_OPENING_BRACE = ord("{")


class JsonStreamError(ValueError):
    """The stream is not a sequence of JSON objects, or one exceeds a limit.

    `completed` are the objects that the same bytes had completed before the error.
    """

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.completed: list[bytes] = []


class JsonObjectStream:
    """Returns each object's text once its closing brace has arrived; whitespace between objects is skipped.

    Only brackets and strings are tracked; other syntax is not checked. Every byte is scanned once.
    """

    def __init__(self, max_object_bytes: int) -> None:
        self.partial_object = bytearray()  # Received part of the incomplete object
        self._max_object_bytes = max_object_bytes
        self._depth = 0
        self._in_string = False
        self._position = 0  # Number of bytes of `partial_object` already scanned

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes, and return the objects that they complete. Raises JsonStreamError."""
        self.partial_object += data
        objects: list[bytes] = []
        try:
            self._scan(objects)
        except JsonStreamError as error:
            error.completed = objects
            raise
        return objects

    def _scan(self, objects: list[bytes]) -> None:
        while self._scan_next(objects):
            pass
        if len(self.partial_object) > self._max_object_bytes:
            raise JsonStreamError(f"JSON object longer than {self._max_object_bytes} bytes")

    def _scan_next(self, objects: list[bytes]) -> bool:
        """Scan up to the next significant character; return False if there is none yet."""
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
            self._open_bracket()
        else:
            self._close_bracket(objects)
        return True

    def _skip_to_object(self) -> None:
        buffer = self.partial_object
        whitespace_bytes = len(buffer) - len(buffer.lstrip(_WHITESPACE))
        del buffer[:whitespace_bytes]
        self._position = 0
        if buffer and buffer[0] != _OPENING_BRACE:
            raise JsonStreamError(f"expected a JSON object, got {bytes(buffer[:20])!r}")

    def _skip_escaped_character(self) -> bool:
        if self._position >= len(self.partial_object):
            self._position -= 1  # The escaped character is missing so far: scan the backslash again with it
            return False
        self._position += 1
        return True

    def _open_bracket(self) -> None:
        self._depth += 1
        if self._depth > MAX_DEPTH:
            raise JsonStreamError(f"JSON nested more than {MAX_DEPTH} levels deep")

    def _close_bracket(self, objects: list[bytes]) -> None:
        self._depth -= 1
        if not self._depth:
            objects.append(bytes(self.partial_object[: self._position]))
            del self.partial_object[: self._position]
