"""One-line description of an unhandled exception and of where it was raised."""

from __future__ import annotations

import os
import traceback

PACKAGE_DIRECTORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def error_text(error: BaseException) -> str:
    """Return the error's type, its message and the innermost stack frame in this package, as one line."""
    text = " ".join(f"{type(error).__name__}: {error}".split())
    frames = traceback.extract_tb(error.__traceback__)
    own_frames = [frame for frame in frames if frame.filename.startswith(PACKAGE_DIRECTORY)]
    if not frames:
        return text
    innermost = (own_frames or frames)[-1]
    return f"{text} in {innermost.name}, {os.path.basename(innermost.filename)} line {innermost.lineno}"
