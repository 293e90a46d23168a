"""Node processes whose wall clock is stepped or whose system calls fail, by a preloaded library.

The library is compiled from `shims/faulty_calls.c`; its environment variables are described there.
"""

from __future__ import annotations

import subprocess
from pathlib import Path

SOURCE = Path(__file__).parent / "shims" / "faulty_calls.c"
LIBRARY_NAME = "faulty_calls.so"


def compile_faulty_calls(folder: Path) -> Path:
    """Compile the library into a folder and return its path."""
    library = folder / LIBRARY_NAME
    command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl", "-lpthread"]
    subprocess.run(command, check=True)
    return library


def stepped_clock(library: Path, step_ms: int) -> dict[str, str]:
    """Return the environment of a process whose wall clock is ahead by so much."""
    return {"LD_PRELOAD": str(library), "FAULTS_CLOCK_STEP_MS": str(step_ms)}


def failing_calls(
    library: Path, calls: str, one_in: int, seed: int, after_ms: int = 0, until_ms: int = 0
) -> dict[str, str]:
    """Return the environment of a process in which one in so many of these calls fails.

    `after_ms`, `until_ms`: since the process began; `until_ms` 0: without end.
    """
    return {
        "LD_PRELOAD": str(library),
        "FAULTS_CALLS": calls,
        "FAULTS_ONE_IN": str(one_in),
        "FAULTS_SEED": str(seed),
        "FAULTS_AFTER_MS": str(after_ms),
        "FAULTS_UNTIL_MS": str(until_ms),
    }
