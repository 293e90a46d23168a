"""What a node is told at its start: environment and configuration file, read into one typed object."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from hashlib import sha256
from typing import TYPE_CHECKING, Any

from limerudder.core.discovery.endpoint_list import parse_endpoint_list
from limerudder.core.node_config import Names, NodeConfig
from limerudder.core.transport import Address, parse_address
from limerudder.policy.settings import TrafficClass
from limerudder.policy.settings_reader import flatten, read_settings

if TYPE_CHECKING:
    from limerudder.schema import OperatorFile


class ConfigError(Exception):
    """A configuration the node cannot start with."""


@dataclass(frozen=True, slots=True)
class ProcessConfig(NodeConfig):
    """Everything a node process knows when it starts: the node's configuration, its sockets and its files."""

    name: str
    listen: Address
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    console: Address | None = None  # where operators call
    state: str | None = None  # the folder that outlives this process, where there is one
    operator: OperatorFile | None = None  # what the operator's file says, where there is one


def _parse_address(text: object) -> Address:
    """An IPv4 address and a port: there is no DNS where a node runs."""
    try:
        return parse_address(text)
    except ValueError:
        raise ConfigError(f"not an address: {text!r}") from None


def load_config(environment: Mapping[str, str]) -> ProcessConfig:
    """Read the file that PROXY_CONFIG names; the other PROXY variables win over what it says."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            given = json.load(file)
    except (OSError, ValueError, RecursionError) as exc:
        raise ConfigError(f"cannot read {path}: {exc}") from None
    if not isinstance(given, dict):
        raise ConfigError(f"{path} holds no JSON object")
    try:
        config = _read({**given, **_overrides(environment)})
    except KeyError as exc:
        raise ConfigError(f"{path} lacks {exc}") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as exc:
        raise ConfigError(f"{path}: {exc}") from None
    config = replace(config, operator=load_operator_file(environment))
    shared = environment.get("TMPDIR")
    if not shared:
        return config
    return replace(config, state=os.path.join(shared, state_name(config)))


def state_name(config: ProcessConfig) -> str:
    """Return the name of the state folder, which is unique to this node of this tier.

    The socket over which a new process takes over from the running one stands in that folder. The name
    therefore covers everything that distinguishes the node, so that it never takes over the clients of a node
    of another deployment that has the same name and address.
    """
    digest = sha256(_identity_text(config).encode()).hexdigest()[:12]
    return "limerudder-{}-{}-{}".format(*config.listen, digest)


def _identity_text(config: ProcessConfig) -> str:
    """Return the text whose hash is in the state folder's name.

    The text is a stored form: processes of earlier releases build the same one, with these words in it.
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
        f"({settings.balancers!r}, {settings.me!r}, {settings.zone!r}, {tuple(settings.tenant_quotas)!r},"
        f" ({classes_text}))"
    )
    return f"({node_text}, {tier_text})"


def _class_text(traffic_class: TrafficClass) -> str:
    return (
        f"TrafficClass(aim={traffic_class.aim!r}, deadline={traffic_class.deadline!r},"
        f" effect={traffic_class.effect!r}, key_scope={traffic_class.key_scope!r},"
        f" repeat_window={traffic_class.repeat_window!r}, worth={traffic_class.worth!r},"
        f" message_aim={traffic_class.message_objective_us!r})"
    )


def load_operator_file(environment: Mapping[str, str]) -> OperatorFile | None:
    """The file that LIMERUDDER_FILE names, if it names one; ConfigError with all that is wrong with it."""
    path = environment.get("LIMERUDDER_FILE")
    if not path:
        return None
    # here, not above: the grammar's library is no part of a node that has no such file
    from limerudder.cue.syntax import MAX_FILE_BYTES, CueError
    from limerudder.schema import read_operator_file

    try:
        with open(path, "rb") as file:
            return read_operator_file(file.read(MAX_FILE_BYTES + 1), path)
    except OSError as exc:
        raise ConfigError(f"cannot read {path}: {exc}") from None
    except CueError as exc:
        raise ConfigError(str(exc)) from None


def reload_config(environment: Mapping[str, str]) -> ProcessConfig:
    """Read the file as it is now. Its `discovery` wins: the environment still holds that of the start."""
    return load_config({name: value for name, value in environment.items() if name != "PROXY_DISCOVERY"})


def _overrides(environment: Mapping[str, str]) -> dict[str, str]:
    variables = {key: f"PROXY_{key.upper()}" for key in ("name", "listen", "discovery", "console")}
    return {key: environment[name] for key, name in variables.items() if environment.get(name)}


def _read(given: dict[str, Any]) -> ProcessConfig:
    told = given["settings"]
    peer_listen, peers_all = given.get("peer_listen"), given.get("peers_all")
    console = given.get("console")
    settings = read_settings(flatten(told))
    if not settings.classes:
        raise ConfigError("the settings name no class")
    return ProcessConfig(
        name=str(given["name"]),
        listen=_parse_address(given["listen"]),
        discovery=_parse_address(given["discovery"]),
        seed=int(str(given["seed"]), 16),
        sockets=int(given.get("limits", {}).get("sockets", 4096)),
        settings=settings,
        names=Names(
            classes=tuple(item["name"] for item in told["classes"]),
            tenants=tuple(item["name"] for item in told.get("customers") or ()),
            zones=tuple(told.get("areas") or ()),
            kinds=tuple(told.get("kinds") or ()),
        ),
        known=parse_endpoint_list(given["known"]),
        peer_listen=_parse_address(peer_listen) if peer_listen else None,
        peers=tuple(_parse_address(peer) for peer in given.get("peers") or ()),
        peers_all=_parse_address(peers_all) if peers_all else None,
        console=_parse_address(console) if console else None,
    )
