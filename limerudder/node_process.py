"""One process of a node: start-up, service until a stop signal, and shutdown."""

from __future__ import annotations

import asyncio
import gc
import signal
import socket
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from dataclasses import replace

from limerudder.config import ProcessConfig, reload_config
from limerudder.console_calls import ConsoleCalls
from limerudder.core.client.session import LineSession
from limerudder.core.lifecycle.hot_restart import HotRestartSuccessor, SuccessorConnection
from limerudder.core.lifecycle.hot_restart.messages import EndpointDrained, ParentStopping
from limerudder.core.lifecycle.hot_restart.node_binding import create_parent, create_successor
from limerudder.core.node import Node
from limerudder.core.node_config import ConfigError
from limerudder.core.operations.console import ConsoleSession
from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.operations.maintenance import InMemoryMarks, SharedMarks
from limerudder.net.clock import Clock
from limerudder.net.error_reporter import ErrorReporter
from limerudder.net.listener import ClientListener, bind_socket, start_accepting
from limerudder.net.mark_files import MarkFiles
from limerudder.net.node_network import NodeNetwork
from limerudder.net.peer_socket import PeerSocket
from limerudder.net.shortage import is_shortage
from limerudder.net.socket_handover import HandoverListener, drive_connection
from limerudder.net.tcp import TcpConnection, TcpConnector
from limerudder.process_startup import Inheritance, bind_sockets, inherit_from_parent, open_state_directory
from limerudder.startup_signals import StartupSignals
from limerudder.store_runtime import ConfigureLog, StoreRuntime

MICROSECONDS_PER_SECOND = 1e6
RETRY_SECONDS = 0.05  #: Retry delay after a resource shortage, which is usually brief


def ignore_log_settings(log_format: str, max_lines: int, window_seconds: float) -> None:
    """Ignore log settings from the store; for a log that cannot be configured."""


async def run_node(
    config: ProcessConfig,
    log: LogSink,
    environment: Mapping[str, str],
    configure_log: ConfigureLog = ignore_log_settings,
    signals: StartupSignals | None = None,
    on_started: Callable[[], None] = lambda: None,
) -> None:
    """Run a node until a signal stops it; raises ConfigError or OSError if it cannot start.

    `environment` names the configuration file, which SIGHUP reloads. `signals` has recorded the signals
    received so far. `on_started` is called when the start is complete; errors before that leave nothing open.
    """
    signals = signals or StartupSignals()
    process = NodeProcess(config, log, environment, configure_log, signals)
    try:
        await process.start()
    except BaseException:
        signals.block()
        process.close_failed_start()
        raise
    on_started()
    await process.run()


class NodeProcess:
    """Builds a node with its sockets and store, and runs it. Must be created in the running event loop."""

    def __init__(
        self,
        config: ProcessConfig,
        log: LogSink,
        environment: Mapping[str, str],
        configure_log: ConfigureLog,
        signals: StartupSignals,
    ) -> None:
        """Take over from the process serving this node, if there is one, and build the node.

        On failure, everything opened is closed again.
        """
        self._log = log
        self._signals = signals
        self._environment = environment
        self._loop = asyncio.get_running_loop()
        self._clock = Clock()
        self._stopped = asyncio.Event()
        self._successor: HotRestartSuccessor | None = None  # set if this process takes over from a parent
        self._tick_timer: asyncio.TimerHandle | None = None
        self._serve_retry: asyncio.TimerHandle | None = None
        self._resources = ExitStack()  # closes opened resources in reverse order
        self._store = StoreRuntime(config, log, self._clock, configure_log)
        self._resources.callback(self._store.close)
        try:
            self._open_resources(config)
            self._build()
        except BaseException:
            self._resources.close()
            raise

    def _open_resources(self, config: ProcessConfig) -> None:
        """Open the state directory, the store and the node's sockets."""
        self._state_directory = open_state_directory(config, self._log)
        if self._state_directory:
            self._resources.callback(self._state_directory.close)
        self._inheritance = self._inherit_from_parent()
        if self._inheritance:
            self._resources.callback(self._inheritance.connection.close)
        self._config = self._complete_config(config)
        self._sockets = self._inheritance.sockets if self._inheritance else bind_sockets(self._config)
        for sock in self._sockets:
            self._resources.callback(sock.close)
        self._marks = self._create_marks()

    def _build(self) -> None:
        """Build the node and the listeners around it."""
        connector = TcpConnector(self._loop, self._clock)
        self._network = NodeNetwork(connector)
        self._node = self._create_node()
        self._error_reporter = ErrorReporter(self._node.counters, self._log)
        connector.on_local_failure = self._error_reporter.report_failed_dial
        self._loop.set_exception_handler(self._error_reporter.report_loop_exception)
        self._node.set_error_handler(self._error_reporter.report_exception)
        self._peer_socket = self._create_peer_socket()
        self._listener = ClientListener(self._sockets, self._create_client_connection, self._peer_socket)
        self._parent = create_parent(self._node, self._stop_accepting, self._serve_when_possible)
        self._handover_listener = self._create_handover_listener()
        self._console = ConsoleCalls(self._node, self._listener, self._store).create_console()

    async def start(self) -> None:
        """Start serving, or prepare to serve while the parent process still serves.

        Raises ConfigError or OSError.
        """
        # precedes all listeners, since an unhandled signal would end the process with everything that it owns
        self._install_signal_handlers()
        self._open_console()
        self._node.load_endpoints(self._clock.now_us())
        self._node.start(self._clock.now_us())
        if self._inheritance:
            await self._join_parent(self._inheritance)
        else:
            await self._store.start(self._node, self._marks, self._announce_drain)
            self._serve()
        if self._signals.reload_requested:
            self._on_reload_signal()

    async def run(self) -> None:
        """Serve until a signal stops the node."""
        self._tick()
        gc.freeze()
        await self._stopped.wait()
        try:
            self._shut_down()
        except Exception as exc:  # all clients have been answered; the process still exits normally
            self._error_reporter.report_exception(exc)

    # start-up

    def _inherit_from_parent(self) -> Inheritance | None:
        if self._state_directory is None:
            return None
        return inherit_from_parent(self._state_directory, self._log)

    def _complete_config(self, config: ProcessConfig) -> ProcessConfig:
        """Return the configuration with newer values from the parent process, or otherwise from the store."""
        if self._inheritance is None:
            return self._store.open(config)  # with a parent, the store's directory would still be in use
        state = self._inheritance.state
        discovery = config.discovery
        if state.config_reloaded:
            # SIGHUP has overridden the environment in the parent, and the environment has not changed since
            discovery = reload_config(self._environment).discovery
            self._store.configured_discovery = discovery
        return replace(config, known=state.endpoints, discovery=discovery)

    def _create_marks(self) -> SharedMarks:
        """Return the maintenance marks; raises OSError if a shortage prevents reading them for now."""
        if self._state_directory is None:
            return InMemoryMarks()
        marks = MarkFiles(self._state_directory.path)
        try:
            marks.read()
        except OSError as exc:
            if is_shortage(exc):
                raise
        return marks

    def _create_node(self) -> Node:
        parent_drains = self._inheritance.state.drained_starts if self._inheritance else {}
        recorded_drains = self._store.recorded_drains(parent_drains)
        now_us = self._clock.now_us()
        marks = self._store.marks(self._marks)
        node = Node(self._config, self._network, self._log, now_us, marks, recorded_drains)
        node.on_shutdown_complete = self._stopped.set
        node.config_reloaded = self._inheritance is not None and self._inheritance.state.config_reloaded
        return node

    def _create_peer_socket(self) -> PeerSocket:
        peer_socket = PeerSocket(self._config.peers, self._config.peers_all, self._on_datagram)
        self._network.peer_socket = peer_socket
        return peer_socket

    def _on_datagram(self, sender: int | None, data: bytes) -> None:
        self._node.peering.datagram_received(sender, data, self._clock.now_us())

    def _create_client_connection(self) -> TcpConnection:
        return TcpConnection(LineSession(self._node), self._clock)

    def _create_console_connection(self) -> TcpConnection:
        return TcpConnection(ConsoleSession(self._console), self._clock)

    def _create_handover_listener(self) -> HandoverListener | None:
        if self._state_directory is None:
            return None
        listener = HandoverListener(
            self._state_directory,
            self._sockets,
            self._parent.state_line,
            lambda: SuccessorConnection(self._parent),
            self._clock,
            self._log,
        )
        self._resources.callback(listener.close)
        return listener

    def _open_console(self) -> None:
        if self._config.console:
            sock = bind_socket(self._config.console, socket.SOCK_STREAM)
            console_server = start_accepting(self._create_console_connection, sock)
            self._resources.callback(console_server.close)

    async def _join_parent(self, inheritance: Inheritance) -> None:
        """Prepare to serve; messages of the hot restart determine when to start."""
        self._successor = create_successor(
            self._node,
            inheritance.state,
            self._clock.now_us(),
            start_serving=self._serve_when_possible,
            # the parent owns the store's directory until it exits
            parent_ended=lambda: self._store.start_takeover(self._node, self._marks, self._announce_drain),
            reload_config=self._on_reload_signal,
        )
        try:
            await drive_connection(inheritance.connection, self._successor, self._clock)
        except OSError:  # the parent has already exited
            inheritance.connection.close()
            self._successor.connection_lost(self._clock.now_us())

    # service

    def _serve_when_possible(self) -> None:
        """Start serving as a successor, or again after a successor exits; retry on a resource shortage."""
        self._serve_retry = None
        try:
            self._serve()
        except (OSError, ConfigError) as exc:
            self._log(LogKind.CALL_FAILED, f"node: cannot accept clients: {exc}; retrying")
            self._serve_retry = self._loop.call_later(RETRY_SECONDS, self._serve_when_possible)

    def _stop_accepting(self) -> None:
        if self._serve_retry:
            self._serve_retry.cancel()
            self._serve_retry = None
        if self._handover_listener:
            self._handover_listener.stop_publishing()
        self._listener.close()

    def _serve(self) -> None:
        """Accept clients, and hand over to any process that requests it."""
        self._listener.open()
        if self._handover_listener:
            self._handover_listener.open()
        if self._successor:
            self._successor.announce_serving()
        self._log(LogKind.LISTENING, "node: listening on {}:{}".format(*self._sockets[0].getsockname()))

    def _tick(self) -> None:
        interval_seconds = self._config.settings.tick_us / MICROSECONDS_PER_SECOND
        self._tick_timer = self._loop.call_later(interval_seconds, self._tick)
        self._node.timer_wheel.advance(self._clock.now_us())

    def _announce_drain(self, name: str, started_ms: int) -> None:
        self._parent.announce(EndpointDrained(name, started_ms))

    # signals

    def _install_signal_handlers(self) -> None:
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(stop_signal, self._on_stop_signal, stop_signal)
        self._loop.add_signal_handler(signal.SIGHUP, self._on_reload_signal)
        self._loop.add_signal_handler(signal.SIGUSR1, self._log_counters, LogKind.COUNTERS)

    def _on_stop_signal(self, number: signal.Signals) -> None:
        # a stopped process exits with code 0, so only this line shows which signal stopped it
        self._log(LogKind.STOPPING, f"node: {number.name} received")
        self._signals.stop_requested = True
        if not self._listener.is_open and not self._node.has_successor:
            self._stopped.set()  # it has not started serving
        try:
            self._parent.announce(ParentStopping())
        finally:
            self._node.start_graceful_shutdown(self._clock.now_us())

    def _on_reload_signal(self) -> None:
        self._signals.reload_requested = True
        try:
            config = reload_config(self._environment)
        except ConfigError as exc:  # the node continues with its current configuration
            if is_shortage(exc):
                self._loop.call_later(RETRY_SECONDS, self._on_reload_signal)
            self._log(LogKind.CONFIG, f"config: {exc}; keeping the previous configuration")
            return
        self._log(LogKind.CONFIG, "config: reloaded; discovery is at {}:{}".format(*config.discovery))
        self._node.config_reloaded = True
        # a process that prepares to take over may get no signal of its own, and has read the file already
        self._parent.announce_reload()
        self._store.configured_discovery = config.discovery
        self._node.discovery.change_address(config.discovery, self._clock.now_us())

    def _log_counters(self, kind: LogKind) -> None:
        self._log(kind, f"counters: {self._node.counters.text()}")

    # shutdown

    def _shut_down(self) -> None:
        """Close the store and the listeners, then the other resources of the process."""
        with ExitStack() as steps:  # in reverse order, each even if one before it raises
            steps.callback(self._resources.close)
            if self._tick_timer:
                steps.callback(self._tick_timer.cancel)
            steps.callback(self._log_counters, LogKind.STOPPED)
            steps.callback(self._stop_accepting)
            steps.callback(self._store.close)
            steps.callback(self._node.check_all_answered)

    def close_failed_start(self) -> None:
        """Close everything opened by a failed start."""
        self._stop_accepting()
        self._resources.close()
