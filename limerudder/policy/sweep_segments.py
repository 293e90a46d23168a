"""How many servers one node asks for a load report at a time, and which of a large fleet are its own to ask.

What a node needs may not grow with the fleet: each server asked takes a descriptor, a connection and work
at once. A fleet beyond `MAX_SWEPT_SERVERS` is cut into segments of about that size by the servers' ids, which
are the same at all nodes; a node always asks the same segment, so that its connections last.
"""

from __future__ import annotations

from collections.abc import Sequence

from limerudder.policy.records import Server

MAX_SWEPT_SERVERS = 128


def segment_count(server_count: int) -> int:
    """Return into how many segments a fleet of so many servers is cut: 1 for one that is not."""
    return max(-(-server_count // MAX_SWEPT_SERVERS), 1)


def own_segment(ready: Sequence[Server], node_index: int) -> Sequence[Server]:
    """Return the servers of the segment that this node asks."""
    segments = segment_count(len(ready))
    if segments == 1:
        return ready
    own = node_index % segments
    return [server for server in ready if server.id % segments == own]
