"""The configuration of a node, as far as the core uses it."""

from __future__ import annotations

from dataclasses import dataclass

from limerudder.core.discovery.endpoint_list import EndpointList
from limerudder.core.transport import Address
from limerudder.policy.settings import Settings

_RESERVED_SOCKETS = 128  #: for discovery, health checks, peers and connections that are ending
_MIN_RESERVED_SOCKETS = 40  #: of these at least: 24 are open before the first client connects


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

    @property
    def reserved_sockets(self) -> int:
        """How many of the sockets are kept from clients and their attempts."""
        min_reserved = min(_MIN_RESERVED_SOCKETS, self.sockets // 2)
        return min(_RESERVED_SOCKETS, max(self.sockets // 4, min_reserved))
