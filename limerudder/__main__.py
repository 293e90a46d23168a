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
from functools import partial

import uvloop

from limerudder.config import ConfigError, ProcessConfig, load_config, reload_config
from limerudder.core.client.session import LineSession
from limerudder.core.discovery.endpoint_list import EndpointListError
from limerudder.core.lifecycle.hot_restart import (
    HandoverState,
    HotRestartParent,
    HotRestartSuccessor,
    SuccessorConnection,
    parse_handover_state,
)
from limerudder.core.node import Node
from limerudder.core.operations.console import Console, ConsoleError, ConsoleSession, DeferredAnswer
from limerudder.core.operations.maintenance import InMemoryMarks, MaintenanceMarks
from limerudder.core.transport import Address, OutboundMachine
from limerudder.net.clock import Clock
from limerudder.net.listener import ClientListener, bind_socket, start_server
from limerudder.net.log import Log
from limerudder.net.mark_files import MarkFiles
from limerudder.net.peer_socket import PeerSocket
from limerudder.net.socket_handover import (
    HandoverListener,
    InheritedSockets,
    StateDirectory,
    drive_connection,
    request_handover,
)
from limerudder.net.tcp import TcpConnection, TcpConnector
from limerudder.store_runtime import StoreRuntime


class Network:
    """The node's way out: connections and datagrams."""

    def __init__(self, dialler: TcpConnector) -> None:
        self.dialler = dialler
        self.peers: PeerSocket | None = None

    def dial(self, address: Address, machine: OutboundMachine) -> TcpConnection:
        """Set up a connection."""
        return self.dialler.dial(address, machine)

    def send_datagram(self, peer: int, data: bytes) -> None:
        """Send a datagram."""
        if self.peers:
            self.peers.send(peer, data)


async def serve(
    config: ProcessConfig, log: Callable[[str, str], None], environment: Mapping[str, str]
) -> None:
    """Run the node until it is told to stop; `environment` names the file that SIGHUP has read again."""
    loop, clock, stopped = asyncio.get_running_loop(), Clock(), asyncio.Event()
    folder = open_folder(config, log)
    legacy, hello = take_over(folder, log)
    keeping = StoreRuntime(config, log, clock)
    if not hello:
        config = keeping.open(config)
    if hello:
        # guards a successor against an environment that SIGHUP has overruled at the process before it
        where = reload_config(environment).discovery if hello.reloaded else config.discovery
        config = replace(config, known=hello.hosts, discovery=where)
    sockets = legacy.sockets if legacy else bind_all(config)
    network = Network(TcpConnector(loop, clock))
    marks: MaintenanceMarks = MarkFiles(folder.path) if folder else InMemoryMarks()
    recall = keeping.recall(hello.drained if hello else {})
    node = Node(config, network, log, clock.now_us(), keeping.marks(marks), recall)
    node.on_shutdown_complete, node.config_reloaded = stopped.set, bool(hello and hello.reloaded)
    peers = PeerSocket(
        config.peers,
        config.peers_all,
        lambda n, data: node.peering.datagram_received(n, data, clock.now_us()),
    )
    network.peers = peers
    door = ClientListener(sockets, lambda: TcpConnection(LineSession(node), clock), peers)
    tasks = set[asyncio.Task[None]]()

    def enter() -> None:
        task = loop.create_task(serving())
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    elder = HotRestartParent(node, door.close, enter)
    offer = (
        HandoverListener(folder, sockets, elder.hello, lambda: SuccessorConnection(elder), clock, log)
        if folder
        else None
    )

    async def serving() -> None:
        """Take clients here, from now on or again."""
        await door.open()
        if offer:
            offer.open()
        if heir:
            heir.say("serving")
        log("start", "node: listening on {}:{}".format(*sockets[0].getsockname()))

    def status(_: str, now: int) -> str:
        if node.shutdown_deadline_us:
            raise ConsoleError("stopping")
        if not door.is_open:
            raise ConsoleError("another process takes the clients" if node.has_successor else "starting")
        return "done\n"

    console = Console(node.timer_wheel, node.counters)
    console.offer("status", status)
    console.offer("stats", lambda _, now: node.metrics.text(node.gauges(now)) + "end\n")

    def by_hand(call: Callable[[str, int], bool]) -> Callable[[str, int], str | DeferredAnswer]:
        def answer(name: str, now: int) -> str | DeferredAnswer:
            try:
                if call(name, now):
                    return keeping.done(name)
            except OSError as exc:  # guards a yes that would not outlive this process
                raise ConsoleError(f"cannot write that down: {exc.strerror}") from None
            raise ConsoleError("no such host")

        return answer

    console.offer("maint-on", by_hand(node.maintenance.on), takes=True)
    console.offer("maint-off", by_hand(node.maintenance.off), takes=True)

    def tick() -> None:
        loop.call_later(config.settings.tick / 1e6, tick)
        node.timer_wheel.advance(clock.now_us())

    def reload() -> None:
        try:
            again = reload_config(environment)
        except ConfigError as exc:  # guards a node that serves against a file that cannot be used
            log("config", f"config: {exc}; going on as before")
            return
        log("config", "config: read again; discovery is at {}:{}".format(*again.discovery))
        node.config_reloaded = True
        node.discovery.move(again.discovery, clock.now_us())

    def stop(number: signal.Signals) -> None:
        # guards whoever reads the log after a process ended with 0: this line names the signal that ended it
        log("stop", f"node: {number.name} received")
        if not door.is_open and not node.has_successor:
            stopped.set()  # it has not begun to serve
        elder.tell("stopping")
        node.start_graceful_shutdown(clock.now_us())

    # before the node listens: a signal that finds no handler ends the process and all that it holds
    for planned in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(planned, stop, planned)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: log("counters", f"counters: {node.counters.text()}"))
    if config.console:
        calls = bind_socket(config.console, socket.SOCK_STREAM)
        await start_server(lambda: TcpConnection(ConsoleSession(console), clock), calls)
    heir = None
    if legacy and hello:
        # the store's folder is the old process's until it has ended
        over = partial(keeping.attach_soon, node, marks, elder)
        heir = HotRestartSuccessor(node, hello, enter, clock.now_us(), over)
        await drive_connection(legacy.connection, heir, clock)
    else:
        await keeping.attach(node, marks, elder)
        await serving()
    tick()
    gc.freeze()
    await stopped.wait()
    keeping.close()
    door.close()
    log("end", f"counters: {node.counters.text()}")


def open_folder(config: ProcessConfig, log: Callable[[str, str], None]) -> StateDirectory | None:
    """The folder that outlives this process; None, and a line, where there is none to be had."""
    try:
        return StateDirectory(config.state) if config.state else None
    except OSError as exc:
        log("state", f"state: cannot use {config.state}: {exc.strerror}; nothing will outlive this process")
        return None


def take_over(
    folder: StateDirectory | None, log: Callable[[str, str], None]
) -> tuple[InheritedSockets | None, HandoverState | None]:
    """What the process that serves passes on, where there is one."""
    legacy = request_handover(folder) if folder else None
    if legacy is None:
        return None, None
    try:
        return legacy, parse_handover_state(legacy.state_line)
    except EndpointListError as exc:  # guards this process against another build: it binds its own sockets
        log("state", f"state: {exc}")
        for sock in [legacy.connection, *legacy.sockets]:
            sock.close()
        return None, None


def open_log(config: ProcessConfig) -> Log:
    """The log, as the operator's file has it where there is one."""
    if config.operator is None:
        return Log(config.name)
    told = config.operator.log
    log = Log(config.name, told.format, told.lines, told.per / 1e6)
    log.use_structlog()
    return log


def bind_all(config: ProcessConfig) -> list[socket.socket]:
    """The clients' socket, and that for datagrams where peers may talk."""
    sockets = [bind_socket(config.listen, socket.SOCK_STREAM, reuse_port=True)]
    if config.settings.peers and config.peer_listen:
        sockets.append(bind_socket(config.peer_listen, socket.SOCK_DGRAM, reuse_port=True))
    return sockets


def main() -> int:
    """Run; a bad configuration is one line on standard error and exit code 2."""
    try:
        config = load_config(os.environ)
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        if most != resource.RLIM_INFINITY:
            config = replace(config, sockets=min(config.sockets, most))
        # what the node is allowed, and not more: a socket too many fails here instead of breaking the limit
        resource.setrlimit(resource.RLIMIT_NOFILE, (config.sockets, most))
        uvloop.run(serve(config, open_log(config), os.environ))
    except ConfigError as exc:
        print(f"limerudder: {exc}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
