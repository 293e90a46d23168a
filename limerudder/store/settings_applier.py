"""Applies settings that are changed through the store while the node is running."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.transport import Address, parse_address
from limerudder.store.key_schema import SETTINGS, read_setting
from limerudder.store.member import Member

DISCOVERY_KEY = "config/discovery"
LOG_KEY = "config/log"
MICROSECONDS_PER_SECOND = 1e6

#: Parameters: format, maximum lines of a kind in a window, length of the window in seconds
ConfigureLog = Callable[[str, int, float], None]


class SettingsApplier:
    """Applies each revision of a setting once; a value that violates the schema is logged and ignored."""

    def __init__(
        self,
        member: Member,
        log: LogSink,
        configure_log: ConfigureLog,
        set_discovery_address: Callable[[Address], None],
    ) -> None:
        self._member = member
        self._log = log
        self._configure_log = configure_log
        self._set_discovery_address = set_discovery_address
        self._applied_revisions: dict[str, int] = {}  # Last applied revision of each key

    def initial_discovery_address(self) -> Address | None:
        """Return the address of discovery for the node's configuration, or None if there is no setting."""
        text = self._read(DISCOVERY_KEY)
        return parse_address(text) if text else None

    def apply_log_settings(self) -> None:
        """Apply the log settings that are available when the node starts."""
        log_settings = self._read(LOG_KEY)
        if log_settings:
            self._apply(LOG_KEY, log_settings)

    def apply_changes(self) -> None:
        """Apply the settings that have changed since they were applied last."""
        for key in SETTINGS:
            stored = self._member.persisted_value(key)
            if stored.value is None or stored.modified_revision <= self._applied_revisions.get(key, 0):
                continue
            setting = self._read(key)
            if setting is not None:
                self._apply(key, setting)

    def _read(self, key: str) -> Any:
        """Return a setting with its defaults, or None if there is none or it is invalid."""
        stored = self._member.persisted_value(key)
        if stored.value is None:
            return None
        self._applied_revisions[key] = stored.modified_revision
        try:
            return read_setting(key, stored.value)
        except ValueError as error:
            self._log(LogKind.STORE_CONFIG, f"store: {error}; ignored")
            return None

    def _apply(self, key: str, setting: Any) -> None:
        if key == DISCOVERY_KEY:
            self._set_discovery_address(parse_address(setting))
        elif key == LOG_KEY:
            window_seconds = setting["per"] / MICROSECONDS_PER_SECOND
            self._configure_log(setting["format"], setting["lines"], window_seconds)
        revision = self._applied_revisions[key]
        self._log(LogKind.STORE_CONFIG, f"store: {key} of revision {revision} applied")
