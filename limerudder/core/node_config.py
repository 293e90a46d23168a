"""The part of a node's configuration that the core uses."""

from __future__ import annotations

from dataclasses import dataclass

from limerudder.core.discovery.endpoint_list import EndpointList
from limerudder.core.transport import Address
from limerudder.policy.settings import Settings

_RESERVED_SOCKETS = 128  #: Sockets reserved for discovery, health checks, peers and closing connections.
_MIN_RESERVED_SOCKETS = 40  #: Lower limit of the reserve: 24 are open before the first client connects.


class ConfigError(Exception):
    """The configuration does not allow the node to start."""


@dataclass(frozen=True, slots=True)
class Names:
    """Names of classes, tenants, zones and kinds in the order of the settings."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """Configuration of the node, excluding the sockets and files of its process."""

    discovery: Address
    seed: int  # seed of the policy's random number generator
    sockets: int  # maximum number of file descriptors the process may open
    settings: Settings
    names: Names
    known: EndpointList  # initial endpoints, used until discovery has sent its list

    @property
    def reserved_sockets(self) -> int:
        """Number of sockets that clients and their attempts cannot use."""
        min_reserved = min(_MIN_RESERVED_SOCKETS, self.sockets // 2)
        return min(_RESERVED_SOCKETS, max(self.sockets // 4, min_reserved))
