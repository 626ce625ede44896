"""Transport between replicas over the links of their processes."""

import curio
import msgspec

from hawthornbarrow.ledger._messages import RaftMessage, ReplicaEnvelope
from hawthornbarrow.ledger._transport import ReplicaTransport
from hawthornbarrow.links import LinkPort, Mailbox, ReplicaPayload

_IDLE_S = 3600.0


class LinkReplicaTransport(ReplicaTransport):
    """Sends replica messages on links, which close what has gone silent.

    The process hands arriving payloads to `deliver`. A message to a process whose
    link is down is dropped: replicas send again what was not answered.

    Args:
        identity: Identity of this replica.
        port: Links of the process.
    """

    def __init__(self, *, identity: str, port: LinkPort) -> None:
        """Starts without an inbox."""
        self._identity = identity
        self._port = port
        self._inbox: Mailbox | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(ReplicaEnvelope)

    def send(self, receiver: str, message: RaftMessage) -> None:
        """Queues a message on the link to the receiver's process."""
        peer = receiver.partition(".")[0]
        if not self._port.is_up(peer):
            return
        envelope = ReplicaEnvelope(
            partition=0,
            sender=self._identity,
            receiver=receiver,
            heard_age_s=0.0,
            message=message,
        )
        self._port.send(peer, ReplicaPayload(data=self._encoder.encode(envelope)))

    async def flush(self) -> None:
        """Puts what is queued on the links."""
        await self._port.flush()

    async def deliver(self, payload: ReplicaPayload) -> None:
        """Takes a payload that arrived on a link."""
        envelope = self._decoder.decode(payload.data)
        if envelope.receiver == self._identity and self._inbox is not None:
            await self._inbox.post(envelope)

    async def receive_into(self, mailbox: Mailbox) -> None:
        """Notes where `deliver` puts envelopes, until cancelled."""
        self._inbox = mailbox
        while True:
            await curio.sleep(_IDLE_S)

    def close(self) -> None:
        """Leaves the links to their owner."""
