"""Timer tokens, and the timers of single connections."""

from __future__ import annotations

from enum import IntEnum

from limerudder.policy.actions import Action, SetTimer
from limerudder.policy.records import Connection


class TimerToken(IntEnum):
    """Tokens of the periodic timers; each larger token belongs to one connection."""

    LOAD_SWEEP = 0
    DISCOVERY_POLL = 1
    RETURNED_SERVER = 2
    LOCAL_ZONE_MIGRATION = 3
    GOSSIP_ROUND = 4
    LAST_RESERVED = 5


class ConnectionTimers:
    """One-shot timers of connections, for waiting requests and delayed migrations."""

    def __init__(self, actions: list[Action]) -> None:
        self.pending: dict[int, Connection] = {}
        self._actions = actions
        self._last_token = int(TimerToken.LAST_RESERVED)

    def schedule(self, connection: Connection, due_at_us: int) -> None:
        """Set a timer for a connection."""
        self._last_token += 1
        self.pending[self._last_token] = connection
        self._actions.append(SetTimer(due_at_us, self._last_token))

    def pop(self, token: int) -> Connection | None:
        """Remove and return the connection whose timer fired; return None for an unknown token."""
        return self.pending.pop(token, None)
