"""A store member in its own process, without a node: `python -m harness.single_member FOLDER ADDRESS`."""

from __future__ import annotations

import asyncio
import socket
import sys

import uvloop

from limerudder.core.transport import parse_address
from limerudder.net.clock import Clock
from limerudder.schema import StoreSettings
from limerudder.store.control import ControlServer
from limerudder.store.store import Store


async def run_member(folder: str, address: str) -> None:
    """Until it is killed."""
    where = parse_address(address)
    store = Store(
        StoreSettings(folder, where), lambda kind, text, detail="": print(text, flush=True), Clock().now_us
    )
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(where)
    sock.setblocking(False)
    await store.run(sock)
    await ControlServer(store).listen()
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(run_member(*sys.argv[1:3]))
