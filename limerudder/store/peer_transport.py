"""The connections between members, and the thread that writes to the disk. They decide nothing."""

from __future__ import annotations

import asyncio
import queue
import socket
import sqlite3
import threading
import time
from collections.abc import Callable
from typing import Any, cast

import msgspec

from limerudder.core.operations.log_events import LogKind, LogSink
from limerudder.core.transport import Address, parse_address
from limerudder.store import rpc
from limerudder.store.disk import Disk
from limerudder.store.durability import DurabilityJob
from limerudder.store.framing import MAX_FRAME_BYTES, FrameDecoder, FrameError, encode_frame
from limerudder.store.peer_authentication import Handshake
from limerudder.store.raft.messages import ClusterConfig, Snapshot

MOST_HELLO = 4096  #: bytes of a frame before the hello has been taken
BUFFER = 8 << 20  #: bytes that wait for a slow member; what comes on top is dropped, as a network would
AGAIN = 0.1  #: seconds before a member is dialled again
PATIENCE = 2.0  #: seconds for a hello
STRANGERS = 64  #: connections that have said no hello yet
RETRY = 0.1  #: seconds before a disk that has failed is tried again

_encode = msgspec.msgpack.Encoder().encode
_decode_hello: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Handshake | str)


class PeerObserver:
    """What the connections need of the store."""

    def hello(self, to: int) -> Handshake:
        """Ours, for this member."""
        raise NotImplementedError

    def judge(self, hello: Handshake) -> str:
        """Why it may not talk here; nothing where it may."""
        raise NotImplementedError

    def heard(self, sender: int, message: rpc.StoreMessage) -> None:
        """A message."""
        raise NotImplementedError


class PeerConnection(asyncio.Protocol):
    """One connection between two members; `to` is known where we have dialled."""

    def __init__(self, net: PeerTransport, to: int = 0) -> None:
        self.net, self.to = net, to
        self.dialled = to != 0
        self.frames = FrameDecoder(MOST_HELLO)
        self.transport: asyncio.Transport | None = None
        self.up = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It stands: whoever has dialled speaks first."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = asyncio.get_running_loop().call_later(PATIENCE, self.close)
        self.net.all.add(self)
        if self.dialled:
            self._say(self.net.hall.hello(self.to))
        else:
            self.net.let_in(self)

    def _say(self, what: Handshake | str) -> None:
        if self.transport:
            self.transport.write(encode_frame(_encode(what)))

    def data_received(self, data: bytes) -> None:
        """Bytes, of whoever it is."""
        try:
            for body in self.frames.feed(data):
                if self.up:
                    self.net.hall.heard(self.to, rpc.decode_message(body))
                elif self.transport and not self.transport.is_closing():
                    self._greeted(body)
        except (FrameError, msgspec.DecodeError) as exc:  # guards the store against garbage on its port
            self.net.refused(self, f"sends what is no message: {exc}")
            self.close()

    def _greeted(self, body: bytes) -> None:
        hello = _decode_hello.decode(body)
        if isinstance(hello, str):
            self.net.log(
                LogKind.STORE_PEER_REJECTED,
                f"store: member {self.to:016x} rejected this one: {hello[:300]}",
            )
            return self.close()
        why = self.net.hall.judge(hello)
        if self.dialled and not why and hello.sender_id != self.to:
            why = f"is member {hello.sender_id:016x} and not {self.to:016x}"
        if why:
            self.net.refused(self, why)
            if not self.dialled:  # only one that speaks our language is told why
                self._say(why)
            return self.close()
        self.to, self.up = hello.sender_id, True
        self.frames.max_frame_bytes = MAX_FRAME_BYTES
        if self.timer:
            self.timer.cancel()
        if not self.dialled:
            self._say(self.net.hall.hello(self.to))
        self.net.came_up(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone."""
        self.close()
        self.net.gone(self)

    def close(self) -> None:
        """End it, once what was said is out."""
        if self.timer:
            self.timer.cancel()
        if self.transport:
            self.transport.close()

    def send(self, data: bytes) -> None:
        """A message; dropped where too much waits."""
        if self.transport and not self.transport.is_closing():
            if self.transport.get_write_buffer_size() > BUFFER:
                self.net.dropped += 1
            else:
                self.transport.write(data)


class PeerTransport:
    """All connections of one member."""

    def __init__(self, hall: PeerObserver, me: int, log: LogSink) -> None:
        self.hall, self.me, self.log = hall, me, log
        self.all: set[PeerConnection] = set()
        self.dialled: dict[int, PeerConnection] = {}  # those that are up, by member
        self.accepted: dict[int, PeerConnection] = {}
        self.dialling: dict[int, asyncio.Task[None]] = {}
        self.addresses: dict[int, Address] = {}
        self.strangers: dict[PeerConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.dropped = 0
        self.closed = False

    async def listen(self, sock: socket.socket) -> None:
        """Take connections at a bound socket."""
        self.server = await asyncio.get_running_loop().create_server(lambda: PeerConnection(self), sock=sock)

    def follow(self, config: ClusterConfig) -> None:
        """Be connected to these members, and dial no others."""
        self.addresses = {}
        for one in config.members:
            if one.id != self.me:
                try:
                    self.addresses[one.id] = parse_address(one.address)
                except ValueError:
                    self.log(
                        LogKind.STORE_PEER_REJECTED,
                        f"store: {one.name} has no valid address: {one.address!r}",
                    )
        for number in self.addresses:
            self._dial(number)
        for number, peer in list(self.dialled.items()):
            if number not in self.addresses:
                peer.close()

    def _dial(self, number: int) -> None:
        if number not in self.dialling and number not in self.dialled and not self.closed:
            self.dialling[number] = asyncio.get_running_loop().create_task(self._keep_dialling(number))

    async def _keep_dialling(self, number: int) -> None:
        """Until it is connected; whether it is taken up is told by `came_up` and `gone`."""
        loop = asyncio.get_running_loop()
        try:
            while number in self.addresses and not self.closed:
                try:
                    peer = PeerConnection(self, number)
                    await loop.create_connection(lambda peer=peer: peer, *self.addresses[number])  # type: ignore[misc]
                    return
                except OSError:
                    await asyncio.sleep(AGAIN)
        finally:
            self.dialling.pop(number, None)

    def let_in(self, peer: PeerConnection) -> None:
        """Somebody has come, unknown as yet; the oldest of too many goes."""
        self.strangers[peer] = None
        while len(self.strangers) > STRANGERS:
            oldest = next(iter(self.strangers))
            del self.strangers[oldest]
            oldest.close()

    def came_up(self, peer: PeerConnection) -> None:
        """Both sides have taken the other's hello."""
        self.strangers.pop(peer, None)
        (self.dialled if peer.dialled else self.accepted)[peer.to] = peer

    def gone(self, peer: PeerConnection) -> None:
        """A connection has ended."""
        self.all.discard(peer)
        self.strangers.pop(peer, None)
        side = self.dialled if peer.dialled else self.accepted
        if side.get(peer.to) is peer:
            del side[peer.to]
        if peer.dialled and not self.closed:
            asyncio.get_running_loop().call_later(AGAIN, self._again, peer.to)

    def _again(self, number: int) -> None:
        if number in self.addresses:
            self._dial(number)

    def refused(self, peer: PeerConnection, why: str) -> None:
        """A line for whoever is on call."""
        where = peer.transport.get_extra_info("peername") if peer.transport else None
        address = ":".join(map(str, where or ("nobody",)))
        self.log(LogKind.STORE_PEER_REJECTED, f"store: rejected {address}: {why}")

    def send(self, to: int, message: rpc.StoreMessage) -> None:
        """Send, or drop it where there is no connection: it is said again."""
        peer = self.dialled.get(to) or self.accepted.get(to)
        if peer:
            peer.send(encode_frame(rpc.encode_message(message)))
        else:
            self.dropped += 1

    def close(self) -> None:
        """End all connections."""
        self.closed = True
        if self.server:
            self.server.close()
        for task in self.dialling.values():
            task.cancel()
        for peer in list(self.all):
            if peer.timer:
                peer.timer.cancel()
            if peer.transport:
                peer.transport.abort()


class DiskWriter:
    """The thread that makes jobs durable: all that wait go in one transaction."""

    def __init__(
        self, disk: Disk, done: Callable[[list[DurabilityJob], list[Snapshot | None]], None], log: LogSink
    ) -> None:
        self.disk, self.done, self.log = disk, done, log
        self.loop = asyncio.get_running_loop()
        self.jobs: queue.SimpleQueue[DurabilityJob | None] = queue.SimpleQueue()
        self.failing = ""  # what the disk said last, while it fails
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._run, name="store-disk", daemon=True)
        self.thread.start()

    def put(self, job: DurabilityJob) -> None:
        """Make it durable in its turn; `done` hears of it in the loop."""
        self.jobs.put(job)

    def close(self, wait: float) -> bool:
        """End once what waits is done; whether it has ended in time."""
        self.jobs.put(None)
        return self.ended.wait(wait)

    def _run(self) -> None:
        last = False
        while not last:
            jobs, last = [], False
            job = self.jobs.get()
            while True:
                if job is None:
                    last = True
                    break
                jobs.append(job)
                try:
                    job = self.jobs.get_nowait()
                except queue.Empty:
                    break
            if jobs:
                results = self._do(jobs)
                try:
                    self.loop.call_soon_threadsafe(self.done, jobs, results)
                except RuntimeError:  # the loop has ended
                    break
        self.disk.close()
        self.ended.set()

    def _do(self, jobs: list[DurabilityJob]) -> list[Snapshot | None]:
        while True:
            try:
                results = self.disk.persist(jobs)
            except sqlite3.Error as exc:
                # guards acknowledgements: none leaves before its write stands, however long that takes
                self._say(str(exc))
                time.sleep(RETRY)
                continue
            self._say("")
            return results

    def _say(self, failing: str) -> None:
        if failing != self.failing:
            self.failing = failing
            text = (
                f"store: disk write failed: {failing}; retrying"
                if failing
                else "store: disk writes succeed again"
            )
            try:
                self.loop.call_soon_threadsafe(self.log, LogKind.STORE_DISK, text)
            except RuntimeError:  # the loop has ended
                return
