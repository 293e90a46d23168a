"""Configuration of a node process, read from the environment and from files."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from hashlib import sha256
from typing import TYPE_CHECKING, Any

from limerudder.core.discovery.endpoint_list import parse_endpoint_list
from limerudder.core.node_config import ConfigError, Names, NodeConfig
from limerudder.core.transport import Address, parse_address
from limerudder.policy.settings import TrafficClass
from limerudder.policy.settings_reader import flatten, read_settings

if TYPE_CHECKING:
    from limerudder.schema import OperatorFile

_DEFAULT_SOCKETS = 4096


@dataclass(frozen=True, slots=True)
class ProcessConfig(NodeConfig):
    """Complete configuration of a node process: the node's settings, its addresses and its files."""

    name: str
    listen: Address
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    console: Address | None = None  # address at which operators connect
    state: str | None = None  # path of the directory that persists across processes, if any
    operator: OperatorFile | None = None  # content of the operator's file, if there is one


def load_config(environment: Mapping[str, str]) -> ProcessConfig:
    """Read the file named by PROXY_CONFIG; the other PROXY variables override its values.

    Raises ConfigError.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    content = _read_json_object(path)
    try:
        config = _parse_config({**content, **_overrides(environment)})
    except KeyError as exc:
        raise ConfigError(f"{path}: missing key {exc}") from exc
    except (TypeError, ValueError, AttributeError, OverflowError) as exc:
        raise ConfigError(f"{path}: {exc}") from exc
    config = replace(config, operator=load_operator_file(environment))
    shared_directory = environment.get("TMPDIR")
    if not shared_directory:
        return config
    return replace(config, state=os.path.join(shared_directory, state_directory_name(config)))


def reload_config(environment: Mapping[str, str]) -> ProcessConfig:
    """Read the current content of the file.

    For `discovery` the file takes precedence: the environment still has the address set at start-up. Raises
    ConfigError.
    """
    return load_config({name: value for name, value in environment.items() if name != "PROXY_DISCOVERY"})


def load_operator_file(environment: Mapping[str, str]) -> OperatorFile | None:
    """Read the file named by LIMERUDDER_FILE, if it is set.

    Raises ConfigError that lists all errors in the file.
    """
    path = environment.get("LIMERUDDER_FILE")
    if not path:
        return None
    # imported here so that a node without such a file does not load the parser library
    from limerudder.cue.errors import CueError
    from limerudder.cue.parser import MAX_FILE_BYTES
    from limerudder.schema import read_operator_file

    try:
        with open(path, "rb") as file:
            return read_operator_file(file.read(MAX_FILE_BYTES + 1), path)
    except OSError as exc:
        raise ConfigError(f"cannot read {path}: {exc}") from exc
    except CueError as exc:
        raise ConfigError(str(exc)) from exc


def state_directory_name(config: ProcessConfig) -> str:
    """Return the name of the state directory, which is unique to this node of this tier.

    The directory contains the socket through which a new process takes over from the running one. The name
    therefore covers everything that distinguishes the node, so that it cannot take over clients from a node
    with the same name and address in another deployment.
    """
    digest = sha256(_identity_text(config).encode()).hexdigest()[:12]
    return "limerudder-{}-{}-{}".format(*config.listen, digest)


def _identity_text(config: ProcessConfig) -> str:
    """Return the text whose hash is part of the state directory's name.

    The text is a persistent format: processes of earlier releases build exactly the same text, with these
    words in it.
    """
    settings = config.settings
    names = config.names
    names_text = (
        f"Names(classes={names.classes!r}, tenants={names.tenants!r}, zones={names.zones!r},"
        f" kinds={names.kinds!r})"
    )
    node_text = f"({config.name!r}, {config.peer_listen!r}, {config.peers!r}, {names_text})"
    classes_text = ", ".join(_class_text(traffic_class) for traffic_class in settings.classes)
    if len(settings.classes) == 1:
        classes_text += ","
    tier_text = (
        f"({settings.node_count!r}, {settings.node_index!r}, {settings.zone!r},"
        f" {tuple(settings.tenant_quotas)!r},"
        f" ({classes_text}))"
    )
    return f"({node_text}, {tier_text})"


def _class_text(traffic_class: TrafficClass) -> str:
    return (
        f"TrafficClass(aim={traffic_class.latency_objective_us!r}, deadline={traffic_class.deadline_us!r},"
        f" effect={traffic_class.effect!r}, key_scope={traffic_class.key_scope!r},"
        f" repeat_window={traffic_class.idempotency_window_us!r}, worth={traffic_class.priority_weight!r},"
        f" message_aim={traffic_class.message_objective_us!r})"
    )


def _read_json_object(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            content = json.load(file)
    except (OSError, ValueError, RecursionError) as exc:
        raise ConfigError(f"cannot read {path}: {exc}") from exc
    if not isinstance(content, dict):
        raise ConfigError(f"{path} does not contain a JSON object")
    return content


def _overrides(environment: Mapping[str, str]) -> dict[str, str]:
    variables = {key: f"PROXY_{key.upper()}" for key in ("name", "listen", "discovery", "console")}
    return {key: environment[name] for key, name in variables.items() if environment.get(name)}


def _parse_config(content: Mapping[str, Any]) -> ProcessConfig:
    settings = read_settings(flatten(content["settings"]))
    if not settings.classes:
        raise ConfigError("the settings define no traffic class")
    return ProcessConfig(
        name=str(content["name"]),
        listen=_parse_address(content["listen"]),
        discovery=_parse_address(content["discovery"]),
        seed=int(str(content["seed"]), 16),
        sockets=int(content.get("limits", {}).get("sockets", _DEFAULT_SOCKETS)),
        settings=settings,
        names=_parse_names(content["settings"]),
        known=parse_endpoint_list(content["known"]),
        peer_listen=_parse_optional_address(content.get("peer_listen")),
        peers=tuple(_parse_address(peer) for peer in content.get("peers") or ()),
        peers_all=_parse_optional_address(content.get("peers_all")),
        console=_parse_optional_address(content.get("console")),
    )


def _parse_names(settings: Mapping[str, Any]) -> Names:
    return Names(
        classes=tuple(traffic_class["name"] for traffic_class in settings["classes"]),
        tenants=tuple(customer["name"] for customer in settings.get("customers") or ()),
        zones=tuple(settings.get("areas") or ()),
        kinds=tuple(settings.get("kinds") or ()),
    )


def _parse_address(text: object) -> Address:
    """Parse `IPv4:port`; nodes run without DNS. Raises ConfigError."""
    try:
        return parse_address(text)
    except ValueError as exc:
        raise ConfigError(f"not an address: {text!r}") from exc


def _parse_optional_address(text: object) -> Address | None:
    return _parse_address(text) if text else None
