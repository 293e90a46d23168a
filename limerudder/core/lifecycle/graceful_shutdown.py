"""A planned stop: refuse what comes, move what stands bit by bit, and be done before the earliest SIGKILL."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from limerudder.core.client.admission import AdmissionControl
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

    timer_wheel: TimerWheel
    admission: AdmissionControl
    shutdown_deadline_us: int
    has_successor: bool
    on_shutdown_complete: Callable[[], None]

    @property
    def requests(self) -> Mapping[int, Any]:
        """Those that are here."""

    def log(self, kind: str, text: str) -> None:
        """A line for whoever is on call."""

    def migrate_client(self, held: Any, now: int) -> None:
        """Send a client that stands away."""

    def fail_request(self, held: Any, now: int) -> None:
        """Give a request its final answer."""


class GracefulShutdown:
    """One stop, begun now."""

    def __init__(self, node: ShutdownTarget, longest: int, now: int) -> None:
        self.node = node
        node.shutdown_deadline_us = now + min(longest, STOP_LEAST) + STOP_SPARE
        node.log(
            "stop",
            f"node: told to stop; moving {sum(h.is_established for h in node.requests.values())} connections",
        )
        # guards clients against a tier whose other nodes are down too: what stands loses nothing by staying,
        # and a node that was stopped before this one may be back by then
        # and where a successor takes them already, they come back to it in steps as small as time allows
        late = max(now + MOVE_AFTER, node.shutdown_deadline_us - MOVES_DONE - MOVES_TAKE)
        node.timer_wheel.schedule(now if node.has_successor else late, self._move_some)

    def _move_some(self, now: int) -> None:
        node = self.node
        until = node.shutdown_deadline_us - MOVES_DONE
        standing = [held for held in node.requests.values() if held.is_established]
        steps = max((until - now) // MOVE_STEP, 1)
        for held in standing[: -(-len(standing) // steps)]:
            node.migrate_client(held, now)
        if now >= until:
            # guards a line of a client that rests until the process ends: it would be read by nobody
            node.admission.evict_all(now)
        if (
            now >= node.shutdown_deadline_us - LAST_ANSWERS
        ):  # guards requests whose class may wait longer than this node
            for held in [h for h in node.requests.values() if not h.has_final_answer]:
                node.fail_request(held, now)
        # guards the last MOVEs: a process that ends closes sockets whose clients have not read them
        over = not node.requests and not node.admission.guests and (now >= until or node.has_successor)
        if over or now >= node.shutdown_deadline_us - STOP_SPARE // 4:
            node.on_shutdown_complete()
        else:
            left = max(until - now, 0) // max(len(standing), 1)
            # guards the hosts, and the successor's sight of them, against all in its first moment
            wait = max(MOVE_STEP, min(left, MOVE_PACE)) if node.has_successor else MOVE_STEP
            node.timer_wheel.schedule(now + wait, self._move_some)
