"""Log lines for tracing a request or a host's slow start."""

from __future__ import annotations

from pathlib import Path

from harness.configurations import ID, host, hosts
from limerudder.core.discovery.endpoint_list import parse_endpoint_list
from tests.node_testbed import START_TIME_US, node_testbed

STARTED_MS = START_TIME_US // 1000 - 300  # start time of a host that is in slow start


def test_a_failed_attempt_and_the_final_answer_name_the_request(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    testbed.send_request()
    for _ in range(2):
        testbed.attempts()[0].machine.connection_lost(testbed.now)
    testbed.run(2_000_000)
    request = f"request {int(ID, 16):016x}: "
    lines = [text for text in testbed.logged if text.startswith("request ")]
    assert lines[0].startswith(request + "connect_failed at s-")
    assert lines[-1] == request + "rejected after 2 attempts"


def test_a_host_in_slow_start_is_logged_with_its_age_and_a_warm_one_is_not(tmp_path: Path) -> None:
    testbed = node_testbed(tmp_path)
    assert not any(text.startswith("host ") for text in testbed.logged)
    restarted = host("s-1") | {"startedAtMs": STARTED_MS}
    just_started = host("s-2") | {"startedAtMs": START_TIME_US // 1000}
    for _ in range(2):
        testbed.node.endpoints_received(parse_endpoint_list(hosts(restarted, just_started)), testbed.now)
    assert [text for text in testbed.logged if text.startswith("host ")] == [
        "host s-1: ready, started 300 ms ago",
        "host s-2: ready, started 0 ms ago",
    ]
    testbed.node.endpoints_received(
        parse_endpoint_list(hosts(restarted | {"lifecycle": "leaving"}, just_started)), testbed.now
    )
    assert testbed.logged[-1] == "host s-1: draining, started 300 ms ago"


def test_a_list_that_changes_thousands_of_hosts_is_one_line(tmp_path: Path) -> None:
    """Guards against one log line per host, written before the node listens (report 47952f, candidate I)."""
    in_slow_start = [host(f"s-{n}") | {"startedAtMs": STARTED_MS} for n in range(3200)]
    testbed = node_testbed(tmp_path, known=hosts(*in_slow_start))
    lines = [text for text in testbed.logged if text.startswith("host")]
    assert lines == ["hosts: 3200 draining, gone or in slow start: 3200 ready"]
