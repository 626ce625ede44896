"""EntryContext: state and collaborators that the components of an entry share."""

import random

from hawthornbarrow.configuration import Configuration
from hawthornbarrow.dispatch import (
    Admission,
    AdmissionLimits,
    JobOrder,
    PlacementPolicy,
    RetryBudget,
    RunTimeEstimator,
    UpstreamHealth,
)
from hawthornbarrow.ledger import ClaimRecord, Command, LedgerState
from hawthornbarrow.limits import MachineLimits
from hawthornbarrow.links import ForwardReply, Message

from hawthornbarrow_entry._effects import (
    Answer,
    DropUnacknowledged,
    EntryEffect,
    Propose,
    Reply,
    ReplyTarget,
    SendMessage,
)
from hawthornbarrow_entry._fleet import FleetView
from hawthornbarrow_entry._forwarding import Forwarder
from hawthornbarrow_entry._job_table import JobTable
from hawthornbarrow_entry._outcomes import OutcomeHandler
from hawthornbarrow_entry._task_dispatcher import TaskDispatcher


class EntryContext:
    """Shared state and collaborators of one entry, and its requested effects.

    Args:
        name: Name of the entry.
        incarnation: Incarnation under which the entry is a member of the fleet.
        data_centre: Name of the entry's data centre.
        state: Local state of the ledger; the entry only reads it.
        generator: Seeded random generator for jitter.
        order: Policy that orders the jobs of one member.
        placement: Policy that chooses the upstream of a task.
        machine: Limits of the machine on the process.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        data_centre: str,
        state: LedgerState,
        generator: random.Random,
        order: type[JobOrder],
        placement: PlacementPolicy,
        machine: MachineLimits,
    ) -> None:
        """Creates the collaborators."""
        self.name = name
        self.incarnation = incarnation
        self.state = state
        self.generator = generator
        self.configuration = Configuration()
        self.version = 0
        self.time_s = 0.0
        self.has_quorum_contact = False
        self.is_draining = False
        self.dispatching_entry = ""
        self.job_table = JobTable(max_answer_bytes=machine.answer_bytes)
        self.estimator = RunTimeEstimator()
        self.health = UpstreamHealth()
        self.fleet = FleetView(health=self.health, data_centre=data_centre)
        self.dispatcher = TaskDispatcher(
            fleet=self.fleet,
            health=self.health,
            estimator=self.estimator,
            order=order(estimator=self.estimator),
            placement=placement,
        )
        self.outcomes = OutcomeHandler(
            dispatcher=self.dispatcher,
            health=self.health,
            estimator=self.estimator,
            budget=RetryBudget(),
            fleet=self.fleet,
            generator=generator,
        )
        self.admission = Admission(limits=AdmissionLimits(), generator=generator)
        self.forwarder = Forwarder()
        # Agents to inform about each closed job whose end is not committed yet.
        self.uncommitted_closes: dict[str, list[str]] = {}
        self._effects: list[EntryEffect] = []

    def take_effects(self) -> list[EntryEffect]:
        """Returns the requested effects and clears them."""
        effects, self._effects = self._effects, []
        return effects

    def owns(self, claim: ClaimRecord) -> bool:
        """Returns whether this incarnation of the entry owns a claim."""
        return claim.owner == self.name and claim.incarnation == self.incarnation

    def is_registered(self) -> bool:
        """Returns whether the ledger has this incarnation as a live entry."""
        record = self.state.entries.get(self.name)
        if record is None or not record.is_alive:
            return False
        return record.incarnation == self.incarnation

    def propose(self, command: Command) -> None:
        """Proposes a command to the ledger."""
        self._effects.append(Propose(command=command))

    def propose_later(self, command: Command) -> None:
        """Proposes a command that may be delayed and batched with others."""
        self._effects.append(Propose(command=command, is_urgent=False))

    def send(self, peer: str, message: Message, *, is_urgent: bool = True) -> None:
        """Sends a message to a peer process."""
        self._effects.append(
            SendMessage(peer=peer, message=message, is_urgent=is_urgent)
        )

    def drop_unacknowledged(self, peer: str) -> None:
        """Drops the messages that a peer whose link is down has not acknowledged."""
        self._effects.append(DropUnacknowledged(peer=peer))

    def answer(self, target: ReplyTarget, answer: Answer) -> None:
        """Answers a local caller, or the entry that forwarded its request."""
        if not target.peer:
            self._effects.append(Reply(request=target.request, answer=answer))
            return
        self.send(
            target.peer,
            ForwardReply(
                request=target.request,
                status=answer.status,
                body=answer.body,
                retry_after_s=answer.retry_after_s,
            ),
        )
