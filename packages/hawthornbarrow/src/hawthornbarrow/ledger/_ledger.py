"""Ledger: what an entry needs of the place where claims are kept."""

import abc

import msgspec

from hawthornbarrow.ledger._commands import Command
from hawthornbarrow.ledger._state import LedgerState, Outcome


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """A committed command was applied to the local state.

    Attributes:
        index: Log index of the command, zero when a snapshot was installed.
        command: The command, or None for an installed snapshot.
        outcome: What it did, or None for an installed snapshot.
        number: Number of the local proposal that it answers, zero for none.
    """

    index: int
    command: Command | None
    outcome: Outcome | None
    number: int


class LedgerFailed(msgspec.Struct, frozen=True, kw_only=True):
    """The local replica stopped for good, and why."""

    reason: str


class LedgerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator sees of a replica."""

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

    Implementations post Applied and LedgerFailed events to the entry's mailbox.
    """

    @property
    @abc.abstractmethod
    def state(self) -> LedgerState:
        """The local state, as of the last applied command."""

    @property
    @abc.abstractmethod
    def status(self) -> LedgerStatus:
        """What an operator sees."""

    @property
    @abc.abstractmethod
    def leader_name(self) -> str:
        """Name of the entry whose replica leads, empty when unknown."""

    @abc.abstractmethod
    def has_quorum_contact(self, now_s: float) -> bool:
        """Tells whether a quorum was in touch within the configuration lease."""

    @abc.abstractmethod
    async def propose(self, command: Command, *, is_urgent: bool = True) -> int:
        """Proposes a command until it is committed; returns its number.

        One that is not urgent may wait a moment to share a write with others.
        """

    @abc.abstractmethod
    async def replace(self, old: str, new: str) -> int:
        """Asks the leader to replace a replica; returns the request's number."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Serves the replica until cancelled."""
