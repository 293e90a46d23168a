"""The comparison of simulator journals ignores CPU times and reports every other difference."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from bench.compare_decisions import JournalError, compare, main, mean_cpu_us_per_event


def journal(folder: Path, file_name: str, **figures: Any) -> Path:
    day = {"name": "quiet-1", "G": 0.5, "cpu_us_event": 70.0, "signature": {"retries": 0.008}, **figures}
    path = folder / file_name
    path.write_text(json.dumps({"cmd": "score", "days": [day]}))
    return path


def test_cpu_times_may_differ(tmp_path: Path) -> None:
    old = journal(tmp_path, "old.json")
    new = journal(tmp_path, "new.json", cpu_us_event=77.0, cpu_late=0.1)
    assert compare(old, new) == []
    assert mean_cpu_us_per_event(new) / mean_cpu_us_per_event(old) == pytest.approx(1.1)


@pytest.mark.parametrize(
    ("figures", "expected"),
    [
        ({"G": 0.5000001}, "quiet-1.G: 0.5 became 0.5000001"),
        ({"signature": {"retries": 0.009}}, "quiet-1.signature.retries: 0.008 became 0.009"),
        ({"signature": {}}, "quiet-1.signature.retries: only in one journal"),
        ({"extra": 1}, "quiet-1.extra: only in one journal"),
    ],
)
def test_any_other_difference_is_reported(tmp_path: Path, figures: dict[str, Any], expected: str) -> None:
    old = journal(tmp_path, "old.json")
    assert compare(old, journal(tmp_path, "new.json", **figures)) == [expected]


def test_different_days_and_other_journals_are_rejected(tmp_path: Path) -> None:
    old = journal(tmp_path, "old.json")
    with pytest.raises(JournalError, match="different days"):
        compare(old, journal(tmp_path, "new.json", name="quiet-2"))
    (tmp_path / "real.json").write_text(json.dumps({"cmd": "real-score", "days": [{"name": "quiet-1"}]}))
    with pytest.raises(JournalError, match="not written by the simulator"):
        compare(old, tmp_path / "real.json")
    with pytest.raises(JournalError, match="not a journal with days"):
        compare(old, tmp_path / "none.json")


@pytest.mark.parametrize(("value", "code"), [(0.5, 0), (0.6, 1)])
def test_the_exit_code_reflects_the_differences(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, value: float, code: int
) -> None:
    old = journal(tmp_path, "old.json")
    new = journal(tmp_path, "new.json", G=value)
    monkeypatch.setattr("sys.argv", ["compare_decisions", str(old), str(new)])
    assert main() == code
