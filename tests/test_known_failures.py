"""The list of known failures: it names tests that exist, and a listed test that passes is found out."""

from __future__ import annotations

import pytest

from tests.conftest import KNOWN_RED, read_known_failures

pytest_plugins = ["pytester"]

ENTRY = "test_red.py::test_red | make test | it failed | issue 33\n"


@pytest.mark.parametrize(
    ("outcome", "seen", "passes"),
    [
        ("False", "it failed", True),
        ("True", "it failed", False),
        ("True", "flaky: it failed twice", True),
        ("False", "flaky: it failed twice", True),
    ],
)
def test_only_listed_tests_that_still_fail_are_passed_over(
    pytester: pytest.Pytester, outcome: str, seen: str, passes: bool
) -> None:
    source = KNOWN_RED.with_name("tests").joinpath("conftest.py").read_text()
    pytester.makeconftest(source.replace(".parent.parent", ".parent"))
    pytester.makepyfile(test_red=f"def test_red():\n    assert {outcome}\n")
    pytester.path.joinpath("KNOWN-RED.txt").write_text(ENTRY.replace("it failed", seen))
    result = pytester.runpytest("-p", "no:cacheprovider")
    assert (result.ret == pytest.ExitCode.OK) == passes
    result.stdout.fnmatch_lines(["known failure, passed over: test_red.py::test_red | *"])


def test_another_test_that_fails_is_not_passed_over(pytester: pytest.Pytester) -> None:
    source = KNOWN_RED.with_name("tests").joinpath("conftest.py").read_text()
    pytester.makeconftest(source.replace(".parent.parent", ".parent"))
    pytester.makepyfile(test_red="def test_red():\n    assert False\n\ndef test_other():\n    assert False\n")
    pytester.path.joinpath("KNOWN-RED.txt").write_text(ENTRY)
    result = pytester.runpytest("-p", "no:cacheprovider")
    result.assert_outcomes(xfailed=1, failed=1)


def test_a_line_without_all_fields_is_an_error() -> None:
    with pytest.raises(TypeError):
        read_known_failures("test_red.py::test_red | it failed\n")
