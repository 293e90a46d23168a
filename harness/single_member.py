"""Runs a store member in a process without a node: `python -m harness.single_member FOLDER ADDRESS`.

Prints `ready` once it accepts calls, and runs until it is killed.
"""

from __future__ import annotations

import asyncio
import socket
import sys

import uvloop

from limerudder.core.operations.log_events import LogKind
from limerudder.core.transport import Address, parse_address
from limerudder.net.clock import Clock
from limerudder.schema import StoreSettings
from limerudder.store.control import ControlServer
from limerudder.store.store import Store


async def run_member(directory: str, address_text: str) -> None:
    """Run the member of a data directory until the process is killed."""
    address = parse_address(address_text)
    store = Store(StoreSettings(directory, address), _print_event, Clock().now_us)
    await store.run(_bind(address))
    await ControlServer(store).listen()
    print("ready", flush=True)
    await asyncio.Event().wait()


def _bind(address: Address) -> socket.socket:
    listening_socket = socket.socket()
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.bind(address)
    listening_socket.setblocking(False)
    return listening_socket


def _print_event(kind: LogKind, text: str, detail: str = "") -> None:
    print(text, flush=True)


if __name__ == "__main__":
    uvloop.run(run_member(*sys.argv[1:3]))
