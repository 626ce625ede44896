"""Times of an agent's decisions."""

import dataclasses

from hawthornbarrow_agent._entry_links import FENCE_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentTiming:
    """Times of the agent's decisions.

    Attributes:
        result_hold_s: Longest time that a result waits for a batch.
        ahead_s: Work that an entry may queue ahead of its slots.
        split_interval_s: Least time between two splits of an upstream's slots.
        fence_s: Silence of an entry after which its work is stopped.
    """

    result_hold_s: float = 0.025
    ahead_s: float = 0.04
    split_interval_s: float = 0.02
    fence_s: float = FENCE_S
