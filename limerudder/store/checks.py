"""What may stand under which key: writes are held to this before they are proposed.

`hosts/ID`  what is agreed on about a host, as JSON: see `ledger.HostRecord`
`config/…`  settings that take effect in service, as JSON: see SETTINGS
`list/last` discovery's list as some member last had it, in discovery's own form
`kv/…`      anything
"""

from __future__ import annotations

import json
from typing import Any

import msgspec

from limerudder.core.discovery.endpoint_list import EndpointListError, parse_endpoint_list
from limerudder.cue.load import load
from limerudder.cue.syntax import CueError
from limerudder.schema import SCHEMA
from limerudder.store import state_machine as rec
from limerudder.store.drain_log import HOST_KEY_PREFIX, decode_host_record
from limerudder.store.state_machine import Put, Transaction

CONFIG, LIST, FREE = "config/", "list/last", "kv/"

#: what each setting must be, in the operator's file's own language
SETTINGS = {"config/discovery": "#Address", "config/log": "#Log"}
_SCHEMA = SCHEMA + "".join(f"#{key.replace('/', '_')}: {{value: {kind}}}\n" for key, kind in SETTINGS.items())


def read_setting(key: str, value: bytes) -> Any:
    """A setting's value with its defaults; ValueError says what is wrong with it."""
    if key not in SETTINGS:
        raise ValueError(f"{key}: no such setting; there are {', '.join(SETTINGS)}")
    try:
        text = value.decode()
        json.loads(text)
        told = load("value: " + text, key, _SCHEMA, "#" + key.replace("/", "_"))
    except (CueError, ValueError, RecursionError) as exc:
        raise ValueError(f"{key}: {exc}") from None
    return told["value"]


def check(txn: Transaction, value_most: int) -> str:
    """What is wrong with a write; nothing where it may be proposed."""
    if wrong := rec.validate_transaction(txn, value_most):
        return wrong
    for op in (*txn.then, *txn.other):
        if isinstance(op, Put) and (wrong := _check_put(op.key, op.value)):
            return wrong
    return ""


def _check_put(key: str, value: bytes) -> str:
    try:
        if key.startswith(HOST_KEY_PREFIX):
            decode_host_record(value)
        elif key.startswith(CONFIG):
            read_setting(key, value)
        elif key == LIST:
            parse_endpoint_list(json.loads(value))
        elif not key.startswith(FREE):
            return f"{key}: keys begin with {HOST_KEY_PREFIX}, {CONFIG} or {FREE}, or are {LIST}"
    except (msgspec.DecodeError, EndpointListError, ValueError, RecursionError) as exc:
        return str(exc) if str(exc).startswith(key) else f"{key}: {exc}"
    return ""
