"""Converts a node's settings from path=value pairs to Settings.

The simulator's protocol sends such pairs; the nested JSON of a real node is first flattened to the same form.
The value "null" means that the key is absent.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

from limerudder.policy.settings import (
    Settings,
    TrafficClass,
)

T = TypeVar("T")

NULL = "null"
FLAGS = {"true": True, "false": False}


class SettingsError(ValueError):
    """A required key of the settings is missing, or a value is invalid."""


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Flatten nested JSON into path=value pairs.

    A list of scalars becomes one comma-separated value; a list that contains objects or lists becomes a
    `count` and the numbered items.
    """
    prefix = f"{path}." if path else ""
    if isinstance(value, Mapping):
        return _flatten_items(value.items(), prefix)
    if not isinstance(value, list):
        return {path: _to_text(value)}
    if not any(isinstance(item, Mapping | list) for item in value):
        return {path: ",".join(map(_to_text, value))}
    return {f"{prefix}count": str(len(value)), **_flatten_items(enumerate(value), prefix)}


def _flatten_items(items: Iterable[tuple[object, object]], prefix: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for name, item in items:
        pairs.update(flatten(item, f"{prefix}{name}"))
    return pairs


def _to_text(value: object) -> str:
    if value is None:
        return NULL
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(",", "_").replace(" ", "_")


def read_settings(values: Mapping[str, str]) -> Settings:
    """Convert the pairs to Settings; unknown keys are ignored. Raises SettingsError."""
    pairs = _Pairs(values)
    classes = _read_classes(pairs)
    report_fields = pairs.optional("loadInfo.fields", "", str)
    return Settings(
        node_count=pairs.required("balancers", int),
        zone=pairs.required("zone", int),
        classes=classes,
        discovery=pairs.required("discovery", str),
        poll_interval_us=pairs.required("invariants.askEveryUs", int),
        drain_grace_us=pairs.required("invariants.drainGraceUs", int),
        initial_capacity=pairs.required("invariants.startCapacity", float),
        warm_up_us=pairs.required("invariants.warmUpUs", int),
        overload_factor=pairs.required("invariants.overloadFactor", float),
        overload_window_us=pairs.required("invariants.overloadForUs", int),
        node_index=pairs.optional("me", 0, int),
        is_node_index_known="me" in pairs,
        answer_slack_us=pairs.optional("invariants.graceToAnswerUs", 0, int),
        max_attempts=pairs.optional("caps.tryLimit", 1, int),
        allows_hedging=pairs.optional("caps.parallelTries", False, _parse_flag),
        allows_cancellation=pairs.optional("caps.cancel", False, _parse_flag),
        allows_health_checks=pairs.optional("caps.probes", False, _parse_flag),
        allows_peer_messages=pairs.optional("caps.peers", False, _parse_flag),
        sends_retry_after=pairs.optional("caps.retryAfter", False, _parse_flag),
        max_retry_after_us=pairs.optional("caps.maxRetryAfterUs", 0, int),
        connect_timeout_us=pairs.optional("caps.dialTimeoutUs", 0, int),
        tick_us=pairs.optional("tickUs", 1000, int),
        has_groups=pairs.optional("domain.groups", False, _parse_flag),
        reports_latency=pairs.optional("domain.tellsDelay", False, _parse_flag),
        mode=pairs.optional("domain.mode", "proxy", str),
        park_us=pairs.optional("domain.parkUs", 0, int),
        report_fields=tuple(report_fields.split(",")) if report_fields else (),
        report_via=pairs.optional("loadInfo.via", "none", str),
        tenant_quotas=pairs.optional("domain.tenantQuotaConnections", (), _parse_floats),
        over_quota_weight=pairs.optional("overShareWorth", 1.0, float),
        prices=pairs.floats_with_prefix("prices."),
        result_weights=pairs.floats_with_prefix("resultMix."),
    )


def _read_classes(pairs: _Pairs) -> tuple[TrafficClass, ...]:
    message_objectives: tuple[float, ...] = pairs.optional("domain.messageAimUs", (), _parse_floats)
    class_count = pairs.required("classes.count", int)
    return tuple(_read_class(pairs, index, message_objectives) for index in range(class_count))


def _read_class(pairs: _Pairs, index: int, message_objectives: tuple[float, ...]) -> TrafficClass:
    prefix = f"classes.{index}."
    objective = pairs.required(f"{prefix}aimUs", int)
    has_message_objective = index < len(message_objectives)
    return TrafficClass(
        latency_objective_us=objective,
        deadline_us=pairs.required(f"{prefix}deadlineUs", int),
        effect=pairs.required(f"{prefix}effect", str),
        key_scope=pairs.optional(f"{prefix}keyScope", "cell", str),
        idempotency_window_us=pairs.optional(f"{prefix}repeatWindowUs", 0, int),
        priority_weight=pairs.optional(f"{prefix}worth", 1.0, float),
        message_objective_us=int(message_objectives[index]) if has_message_objective else objective,
    )


class _Pairs:
    """Typed access to the pairs; raises SettingsError for missing keys and invalid values."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._pairs = {key: value for key, value in values.items() if value != NULL}

    def __contains__(self, key: str) -> bool:
        return key in self._pairs

    def required(self, key: str, parse: Callable[[str], T]) -> T:
        if key not in self._pairs:
            raise SettingsError(f"settings lack the key {key}, which has no safe default")
        return self._parse(key, parse)

    def optional(self, key: str, default: T, parse: Callable[[str], T]) -> T:
        return self._parse(key, parse) if key in self._pairs else default

    def floats_with_prefix(self, prefix: str) -> dict[str, float]:
        """Return the numbers of all keys with a prefix, by the rest of the key."""
        keys = [key for key in self._pairs if key.startswith(prefix)]
        return {key.removeprefix(prefix): self._parse(key, float) for key in keys}

    def _parse(self, key: str, parse: Callable[[str], T]) -> T:
        text = self._pairs[key]
        try:
            return parse(text)
        except ValueError as exc:
            raise SettingsError(f"settings: invalid value: {key}={text}") from exc


def _parse_flag(text: str) -> bool:
    if text not in FLAGS:
        raise ValueError(text)
    return FLAGS[text]


def _parse_floats(text: str) -> tuple[float, ...]:
    """Parse comma-separated numbers; "null" means no limit (infinity)."""
    return tuple(math.inf if part == NULL else float(part) for part in text.split(",") if part)
