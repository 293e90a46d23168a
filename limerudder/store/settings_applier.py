"""Applies settings that are changed through the store while the node is running.

A setting that is removed from the store gives way to the node's own configuration.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.transport import Address, parse_address
from limerudder.store.key_schema import SETTINGS, read_setting
from limerudder.store.member import Member

DISCOVERY_KEY = "config/discovery"
LOG_KEY = "config/log"
MICROSECONDS_PER_SECOND = 1e6

#: Parameters: format, maximum lines of a kind in a window, length of the window in seconds
ConfigureLog = Callable[[str, int, float], None]


class ConfiguredSettings(NamedTuple):
    """The node's own configuration of what the store can set."""

    discovery_address: Callable[[], Address]
    restore_log: Callable[[], None]


class SettingsApplier:
    """Applies each revision of a setting once; a value that violates the schema is logged and ignored."""

    def __init__(
        self,
        member: Member,
        log: LogSink,
        configure_log: ConfigureLog,
        set_discovery_address: Callable[[Address], None],
        configured: ConfiguredSettings,
    ) -> None:
        self._member = member
        self._log = log
        self._configure_log = configure_log
        self._set_discovery_address = set_discovery_address
        self._configured = configured
        self._applied_revisions: dict[str, int] = {}  # Last applied revision of each key
        self._keys_in_force: set[str] = set()  # Settings that the store has set

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
            if stored.modified_revision <= self._applied_revisions.get(key, 0):
                continue
            setting = self._read(key)
            if setting is not None:
                self._apply(key, setting)
            elif stored.value is None and key in self._keys_in_force:
                self._restore(key)

    def _read(self, key: str) -> Any:
        """Return a setting with its defaults, or None if there is none or it is invalid."""
        stored = self._member.persisted_value(key)
        self._applied_revisions[key] = stored.modified_revision
        if stored.value is None:
            return None
        try:
            setting = read_setting(key, stored.value)
        except ValueError as error:
            self._log(LogKind.STORE_CONFIG, f"store: {error}; ignored")
            return None
        self._keys_in_force.add(key)
        return setting

    def _apply(self, key: str, setting: Any) -> None:
        if key == DISCOVERY_KEY:
            self._set_discovery_address(parse_address(setting))
        elif key == LOG_KEY:
            window_seconds = setting["per"] / MICROSECONDS_PER_SECOND
            self._configure_log(setting["format"], setting["lines"], window_seconds)
        revision = self._applied_revisions[key]
        self._log(LogKind.STORE_CONFIG, f"store: {key} of revision {revision} applied")

    def _restore(self, key: str) -> None:
        """Return to the node's own configuration, as the setting has been removed."""
        self._keys_in_force.discard(key)
        if key == DISCOVERY_KEY:
            self._set_discovery_address(self._configured.discovery_address())
        elif key == LOG_KEY:
            self._configured.restore_log()
        revision = self._applied_revisions[key]
        self._log(
            LogKind.STORE_CONFIG, f"store: {key} removed at revision {revision}; the configured one applies"
        )
