"""Which jobs a dispatcher may run while another dispatcher may be at work.

This handles a partition that leaves the leader of the ledger with a minority of the
agents: a standby is elected by the others, and both dispatch. An entry follows one of
them at a time, and only the dispatcher that it follows may run its jobs. So

- a dispatcher without a majority of the agents stops the runs of jobs whose entries it
  does not hear, no later than `notice_s` after the entry last heard it,
- a job that an entry submitted to another dispatcher before starts when the runs that
  this one could not stop have expired, or once all agents have told what they run, and
- a job that may be a resubmission starts when the runs that it could stop have ended:

    notice_s = heartbeat_interval_s + ENTRY_CONTACT_S + REACTION_S
    start of an offered job >= time the other dispatcher was heard last
                               + notice_s + lost_after_s
    start of any other job >= time of its arrival
                              + notice_s + stop_s + MARGIN_S - resend_s

Jobs of entries in contact are served on either side of the partition. With a resend
delay longer than `notice_s` and the stop, new jobs start without a delay.
"""

import collections.abc
import enum
import math

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._messages import SubmitJob
from hawthornbarrow.cells._timing import (
    CLOCK_DRIFT,
    CONTACT_TIMEOUT_S,
    ENTRY_CONTACT_S,
    MARGIN_S,
    RunLeaseTiming,
)

REACTION_S = 0.2  # time in which a dispatcher notices the silence of an entry
RESUME_S = 1.0  # contact after which a process follows that does not tell
RETIRED_RETENTION_S = 12.0  # entries that are cut off may still count a retired agent


class DispatchScope(enum.Enum):
    """How far a dispatcher knows that no other one is at work."""

    ALL = "all"  # it is in contact with all agents
    MAJORITY = "majority"  # no other dispatcher can be elected
    PART = "part"  # another dispatcher may have the other agents


class Followers:
    """Tracks which processes follow the dispatcher of this process in its term.

    A process that has not heard this one for a while may have followed another
    dispatcher since. The first frames after such a gap prove only that it hears this
    one: its report of a higher term may still be under way, and links deliver old
    messages. So it counts again once it tells which recent heartbeat it follows, or has
    been in contact for RESUME_S.

    Args:
        timeout_s: Age up to which a contact counts.
    """

    def __init__(self, *, timeout_s: float) -> None:
        """Initializes the state without any contact."""
        self._timeout_s = timeout_s
        self._contact_at_s: dict[str, float] = {}
        # Since when processes have been in contact again.
        self._resumed_at_s: dict[str, float] = {}

    def begin_term(self) -> None:
        """Begins a term, which no process follows yet."""
        self._contact_at_s.clear()
        self._resumed_at_s.clear()

    def on_follow(self, process: str, heartbeat_at_s: float, now_s: float) -> None:
        """Records that a process tells which heartbeat it follows.

        Args:
            process: The process.
            heartbeat_at_s: When the heartbeat was sent, on this process's clock.
            now_s: Current time.
        """
        if now_s - heartbeat_at_s <= self._timeout_s:
            known_s = self._contact_at_s.get(process, -math.inf)
            self._contact_at_s[process] = max(known_s, heartbeat_at_s)
            self._resumed_at_s.pop(process, None)

    def on_frame(self, process: str, contact_at_s: float, now_s: float) -> None:
        """Records when a process last heard this one, as a frame of it shows.

        Args:
            process: The process.
            contact_at_s: When it heard this one.
            now_s: Current time.
        """
        known_s = self._contact_at_s.get(process, -math.inf)
        if now_s - known_s > self._timeout_s:
            self._resumed_at_s[process] = now_s
        self._contact_at_s[process] = max(known_s, contact_at_s)

    def forget(self, process: str) -> None:
        """Removes a process, for example one that has restarted."""
        self._contact_at_s.pop(process, None)
        self._resumed_at_s.pop(process, None)

    def in_contact(self, now_s: float) -> set[str]:
        """Returns the processes that follow the dispatcher now."""
        return {
            process
            for process, at_s in self._contact_at_s.items()
            if now_s - at_s <= self._timeout_s
            and now_s - self._resumed_at_s.get(process, -math.inf) >= RESUME_S
        }


class FollowingAgents:
    """Tracks which agents follow the dispatcher, to know what no other one can do."""

    def __init__(self) -> None:
        """Initializes the state before any term."""
        self._followers = Followers(timeout_s=CONTACT_TIMEOUT_S)
        self._attached: set[str] = set()
        self._retired_at_s: dict[str, float] = {}

    def begin_term(self) -> None:
        """Begins a term, which no agent follows yet."""
        self._followers.begin_term()
        self._attached.clear()

    def on_attach(self, agent: str, heartbeat_at_s: float, now_s: float) -> None:
        """Records an attach request of the current term."""
        self._attached.add(agent)
        self._followers.on_follow(agent, heartbeat_at_s, now_s)

    def on_report(self, agent: str, heartbeat_at_s: float, now_s: float) -> None:
        """Records a report of an attached agent."""
        self._followers.on_follow(agent, heartbeat_at_s, now_s)

    def on_frame(self, agent: str, contact_at_s: float, now_s: float) -> None:
        """Records when an agent that has attached last heard this process."""
        if agent in self._attached:
            self._followers.on_frame(agent, contact_at_s, now_s)

    def on_restarted(self, agent: str) -> None:
        """Records that an agent has restarted and may follow another dispatcher."""
        self._attached.discard(agent)
        self._followers.forget(agent)

    def on_retired(self, agent: str, now_s: float) -> None:
        """Records that an agent is about to leave the ledger's list.

        Entries that have not heard of it yet count it among the agents that elect a
        standby, so it counts here as well for a while.
        """
        self._retired_at_s[agent] = now_s

    def scope(
        self, agents: collections.abc.Set[str], now_s: float, *, is_standby: bool
    ) -> DispatchScope:
        """Returns the scope of the dispatcher.

        Args:
            agents: Agents that the ledger lists.
            now_s: Current time.
            is_standby: Whether it dispatches without the ledger. A leader may then be
                at work with a minority of the agents.
        """
        for agent, at_s in list(self._retired_at_s.items()):
            if now_s - at_s > RETIRED_RETENTION_S:
                del self._retired_at_s[agent]
        in_contact = self._followers.in_contact(now_s)
        electors = set(agents).union(self._retired_at_s)
        if electors <= in_contact:
            return DispatchScope.ALL
        has_majority = 2 * len(electors & in_contact) > len(electors)
        if has_majority and not is_standby:
            return DispatchScope.MAJORITY
        return DispatchScope.PART


class ScopedJobs:
    """Decides which jobs may run in the scope of a dispatcher.

    Args:
        timing: Durations of the leases of runs.
        resend_s: Minimum time after which a caller whose connection broke submits its
            job again, or None when unknown.
    """

    def __init__(self, *, timing: RunLeaseTiming, resend_s: float | None) -> None:
        """Initializes a scope of all agents."""
        notice_s = timing.heartbeat_interval_s + ENTRY_CONTACT_S + REACTION_S
        self._release_s = notice_s + timing.lost_after_s
        stopped_s = notice_s + timing.stop_s + MARGIN_S
        self._resubmission_wait_s = stopped_s - (resend_s or 0.0) * (1 - CLOCK_DRIFT)
        self._scope = DispatchScope.ALL
        self._entries: collections.abc.Set[str] = frozenset()

    @property
    def scope(self) -> DispatchScope:
        """Scope of the dispatcher."""
        return self._scope

    def set_scope(
        self, scope: DispatchScope, entries: collections.abc.Set[str]
    ) -> None:
        """Sets the scope.

        Args:
            scope: The scope.
            entries: Entries that are known to follow the dispatcher.
        """
        self._scope = scope
        self._entries = entries

    def on_submission(
        self, record: JobRecord, entry: str, message: SubmitJob, now_s: float
    ) -> None:
        """Determines when a job that an entry submits can run nowhere else."""
        if message.was_offered:
            silent_s = message.former_silent_s
            record.may_be_kept = record.may_be_kept or silent_s is None
            until_s = now_s + self._release_s - (silent_s or 0.0)
            record.released_at_s = max(record.released_at_s, until_s)
        elif entry not in record.entries:
            until_s = now_s - message.age_s + self._resubmission_wait_s
            record.settled_at_s = max(record.settled_at_s, until_s)

    def is_released(self, record: JobRecord) -> bool:
        """Returns whether another dispatcher may run a job, so that it must stop."""
        if self._scope is not DispatchScope.PART:
            return False
        return record.entries.isdisjoint(self._entries)

    def start_delay_s(
        self, record: JobRecord, now_s: float, *, is_new: bool, knows_all_runs: bool
    ) -> float:
        """Returns the time until no other dispatcher runs a job that is not released.

        Args:
            record: The job.
            now_s: Current time.
            is_new: Whether it is known to be no resubmission.
            knows_all_runs: Whether all agents have told in this term what they run.

        Returns:
            The time, infinite when another dispatcher may keep the job.
        """
        if self._scope is DispatchScope.ALL:
            return 0.0
        is_part = self._scope is DispatchScope.PART
        if is_part and record.may_be_kept and not knows_all_runs:
            return math.inf
        until_s = -math.inf if knows_all_runs else record.released_at_s
        if is_part and not is_new:
            until_s = max(until_s, record.settled_at_s)
        return max(0.0, until_s - now_s)
