"""Cluster membership changes requested by clients."""

from __future__ import annotations

import msgspec

from limerudder.store.raft.errors import MembershipChangeError
from limerudder.store.raft.messages import ClusterConfig, Member, MemberRole


def config_without_member(config: ClusterConfig, member_id: int) -> ClusterConfig:
    """Returns the configuration without the given member."""
    return ClusterConfig(tuple(member for member in config.members if member.id != member_id))


def config_with_member(config: ClusterConfig, encoded_member: bytes) -> ClusterConfig:
    """Returns the configuration with a new member, or unchanged if the member already exists.

    Raises MembershipChangeError if the member is malformed, has the voter role, or has the id, name or
    address of another member.
    """
    new = _decode_member(encoded_member)
    if new.role == MemberRole.VOTER:
        raise MembershipChangeError("a member joins first and becomes a voter once it has caught up")
    existing = config.find_by_id(new.id)
    if existing and (existing.name, existing.address) == (new.name, new.address):
        return config
    for member in config.members:
        if member.id == new.id or member.name == new.name or member.address == new.address:
            raise MembershipChangeError(f"{member.name} at {member.address} is a member already")
    return ClusterConfig((*config.members, new))


def _decode_member(data: bytes) -> Member:
    try:
        return msgspec.msgpack.decode(data, type=Member)
    except msgspec.DecodeError as exc:
        raise MembershipChangeError(f"no member: {exc}") from exc
