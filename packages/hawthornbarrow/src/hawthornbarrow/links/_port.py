"""Opens, accepts and serves the link connections of one process with curio."""

import dataclasses
import math
import random
import secrets

import curio

from hawthornbarrow.clock import steady_s
from hawthornbarrow.limits import (
    HANDSHAKE_BYTES,
    HandshakeBudget,
    Listener,
    MachineLimits,
)
from hawthornbarrow.links._codec import NONCE_BYTES, Codec, LinkError
from hawthornbarrow.links._frames import Frame, Hello
from hawthornbarrow.links._mailbox import Mailbox
from hawthornbarrow.links._messages import Message
from hawthornbarrow.links._session import (
    HEARTBEAT_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    LinkSession,
)
from hawthornbarrow.links._stream import BlockStream
from hawthornbarrow.tasks import BackgroundTasks

_ACKNOWLEDGEMENT_POLL_INTERVAL_S = 0.01
# Short, as a host that has come back is reached by the next attempt.
_CONNECT_TIMEOUT_S = 0.4
_HANDSHAKE_TIMEOUT_S = 2.0
_HANDSHAKE_POLL_INTERVAL_S = 0.02
_MIN_WAIT_S = 0.01
_MIN_REDIAL_DELAY_S = 0.05
_MAX_REDIAL_DELAY_S = 0.4
_STARTUP_S = 3.0  # within which the peers of a restarted deployment are back


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkTimings:
    """Timing settings of all links of a process.

    Attributes:
        heartbeat_interval_s: Longest time without sending anything on a link.
        silence_timeout_s: Longest time without receiving before a connection is
            closed.
        poll_interval_s: Longest time that a message that is not urgent waits before
            it is sent.
        idle_interval_s: Longest time without sending anything on a link that carries
            no messages, None for the same as on others.
        startup_redial_s: Limit on a connection attempt and on the delay after it while
            the process starts, None for the same as later. Peers that start at the
            same time are then linked soon after they listen.
    """

    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    silence_timeout_s: float = SILENCE_TIMEOUT_S
    poll_interval_s: float = 0.1
    idle_interval_s: float | None = None
    startup_redial_s: float | None = None


# A fleet must detect a lost peer before the leases expire, so the heartbeat interval
# and the silence timeout are shorter. Most of its links are only there for a takeover
# or a partition, and carry nothing until then.
FLEET_LINK_TIMINGS = LinkTimings(
    heartbeat_interval_s=0.5,
    silence_timeout_s=1.5,
    poll_interval_s=2.0,
    idle_interval_s=2.0,
)
FAST_START_LINK_TIMINGS = dataclasses.replace(FLEET_LINK_TIMINGS, startup_redial_s=0.1)


@dataclasses.dataclass(kw_only=True)
class LinkCounters:
    """Counts of the traffic on the links of one process."""

    frames_sent: int = 0
    frames_received: int = 0
    heartbeats_sent: int = 0
    bytes_sent: int = 0
    messages_sent: int = 0
    connections: int = 0
    refused_connections: int = 0


class _Connection:
    """Holds the stream, codec, session and writer's wake-up event of a connection."""

    def __init__(
        self, *, stream: BlockStream, codec: Codec, session: LinkSession
    ) -> None:
        self.stream = stream
        self.codec = codec
        self.session = session
        self.wake = curio.Event()
        self.closed = False


class LinkPort:
    """Manages all links of one process.

    Events of all links are posted to one mailbox. `send` only queues a message;
    `flush` makes each link send its queued messages, so that all messages of one tick
    to the same peer are sent in one frame.

    Args:
        process: Name of this process.
        role: Kind of this process.
        incarnation: Random number drawn when this process started.
        cluster_key: Secret shared by all processes of the deployment.
        mailbox: Mailbox to which link events are posted.
        timings: Timing settings of the links, None for the defaults.
        machine: Limits of the machine on the process, None for the defaults.
    """

    def __init__(
        self,
        *,
        process: str,
        role: str,
        incarnation: int,
        cluster_key: bytes,
        mailbox: Mailbox,
        timings: LinkTimings | None = None,
        machine: MachineLimits | None = None,
    ) -> None:
        """Initializes a port without links."""
        machine = machine or MachineLimits()
        self._handshakes = HandshakeBudget(max_handshakes=machine.handshakes)
        self._timings = timings or LinkTimings()
        self._created_at_s = steady_s()
        self._peers_by_address: dict[str, str] = {}
        self._process = process
        self._role = role
        self._incarnation = incarnation
        self._cluster_key = cluster_key
        self._mailbox = mailbox
        self._sessions: dict[str, LinkSession] = {}
        self._connections: dict[str, _Connection] = {}
        self._peers_to_flush: set[str] = set()
        self._random = random.Random(incarnation)
        self._links_changed = curio.Event()
        self._counters = LinkCounters()
        self._bound_port = 0

    @property
    def counters(self) -> LinkCounters:
        """Counts of frames, messages and connections."""
        return self._counters

    @property
    def bound_port(self) -> int:
        """TCP port that `listen` is bound to, or zero."""
        return self._bound_port

    def send(self, peer: str, message: Message, *, is_urgent: bool = True) -> bool:
        """Queues a message; returns False when the peer has never connected.

        A message that is not urgent is sent with the next frame to the peer, at the
        latest after the poll interval.
        """
        session = self._sessions.get(peer)
        if session is None:
            return False
        session.send(message)
        self._counters.messages_sent += 1
        if is_urgent:
            self._peers_to_flush.add(peer)
        return True

    def acknowledge(self, peer: str) -> None:
        """Makes the next flush send a frame to the peer, even without messages."""
        session = self._sessions.get(peer)
        if session is not None:
            session.request_frame()
            self._peers_to_flush.add(peer)

    def drop_unacknowledged(self, peer: str) -> None:
        """Drops the messages that a peer whose link is down has not acknowledged."""
        session = self._sessions.get(peer)
        if session is not None and not session.is_up:
            session.drop_unacknowledged()

    def unacknowledged_count(self, peer: str) -> int:
        """Returns the number of messages that a peer has not acknowledged."""
        session = self._sessions.get(peer)
        return session.unacknowledged_count if session is not None else 0

    def is_up(self, peer: str) -> bool:
        """Tells whether a link to the peer is usable."""
        session = self._sessions.get(peer)
        return session is not None and session.is_up

    def peers_up(self, role: str) -> list[str]:
        """Returns the peers of a role whose links are usable."""
        return [
            name
            for name, session in self._sessions.items()
            if session.is_up and session.peer_role == role
        ]

    def peer_sent_at_s(self, peer: str) -> float:
        """Returns when, on its own clock, the peer sent its newest received frame."""
        session = self._sessions.get(peer)
        return session.peer_sent_at_s if session is not None else -math.inf

    async def record_peer_address(self, address: str, peer: str) -> None:
        """Records which peer listens at `IP:PORT`, so that it is not dialed twice."""
        if self._peers_by_address.get(address) != peer:
            self._peers_by_address[address] = peer
            await self._wake_dialers()

    async def flush(self) -> None:
        """Wakes the writers of all links that have a frame to send."""
        peers, self._peers_to_flush = self._peers_to_flush, set()
        for peer in peers:
            connection = self._connections.get(peer)
            if connection is not None:
                await connection.wake.set()

    async def wait_until_acknowledged(self, *, timeout_s: float) -> None:
        """Waits until connected peers have acknowledged all messages, or times out."""
        until_s = steady_s() + timeout_s
        while steady_s() < until_s:
            await self.flush()
            waiting = any(
                session.is_up and session.unacknowledged_count
                for session in self._sessions.values()
            )
            if not waiting:
                return
            await curio.sleep(_ACKNOWLEDGEMENT_POLL_INTERVAL_S)

    async def listen(self, host: str, port: int) -> None:
        """Accepts connections from peers until cancelled."""
        sock = curio.network.tcp_server_socket(
            host, port, backlog=512, reuse_address=True
        )
        self._bound_port = sock.getsockname()[1]
        listener = Listener(sock=sock, name=f"{host}:{self._bound_port}")
        async with sock, BackgroundTasks() as tasks:
            while True:
                client = await listener.accept()
                while delay_s := self._handshakes.delay_s(steady_s()):
                    await curio.sleep(min(delay_s, _HANDSHAKE_POLL_INTERVAL_S))
                task = await tasks.spawn(self._accept, client)
                replaced = self._handshakes.begin(task, steady_s())
                if isinstance(replaced, curio.Task):
                    self._counters.refused_connections += 1
                    await replaced.cancel(blocking=False)

    async def dial(self, host: str, port: int) -> None:
        """Keeps a link to the given address connected until cancelled."""
        peer: str | None = None
        delay_s = _MIN_REDIAL_DELAY_S
        while True:
            peer = self._peers_by_address.get(f"{host}:{port}", peer)
            if peer is not None and self.is_up(peer):
                await self._links_changed.wait()
                continue
            try:
                peer = await self._dial_once(host, port, peer)
                delay_s = _MIN_REDIAL_DELAY_S
            except (OSError, LinkError, curio.TaskTimeout):
                delay_s = min(delay_s * 2, self._redial_limit_s(_MAX_REDIAL_DELAY_S))
            await curio.sleep(delay_s * self._random.uniform(0.5, 1.0))

    def _redial_limit_s(self, limit_s: float) -> float:
        """Returns a limit of connection attempts, reduced while the process starts."""
        startup_s = self._timings.startup_redial_s
        if startup_s is None or steady_s() - self._created_at_s > _STARTUP_S:
            return limit_s
        return min(limit_s, startup_s)

    async def _dial_once(self, host: str, port: int, peer: str | None) -> str | None:
        async with curio.timeout_after(self._redial_limit_s(_CONNECT_TIMEOUT_S)):
            sock = await curio.open_connection(host, port)
        stream = BlockStream(sock=sock)
        try:
            own_nonce = secrets.token_bytes(NONCE_BYTES)
            async with curio.timeout_after(_HANDSHAKE_TIMEOUT_S):
                await stream.send_all([own_nonce])
                peer_nonce = await stream.receive(max_bytes=HANDSHAKE_BYTES)
            codec = self._new_codec(own_nonce, peer_nonce or b"", is_dialer=True)
            session = self._sessions.get(peer) if peer else None
            if session is None or session.is_up:
                session = self._new_session()
            known_incarnation = session.peer_incarnation
            await stream.send_all([codec.encode(session.connect(steady_s()))])
            async with curio.timeout_after(_HANDSHAKE_TIMEOUT_S):
                hello = await self._receive_hello(stream, codec)
            self._peers_by_address[f"{host}:{port}"] = hello.process
            has_connected = hello.process in self._connections
            if has_connected and self._yields_to(hello.process):
                raise LinkError(f"{hello.process} has connected meanwhile")
            if session.peer_incarnation != known_incarnation:
                # A connection of the peer has changed the session since the Hello
                # frame was sent. The peer goes by that frame.
                session = self._new_session()
                session.connect(steady_s())
            return await self._run_connection(stream, codec, session, hello)
        finally:
            await stream.close()

    async def _accept(self, sock: curio.io.Socket) -> None:
        stream = BlockStream(sock=sock)
        try:
            async with curio.timeout_after(_HANDSHAKE_TIMEOUT_S):
                own_nonce = secrets.token_bytes(NONCE_BYTES)
                await stream.send_all([own_nonce])
                peer_nonce = await stream.receive(max_bytes=HANDSHAKE_BYTES)
                codec = self._new_codec(own_nonce, peer_nonce or b"", is_dialer=False)
                hello = await self._receive_hello(stream, codec)
            self._handshakes.end(await curio.current_task())
            session = self._sessions.get(hello.process) or self._new_session()
            if self._is_crossing(hello, session):
                is_refused = session.is_up and not self._yields_to(hello.process)
                session = self._new_session()
                if is_refused:
                    # The Hello frame tells the peer whom it has dialed.
                    await stream.send_all([codec.encode(session.connect(steady_s()))])
                    return
            await self._close_previous_connection(hello.process, None)
            await stream.send_all([codec.encode(session.connect(steady_s()))])
            await self._run_connection(stream, codec, session, hello)
        except (OSError, LinkError, curio.TaskTimeout):
            self._counters.refused_connections += 1
        finally:
            self._handshakes.end(await curio.current_task())
            await stream.close()

    def _yields_to(self, peer: str) -> bool:
        """Returns whether the peer's connection is used if both have dialed."""
        return peer < self._process

    def _is_crossing(self, hello: Hello, session: LinkSession) -> bool:
        """Returns whether a peer dialed before it knew of its link to this process.

        It begins a new session then, so this side needs one too: in the former session
        the numbers of its messages would not match.
        """
        is_linked = session.peer_incarnation == hello.incarnation
        return is_linked and hello.peer_incarnation != self._incarnation

    async def _run_connection(
        self, stream: BlockStream, codec: Codec, session: LinkSession, hello: Hello
    ) -> str:
        """Serves a connection after its handshake until it ends; returns the peer."""
        peer = hello.process
        stream.disable_delay()
        stream.set_unacknowledged_timeout(self._timings.silence_timeout_s)
        self._sessions[peer] = session
        connection = _Connection(stream=stream, codec=codec, session=session)
        await self._close_previous_connection(peer, session)
        self._connections[peer] = connection
        self._counters.connections += 1
        for event in session.receive(hello, steady_s()):
            await self._mailbox.post(event)
        writer = await curio.spawn(self._write_frames, connection, session)
        try:
            await self._read_frames(connection, session)
        except (OSError, LinkError):
            connection.closed = True
        finally:
            connection.closed = True
            await writer.cancel()
            if self._connections.get(peer) is connection:
                del self._connections[peer]
                for event in session.disconnect():
                    await self._mailbox.post(event)
                await self._wake_dialers()
        return peer

    async def _wake_dialers(self) -> None:
        """Makes tasks that wait while their peer's link is up check it again."""
        changed, self._links_changed = self._links_changed, curio.Event()
        await changed.set()

    async def _read_frames(self, connection: _Connection, session: LinkSession) -> None:
        while not connection.closed:
            block = await connection.stream.receive()
            if block is None or connection.closed:
                return
            self._counters.frames_received += 1
            frame = connection.codec.decode(block)
            for event in session.receive(frame, steady_s()):
                await self._mailbox.post(event)

    async def _write_frames(
        self, connection: _Connection, session: LinkSession
    ) -> None:
        while not connection.closed:
            now_s = steady_s()
            session.record_bytes(connection.stream.received_at_s)
            if session.is_silent(now_s):
                break
            frames = session.frames_due(now_s)
            if frames:
                await self._send_frames(connection, frames)
            due_s = max(_MIN_WAIT_S, session.seconds_until_due(steady_s()))
            await curio.ignore_after(
                min(due_s, self._timings.poll_interval_s), connection.wake.wait
            )
            connection.wake.clear()
        connection.closed = True
        connection.stream.shut_down()

    async def _send_frames(self, connection: _Connection, frames: list[Frame]) -> None:
        blocks = [connection.codec.encode(frame) for frame in frames]
        self._counters.frames_sent += len(frames)
        self._counters.heartbeats_sent += sum(not frame.messages for frame in frames)
        self._counters.bytes_sent += sum(len(block) for block in blocks)
        try:
            await connection.stream.send_all(blocks)
        except OSError:
            connection.closed = True

    async def _close_previous_connection(
        self, peer: str, successor: LinkSession | None
    ) -> None:
        """Closes the previous connection to a peer, as a new one replaces it.

        Args:
            peer: The peer.
            successor: Session that the new connection has begun already, or None. It
                must not be disconnected if the previous connection has the same one.
        """
        connection = self._connections.pop(peer, None)
        if connection is None:
            return
        connection.closed = True
        connection.stream.shut_down()
        if connection.session is successor:
            return
        for event in connection.session.disconnect():
            await self._mailbox.post(event)
        await self._wake_dialers()

    async def _receive_hello(self, stream: BlockStream, codec: Codec) -> Hello:
        block = await stream.receive(max_bytes=HANDSHAKE_BYTES)
        if block is None:
            raise LinkError("connection closed before the peer sent its Hello frame")
        frame = codec.decode(block)
        if not isinstance(frame, Hello):
            raise LinkError(f"first frame is a {type(frame).__name__}, expected Hello")
        return frame

    def _new_codec(
        self, own_nonce: bytes, peer_nonce: bytes, *, is_dialer: bool
    ) -> Codec:
        dialer_nonce = own_nonce if is_dialer else peer_nonce
        acceptor_nonce = peer_nonce if is_dialer else own_nonce
        return Codec(
            cluster_key=self._cluster_key,
            dialer_nonce=dialer_nonce,
            acceptor_nonce=acceptor_nonce,
            is_dialer=is_dialer,
        )

    def _new_session(self) -> LinkSession:
        return LinkSession(
            process=self._process,
            role=self._role,
            incarnation=self._incarnation,
            heartbeat_interval_s=self._timings.heartbeat_interval_s,
            silence_timeout_s=self._timings.silence_timeout_s,
            idle_interval_s=self._timings.idle_interval_s,
        )
