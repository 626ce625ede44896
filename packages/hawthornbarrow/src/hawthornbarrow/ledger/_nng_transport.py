"""NngReplicaTransport: replica messages over pynng push and pull sockets.

Raft does not need reliable links. Each replica pulls at one address and pushes to
each peer; a message that cannot be sent at once is dropped. A peer that is silent, or
that reports that it has not heard from this replica, is dialled again, because a
device between the two may have lost the connection.
"""

import hashlib
import hmac
import time

import curio
import msgspec
import pynng
from curio.traps import _read_wait

from hawthornbarrow.ledger._messages import RaftMessage, ReplicaEnvelope
from hawthornbarrow.ledger._transport import ReplicaTransport
from hawthornbarrow.links import Mailbox

SILENCE_TIMEOUT_S = 1.0
_DIGEST_BYTES = 16
_SEND_BUFFER_MESSAGES = 128


class _Peer:
    """Push socket to one peer."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.heard_at_s = time.monotonic()
        self.dialled_at_s = 0.0
        self.socket: pynng.Push0 | None = None

    def dial(self, now_s: float) -> None:
        if self.socket is not None:
            self.socket.close()
        self.socket = pynng.Push0(send_buffer_size=_SEND_BUFFER_MESSAGES)
        self.socket.dial(f"tcp://{self.address}", block=False)
        self.dialled_at_s = now_s


class NngReplicaTransport(ReplicaTransport):
    """Sends replica messages over TCP with pynng.

    Args:
        identity: Identity of this replica.
        listen: IP address and port of the pull socket.
        peers: Address of each other replica by name.
        cluster_key: Secret shared by all processes of the deployment.
        partition: Number of the Raft group.
    """

    def __init__(
        self,
        *,
        identity: str,
        listen: str,
        peers: dict[str, str],
        cluster_key: bytes,
        partition: int = 0,
    ) -> None:
        """Opens the sockets."""
        self._identity = identity
        self._partition = partition
        self._key = hashlib.blake2b(cluster_key, person=b"replica").digest()
        self._pull = pynng.Pull0(recv_buffer_size=1024)
        self._pull.listen(f"tcp://{listen}")
        self._peers = {name: _Peer(address=peer) for name, peer in peers.items()}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(ReplicaEnvelope)
        self._sent = 0
        self._dropped = 0
        self._bytes_sent = 0

    @property
    def sent(self) -> int:
        """Number of messages passed to sockets."""
        return self._sent

    @property
    def bytes_sent(self) -> int:
        """Number of bytes passed to sockets."""
        return self._bytes_sent

    @property
    def dropped(self) -> int:
        """Number of messages dropped because a socket was full."""
        return self._dropped

    def send(self, receiver: str, message: RaftMessage) -> None:
        """Sends a message, or drops it when the socket is full."""
        peer = self._peers.get(receiver.partition(".")[0])
        if peer is None:
            return
        now_s = time.monotonic()
        self._redial_if_silent(peer, now_s)
        envelope = ReplicaEnvelope(
            partition=self._partition,
            sender=self._identity,
            receiver=receiver,
            heard_age_s=now_s - peer.heard_at_s,
            message=message,
        )
        payload = self._encoder.encode(envelope)
        data = self._digest(payload) + payload
        assert peer.socket is not None
        try:
            peer.socket.send(data, block=False)
        except pynng.exceptions.NNGException:
            self._dropped += 1
            return
        self._sent += 1
        self._bytes_sent += len(data)

    async def receive_into(self, mailbox: Mailbox) -> None:
        """Posts authenticated envelopes for this replica to the mailbox."""
        descriptor = self._pull.recv_fd
        while True:
            try:
                data = self._pull.recv(block=False)
            except pynng.exceptions.TryAgain:
                await _read_wait(descriptor)
                continue
            envelope = self._authenticate(data)
            if envelope is not None:
                self._record_heard(envelope)
                await mailbox.post(envelope)
                if len(mailbox) % 64 == 0:
                    await curio.sleep(0)

    def close(self) -> None:
        """Closes all sockets."""
        self._pull.close()
        for peer in self._peers.values():
            if peer.socket is not None:
                peer.socket.close()

    def _authenticate(self, data: bytes) -> ReplicaEnvelope | None:
        payload = data[_DIGEST_BYTES:]
        if not hmac.compare_digest(data[:_DIGEST_BYTES], self._digest(payload)):
            return None
        try:
            envelope = self._decoder.decode(payload)
        except msgspec.DecodeError:
            return None
        is_for_this_replica = envelope.receiver == self._identity
        return (
            envelope
            if is_for_this_replica and envelope.partition == self._partition
            else None
        )

    def _record_heard(self, envelope: ReplicaEnvelope) -> None:
        peer = self._peers.get(envelope.sender.partition(".")[0])
        if peer is None:
            return
        now_s = time.monotonic()
        peer.heard_at_s = now_s
        is_unheard_by_peer = envelope.heard_age_s > SILENCE_TIMEOUT_S
        if is_unheard_by_peer and now_s - peer.dialled_at_s > SILENCE_TIMEOUT_S:
            peer.dial(now_s)

    def _redial_if_silent(self, peer: _Peer, now_s: float) -> None:
        is_silent = now_s - peer.heard_at_s > SILENCE_TIMEOUT_S
        is_due = now_s - peer.dialled_at_s > SILENCE_TIMEOUT_S
        if peer.socket is None or (is_silent and is_due):
            peer.dial(now_s)

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._key[:64], digest_size=_DIGEST_BYTES
        ).digest()
