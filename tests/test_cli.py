"""Tests for the command line, the log formats and the modules that a node imports for them."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from harness.configurations import configuration
from limerudder.cli import main
from limerudder.config import load_config
from limerudder.core.node_config import ConfigError
from limerudder.core.operations.log_events import LogKind
from limerudder.exit_codes import ExitCode
from limerudder.net.log import MAX_DETAILS_PER_WINDOW, MAX_WINDOWS, Log, LogRateLimiter, LogWindow

ROOT = Path(__file__).parent.parent


def run(*args: str) -> tuple[int, str, str]:
    result = CliRunner().invoke(main, list(args), prog_name="limerudder")
    return result.exit_code, result.stdout, result.stderr


def test_check_accepts_a_file_or_reports_all_its_errors(tmp_path: Path) -> None:
    assert run("check", str(ROOT / "deploy/limerudder.cue"))[0] == ExitCode.OK
    bad = tmp_path / "bad.cue"
    bad.write_text('log: {format: "xml", lines: 0}\nstroe: 1\n')
    code, out, err = run("check", str(bad))
    assert (code, out) == (ExitCode.INVALID_INPUT, "")
    assert err.count(f"{bad}:1:") == 2 and f"{bad}:2:1: stroe: no such field; did you mean store?" in err
    assert err.endswith("has 3 errors\n")
    assert run("check", str(tmp_path / "none"))[0] == ExitCode.INVALID_INPUT
    assert run("check")[0] == ExitCode.INVALID_INPUT
    schema = run("check", "--schema")[1]
    checked = json.loads(run("check", "--json", str(ROOT / "deploy/limerudder.cue"))[1])
    assert "#Store" in schema
    assert checked["log"] == {"format": "text", "lines": 5, "per": 10_000_000}


def test_every_command_has_help_with_an_example() -> None:
    pending: list[tuple[tuple[str, ...], click.Command]] = [((), main)]
    command_count = 0
    while pending:
        words, command = pending.pop()
        code, out, _ = run(*words, "--help")
        assert code == 0 and "Example" in out and f"limerudder {' '.join(words)}".rstrip() in out, words
        command_count += 1
        if isinstance(command, click.Group):
            ctx = click.Context(command)
            for name in command.list_commands(ctx):
                inner = command.get_command(ctx, name)
                assert inner
                pending.append(((*words, name), inner))
    assert command_count >= 4
    assert run("--version")[1].startswith("limerudder 0.")
    for shell in ("bash", "zsh", "fish"):
        assert "_LIMERUDDER_COMPLETE" in run("completion", shell)[1]


def test_a_node_without_an_operators_file_imports_no_optional_modules() -> None:
    optional_modules = [
        "click",
        "lark",
        "structlog",
        "msgspec",
        "sqlite3",
        "limerudder.store",
        "limerudder.cue",
    ]
    code = f"import sys, limerudder.node_main; print([m for m in {optional_modules} if m in sys.modules])"
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=False
    )
    assert completed.stdout == "[]\n", completed.stderr


def test_an_invalid_operators_file_prevents_a_start(tmp_path: Path) -> None:
    file = tmp_path / "op.cue"
    file.write_text("log: {lines: 9}")
    environment = configuration(tmp_path) | {"LIMERUDDER_FILE": str(file)}
    operator_file = load_config(environment).operator
    assert operator_file and operator_file.log.lines == 9
    file.write_text("log: {lines: 9\n")
    with pytest.raises(ConfigError, match=r"op.cue:2:1: the end of the file stands here"):
        load_config(environment)
    file.unlink()
    with pytest.raises(ConfigError, match="cannot read"):
        load_config(environment)


@pytest.mark.parametrize("with_structlog", [False, True], ids=["builtin", "structlog"])
def test_both_formats_have_the_same_fields(capfd: pytest.CaptureFixture[str], with_structlog: bool) -> None:
    def lines(log_format: str) -> list[str]:
        log = Log("n0", log_format, max_lines=2, window_seconds=60.0)
        if with_structlog:
            log.use_structlog()
        for n in range(4):
            log(
                LogKind.HOST_UNRESPONSIVE,
                f"node: upstream s-{n} is unresponsive; migrating 3 connections",
            )
        window_in_the_past = LogWindow(-1e9, event_count=4)
        log.rate_limiter.windows[LogKind.HOST_UNRESPONSIVE, ""] = window_in_the_past
        log(LogKind.HOST_UNRESPONSIVE, "node: again")
        log(LogKind.POLICY_ERROR, "policy: bad", "f")
        return capfd.readouterr().err.splitlines()

    text = lines("text")
    objects = [json.loads(line) for line in lines("json")]
    assert text == [
        "limerudder n0: node: upstream s-0 is unresponsive; migrating 3 connections",
        "limerudder n0: node: upstream s-1 is unresponsive; migrating 3 connections",
        "limerudder n0: node: again (2 more like this not shown)",
        "limerudder n0: policy: bad",
    ]
    assert [entry["event"] for entry in objects] == ["host.unresponsive"] * 3 + ["policy.error"]
    assert objects[2] == {
        "node": "n0",
        "event": "host.unresponsive",
        "level": "warning",
        "text": "node: again",
        "left_out": 2,
    }
    assert objects[3]["level"] == "error"


def test_the_rate_limiter_counts_each_kind_separately() -> None:
    rate = LogRateLimiter(1, 60.0)
    assert rate(None, "info", {"kind": "a"}) is not None
    assert rate(None, "info", {"kind": "a"}) is None
    assert rate(None, "info", {"kind": "b"}) is not None


def test_build_installs_the_command_next_to_its_python(tmp_path: Path) -> None:
    command = Path(sys.executable).parent / "limerudder"
    completed = subprocess.run([command, "--help"], cwd=tmp_path, capture_output=True, text=True, check=False)
    assert completed.returncode == 0 and "check" in completed.stdout


def test_lines_of_one_kind_are_limited_for_any_number_of_hosts() -> None:
    rate = LogRateLimiter(1, 60.0)
    events = [rate(None, "info", {"kind": (LogKind.HOST_STATE, f"s-{n}")}) for n in range(3200)]
    assert sum(event is not None for event in events) == MAX_DETAILS_PER_WINDOW
    assert len(rate.windows) <= MAX_WINDOWS
    rate.windows_by_kind[LogKind.HOST_STATE].started_at_seconds = -1e9
    next_event = rate(None, "info", {"kind": (LogKind.HOST_STATE, "s-x")})
    assert next_event and next_event["left_out"] == 3200 - MAX_DETAILS_PER_WINDOW
