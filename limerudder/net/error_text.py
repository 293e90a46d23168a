"""One line of text for an exception that nothing handled: what it is, and the place that it came from."""

from __future__ import annotations

import os
import traceback

PACKAGE_DIRECTORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def error_text(error: BaseException) -> str:
    """Return the error's type and text and the innermost place in this package, as one line."""
    text = " ".join(f"{type(error).__name__}: {error}".split())
    frames = traceback.extract_tb(error.__traceback__)
    own_frames = [frame for frame in frames if frame.filename.startswith(PACKAGE_DIRECTORY)]
    if not frames:
        return text
    place = (own_frames or frames)[-1]
    return f"{text} in {place.name}, {os.path.basename(place.filename)} line {place.lineno}"
