"""The list of known failures: only listed tests may fail, and a listed test that passes is reported."""

from __future__ import annotations

import pytest

from tests.conftest import KNOWN_RED, read_known_failures

pytest_plugins = ["pytester"]

ENTRY = "test_red.py::test_red | make test | it failed | issue 33\n"


@pytest.mark.parametrize(
    ("outcome", "reason", "passes"),
    [
        ("False", "it failed", True),
        ("True", "it failed", False),
        ("True", "flaky: it failed twice", True),
        ("False", "flaky: it failed twice", True),
    ],
)
def test_only_listed_tests_that_still_fail_are_ignored(
    pytester: pytest.Pytester, outcome: str, reason: str, passes: bool
) -> None:
    source = KNOWN_RED.with_name("tests").joinpath("conftest.py").read_text()
    pytester.makeconftest(source.replace(".parent.parent", ".parent"))
    pytester.makepyfile(test_red=f"def test_red():\n    assert {outcome}\n")
    pytester.path.joinpath("KNOWN-RED.txt").write_text(ENTRY.replace("it failed", reason))
    result = pytester.runpytest("-p", "no:cacheprovider")
    assert (result.ret == pytest.ExitCode.OK) == passes
    result.stdout.fnmatch_lines(["known failure, ignored: test_red.py::test_red | *"])


def test_a_failure_of_an_unlisted_test_is_not_ignored(pytester: pytest.Pytester) -> None:
    source = KNOWN_RED.with_name("tests").joinpath("conftest.py").read_text()
    pytester.makeconftest(source.replace(".parent.parent", ".parent"))
    pytester.makepyfile(test_red="def test_red():\n    assert False\n\ndef test_other():\n    assert False\n")
    pytester.path.joinpath("KNOWN-RED.txt").write_text(ENTRY)
    result = pytester.runpytest("-p", "no:cacheprovider")
    result.assert_outcomes(xfailed=1, failed=1)


def test_a_line_with_missing_fields_is_an_error() -> None:
    with pytest.raises(TypeError):
        read_known_failures("test_red.py::test_red | it failed\n")
