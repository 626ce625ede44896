"""EntryContext: what the parts of one entry share."""

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
    """State and collaborators of one entry, and the effects that it asks for.

    Args:
        name: Name of the entry.
        incarnation: Membership incarnation of the entry.
        data_centre: Name of its data centre.
        state: The ledger's local state; only read here.
        generator: Seeded source of jitter.
        order: Order of the jobs of one member.
        placement: Choice of upstreams.
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
    ) -> None:
        """Builds the collaborators."""
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
        self.job_table = JobTable()
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
        self.uncommitted_closes: dict[str, list[str]] = {}
        self._effects: list[EntryEffect] = []

    def take_effects(self) -> list[EntryEffect]:
        """Returns what there is to do, and forgets it."""
        effects, self._effects = self._effects, []
        return effects

    def owns(self, claim: ClaimRecord) -> bool:
        """Tells whether a claim is this incarnation's."""
        return claim.owner == self.name and claim.incarnation == self.incarnation

    def is_registered(self) -> bool:
        """Tells whether the ledger counts this incarnation among the living."""
        record = self.state.entries.get(self.name)
        if record is None or not record.is_alive:
            return False
        return record.incarnation == self.incarnation

    def propose(self, command: Command) -> None:
        """Proposes a command to the ledger."""
        self._effects.append(Propose(command=command))

    def propose_later(self, command: Command) -> None:
        """Proposes a command that may wait a moment for others to join it."""
        self._effects.append(Propose(command=command, is_urgent=False))

    def send(self, peer: str, message: Message, *, is_urgent: bool = True) -> None:
        """Sends a message to a peer process."""
        self._effects.append(
            SendMessage(peer=peer, message=message, is_urgent=is_urgent)
        )

    def drop_unacknowledged(self, peer: str) -> None:
        """Drops what a peer whose link is down has not acknowledged."""
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
