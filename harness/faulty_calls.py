"""Steps the wall clock of node processes or makes their system calls fail, using a preloaded library.

The library is compiled from `shims/faulty_calls.c`, which documents its environment variables.
"""

from __future__ import annotations

import subprocess
from pathlib import Path

SOURCE = Path(__file__).parent / "shims" / "faulty_calls.c"
LIBRARY_NAME = "faulty_calls.so"


def compile_faulty_calls(folder: Path) -> Path:
    """Compile the library into a folder and return the library's path."""
    library = folder / LIBRARY_NAME
    command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl", "-lpthread"]
    subprocess.run(command, check=True)
    return library


def stepped_clock(library: Path, step_ms: int) -> dict[str, str]:
    """Return the environment of a process whose wall clock is ahead by `step_ms`."""
    return {"LD_PRELOAD": str(library), "FAULTS_CLOCK_STEP_MS": str(step_ms)}


def failing_calls(
    library: Path, calls: str, one_in: int, seed: int, after_ms: int = 0, until_ms: int = 0
) -> dict[str, str]:
    """Return the environment of a process in which one in `one_in` of these calls fails.

    Calls fail between `after_ms` and `until_ms` after the start of the process; `until_ms` 0 means no end.
    """
    return {
        "LD_PRELOAD": str(library),
        "FAULTS_CALLS": calls,
        "FAULTS_ONE_IN": str(one_in),
        "FAULTS_SEED": str(seed),
        "FAULTS_AFTER_MS": str(after_ms),
        "FAULTS_UNTIL_MS": str(until_ms),
    }
