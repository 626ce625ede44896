"""Ledger: the interface through which an entry uses the ledger."""

import abc

import msgspec

from hawthornbarrow.ledger._commands import Command
from hawthornbarrow.ledger._state import LedgerState, Outcome


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """A committed command was applied to the local state.

    Attributes:
        index: Log index of the command, zero when a snapshot was installed.
        command: The command, or None for an installed snapshot.
        outcome: Outcome of the command, or None for an installed snapshot.
        number: Number of the local proposal that was applied, zero for none.
    """

    index: int
    command: Command | None
    outcome: Outcome | None
    number: int


class LeadershipGained(msgspec.Struct, frozen=True, kw_only=True):
    """The local replica has begun to hold the leader lease."""


class LedgerFailed(msgspec.Struct, frozen=True, kw_only=True):
    """The storage of the local replica failed, for the given reason.

    The replica takes part again as soon as its storage can be opened.
    """

    reason: str


class LedgerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a replica as shown to an operator."""

    replica: str
    role: str
    term: int
    leader: str
    commit: int
    applied: int
    voters: list[str]
    learners: list[str]
    leaving: str
    matches: dict[str, int]
    stopped: str


class Ledger(abc.ABC):
    """Claims, membership and configuration, as seen by one entry.

    Implementations post Applied, LeadershipGained and LedgerFailed events to the
    mailbox of the entry.
    """

    @property
    @abc.abstractmethod
    def state(self) -> LedgerState:
        """The local state, as of the last applied command."""

    @property
    @abc.abstractmethod
    def status(self) -> LedgerStatus:
        """Status of the local replica as shown to an operator."""

    @property
    @abc.abstractmethod
    def leader_name(self) -> str:
        """Name of the entry whose replica is the leader, empty when unknown."""

    @abc.abstractmethod
    def has_quorum_contact(self, now_s: float) -> bool:
        """Returns whether a quorum was in contact within the configuration lease."""

    @abc.abstractmethod
    async def propose(self, command: Command, *, is_urgent: bool = True) -> int:
        """Proposes a command until it is committed; returns the proposal's number.

        A command that is not urgent may be delayed to be written together with others.
        """

    @abc.abstractmethod
    async def replace(self, old: str, new: str) -> int:
        """Asks the leader to replace a replica; returns the request's number."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Runs the replica until cancelled."""
