"""Connects the two sides of a hot restart to a node."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from limerudder.core.discovery.recorded_drains import InheritedDrains
from limerudder.core.lifecycle.hot_restart.handover_state import HandoverState
from limerudder.core.lifecycle.hot_restart.parent import HotRestartParent, ParentHooks
from limerudder.core.lifecycle.hot_restart.successor import HotRestartSuccessor, SuccessorHooks

if TYPE_CHECKING:
    from limerudder.core.node import Node


#: Time after a successor starts to serve during which its parent, not yet notified, may send as before.
HANDOVER_OVERLAP_US = 500_000


def current_handover_state(node: Node) -> HandoverState:
    """Return the initial state for a successor of this process."""
    return HandoverState(
        endpoints=node.endpoint_list(),
        request_ids=tuple(node.recent_request_ids()),
        usage=node.resource_usage(),
        return_to_service_times=node.return_to_service_times(),
        config_reloaded=node.config_reloaded,
        drained_starts=node.recorded_drains.drained_starts() if node.recorded_drains else {},
    )


def create_parent(
    node: Node, stop_accepting: Callable[[], None], resume_accepting: Callable[[], None]
) -> HotRestartParent:
    """Create the parent's side for a node; the callbacks close and reopen its listeners."""

    def hand_over() -> None:
        node.has_successor = True
        node.stop_using_turns()
        stop_accepting()

    def resume_serving() -> None:
        node.has_successor = False
        node.start_using_turns()
        resume_accepting()

    hooks = ParentHooks(
        handover_state=partial(current_handover_state, node),
        resource_usage=node.resource_usage,
        record_request=node.record_request_of_other_process,
        is_stopping=lambda: node.shutdown_deadline_us != 0,
        stop_accepting=hand_over,
        resume_accepting=resume_serving,
        log=node.log,
    )
    parent = HotRestartParent(hooks, node.timer_wheel)
    node.on_request_accepted.append(parent.announce_request)
    return parent


def create_successor(
    node: Node,
    state: HandoverState,
    now_us: int,
    start_serving: Callable[[], None],
    parent_ended: Callable[[], None],
    reload_config: Callable[[], None] = lambda: None,
) -> HotRestartSuccessor:
    """Create the successor's side for a node that was built with the parent's endpoint list."""

    def serve() -> None:
        node.start_using_turns(HANDOVER_OVERLAP_US)
        start_serving()

    node.stop_using_turns()
    hooks = SuccessorHooks(
        is_ready_to_serve=node.is_ready_to_serve,
        set_parent_usage=node.set_other_process_usage,
        apply_return_to_service_times=node.apply_return_to_service_times,
        record_request=node.record_request_of_other_process,
        record_drain=partial(_record_drain, node),
        start_serving=serve,
        parent_ended=parent_ended,
        reload_config=reload_config,
    )
    successor = HotRestartSuccessor(hooks, node.timer_wheel, state, now_us)
    node.on_request_accepted.append(successor.announce_request)
    return successor


def _record_drain(node: Node, name: str, started_ms: int, now_us: int) -> None:
    """Record a drain reported by the parent, unless this process already reads the store itself."""
    if isinstance(node.recorded_drains, InheritedDrains):
        node.recorded_drains.record_drain(name, started_ms)
        node.refresh_endpoint(name, now_us)
