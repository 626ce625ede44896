"""VoterRepair: maintains as many voters as the tolerated losses require."""

import dataclasses

import structlog
from hawthornbarrow.ledger import Members

from hawthornbarrow_entry.fleet._founding import required_voter_count

REPLICA_TIMEOUT_S = 6.0  # silence after which a voter is replaced or a learner dropped

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceVoter:
    """Replaces a lost voter by another replica."""

    old: str
    new: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddVoter:
    """Adds a replica as a voter."""

    new: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class DropLearner:
    """Drops a learner that was lost before it became a voter."""


VoterChange = ReplaceVoter | AddVoter | DropLearner


class VoterRepair:
    """Decides on changes of the ledger's voters at its leader, one at a time.

    Args:
        tolerated_losses: Disks that may be lost at once.
    """

    def __init__(self, *, tolerated_losses: int) -> None:
        """Initializes a repair that has observed no silent replica."""
        self._required_count = required_voter_count(tolerated_losses)
        self._silent_since_s: dict[str, float] = {}

    def next_change(
        self, members: Members, replicas: dict[str, str], now_s: float
    ) -> VoterChange | None:
        """Returns the change to make now, or None when none is due.

        Args:
            members: Voters and learners of the ledger.
            replicas: Identity of the replica of each entry that is alive, by the
                entry's name, empty for entries without a disk.
            now_s: Current time.
        """
        alive = {replica for replica in replicas.values() if replica}
        if members.learners:
            return self._drop_lost(members.learners[0], alive, now_s)
        voting = {voter.partition(".")[0] for voter in members.voters}
        spare = min(
            (
                replica
                for name, replica in replicas.items()
                if replica and name not in voting
            ),
            default="",
        )
        for voter in members.voters:
            silent_s = self._silent_s(voter, alive, now_s)
            if voter in alive:
                continue
            # The new replica of an entry that lost its disk replaces its previous one.
            new = replicas.get(voter.partition(".")[0], "")
            if not new and silent_s >= REPLICA_TIMEOUT_S:
                new = spare
            if new:
                _log.warning(
                    "replica_replaced", old=voter, new=new, silent_s=round(silent_s, 1)
                )
                return ReplaceVoter(old=voter, new=new)
        if len(members.voters) < self._required_count and spare:
            _log.warning(
                "voter_added",
                new=spare,
                voters=len(members.voters),
                of=self._required_count,
            )
            return AddVoter(new=spare)
        return None

    def _drop_lost(
        self, learner: str, alive: set[str], now_s: float
    ) -> DropLearner | None:
        silent_s = self._silent_s(learner, alive, now_s)
        if silent_s < REPLICA_TIMEOUT_S:
            return None
        _log.warning("learner_dropped", learner=learner, silent_s=round(silent_s, 1))
        return DropLearner()

    def _silent_s(self, replica: str, alive: set[str], now_s: float) -> float:
        if replica in alive:
            self._silent_since_s.pop(replica, None)
            return 0.0
        return now_s - self._silent_since_s.setdefault(replica, now_s)
