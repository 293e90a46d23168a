"""Main program of a node process: configuration, descriptor limit, log, and retries of a failed start."""

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
MIN_SOCKETS = 32  #: Minimum usable limit; a process uses about 20 itself, clients and upstreams the rest


class NodeMain:
    """Runs a node, and retries its start while a resource shortage prevents it.

    Only a start, during which nothing has been accepted, is retried; each attempt starts from scratch. A
    process that ends for any reason but a signal prints one line to standard error and sets an exit code.
    """

    def __init__(self, signals: StartupSignals) -> None:
        self._signals = signals
        self._writer = LogWriter()
        self._has_started = False
        self._first_attempt_at = time.monotonic()
        sys.stderr = LineStream(self._writer)

    def run(self) -> int:
        """Run the node until a signal stops it; return the exit code."""
        while True:
            try:
                self._run_once()
            except Exception as exc:  # a bug or a system shortage: the line must include the location
                exit_code = self._report(exc)
                if not self._can_retry_start(exc):
                    return exit_code
            if self._signals.stop_requested:
                return ExitCode.OK
            self._signals.install()
            gc.collect()  # closes everything that the failed start has opened
            time.sleep(START_RETRY_INTERVAL_SECONDS)

    def _run_once(self) -> None:
        config = limit_descriptors(load_config(os.environ))
        log = create_log(config, self._writer)
        uvloop.run(self._serve(config, log))

    async def _serve(self, config: ProcessConfig, log: Log) -> None:
        await run_node(config, log, os.environ, log.configure, self._signals, self._mark_started)
        # everything has been closed; cleanup by the event loop and the interpreter would only delay the exit
        os._exit(ExitCode.OK)

    def _mark_started(self) -> None:
        self._has_started = True

    def _can_retry_start(self, error: Exception) -> bool:
        elapsed_seconds = time.monotonic() - self._first_attempt_at
        return not self._has_started and elapsed_seconds < start_retry_seconds(error)

    def _report(self, error: Exception) -> ExitCode:
        """Write one line if the error ends the process; return the exit code for the error."""
        is_config_error = isinstance(error, ConfigError)
        text = str(error) if is_config_error else f"ended by an error: {error_text(error)}"
        if not self._can_retry_start(error):
            self._writer.write(f"limerudder: {text}")
        return ExitCode.INVALID_INPUT if is_config_error else ExitCode.FAILED


def limit_descriptors(config: ProcessConfig) -> ProcessConfig:
    """Limit the descriptors of this process as configured; return the configuration with the usable number.

    Opening a descriptor too many then fails in this process instead of violating the platform's limit. Raises
    ConfigError if the limit is too low for a node to serve.
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard_limit != resource.RLIM_INFINITY:
        config = replace(config, sockets=min(config.sockets, hard_limit))
    if config.sockets < MIN_SOCKETS:
        raise ConfigError(f"a node may use {config.sockets} descriptors, but needs at least {MIN_SOCKETS}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (config.sockets, hard_limit))
    return config


def create_log(config: ProcessConfig, writer: LogWriter) -> Log:
    """Return the log, configured by the operator's file if there is one."""
    if config.operator is None:
        return Log(config.name, writer=writer)
    settings = config.operator.log
    window_seconds = settings.per / MICROSECONDS_PER_SECOND
    log = Log(config.name, settings.format, settings.lines, window_seconds, writer)
    log.use_structlog()
    return log
