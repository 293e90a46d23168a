"""The operator's file: what it may contain, and that errors in any input are reported."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limerudder.cue.errors import MAX_REPORTED_ERRORS, CueError
from limerudder.cue.load import load
from limerudder.cue.parser import MAX_FILE_BYTES, MAX_NESTING_DEPTH
from limerudder.schema import SCHEMA, LogSettings, OperatorFile, read_operator_file

EXAMPLE_SCHEMA = r"""
#Member: {name: string, address: string & =~"^[0-9.:]+$"}
#Lab: {
    mode:     *"off" | "on"
    count:    *3 | int & >=1 & <=9
    wait:     *250ms | duration & >0ms
    room:     *2MiB | size & <=1GiB
    share:    *0.5 | number & >=0 & <=1
    note?:    string
    members:  [...#Member]
    limits:   {[string]: int & >=0}
    either:   *{kind: "a", depth: *1 | int} | {kind: "b", width: int}
    pair?:    [int, string]
}
"""
REQUIRED_FIELDS = "members: []\nlimits: {}\n"


def load_example(text: str) -> dict[str, Any]:
    return load(text, "lab.cue", EXAMPLE_SCHEMA, "#Lab")


def reported_errors(text: str) -> list[str]:
    with pytest.raises(CueError) as caught:
        load_example(text)
    return [str(error) for error in caught.value.errors]


def test_an_empty_file_has_all_defaults() -> None:
    assert read_operator_file("", "x.cue") == OperatorFile(LogSettings(), None)
    assert load_example(REQUIRED_FIELDS) == {
        "mode": "off",
        "count": 3,
        "wait": 250_000,
        "room": 2 << 20,
        "share": 0.5,
        "members": [],
        "limits": {},
        "either": {"kind": "a", "depth": 1},
    }


def test_definitions_references_units_lists_and_alternatives() -> None:
    text = """
    #Base: {name: string, address: "127.0.0.1:7", ...}
    base: 7   // a regular field that the schema does not have
    """
    found = reported_errors(text + REQUIRED_FIELDS)
    assert any("base: no such field" in line for line in found)
    loaded = load_example("""
    #Here: "127.0.0.1:7"
    members: [{name: "a", address: #Here}, #Member & {name: "b", address: "1.2.3.4:5"}]
    limits: {x: 1, "with space": 2_000}
    wait: 1.5s, room: 64KiB
    either: {kind: "b", width: 4}
    note: "line\\n"
    pair: [1, "x"]
    mode: "on" | "off" & "off" | "on"
    count: >=2 & 4
    """)
    assert loaded["members"] == [
        {"name": "a", "address": "127.0.0.1:7"},
        {"name": "b", "address": "1.2.3.4:5"},
    ]
    assert loaded["limits"] == {"x": 1, "with space": 2000}
    assert loaded["wait"] == 1_500_000
    assert loaded["room"] == 65536
    assert loaded["either"] == {"kind": "b", "width": 4}
    assert loaded["note"] == "line\n"
    assert loaded["pair"] == [1, "x"]
    assert loaded["count"] == 4


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("mode: 'x'", 'lab.cue:1:7: "\'" stands here, expected'),
        ('mode: "maybe"', 'lab.cue:1:7: mode: "maybe" stands here, expected "off" | "on"'),
        ("count: 10", "lab.cue:1:8: count: 10 stands here, expected 3 | int & >=1 & <=9"),
        ("count: 2.5", "count: 2.5 stands here"),
        ("wait: 3", "wait: 3 stands here, expected 250ms | duration & >0ms"),
        ("wait: 3days", "3days has the unit days; there are us, ms, s"),
        ("cuont: 3", "lab.cue:1:1: cuont: no such field; did you mean count?"),
        ("members: [{name: 3, address: #Nowhere}]", "#Nowhere is not defined"),
        ("members: [{name: 3}]", "members.0.name: 3 stands here, expected string"),
        ('members: [{name: "a"}]', "members.0.address: nothing is said"),
        ("limits: {x: -1}", "limits.x: -1 stands here, expected int & >=0"),
        ('either: {kind: "b"}', "either.width: nothing is said, expected int"),
        ('either: {kind: "c"}', "either"),
        ("pair: [1]", "pair: a list of 1 items stands here, expected a list of 2 items"),
        ("note: [1]", "note: a list of 1 items stands here, expected string"),
        ('mode: "on"\nmode: "off"', 'mode: "on" stands here, expected "off"'),
        ('note: "a" & "b"', 'stands here, expected "'),
        ("count: count", "a reference leads back to itself"),
        ("count: >=true", "true stands here, expected an ordered value"),
        ('note: =~"("', "is not a valid regular expression"),
        ('note: "\\q"', "is not a valid string: invalid escape sequence or character"),
        ("mode", "lab.cue:2:1: members stands here, expected ':'"),
        (REQUIRED_FIELDS + "mode", "lab.cue:3:5: the end of the file stands here, expected ':'"),
        ("count: 3 }", "} stands here"),
        ("[int]: 3", "[int] stands here, expected [string]"),
        ("count: " + "9" * 5000, "a number of 5000 digits"),
        ("note: " + "(" * (MAX_NESTING_DEPTH + 1), f"nested deeper than {MAX_NESTING_DEPTH} brackets"),
        ("//" + "x" * MAX_FILE_BYTES, f"more than {MAX_FILE_BYTES} bytes"),
    ],
)
def test_each_error_is_reported_with_its_position(text: str, expected: str) -> None:
    has_required_fields = "members" in text or "limits" in text
    found = reported_errors(text if has_required_fields else text + "\n" + REQUIRED_FIELDS)
    assert any(expected in line for line in found), found


def test_all_errors_are_reported_at_once_and_in_order() -> None:
    found = reported_errors('mode: "x"\ncount: 0\nshare: 2\nnope: 1\nlimits: {a: "b"}\n')
    assert [line.split(":")[1] for line in found] == ["1", "2", "3", "4", "5"]
    assert len(reported_errors("a: : 3\nb c: 2\nd: 1 ]\n")) == 3, "one syntax error per line"
    assert len(reported_errors("".join(f"x{n}: 1\n" for n in range(200)))) == MAX_REPORTED_ERRORS


def test_invalid_utf8_is_an_error() -> None:
    with pytest.raises(CueError, match="x.cue:2:1: bytes that are not valid UTF-8"):
        read_operator_file(b"// fine\n\xff\xfe", "x.cue")


def test_references_are_limited_in_depth_and_number() -> None:
    chain = "".join(f"#A{n}: #A{n + 1}\n" for n in range(500)) + "#A500: 3\ncount: #A0\n" + REQUIRED_FIELDS
    assert any("or too far" in line for line in reported_errors(chain))
    doubling = "".join(f"#B{n}: {{a: #B{n + 1}, b: #B{n + 1}}}\n" for n in range(40)) + "#B40: 1\n"
    assert any("or too far" in line for line in reported_errors(doubling + "note: #B0\n" + REQUIRED_FIELDS))


# fmt: off
TOKENS = [
    "#A", "count", "mode", "limits", ":", "?", "{", "}", "[", "]", "...", ",", "&", "|", "*", "(", ")",
    ">=", "=~", "!=", "3", "-1", "2s", "64KiB", '"on"', '"("', "true", "null", "string", "int", ".", "\n",
]
# fmt: on


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(st.sampled_from(TOKENS), max_size=40).map(" ".join)
    | st.text(max_size=60)
    | st.binary(max_size=60)
)
def test_nothing_in_a_file_is_a_traceback(text: str | bytes) -> None:
    for schema, root in ((EXAMPLE_SCHEMA, "#Lab"), (SCHEMA, "#File")):
        try:
            load(text, "x.cue", schema, root)
        except CueError as exc:
            assert exc.errors and all(str(error).startswith("x.cue:") for error in exc.errors)
