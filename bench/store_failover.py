"""How long writes stop when the leader is killed: `python -m bench.store_failover --kills 50`.

From the SIGKILL to the acknowledgement of a write that was given to another member at that moment. Also:
how long a member with 100,000 records takes to open its folder.
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

from bench.store_speed import Cluster, percentile
from limerudder.store.client import ControlClient
from limerudder.store.commands import OpenSession, Put, SessionWrite, Transaction, encode_command
from limerudder.store.data_directory import init_cluster
from limerudder.store.disk import Disk
from limerudder.store.member import Member
from limerudder.store.raft.messages import Snapshot, SnapshotMeta, snapshot_digest
from limerudder.store.raft.persistence import HardState
from limerudder.store.state_machine import KeyValueState


def failover(folder: Path, kills: int) -> None:
    """Kill whoever leads, so many times."""
    cluster = Cluster(folder)
    took = []
    try:
        for number in range(kills):
            leads = cluster.leader()
            other = random.choice([name for name in cluster.addresses if name != leads])
            with ControlClient(cluster.folders[other], 10) as client:
                assert client.call("put", key="kv/before", value="x")["ok"]
                began = time.perf_counter()
                cluster.kill(leads)
                told = client.call("put", key="kv/x", value=str(number))
                took.append(time.perf_counter() - began)
                assert told["ok"], told
            cluster.start(leads)
    finally:
        cluster.close()
    took.sort()
    print(
        f"{kills} leaders killed: writes stood still for {percentile(took, 0.5):.3f} s at the median,"
        f" p99 {percentile(took, 0.99):.3f} s, at the most {took[-1]:.3f} s"
    )


def opening(folder: Path, many: int) -> None:
    """Open a folder with so many records in its snapshot, and as many thousand entries in its log."""
    records = KeyValueState()
    records.apply(1, encode_command(OpenSession()))
    for n in range(many // 50):
        puts = tuple(Put(f"kv/{n * 50 + k:06d}", b"v" * 100) for k in range(50))
        records.apply(n + 2, encode_command(SessionWrite(1, n + 1, n, Transaction((), puts))))
    (path,) = init_cluster(str(folder), [("n0", "127.0.0.1:1")])
    disk = Disk(path)
    opened = disk.load(count_start=False)
    pieces = tuple(records.snapshot_view().chunks())
    meta = SnapshotMeta(
        records.applied_index,
        1,
        opened.durable_state.raft_state.initial_config,
        len(pieces),
        snapshot_digest(pieces),
    )
    disk.start_new_cluster(opened.identity, HardState(1, 0), Snapshot(meta, pieces))
    disk.close()
    took = []
    for _ in range(7):
        began = time.perf_counter()
        disk = Disk(path)
        member = Member(opened.identity.member_id, disk.load().durable_state, Random(1), 0)
        took.append(time.perf_counter() - began)
        assert len(member.state.items) == many
        disk.close()
    took.sort()
    print(f"{many} records opened in {took[3]:.3f} s at the median of 7, {took[-1]:.3f} s at the most")


def main() -> int:
    """Both."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=50)
    parser.add_argument("--records", type=int, default=100_000)
    given = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=os.getcwd()) as name:
        opening(Path(name) / "open", given.records)
        failover(Path(name) / "fail", given.kills)
    return 0


if __name__ == "__main__":
    sys.exit(main())
