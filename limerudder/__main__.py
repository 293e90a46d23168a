"""Start a node: configuration, event loop, signals."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import socket
import sys
from collections.abc import Callable, Mapping
from dataclasses import replace

import uvloop

from .config import Config, ConfigError, load, load_again
from .core.client import LineSession
from .core.console import CallError, Console, ConsoleSession
from .core.link import Address, Caller
from .core.node import Node
from .net.clock import Clock
from .net.log import Log
from .net.peers import Peers
from .net.stream import Dialler, Stream

BACKLOG = 4096
RECEIVED = 64 * 1024  #: bytes of a client that the system keeps, and so what one event's read can bring


class Network:
    """The node's way out: connections and datagrams."""

    def __init__(self, dialler: Dialler) -> None:
        self.dialler = dialler
        self.peers: Peers | None = None

    def dial(self, address: Address, machine: Caller) -> Stream:
        """Set up a connection."""
        return self.dialler.dial(address, machine)

    def tell(self, peer: int, data: bytes) -> None:
        """Send a datagram."""
        if self.peers:
            self.peers.send(peer, data)


def bind(address: Address, kind: socket.SocketKind) -> socket.socket:
    """A socket at one of the node's own addresses."""
    sock = socket.socket(socket.AF_INET, kind)
    try:
        if kind is socket.SOCK_STREAM:  # a node starts again while connections of its last run are ending
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # guards the loop against one sender at full speed; connections inherit it
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVED)
        sock.bind(address)
        sock.setblocking(False)
    except OSError as exc:
        sock.close()
        raise cannot_listen(address, exc) from None
    return sock


def cannot_listen(address: Address, exc: OSError) -> ConfigError:
    """One of the node's own addresses is not to be had."""
    return ConfigError("cannot listen on {}:{}: {}".format(*address, exc.strerror))


async def listen(
    loop: asyncio.AbstractEventLoop, take: Callable[[], Stream], sock: socket.socket
) -> asyncio.Server:
    """Take connections at a socket that is bound."""
    address = sock.getsockname()
    try:
        return await loop.create_server(take, sock=sock, backlog=BACKLOG)
    except OSError as exc:
        raise cannot_listen(address, exc) from None


async def serve(config: Config, log: Callable[[str, str], None], environment: Mapping[str, str]) -> None:
    """Run the node until it is told to stop; `environment` names the file that SIGHUP has read again."""
    loop, clock, stopped = asyncio.get_running_loop(), Clock(), asyncio.Event()
    listening = bind(config.listen, socket.SOCK_STREAM)
    network = Network(Dialler(loop, clock))
    node = Node(config, network, log, clock.now())
    node.stopped = stopped.set

    def client() -> Stream:
        return Stream(LineSession(node), clock)

    def status(_: str, now: int) -> str:
        if node.stopping:
            raise CallError("stopping")
        return "done\n"

    console = Console(node.wheel, node.counters)
    console.offer("status", status)
    console.offer("stats", lambda _, now: node.figures.text(node.gauges(now)) + "end\n")

    def tick() -> None:
        loop.call_later(config.settings.tick / 1e6, tick)
        node.wheel.advance(clock.now())

    def reload() -> None:
        try:
            again = load_again(environment)
        except ConfigError as exc:  # guards a node that serves against a file that cannot be used
            log("config", f"config: {exc}; going on as before")
            return
        log("config", "config: read again; discovery is at {}:{}".format(*again.discovery))
        node.director.move(again.discovery, clock.now())

    # before the node listens: a signal that finds no handler ends the process and all that it holds
    for planned in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(planned, lambda: node.stop(clock.now()))
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: log("counters", f"counters: {node.counters.text()}"))
    if config.settings.peers and config.peer_listen:
        peers = Peers(config.peers, config.peers_all, lambda n, data: node.heard(n, data, clock.now()))
        sock = bind(config.peer_listen, socket.SOCK_DGRAM)
        await loop.create_datagram_endpoint(lambda: peers, sock=sock)
        network.peers = peers
    server = await listen(loop, client, listening)
    if config.console:
        calls = bind(config.console, socket.SOCK_STREAM)
        await listen(loop, lambda: Stream(ConsoleSession(console), clock), calls)
    tick()
    log("start", "node: listening on {}:{}".format(*listening.getsockname()))
    gc.freeze()
    await stopped.wait()
    server.close()
    log("end", f"counters: {node.counters.text()}")


def main() -> int:
    """Run; a bad configuration is one line on standard error and exit code 2."""
    try:
        config = load(os.environ)
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        if most != resource.RLIM_INFINITY:
            config = replace(config, sockets=min(config.sockets, most))
        # what the node is allowed, and not more: a socket too many fails here instead of breaking the limit
        resource.setrlimit(resource.RLIMIT_NOFILE, (config.sockets, most))
        uvloop.run(serve(config, Log(config.name), os.environ))
    except ConfigError as exc:
        print(f"limerudder: {exc}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
