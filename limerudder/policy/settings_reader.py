"""A node's settings as path=value pairs, read into interface.Settings.

The bench's wire writes them so; a real node's nested JSON is flattened into the same pairs first.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

from limerudder.policy.settings import (
    Settings,
    TrafficClass,
)


class SettingsError(ValueError):
    """Settings that lack a key or hold a value that cannot be read."""


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Nested JSON as path=value pairs: plain lists joined by commas, lists of objects counted."""
    dot = f"{path}." if path else ""
    if isinstance(value, Mapping):
        pairs: dict[str, str] = {}
        for name, item in value.items():
            pairs.update(flatten(item, f"{dot}{name}"))
        return pairs
    if isinstance(value, list):
        if not any(isinstance(item, Mapping | list) for item in value):
            return {path: ",".join(map(_plain, value))}
        pairs = {f"{dot}count": str(len(value))}
        for number, item in enumerate(value):
            pairs.update(flatten(item, f"{dot}{number}"))
        return pairs
    return {path: _plain(value)}


def _plain(value: object) -> str:
    if isinstance(value, bool) or value is None:
        return {True: "true", False: "false", None: "null"}[value]
    return str(value).replace(",", "_").replace(" ", "_")


def read_settings(given: Mapping[str, str]) -> Settings:
    """Read the pairs; unknown keys are passed over."""
    pairs = {key: value for key, value in given.items() if value != "null"}

    def need(key: str, kind: Callable[[str], Any] = int) -> Any:
        if key not in pairs:
            raise SettingsError(f"settings lack the key {key}, which has no safe default")
        return get(key, None, kind)

    def get(key: str, default: Any, kind: Callable[[str], Any] = int) -> Any:
        try:
            return kind(pairs[key]) if key in pairs else default
        except ValueError as exc:
            raise SettingsError(f"settings: {key}={pairs[key]} is not readable") from exc

    def floats(text: str) -> tuple[float, ...]:
        return tuple(math.inf if part == "null" else float(part) for part in text.split(",") if part)

    def branch(prefix: str) -> dict[str, float]:
        return {k[len(prefix) :]: get(k, 0.0, float) for k in pairs if k.startswith(prefix)}

    flag = {"true": True, "false": False}

    def yes(text: str) -> bool:
        if text not in flag:
            raise ValueError(text)
        return flag[text]

    message_aims = get("domain.messageAimUs", (), floats)
    classes = []
    for i in range(need("classes.count")):
        aim = need(f"classes.{i}.aimUs")
        classes.append(
            TrafficClass(
                latency_objective_us=aim,
                deadline_us=need(f"classes.{i}.deadlineUs"),
                effect=need(f"classes.{i}.effect", str),
                key_scope=get(f"classes.{i}.keyScope", "cell", str),
                idempotency_window_us=get(f"classes.{i}.repeatWindowUs", 0),
                priority_weight=get(f"classes.{i}.worth", 1.0, float),
                message_objective_us=int(message_aims[i]) if i < len(message_aims) else aim,
            )
        )
    fields = get("loadInfo.fields", "", str)
    return Settings(
        node_count=need("balancers"),
        zone=need("zone"),
        classes=tuple(classes),
        discovery=need("discovery", str),
        poll_interval_us=need("invariants.askEveryUs"),
        drain_grace_us=need("invariants.drainGraceUs"),
        initial_capacity=need("invariants.startCapacity", float),
        warm_up_us=need("invariants.warmUpUs"),
        overload_factor=need("invariants.overloadFactor", float),
        overload_window_us=need("invariants.overloadForUs"),
        node_index=get("me", 0),
        answer_slack_us=get("invariants.graceToAnswerUs", 0),
        max_attempts=get("caps.tryLimit", 1),
        allows_hedging=get("caps.parallelTries", False, yes),
        allows_cancellation=get("caps.cancel", False, yes),
        allows_health_checks=get("caps.probes", False, yes),
        allows_peer_messages=get("caps.peers", False, yes),
        sends_retry_after=get("caps.retryAfter", False, yes),
        max_retry_after_us=get("caps.maxRetryAfterUs", 0),
        connect_timeout_us=get("caps.dialTimeoutUs", 0),
        tick_us=get("tickUs", 1000),
        has_groups=get("domain.groups", False, yes),
        reports_latency=get("domain.tellsDelay", False, yes),
        mode=get("domain.mode", "proxy", str),
        park_us=get("domain.parkUs", 0),
        report_fields=tuple(fields.split(",")) if fields else (),
        report_via=get("loadInfo.via", "none", str),
        tenant_quotas=get("domain.tenantQuotaConnections", (), floats),
        over_quota_weight=get("overShareWorth", 1.0, float),
        prices=branch("prices."),
        result_weights=branch("resultMix."),
    )
