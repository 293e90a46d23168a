"""The store in a process: one member with its disk, its connections and its time. It decides nothing."""

from __future__ import annotations

import asyncio
import secrets
import socket
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.schema import StoreSettings
from limerudder.store import rpc
from limerudder.store.disk import Disk
from limerudder.store.drain_log import DrainObserved
from limerudder.store.durability import DurabilityJob
from limerudder.store.key_schema import write_error
from limerudder.store.limits import MemberLimits
from limerudder.store.member import Member
from limerudder.store.peer_authentication import PROTOCOL_BUILD, Handshake, PeerAuthenticator
from limerudder.store.peer_transport import DiskWriter, PeerObserver, PeerTransport
from limerudder.store.raft.messages import AppendEntriesReply, ClusterConfig, Snapshot
from limerudder.store.raft.state import RaftRole, RaftTiming

TICK = 0.01  #: seconds between looks at what is due; elections and signs of life are far coarser
END_WAIT = 0.5  #: seconds for the last jobs at a planned end


class Store(PeerObserver):
    """One member, running. All calls come from its loop; `now` is in microseconds and never goes back."""

    def __init__(self, settings: StoreSettings, log: LogSink, now: Callable[[], int]) -> None:
        """Open the folder: DiskError where it cannot be used."""
        self.settings, self.log, self.now = settings, log, now
        self.disk = Disk(settings.folder)
        try:
            self.opened = opened = self.disk.load()
        except Exception:
            self.disk.close()
            raise
        limits = MemberLimits(
            settings.snapshot_entries,
            settings.snapshot_bytes,
            min(MemberLimits().kept_entries, settings.snapshot_entries),
            settings.waiting_most,
            settings.value_most,
            max_history_events=settings.history,
        )
        timing = RaftTiming(settings.election, settings.heartbeat)
        random = Random(secrets.randbits(64))
        me = opened.identity.member_id
        self.member = Member(me, opened.durable_state, random, now(), limits, timing, write_error)
        self.doorman = PeerAuthenticator(opened.identity.cluster_id, me, opened.durability_proofs)
        self.durable_term = opened.durable_state.raft_state.hard_state.term
        self.net = PeerTransport(self, me, log)
        self.afters: deque[tuple[int, list[tuple[int, rpc.StoreMessage]]]] = (
            deque()
        )  # by the job they wait for
        self.given = self.done = 0  # jobs
        self.pumping = self.closed = False
        self.leader = -1
        self.config: ClusterConfig | None = None
        self.loop = asyncio.get_running_loop()
        self.writer: DiskWriter | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def run(self, sock: socket.socket) -> None:
        """Begin to talk, at a bound socket."""
        self.writer = DiskWriter(self.disk, self._durable, self.log)
        await self.net.listen(sock)
        self._tick()

    def close(self) -> None:
        """End; what waits for the disk is written first, as far as that is quick."""
        if self.closed:
            return
        self.closed = True
        if self.timer:
            self.timer.cancel()
        if self.member.is_leader:  # guards clients against an election that nobody saw coming
            self.member.raft.transfer_to_best_follower(self.now())
            out = self.member.take_output(self.now())
            for to, message in out.messages if out else ():
                self.net.send(to, message)
        self.net.close()
        if self.writer:
            self.writer.close(END_WAIT)
        else:
            self.disk.close()

    # Hall

    def hello(self, to: int) -> Handshake:
        """Ours."""
        identity, raft = self.opened.identity, self.member.raft
        last = max(min(raft.durable_index, raft.log.last_index), raft.log.base_index)
        return Handshake(
            PROTOCOL_BUILD,
            identity.cluster_id,
            identity.member_id,
            to,
            identity.name,
            self.opened.incarnation,
            self.durable_term,
            last,
        )

    def judge(self, hello: Handshake) -> str:
        """Theirs."""
        why = self.doorman.rejection_reason(hello, self.member.config, self.member.is_leader)
        self.member.record_proofs(self.doorman.take_unsaved_proofs())
        self.pump_soon()
        return why or ""

    def heard(self, sender: int, message: rpc.StoreMessage) -> None:
        """A message."""
        if isinstance(message, AppendEntriesReply) and message.success:
            self.doorman.record_acknowledgement(sender, message.term, message.index)
        self.member.receive(sender, message, self.now())
        self.pump_soon()

    # the pump

    def pump_soon(self) -> None:
        """Carry out what the member wants, once: all of this round's events share a write and a message."""
        if not self.pumping and not self.closed:
            self.pumping = True
            self.loop.call_soon(self._pump)

    def _pump(self) -> None:
        self.pumping = False
        if self.closed or self.writer is None:
            return
        out = self.member.take_output(self.now())
        if out:
            self.pump_soon()  # what follows from it, after what is at hand has left
            for to, message in out.messages:
                self.net.send(to, message)
            if out.job:
                self.given = out.job.number
                self.writer.put(out.job)
            if out.messages_after_job:
                if self.done >= self.given:
                    self._send(out.messages_after_job)
                else:
                    self.afters.append((self.given, out.messages_after_job))
        raft = self.member.raft
        if raft.log.config != self.config:
            self.config = raft.log.config
            self.net.follow(self.config)
        if raft.leader_id != self.leader and (raft.leader_id or raft.role == RaftRole.FOLLOWER):
            self.leader = raft.leader_id
            one = self.member.config.find_by_id(self.leader)
            who = f"{one.name} leads" if one else "nobody leads"
            self.log("store-lead", f"store: {who} in term {raft.term}")

    def _send(self, messages: list[tuple[int, rpc.StoreMessage]]) -> None:
        for to, message in messages:
            self.net.send(to, message)

    def _durable(self, jobs: list[DurabilityJob], results: list[Snapshot | None]) -> None:
        """The disk has these; now what waited for them may leave."""
        now = self.now()
        for job, snapshot in zip(jobs, results, strict=True):
            self.done = job.number
            if job.raft_write and job.raft_write.hard_state:
                self.durable_term = job.raft_write.hard_state.term
            for _, fact in job.new_facts:
                if isinstance(fact, DrainObserved):
                    self.log(
                        LogKind.HOST_DRAIN_RECORDED,
                        f"store: host {fact.host} is draining; recorded for its start {fact.started_ms}",
                    )
            self.member.on_job_durable(job.number, snapshot, now)
        while self.afters and self.afters[0][0] <= self.done:
            self._send(self.afters.popleft()[1])
        if not self.closed:
            self._pump()

    def _tick(self) -> None:
        if not self.closed:
            self.timer = self.loop.call_later(TICK, self._tick)
            now = self.now()
            if now >= self.member.next_deadline():
                self.member.tick(now)
                self._pump()

    # for people

    def status(self) -> dict[str, Any]:
        """How it stands."""
        member, raft, now = self.member, self.member.raft, self.now()
        leader = member.config.find_by_id(raft.leader_id)
        return {
            "cluster": f"{self.opened.identity.cluster_id:016x}",
            "name": self.opened.identity.name,
            "member": f"{member.member_id:016x}",
            "standing": raft.role.status_text,
            "leader": leader.name if leader else "",
            "term": raft.term,
            "revision": member.state.revision,
            "committed": raft.commit_index,
            "applied": member.state.applied_index,
            "log_from": raft.log.base_index + 1,
            "log_to": raft.log.last_index,
            "age_ms": member.max_staleness_us(now) // 1000,
            "keys": len(member.state.items),
            "sessions": len(member.state.sessions),
            "waiting": len(member.pending_calls),
            "facts_waiting": len(member.drain_log.pending_facts),
            "disk_failing": self.writer.failing if self.writer else "",
            "disk_stuck": raft.is_disk_stalled(now),
            "dropped": self.net.dropped,
            "start": self.opened.incarnation.number,
        }

    def members(self) -> list[dict[str, Any]]:
        """Who they are, and how far each is as far as this member knows."""
        raft, now = self.member.raft, self.now()
        rows = []
        for one in self.member.config.members:
            seen = raft.progress.get(one.id)
            rows.append(
                {
                    "name": one.name,
                    "member": f"{one.id:016x}",
                    "address": one.address,
                    "role": one.role.name.lower(),
                    "leads": one.id == raft.leader_id,
                    "connected": one.id == self.member.member_id or one.id in self.net.dialled,
                    "match": seen.match_index
                    if seen
                    else raft.durable_index
                    if one.id == self.member.member_id
                    else None,
                    "heard_ms": (now - seen.last_heard_us) // 1000 if seen else None,
                }
            )
        return rows
