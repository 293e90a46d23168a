"""JSON objects cut out of a stream as they end, however they are laid out and wherever chunks are cut."""

from __future__ import annotations

import re

DEEPEST = 32  #: objects and arrays within each other; a list of upstreams has three
_BETWEEN = re.compile(rb'[{}\[\]"]')  # outside strings
_WITHIN = re.compile(rb'["\\]')  # within a string
_SPACE = b" \t\r\n"


class JsonStreamError(ValueError):
    """A stream that is no sequence of JSON objects."""


class JsonObjectStream:
    """Fed bytes, gives each object's text once its last brace is there; empty lines between them are nothing.

    What is within an object is not checked here, but for its depth; `most` bounds its bytes.
    """

    def __init__(self, most: int) -> None:
        self.most, self.begun = most, bytearray()  # of the object that has not ended
        self._depth, self._string, self._at = 0, False, 0

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that end in these bytes; an ObjectsError where they can be none."""
        self.begun += data
        found: list[bytes] = []
        while self._scan(found):
            pass
        if len(self.begun) > self.most:
            raise JsonStreamError(f"an object is longer than {self.most} bytes")
        return found

    def _scan(self, found: list[bytes]) -> bool:
        """Go on to the next mark; whether there was one."""
        begun = self.begun
        if not self._depth:  # between objects: drop what parts them
            start = len(begun) - len(begun.lstrip(_SPACE))
            del begun[:start]
            self._at = 0
            if begun and begun[0] != 0x7B:
                raise JsonStreamError(f"an object was expected, not {bytes(begun[:20])!r}")
        if self._at >= len(begun):
            return False
        mark = (_WITHIN if self._string else _BETWEEN).search(begun, self._at)
        if mark is None:
            self._at = len(begun)
            return False
        what, self._at = mark.group(), mark.end()
        if what == b"\\":
            if self._at >= len(begun):  # what it escapes is yet to come: look at it again then
                self._at = mark.start()
                return False
            self._at += 1
        elif what == b'"':
            self._string = not self._string
        elif what in b"{[":
            self._depth += 1
            if self._depth > DEEPEST:
                raise JsonStreamError(f"more than {DEEPEST} levels within each other")
        else:
            self._depth -= 1
            if not self._depth:
                found.append(bytes(begun[: self._at]))
                del begun[: self._at]
        return True
