"""VoterRepair: maintains as many voters as the tolerated losses require.

A machine that is replaced counts as lost until its successor has been running for
`catch_up_s`. From then on another one may lose its disk, so by then the successor must
be a voter in its place. A replica that appears about when a voter falls silent is taken
for its successor, and replaces it after a quarter of that time. A voter whose process
is about to end says so, and a replica that appeared shortly before replaces it while it
is still alive. Other spare replicas replace a voter later, as one that is slow, cut off
or restarting is likely to return.
"""

import collections.abc
import dataclasses
import math

import structlog
from hawthornbarrow.ledger import Members

from hawthornbarrow_entry.fleet._founding import required_voter_count

REPLICA_TIMEOUT_S = 6.0  # silence after which a voter is replaced or a learner dropped
SUCCESSOR_WAIT_FRACTION = 0.25  # of the time in which a successor must have caught up
# A successor may appear as long before the loss of its predecessor's link is noticed.
LINK_LOSS_S = 3.0
PLANNED_S = 30.0  # in which a successor appears before its predecessor is stopped
STARTUP_S = 3.0  # in which replicas appear to a process that were running before it

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceVoter:
    """Replaces a lost voter, or one that is stopping, by another replica."""

    old: str
    new: str
    is_stopping: bool = False


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
        catch_up_s: Time from the start of a successor after which another disk may be
            lost.
        now_s: Current time.
    """

    def __init__(
        self, *, tolerated_losses: int, catch_up_s: float, now_s: float
    ) -> None:
        """Initializes a repair that has observed no silent replica."""
        self._required_count = required_voter_count(tolerated_losses)
        self._successor_wait_s = SUCCESSOR_WAIT_FRACTION * catch_up_s
        self._newcomers_from_s = now_s + STARTUP_S
        self._silent_since_s: dict[str, float] = {}
        self._stopping: set[str] = set()
        # When each replica was observed first, infinitely early at the start.
        self._appeared_at_s: dict[str, float] = {}

    def observe(
        self,
        members: Members,
        replicas: collections.abc.Mapping[str, str],
        now_s: float,
        *,
        stopping: collections.abc.Set[str] = frozenset(),
    ) -> None:
        """Observes which replicas are alive; also while another replica leads.

        Args:
            members: Voters and learners of the ledger.
            replicas: Identity of the replica of each entry that is alive.
            now_s: Current time.
            stopping: Names of the entries among them that are about to end.
        """
        alive = {replica for replica in replicas.values() if replica}
        self._stopping -= alive
        self._stopping.update(replicas[name] for name in stopping if name in replicas)
        is_newcomer = now_s >= self._newcomers_from_s
        for replica in alive:
            self._appeared_at_s.setdefault(replica, now_s if is_newcomer else -math.inf)
        for replica in (*members.voters, *members.learners):
            self._silent_s(replica, alive, now_s)

    def next_change(
        self,
        members: Members,
        replicas: collections.abc.Mapping[str, str],
        now_s: float,
        *,
        stopping: collections.abc.Set[str] = frozenset(),
    ) -> VoterChange | None:
        """Returns the change to make now, or None when none is due.

        Args:
            members: Voters and learners of the ledger.
            replicas: Identity of the replica of each entry that is alive, by the
                entry's name, empty for entries without a disk.
            now_s: Current time.
            stopping: Names of the entries among them that are about to end.
        """
        self.observe(members, replicas, now_s, stopping=stopping)
        alive = {replica for replica in replicas.values() if replica}
        if members.learners:
            return self._drop_lost(members.learners[0], alive, now_s)
        voting = {voter.partition(".")[0] for voter in members.voters}
        spares = sorted(
            replica
            for name, replica in replicas.items()
            if replica and name not in voting and replica not in self._stopping
        )
        spare = spares[0] if spares else ""
        for voter in members.voters:
            silent_s = self._silent_s(voter, alive, now_s)
            if voter in alive and voter not in self._stopping:
                continue
            # The new replica of an entry that lost its disk replaces its previous one.
            new = replicas.get(voter.partition(".")[0], "")
            if not new or new == voter:
                new = self._successor_of(voter, spares, now_s)
            if not new and silent_s >= REPLICA_TIMEOUT_S:
                new = spare
            if new:
                _log.warning(
                    "replica_replaced", old=voter, new=new, silent_s=round(silent_s, 1)
                )
                return ReplaceVoter(old=voter, new=new, is_stopping=voter in alive)
        if len(members.voters) < self._required_count and spare:
            _log.warning(
                "voter_added",
                new=spare,
                voters=len(members.voters),
                of=self._required_count,
            )
            return AddVoter(new=spare)
        return None

    def _successor_of(self, voter: str, spares: list[str], now_s: float) -> str:
        """Returns the spare replica to replace a silent voter now, or empty."""
        if voter in self._stopping:
            lost_from_s = now_s - PLANNED_S
        else:
            lost_from_s = self._silent_since_s[voter] - LINK_LOSS_S
        for spare in spares:
            appeared_at_s = self._appeared_at_s[spare]
            has_waited = now_s - appeared_at_s >= self._successor_wait_s
            if appeared_at_s >= lost_from_s and has_waited:
                return spare
        return ""

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
