"""Durations of the leases that prevent a task from running twice at the same time.

An upstream ends a run that its agent no longer renews. The agent renews runs only until
its lease with the dispatcher expires, counted from the sending of a frame that the
dispatcher is known to have received. So once an agent has been silent for
`lost_after_s`, none of its runs exists any more, whatever happened to its messages:

    lost_after_s = run_lease_s x (1 + CLOCK_DRIFT) + stop_s + MARGIN_S

A new dispatcher starts only when the authority of the previous one has expired, and
neither gives an agent a lease longer than `run_lease_s`. So the new one waits
`lost_after_s` from its start for each agent that may have runs and has not attached.
"""

import dataclasses

CLOCK_DRIFT = 0.02  # fraction by which an upstream's steady clock may be slow
# Heartbeat intervals of silence after which an agent gets no new tasks; it answers each
# heartbeat at once.
SUSPECT_HEARTBEAT_COUNT = 2.5
ENDED_RUN_RETENTION_S = 4.0  # minimum time for which an agent retains ended runs
TRACE_RETENTION_S = 3.5  # part of that time on which a new dispatcher relies
# Time for which an agent retains the runs under which its upstream crashed.
CRASHED_RUN_RETENTION_S = 60.0
CONTACT_TIMEOUT_S = 0.5  # a majority of the agents must have been heard within it
ENTRY_CONTACT_S = 0.5  # silence after which an entry may follow another dispatcher
MARGIN_S = 0.05  # covers the tick interval of the processes that act on leases


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunLeaseTiming:
    """Durations of the leases of runs.

    Attributes:
        run_lease_s: Maximum time that an upstream continues a run without a renewal.
        stop_s: Maximum time that an upstream takes to end a run.
        heartbeat_interval_s: Interval between the dispatcher's heartbeats.

    Raises:
        ValueError: A lease is too short to be renewed in time.
    """

    run_lease_s: float
    stop_s: float
    heartbeat_interval_s: float = 0.15

    def __post_init__(self) -> None:
        """Checks that a lease survives the loss of one heartbeat."""
        if self.run_lease_s < 4 * self.heartbeat_interval_s:
            raise ValueError(
                f"run lease of {self.run_lease_s} s, expected at least four heartbeats "
                f"of {self.heartbeat_interval_s} s"
            )

    @property
    def lost_after_s(self) -> float:
        """Silence after which no run of an agent can exist any more."""
        return self.run_lease_s * (1 + CLOCK_DRIFT) + self.stop_s + MARGIN_S

    @property
    def suspect_after_s(self) -> float:
        """Silence after which an agent gets no new tasks."""
        return SUSPECT_HEARTBEAT_COUNT * self.heartbeat_interval_s
