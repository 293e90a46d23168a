"""The schema of the replicated keys, against which writes are validated before they are proposed.

`hosts/ID`  the agreed record of a host in JSON, see `drain_log.HostRecord`
`config/…`  settings that take effect at runtime in JSON, see `SETTINGS`
`list/last` the last endpoint list of discovery, in discovery's JSON format
`kv/…`      any value
"""

from __future__ import annotations

import json
from typing import Any

import msgspec

from limerudder.core.discovery.endpoint_list import EndpointListError, parse_endpoint_list
from limerudder.cue.errors import CueError
from limerudder.cue.load import load
from limerudder.schema import SCHEMA
from limerudder.store.commands import Put, Transaction, transaction_error
from limerudder.store.drain_log import HOST_KEY_PREFIX, decode_host_record

CONFIG_PREFIX = "config/"
ENDPOINT_LIST_KEY = "list/last"
FREE_FORM_PREFIX = "kv/"

#: CUE type of each setting, as in the configuration file
SETTINGS = {"config/discovery": "#Address", "config/log": "#Log"}


def _definition_name(key: str) -> str:
    return "#" + key.replace("/", "_")


_SCHEMA = SCHEMA + "".join(f"{_definition_name(key)}: {{value: {cue}}}\n" for key, cue in SETTINGS.items())


def read_setting(key: str, value: bytes) -> Any:
    """Decodes a setting with its defaults; raises ValueError with the reason if it is invalid."""
    if key not in SETTINGS:
        raise ValueError(f"{key}: no such setting; there are {', '.join(SETTINGS)}")
    try:
        text = value.decode()
        json.loads(text)
        loaded = load("value: " + text, key, _SCHEMA, _definition_name(key))
    except (CueError, ValueError, RecursionError) as exc:
        raise ValueError(f"{key}: {exc}") from exc
    return loaded["value"]


def write_error(transaction: Transaction, max_value_bytes: int) -> str | None:
    """Returns why a transaction must not be proposed, or None if it is valid."""
    error = transaction_error(transaction, max_value_bytes)
    if error:
        return error
    for operation in (*transaction.on_success, *transaction.on_failure):
        if isinstance(operation, Put):
            error = _put_error(operation.key, operation.value)
            if error:
                return error
    return None


def _put_error(key: str, value: bytes) -> str | None:
    try:
        _validate_value(key, value)
    except (msgspec.DecodeError, EndpointListError, ValueError, RecursionError) as exc:
        reason = str(exc)
        return reason if reason.startswith(key) else f"{key}: {reason}"
    return None


def _validate_value(key: str, value: bytes) -> None:
    if key.startswith(HOST_KEY_PREFIX):
        decode_host_record(value)
    elif key.startswith(CONFIG_PREFIX):
        read_setting(key, value)
    elif key == ENDPOINT_LIST_KEY:
        parse_endpoint_list(json.loads(value))
    elif not key.startswith(FREE_FORM_PREFIX):
        raise ValueError(
            f"{key}: keys begin with {HOST_KEY_PREFIX}, {CONFIG_PREFIX} or {FREE_FORM_PREFIX},"
            f" or are {ENDPOINT_LIST_KEY}"
        )
