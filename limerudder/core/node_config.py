"""The configuration of a node, as far as the core uses it."""

from __future__ import annotations

from dataclasses import dataclass

from limerudder.core.discovery.endpoint_list import EndpointList
from limerudder.core.transport import Address
from limerudder.policy.settings import Settings


class ConfigError(Exception):
    """A configuration that a node cannot start with."""


@dataclass(frozen=True, slots=True)
class Names:
    """What the settings call their classes, tenants, zones and kinds, each in the settings' order."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration of the node itself, without the sockets and files of its process."""

    discovery: Address
    seed: int  # of the policy's random numbers
    sockets: int  # the file descriptors that the process may have open
    settings: Settings
    names: Names
    known: EndpointList  # the endpoints to start with, until discovery has sent its own list
