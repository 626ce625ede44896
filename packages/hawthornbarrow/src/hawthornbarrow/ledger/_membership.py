"""Single-server membership changes by which a leader adds or replaces a replica."""

from hawthornbarrow.ledger._messages import Members


def replacement_refusal_reason(
    members: Members,
    old: str,
    new: str,
    heard: set[str],
    *,
    is_stopping: bool = False,
) -> str:
    """Returns why a replacement must be refused, or an empty string.

    Args:
        members: Current members.
        old: Voter to remove.
        new: Replica to add.
        heard: Replicas that the leader heard from recently, itself included.
        is_stopping: Whether the old voter's process is about to end. It may then be
            replaced while it is alive.
    """
    if members.leaving:
        return f"the replacement of {members.leaving} is still under way"
    if members.learners:
        return f"{', '.join(members.learners)} is still learning"
    if old not in members.voters:
        return f"{old} is not a voter; the voters are {', '.join(members.voters)}"
    if new in members.voters:
        return f"{new} is a voter already"
    if old in heard and not is_stopping:
        return f"{old} is alive; stop it before it is replaced"
    remaining = [voter for voter in members.voters if voter != old]
    alive = sum(voter in heard for voter in remaining)
    if alive < len(remaining) // 2 + 1:
        return f"only {alive} of the remaining {len(remaining)} voters are alive"
    return ""


def addition_refusal_reason(members: Members, new: str, heard: set[str]) -> str:
    """Returns why the addition of a voter must be refused, or an empty string.

    Args:
        members: Current members.
        new: Replica to add.
        heard: Replicas that the leader heard from recently, itself included.
    """
    if members.leaving or members.learners:
        return f"{', '.join(members.learners)} is still learning"
    if new in members.voters:
        return f"{new} is a voter already"
    alive = sum(voter in heard for voter in members.voters)
    if alive < members.quorum:
        return f"only {alive} of {len(members.voters)} voters are alive"
    return ""


def next_members(
    members: Members, match_indexes: dict[str, int], commit_index: int
) -> Members | None:
    """Returns the members after the next step of a change, or None to wait.

    A learner becomes a voter only after all committed entries are synced there. The
    lost voter is removed first: of three voters two remain, and the learner then
    becomes the third. So no quorum ever includes both the lost voter and the new one.

    Args:
        members: Current members.
        match_indexes: Match index of each other replica.
        commit_index: Commit index of the leader.
    """
    if not members.learners:
        return None
    learner = members.learners[0]
    if match_indexes.get(learner, 0) < commit_index:
        return None
    if members.leaving:
        remaining = tuple(name for name in members.voters if name != members.leaving)
        return Members(voters=remaining, learners=members.learners)
    return Members(voters=(*members.voters, learner))
