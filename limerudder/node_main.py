"""A node as a process: its configuration, its limits, its log, and starts that are tried again."""

from __future__ import annotations

import gc
import os
import resource
import sys
import time
from dataclasses import replace

import uvloop

from limerudder.config import ProcessConfig, load_config
from limerudder.core.node_config import ConfigError
from limerudder.exit_codes import ExitCode
from limerudder.net.error_text import error_text
from limerudder.net.log import Log
from limerudder.net.log_writer import LineStream, LogWriter
from limerudder.net.shortage import start_retry_seconds
from limerudder.node_process import MICROSECONDS_PER_SECOND, run_node
from limerudder.startup_signals import StartupSignals

START_RETRY_INTERVAL_SECONDS = 0.05
MIN_SOCKETS = 32  #: a process holds about 20 by itself; the others are for clients, hosts and discovery


class NodeMain:
    """Runs a node, and starts it again while a shortage keeps it from starting.

    Only a start is tried again, in which nothing was accepted: each try begins with nothing. Whatever ends
    the process but a signal is one line on standard error and an exit code.
    """

    def __init__(self, signals: StartupSignals) -> None:
        self._signals = signals
        self._writer = LogWriter()
        self._has_started = False
        self._began_at = time.monotonic()
        sys.stderr = LineStream(self._writer)

    def run(self) -> int:
        """Run the node until a signal has stopped it; return the exit code."""
        while True:
            try:
                self._run_once()
            except Exception as exc:  # a defect, or a shortage of the system: the line has to name the place
                exit_code = self._report(exc)
                if not self._may_start_again(exc):
                    return exit_code
            if self._signals.stop_requested:
                return ExitCode.OK
            self._signals.install()
            gc.collect()  # what the failed start has opened is closed
            time.sleep(START_RETRY_INTERVAL_SECONDS)

    def _run_once(self) -> None:
        config = limit_descriptors(load_config(os.environ))
        log = create_log(config, self._writer)
        uvloop.run(self._serve(config, log))

    async def _serve(self, config: ProcessConfig, log: Log) -> None:
        await run_node(config, log, os.environ, log.configure, self._signals, self._note_started)
        # all is closed that has to be: what event loop and interpreter would still do only delays the end
        os._exit(ExitCode.OK)

    def _note_started(self) -> None:
        self._has_started = True

    def _may_start_again(self, error: Exception) -> bool:
        elapsed_seconds = time.monotonic() - self._began_at
        return not self._has_started and elapsed_seconds < start_retry_seconds(error)

    def _report(self, error: Exception) -> ExitCode:
        """Write one line if the process ends for the error; return its exit code then."""
        is_config_error = isinstance(error, ConfigError)
        text = str(error) if is_config_error else f"ended by an error: {error_text(error)}"
        if not self._may_start_again(error):
            self._writer.write(f"limerudder: {text}")
        return ExitCode.INVALID_INPUT if is_config_error else ExitCode.FAILED


def limit_descriptors(config: ProcessConfig) -> ProcessConfig:
    """Limit this process to the descriptors it is configured for; return what it may use of them.

    A descriptor too many then fails here, instead of breaking the platform's limit. Raises ConfigError for a
    limit that no node can serve with.
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard_limit != resource.RLIM_INFINITY:
        config = replace(config, sockets=min(config.sockets, hard_limit))
    if config.sockets < MIN_SOCKETS:
        raise ConfigError(f"a node may have {config.sockets} descriptors, but needs at least {MIN_SOCKETS}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (config.sockets, hard_limit))
    return config


def create_log(config: ProcessConfig, writer: LogWriter) -> Log:
    """Return the log, as the operator's file configures it if there is one."""
    if config.operator is None:
        return Log(config.name, writer=writer)
    settings = config.operator.log
    window_seconds = settings.per / MICROSECONDS_PER_SECOND
    log = Log(config.name, settings.format, settings.lines, window_seconds, writer)
    log.use_structlog()
    return log
