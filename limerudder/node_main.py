"""A node as a process: its configuration, its limits and its log."""

from __future__ import annotations

import os
import resource
import sys
from dataclasses import replace

import uvloop

from limerudder.config import ProcessConfig, load_config
from limerudder.core.node_config import ConfigError
from limerudder.exit_codes import ExitCode
from limerudder.net.error_text import error_text
from limerudder.net.log import Log
from limerudder.net.log_writer import LineStream, LogWriter
from limerudder.node_process import MICROSECONDS_PER_SECOND, run_node
from limerudder.startup_signals import StartupSignals


class NodeMain:
    """Runs a node. Whatever ends it but a signal is one line on standard error and an exit code."""

    def __init__(self, signals: StartupSignals) -> None:
        self._signals = signals
        self._writer = LogWriter()
        sys.stderr = LineStream(self._writer)

    def run(self) -> int:
        """Run the node until a signal has stopped it; return the exit code."""
        try:
            self._run_once()
        except Exception as exc:  # a defect, or a shortage of the system: the line has to name the place
            return self._report(exc)
        return ExitCode.OK

    def _run_once(self) -> None:
        config = limit_descriptors(load_config(os.environ))
        log = create_log(config, self._writer)
        uvloop.run(run_node(config, log, os.environ, log.configure, self._signals))

    def _report(self, error: Exception) -> ExitCode:
        """Write one line on the error; return the exit code."""
        is_config_error = isinstance(error, ConfigError)
        text = str(error) if is_config_error else f"ended by an error: {error_text(error)}"
        self._writer.write(f"limerudder: {text}")
        return ExitCode.INVALID_INPUT if is_config_error else ExitCode.FAILED


def limit_descriptors(config: ProcessConfig) -> ProcessConfig:
    """Limit this process to the descriptors it is configured for; return what it may use of them.

    A descriptor too many then fails here, instead of breaking the platform's limit.
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard_limit != resource.RLIM_INFINITY:
        config = replace(config, sockets=min(config.sockets, hard_limit))
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
