"""Durations that govern the decisions of an agent."""

import dataclasses

from hawthornbarrow_agent._entry_links import ENTRY_LEASE_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentTiming:
    """Durations that govern the decisions of an agent.

    Attributes:
        result_hold_s: Longest time that a result waits until its batch is sent.
        ahead_s: Amount of work that an entry may queue beyond its slots, in seconds of
            run time.
        split_interval_s: Minimum time from a split of an upstream's slots to the next
            one that `tick` makes.
        entry_lease_s: Time after the sending of the newest frame that an entry has
            confirmed, after which the entry's tasks are no longer started and its
            running repeatable ones are stopped.
    """

    result_hold_s: float = 0.025
    ahead_s: float = 0.04
    split_interval_s: float = 0.02
    entry_lease_s: float = ENTRY_LEASE_S
