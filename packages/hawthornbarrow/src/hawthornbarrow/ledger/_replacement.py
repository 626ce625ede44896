"""Steps by which a leader adds or replaces a replica, one change at a time."""

from hawthornbarrow.ledger._messages import Members


def refusal_of_replacement(
    members: Members, old: str, new: str, heard: set[str]
) -> str:
    """Returns why a replacement would be unsafe, or an empty string.

    Args:
        members: Current members.
        old: Voter to remove.
        new: Replica to add.
        heard: Replicas that the leader heard lately, itself included.
    """
    if members.leaving or members.learners:
        return f"the replacement of {members.leaving} is still under way"
    if old not in members.voters:
        return f"{old} is not a voter; the voters are {', '.join(members.voters)}"
    if new in members.voters:
        return f"{new} is a voter already"
    if old in heard:
        return f"{old} is alive; stop it before it is replaced"
    remaining = [voter for voter in members.voters if voter != old]
    alive = sum(voter in heard for voter in remaining)
    if alive < len(remaining) // 2 + 1:
        return f"only {alive} of the remaining {len(remaining)} voters are alive"
    return ""


def refusal_of_addition(members: Members, new: str, heard: set[str]) -> str:
    """Returns why the addition of a voter would be unsafe, or an empty string.

    Args:
        members: Current members.
        new: Replica to add.
        heard: Replicas that the leader heard lately, itself included.
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
    members: Members, matches: dict[str, int], commit: int
) -> Members | None:
    """Returns the next step of a replacement under way, or None to wait.

    A learner counts only once all that is committed is synced there. The lost voter
    is removed first: two voters of three and the learner then become three voters,
    so no quorum ever includes the lost one together with the new one.
    """
    if not members.learners:
        return None
    learner = members.learners[0]
    if matches.get(learner, 0) < commit:
        return None
    if members.leaving:
        remaining = tuple(name for name in members.voters if name != members.leaving)
        return Members(voters=remaining, learners=members.learners)
    return Members(voters=(*members.voters, learner))
