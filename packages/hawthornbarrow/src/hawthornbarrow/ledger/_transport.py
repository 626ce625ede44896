"""ReplicaTransport: the interface of the transport between replicas."""

import abc

from hawthornbarrow.ledger._messages import RaftMessage
from hawthornbarrow.links import Mailbox


class ReplicaTransport(abc.ABC):
    """Sends and receives replica messages; messages may be lost."""

    @abc.abstractmethod
    def send(self, receiver: str, message: RaftMessage) -> None:
        """Sends a message to a replica without waiting."""

    async def flush(self) -> None:
        """Sends queued messages, for transports whose `send` only queues them."""
        return

    @abc.abstractmethod
    async def receive_into(self, mailbox: Mailbox) -> None:
        """Posts received envelopes to a mailbox until cancelled."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all sockets."""
