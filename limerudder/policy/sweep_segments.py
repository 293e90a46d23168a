"""Limits the number of servers that one node polls for load reports at a time, by dividing large fleets.

The resources that a node needs must not grow with the fleet: each polled server needs a descriptor, a
connection and work at the same time. A fleet of more than `MAX_SWEPT_SERVERS` is divided into segments of
about that size by the servers' ids, which are the same at all nodes. A node always polls the same segment, so
that its connections last.
"""

from __future__ import annotations

from collections.abc import Sequence

from limerudder.policy.records import Server

MAX_SWEPT_SERVERS = 128


def segment_count(server_count: int) -> int:
    """Return the number of segments of a fleet of this size; 1 if it is not divided."""
    return max(-(-server_count // MAX_SWEPT_SERVERS), 1)


def own_segment(ready: Sequence[Server], node_index: int) -> Sequence[Server]:
    """Return the servers of the segment that this node polls."""
    segments = segment_count(len(ready))
    if segments == 1:
        return ready
    own_index = node_index % segments
    return [server for server in ready if server.id % segments == own_index]
