"""Lengths of the leases that keep a task from running twice at once.

An upstream ends what its agent no longer holds. The agent holds it only until its
lease with the dispatcher ends, counted from a frame that the dispatcher is known to
have heard. So once an agent has been silent for `lost_after_s`, nothing of it runs,
whatever became of its messages:

    lost_after_s = run_lease_s x (1 + CLOCK_DRIFT) + stop_s + MARGIN_S

A new dispatcher leads only when the lease of the former one has ended, and an agent
gets no longer lease from either, so it waits `lost_after_s` from its first moment for
each agent that may hold work and has not attached.
"""

import dataclasses

CLOCK_DRIFT = 0.02  # an upstream's steady clock may be this much slow
DOUBTED_PULSES = 2.5  # an agent answers each pulse at once
ENDED_KEPT_S = 4.0  # for which a custodian keeps the ends of runs
TRACE_RETENTION_S = 3.5  # of these ends a new dispatcher relies on
MARGIN_S = 0.05  # tick of the processes that act on the leases


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunLeaseTiming:
    """Lengths of the leases of runs.

    Attributes:
        run_lease_s: Longest time that an upstream runs what is not held again.
        stop_s: Longest time that an upstream takes to end a run.
        heartbeat_interval_s: Interval between the dispatcher's pulses.

    Raises:
        ValueError: A lease is too short to be renewed in time.
    """

    run_lease_s: float
    stop_s: float
    heartbeat_interval_s: float = 0.15

    def __post_init__(self) -> None:
        """Checks that a lease survives the loss of one pulse."""
        if self.run_lease_s < 4 * self.heartbeat_interval_s:
            raise ValueError(
                f"run lease of {self.run_lease_s} s, expected at least four pulses "
                f"of {self.heartbeat_interval_s} s"
            )

    @property
    def lost_after_s(self) -> float:
        """Silence after which nothing of an agent runs any more."""
        return self.run_lease_s * (1 + CLOCK_DRIFT) + self.stop_s + MARGIN_S

    @property
    def doubted_after_s(self) -> float:
        """Silence after which an agent gets no new work."""
        return DOUBTED_PULSES * self.heartbeat_interval_s
