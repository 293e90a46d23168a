"""A simulated network between members that loses, duplicates, delays and reorders messages."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import TYPE_CHECKING

from harness.simulated_clock import MICROSECONDS_PER_MILLISECOND, MICROSECONDS_PER_SECOND
from harness.simulation_environment import SimulationEnvironment
from limerudder.store import rpc
from limerudder.store.peer_authentication import Handshake
from limerudder.store.raft.messages import AppendEntriesReply

if TYPE_CHECKING:
    from harness.simulated_member import SimulatedMember

MIN_DELAY_US = 300
MAX_FAULTLESS_DELAY_US = 3 * MICROSECONDS_PER_MILLISECOND
MAX_LONG_DELAY_US = MICROSECONDS_PER_SECOND


class SimulatedNetwork:
    """Carries messages between members, and authenticates them as the peer transport does."""

    def __init__(self, environment: SimulationEnvironment, members: Mapping[int, SimulatedMember]) -> None:
        self._environment = environment
        self._members = members
        self.blocked_links: set[tuple[int, int]] = set()  # (sender, recipient) pairs
        self.rejections: list[str] = []  # reasons for rejected handshakes

    def send(self, sender: SimulatedMember, recipient_id: int, message: rpc.StoreMessage) -> None:
        """Send a message, which may be lost or duplicated."""
        if recipient_id not in self._members:
            return
        data = rpc.encode_message(message)
        copies = self._draw_copies()
        if copies == 0:
            return
        handshake = sender.handshake(recipient_id)
        deliver = partial(self._deliver, sender, sender.generation, handshake, recipient_id, data)
        for _ in range(copies):
            self._environment.clock.schedule(self._draw_delay_us(), deliver)

    def _draw_copies(self) -> int:
        environment = self._environment
        if not environment.faults_active:
            return 1
        if environment.random.random() < environment.plan.loss_probability:
            return 0
        return 2 if environment.random.random() < environment.plan.duplication_probability else 1

    def _draw_delay_us(self) -> int:
        environment = self._environment
        if not environment.faults_active:
            return environment.random.randrange(MIN_DELAY_US, MAX_FAULTLESS_DELAY_US)
        max_delay_us = int(environment.plan.max_delay_ms * MICROSECONDS_PER_MILLISECOND)
        delay_us = environment.random.randrange(MIN_DELAY_US, max_delay_us)
        if environment.random.random() < environment.plan.long_delay_probability:
            delay_us = environment.random.randrange(MAX_LONG_DELAY_US)
        return delay_us

    def _deliver(
        self, sender: SimulatedMember, generation: int, handshake: Handshake, recipient_id: int, data: bytes
    ) -> None:
        recipient = self._members[recipient_id]
        if recipient.process is None or (sender.member_id, recipient_id) in self.blocked_links:
            return
        if sender.process is None or sender.generation != generation:
            return  # the sender's process has ended, which closed its connections
        if not self._connect(sender, recipient, handshake):
            return
        message = rpc.decode_message(data)
        if isinstance(message, AppendEntriesReply) and message.success:
            recipient.authenticator.record_acknowledgement(sender.member_id, message.term, message.index)
        recipient.process.receive(sender.member_id, message, recipient.local_time_us())
        recipient.run_output()

    def _connect(self, sender: SimulatedMember, recipient: SimulatedMember, handshake: Handshake) -> bool:
        """Return whether both processes accept each other; a pair of processes exchanges handshakes once."""
        if recipient.is_connected_to(sender):
            return True
        checks = ((recipient, handshake), (sender, recipient.handshake(sender.member_id)))
        for member, peer_handshake in checks:
            rejection = member.check_handshake(peer_handshake)
            if rejection:
                self.rejections.append(rejection)
                return False
        recipient.record_connection(sender)
        sender.record_connection(recipient)
        return True
