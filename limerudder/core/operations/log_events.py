"""The log's events by kind: the name that stays the same whatever the text says, and how bad it is."""

from __future__ import annotations

#: kind of line -> stable name, level
EVENTS = {
    "start": ("node.listening", "info"),
    "state": ("node.state_folder", "warning"),
    "config": ("node.config", "warning"),
    "counters": ("node.counters", "info"),
    "end": ("node.ended", "info"),
    "stop": ("node.stopping", "info"),
    "handover": ("node.handover", "info"),
    "hand": ("host.by_hand", "info"),
    "silent": ("host.silent", "warning"),
    "director": ("director.failed", "warning"),
    "module": ("module.says", "info"),
    "fault": ("module.fault", "error"),
    "overdue": ("request.overdue", "error"),
    "store": ("store.says", "info"),
    "store-peer": ("store.peer_refused", "warning"),
    "store-disk": ("store.disk", "error"),
    "store-lead": ("store.leader", "info"),
    "store-config": ("store.config", "info"),
    "peer": ("peer.datagram_passed_over", "warning"),
    "report": ("host.report_spoilt", "warning"),
    "drain": ("host.drain_remembered", "info"),
}


def event_for_kind(kind: str) -> tuple[str, str]:
    """The stable name and level of a kind; what follows its first word tells events of one kind apart."""
    return EVENTS.get(kind.partition(" ")[0], (f"node.{kind.partition(' ')[0]}", "info"))
