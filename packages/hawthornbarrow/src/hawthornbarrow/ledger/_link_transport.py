"""LinkReplicaTransport: replica messages over the links between processes."""

import curio
import msgspec

from hawthornbarrow.ledger._messages import RaftMessage, ReplicaEnvelope
from hawthornbarrow.ledger._transport import ReplicaTransport
from hawthornbarrow.links import LinkPort, Mailbox, ReplicaPayload

_SLEEP_INTERVAL_S = 3600.0


class LinkReplicaTransport(ReplicaTransport):
    """Sends replica messages over links, which close silent connections themselves.

    The process passes received payloads to `deliver`. A message to a process whose
    link is down is dropped, because replicas resend what was not answered.

    Args:
        identity: Identity of this replica.
        port: Links of the process.
    """

    def __init__(self, *, identity: str, port: LinkPort) -> None:
        """Initializes the transport without an inbox."""
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
        """Sends queued messages on the links."""
        await self._port.flush()

    async def deliver(self, payload: ReplicaPayload) -> None:
        """Posts the envelope of a received payload to the inbox."""
        envelope = self._decoder.decode(payload.data)
        if envelope.receiver == self._identity and self._inbox is not None:
            await self._inbox.post(envelope)

    async def receive_into(self, mailbox: Mailbox) -> None:
        """Registers the mailbox for `deliver`, then sleeps until cancelled."""
        self._inbox = mailbox
        while True:
            await curio.sleep(_SLEEP_INTERVAL_S)

    def close(self) -> None:
        """Does nothing, as the links are closed by their owner."""
