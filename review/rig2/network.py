"""A stand-in for a network in which an address means something only at the node that it was given to.

Every node is a machine of its own, and the roster may give it a `hostPort` of its own for each front box:
the port of a forwarder on that machine, say. So the same address may lead one node to one box and another
node to another. Here all nodes share one machine. The forwarder at an address therefore looks at the request
id, whose first digits name the node that the client has called.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress

from rig2.front_box import FrontBox
from rig2.record import Record

NODE_DIGITS = 4  #: First digits of a request id, which are the number of the node
PROBE_REPORT = b"PONG eps=0,inflight=5,x0=0.1\r\n"  # the boxes carry the same load here


def first_request_id(node_number: int) -> int:
    """Return the number before the first request id of a node's clients."""
    return (node_number + 1) << (64 - 4 * NODE_DIGITS)


class Network:
    """Addresses that lead each node to front boxes in an order of its own."""

    def __init__(self, record: Record, nodes: Sequence[str], boxes: Sequence[FrontBox]) -> None:
        self._record = record
        self._nodes = list(nodes)
        self._boxes = list(boxes)
        self._addresses: list[str] = []
        self._servers: list[asyncio.Server] = []

    async def listen(self) -> None:
        """Listen on as many free ports as there are boxes."""
        for port_index in range(len(self._boxes)):
            self._servers.append(await self._listen_at(port_index))
            self._addresses.append("{}:{}".format(*self._servers[-1].sockets[0].getsockname()))

    def address(self, node: str, box: str) -> str:
        """Return the address that leads this node to this box."""
        names = [each.name for each in self._boxes]
        return self._addresses[(names.index(box) + self._nodes.index(node)) % len(names)]

    def _box_at(self, node_index: int, port_index: int) -> FrontBox:
        return self._boxes[(port_index - node_index) % len(self._boxes)]

    async def _listen_at(self, port_index: int) -> asyncio.Server:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                with suppress(OSError, EOFError, ValueError):
                    await self._serve(port_index, reader, writer)
            finally:
                writer.close()

        return await asyncio.start_server(serve, "127.0.0.1", 0)

    async def _serve(
        self, port_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while line := await reader.readline():
            if line == b"PING\r\n":
                writer.write(b"PONG\r\n")
            elif line == b"STATS\r\n":
                writer.write(PROBE_REPORT)
            else:
                node_index = int(line.split()[1][:NODE_DIGITS], 16) - 1
                box = self._box_at(node_index, port_index)
                await box.serve_request(self._nodes[node_index], line, reader, writer)
                return
