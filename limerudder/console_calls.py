"""Console calls for operators and their answers; scripts depend on the exact wording of both."""

from __future__ import annotations

from collections.abc import Callable

from limerudder.core.node import Node
from limerudder.core.operations.console import Console, ConsoleError, DeferredAnswer
from limerudder.net.listener import ClientListener
from limerudder.store_runtime import DONE_ANSWER, StoreRuntime

MaintenanceCall = Callable[[str, int], bool]


class ConsoleCalls:
    """Implements the console calls of one node process."""

    def __init__(self, node: Node, listener: ClientListener, store: StoreRuntime) -> None:
        self._node = node
        self._listener = listener
        self._store = store

    def create_console(self) -> Console:
        """Return a console with these calls, in the order in which its error message lists them."""
        console = Console(self._node.timer_wheel, self._node.counters)
        console.register("status", self._status)
        console.register("stats", self._stats)
        console.register("maint-on", self._maintenance_on, takes_argument=True)
        console.register("maint-off", self._maintenance_off, takes_argument=True)
        return console

    def _status(self, argument: str, now_us: int) -> str:
        if self._node.shutdown_deadline_us:
            raise ConsoleError("stopping")
        if self._listener.is_open:
            return DONE_ANSWER
        if self._node.has_successor:
            raise ConsoleError("another process takes the clients")
        raise ConsoleError("starting")

    def _stats(self, argument: str, now_us: int) -> str:
        return self._node.metrics.text(self._node.gauges(now_us)) + "end\n"

    def _maintenance_on(self, name: str, now_us: int) -> str | DeferredAnswer:
        return self._change_maintenance(self._node.maintenance.enable, name, now_us)

    def _maintenance_off(self, name: str, now_us: int) -> str | DeferredAnswer:
        return self._change_maintenance(self._node.maintenance.disable, name, now_us)

    def _change_maintenance(self, call: MaintenanceCall, name: str, now_us: int) -> str | DeferredAnswer:
        try:
            if call(name, now_us):
                return self._store.maintenance_answer(name)
        except OSError as exc:
            # the change would be lost when this process exits, so it must not be confirmed
            raise ConsoleError(f"cannot write that down: {exc.strerror}") from exc
        raise ConsoleError("no such host")
