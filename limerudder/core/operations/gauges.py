"""The node's gauges, computed when read."""

from __future__ import annotations

from collections.abc import Collection

from limerudder.core.requests.proxied_connection import ConnectionState
from limerudder.core.requests.request_table import RequestTable
from limerudder.core.upstream.registry import UpstreamRegistry


def read_gauges(
    requests: RequestTable,
    upstreams: UpstreamRegistry,
    avoided_by_policy: Collection[int],
    in_maintenance: Collection[str],
) -> dict[str, int]:
    """Return the gauges by name.

    A request whose client has disconnected and whose attempt is being closed does not count as open.
    """
    listed = [upstream for upstream in upstreams.by_number.values() if upstream.is_listed]
    out_of_rotation = [
        upstream
        for upstream in listed
        if upstream.number in avoided_by_policy or upstream.name in in_maintenance
    ]
    return {
        "open_requests": sum(
            connection.state is not ConnectionState.FINISHED for connection in requests.values()
        ),
        "registry_entries": len(listed),
        "out_of_rotation": len(out_of_rotation),
    }
