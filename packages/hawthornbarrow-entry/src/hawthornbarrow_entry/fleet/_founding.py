"""Founding: which replicas found the ledger at the first start of a deployment."""

import structlog
from hawthornbarrow.cells import FleetMember

from hawthornbarrow_entry.fleet._membership import Membership

MEMBERSHIP_QUIET_S = 1.0  # without a change; all starting entries are known then
FOUNDING_TIMEOUT_S = 5.0  # after which the fewest safe voters suffice

_log = structlog.get_logger()


class Founding:
    """Chooses the initial voters of the ledger once enough disks are linked.

    This handles a partition of the first start: an entry that is cut off, or knows a
    part of the others only, would found a ledger whose acknowledged commands are lost
    with its own disk.

    Args:
        is_founder: Whether this entry chooses the voters. Only one entry does, so that
            there is never more than one ledger.
        tolerated_losses: Disks that may be lost at once without a loss of data.
    """

    def __init__(self, *, is_founder: bool, tolerated_losses: int) -> None:
        """Initializes it without a choice."""
        self._is_founder = is_founder
        self._tolerated_losses = tolerated_losses
        self._began_at_s: float | None = None
        self._logged_count = -1
        self._voters: tuple[str, ...] = ()

    def voters_to_announce(
        self, membership: Membership, term: int, now_s: float
    ) -> tuple[str, ...]:
        """Returns the initial voters to announce, or none.

        They are chosen once the membership has not changed for MEMBERSHIP_QUIET_S, and
        announced until a dispatcher has begun.

        Args:
            membership: Entries that are alive.
            term: Highest known term of a dispatcher, zero before the first.
            now_s: Current time.
        """
        if not self._is_founder or term:
            return ()
        if self._voters:
            return self._voters
        if self._began_at_s is None:
            self._began_at_s = now_s
        if now_s - membership.changed_at_s < MEMBERSHIP_QUIET_S:
            return ()
        candidates = [member for member in membership.alive if member.replica]
        has_all = len(candidates) >= required_voter_count(self._tolerated_losses)
        if has_all or now_s - self._began_at_s >= FOUNDING_TIMEOUT_S:
            self._voters = choose_initial_voters(candidates, self._tolerated_losses)
            self._log_if_too_few(len(candidates))
        return self._voters

    def _log_if_too_few(self, count: int) -> None:
        """Logs once for each number of disks that they are too few."""
        if self._voters or count == self._logged_count:
            return
        self._logged_count = count
        _log.warning(
            "founding_waits_for_disks",
            linked=count,
            needed=fewest_safe_voters(self._tolerated_losses),
        )


def choose_initial_voters(
    members: list[FleetMember], tolerated_losses: int
) -> tuple[str, ...]:
    """Returns the initial voters of the ledger, spread over data centres.

    Args:
        members: Entries that are alive.
        tolerated_losses: Disks that may be lost at once.

    Returns:
        Identities of ``2 * tolerated_losses + 1`` replicas, or of one less if there are
        no more; none if what they commit could be lost with the tolerated losses.
    """
    by_data_centre: dict[str, list[str]] = {}
    for member in sorted(members, key=lambda member: member.name):
        if member.replica:
            by_data_centre.setdefault(member.data_centre, []).append(member.replica)
    ranked = [
        (rank, data_centre, replica)
        for data_centre, replicas in by_data_centre.items()
        for rank, replica in enumerate(replicas)
    ]
    count = min(required_voter_count(tolerated_losses), len(ranked))
    if count < fewest_safe_voters(tolerated_losses):
        return ()
    return tuple(sorted(replica for _, _, replica in sorted(ranked)[:count]))


def required_voter_count(tolerated_losses: int) -> int:
    """Returns how many voters commit on without a number of disks."""
    return 2 * tolerated_losses + 1


def fewest_safe_voters(tolerated_losses: int) -> int:
    """Returns the fewest voters of which each majority has more disks than may be lost.

    Without one of them nothing is committed, but what was committed is kept.
    """
    return max(1, 2 * tolerated_losses)
