"""A planned stop: refuse what comes, move what stands bit by bit, and be done before the earliest SIGKILL."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from limerudder.core.client.admission import AdmissionControl
from limerudder.core.operations.log_events import LogKind
from limerudder.core.timer_wheel import TimerWheel

SECOND = 1_000_000
MOVE_AFTER = 450_000  #: after a SIGTERM: until then the front may send clients right back here
STOP_LEAST, STOP_SPARE = 3 * SECOND, 700_000  #: SIGKILL comes no sooner than their sum, as told
MOVES_TAKE = 6 * SECOND // 5  #: moves are spread over this time, as late as may be
MOVES_DONE = 7 * SECOND // 10  #: they are over this long before the earliest SIGKILL
LAST_ANSWERS = 400_000  #: as long before it, what still waits is answered failed
MOVE_STEP, MOVE_PACE = 20_000, 200_000  #: between moves: at least, and where a successor waits for them


class ShutdownTarget(Protocol):
    """The node, as far as a stop goes."""

    wheel: TimerWheel
    admission: AdmissionControl
    stopping: int
    succeeded: bool
    stopped: Callable[[], None]

    @property
    def requests(self) -> Mapping[int, Any]:
        """Those that are here."""

    def log(self, kind: LogKind, text: str, /, detail: str = "") -> None:
        """A line for whoever is on call."""

    def move_away(self, held: Any, now: int) -> None:
        """Send a client that stands away."""

    def answer_failed(self, held: Any, now: int) -> None:
        """Give a request its final answer."""


class GracefulShutdown:
    """One stop, begun now."""

    def __init__(self, node: ShutdownTarget, longest: int, now: int) -> None:
        self.node = node
        node.stopping = now + min(longest, STOP_LEAST) + STOP_SPARE
        node.log(
            LogKind.STOPPING,
            f"node: shutting down; migrating {sum(h.up for h in node.requests.values())} connections",
        )
        # guards clients against a tier whose other nodes are down too: what stands loses nothing by staying,
        # and a node that was stopped before this one may be back by then
        # and where a successor takes them already, they come back to it in steps as small as time allows
        late = max(now + MOVE_AFTER, node.stopping - MOVES_DONE - MOVES_TAKE)
        node.wheel.at(now if node.succeeded else late, self._move_some)

    def _move_some(self, now: int) -> None:
        node = self.node
        until = node.stopping - MOVES_DONE
        standing = [held for held in node.requests.values() if held.up]
        steps = max((until - now) // MOVE_STEP, 1)
        for held in standing[: -(-len(standing) // steps)]:
            node.move_away(held, now)
        if now >= until:
            # guards a line of a client that rests until the process ends: it would be read by nobody
            node.admission.evict_all(now)
        if now >= node.stopping - LAST_ANSWERS:  # guards requests whose class may wait longer than this node
            for held in [h for h in node.requests.values() if not h.answered]:
                node.answer_failed(held, now)
        # guards the last MOVEs: a process that ends closes sockets whose clients have not read them
        over = not node.requests and not node.admission.connections and (now >= until or node.succeeded)
        if over or now >= node.stopping - STOP_SPARE // 4:
            node.stopped()
        else:
            left = max(until - now, 0) // max(len(standing), 1)
            # guards the hosts, and the successor's sight of them, against all in its first moment
            wait = max(MOVE_STEP, min(left, MOVE_PACE)) if node.succeeded else MOVE_STEP
            node.wheel.at(now + wait, self._move_some)
