"""Measures write outages after the leader is killed: `python -m bench.store_failover --kills 50`.

The interval is from the SIGKILL to the acknowledgement of a write sent to another member at the same time.
Also measures how long a member with 100,000 keys takes to open its data directory.
"""

from __future__ import annotations

import argparse
import os
import random
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from bench.store_speed import percentile
from harness.member_cluster import MemberCluster
from limerudder.store.client import ControlClient
from limerudder.store.commands import OpenSession, Put, SessionWrite, Transaction, encode_command
from limerudder.store.data_directory import init_cluster
from limerudder.store.disk import Disk
from limerudder.store.member import Member
from limerudder.store.raft.messages import Snapshot, SnapshotMeta, snapshot_digest
from limerudder.store.raft.persistence import HardState
from limerudder.store.state_machine import KeyValueState

CALL_WAIT_SECONDS = 10
KEYS_PER_WRITE = 50
VALUE = b"v" * 100
OPENINGS = 7


def measure_failover(folder: Path, kills: int) -> None:
    """Kill the leader repeatedly, and print how long writes were blocked."""
    cluster = MemberCluster.create(folder)
    try:
        outages_seconds = sorted(_kill_leader(cluster, str(number)) for number in range(kills))
    finally:
        cluster.close()
    print(
        f"{kills} leaders killed: writes blocked for {percentile(outages_seconds, 0.5):.3f} s"
        f" at the median, p99 {percentile(outages_seconds, 0.99):.3f} s, maximum {outages_seconds[-1]:.3f} s"
    )


def _kill_leader(cluster: MemberCluster, value: str) -> float:
    """Kill the leader and write through another member; return the seconds until the acknowledgement."""
    leader = cluster.leader()
    follower = random.choice([name for name in cluster.addresses if name != leader])
    with ControlClient(cluster.directories[follower], CALL_WAIT_SECONDS) as client:
        assert client.call("put", key="kv/before", value="x")["ok"]
        started = time.perf_counter()
        cluster.kill(leader)
        answer = client.call("put", key="kv/x", value=value)
        outage_seconds = time.perf_counter() - started
        assert answer["ok"], answer
    cluster.start(leader)
    return outage_seconds


def measure_opening(folder: Path, key_count: int) -> None:
    """Measure and print the time to open a data directory whose snapshot has this many keys."""
    (directory,) = init_cluster(str(folder), [("n0", "127.0.0.1:1")])
    _store_snapshot(directory, _state_with(key_count))
    openings_seconds = sorted(_open_member(directory, key_count) for _ in range(OPENINGS))
    print(
        f"{key_count} records opened in {openings_seconds[OPENINGS // 2]:.3f} s at the median of {OPENINGS},"
        f" maximum {openings_seconds[-1]:.3f} s"
    )


def _state_with(key_count: int) -> KeyValueState:
    state = KeyValueState()
    session_id = state.apply(1, encode_command(OpenSession())).index
    for number in range(key_count // KEYS_PER_WRITE):
        first_key = number * KEYS_PER_WRITE
        puts = tuple(Put(f"kv/{first_key + offset:06d}", VALUE) for offset in range(KEYS_PER_WRITE))
        write = SessionWrite(session_id, number + 1, number, Transaction((), puts))
        state.apply(number + 2, encode_command(write))
    return state


def _store_snapshot(directory: str, state: KeyValueState) -> None:
    chunks = tuple(state.snapshot_view().chunks())
    with Disk(directory) as disk:
        contents = disk.load(begin_incarnation=False)
        config = contents.durable_state.raft_state.initial_config
        meta = SnapshotMeta(state.applied_index, 1, config, len(chunks), snapshot_digest(chunks))
        disk.start_new_cluster(contents.identity, HardState(1, 0), Snapshot(meta, chunks))


def _open_member(directory: str, key_count: int) -> float:
    started = time.perf_counter()
    with Disk(directory) as disk:
        contents = disk.load()
        member = Member(contents.identity.member_id, contents.durable_state, Random(1), 0)
        seconds = time.perf_counter() - started
    assert len(member.state.items) == key_count
    return seconds


def main() -> int:
    """Measure the opening of a data directory, then failovers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=50)
    parser.add_argument("--records", type=int, default=100_000)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=os.getcwd()) as folder:
        measure_opening(Path(folder) / "open", arguments.records)
        measure_failover(Path(folder) / "fail", arguments.kills)
    return 0


if __name__ == "__main__":
    sys.exit(main())
