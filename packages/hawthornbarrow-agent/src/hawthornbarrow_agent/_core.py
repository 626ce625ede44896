"""AgentCore: the sans-I/O state machine of one agent."""

import dataclasses

from hawthornbarrow.dispatch import SlotSplitter
from hawthornbarrow.links import (
    CancelJobs,
    ConfigurationUpdate,
    DispatchBatch,
    DispatchItem,
    JobEpoch,
    JobHoldings,
    JobsClosed,
    JobsRecovered,
    LinkEvent,
    Message,
    MessageReceived,
    PeerDown,
    PeerUp,
    RecoverJobs,
    SlotDemand,
    TaskOutcome,
    TaskResult,
    TaskStart,
    UpstreamAnnounced,
    UpstreamGone,
)
from hawthornbarrow.upstreams import (
    ANNOUNCEMENT_LEASE_S,
    Announcement,
    CallOutcome,
    classify_call,
)

from hawthornbarrow_agent._effects import (
    AgentEffect,
    SendMessage,
    StartCall,
    StopCall,
)
from hawthornbarrow_agent._entry_links import EntryLinks
from hawthornbarrow_agent._job_owners import JobOwnerTable
from hawthornbarrow_agent._records import JobRecord, TaskRecord, UpstreamSlots
from hawthornbarrow_agent._reporter import ResultReporter
from hawthornbarrow_agent._timing import AgentTiming

_TICK_INTERVAL_S = 0.2


class AgentCore:
    """Grants slots to entries, starts tasks and retains results until jobs are closed.

    Methods process events; `take_effects` returns the actions that these require.

    Args:
        timing: Durations that govern its decisions, None for the defaults.
    """

    def __init__(self, *, timing: AgentTiming | None = None) -> None:
        """Initializes an agent without upstreams and entries."""
        self._timing = timing or AgentTiming()
        self._upstreams: dict[str, UpstreamSlots] = {}
        self._entries = EntryLinks(lease_s=self._timing.entry_lease_s)
        self._job_owners = JobOwnerTable()
        self._reporter = ResultReporter()
        self._effects: list[AgentEffect] = []
        self._configuration = ConfigurationUpdate(version=0, document=b"")
        self._wasted: dict[str, int] = {}

    @property
    def configuration(self) -> ConfigurationUpdate:
        """Newest configuration that an entry has sent."""
        return self._configuration

    @property
    def upstreams(self) -> dict[str, UpstreamSlots]:
        """Announced upstreams by name."""
        return self._upstreams

    @property
    def job_count(self) -> int:
        """Number of open jobs that the agent has a record of."""
        return len(self._job_owners)

    @property
    def wasted(self) -> dict[str, int]:
        """Number of messages that did not advance any job, by cause."""
        return self._wasted

    @property
    def is_idle(self) -> bool:
        """Whether no task is queued or running and no result waits to be sent."""
        has_tasks = any(
            slots.queue or slots.running for slots in self._upstreams.values()
        )
        return self._reporter.is_empty and not has_tasks

    def update_timing(self, *, result_hold_s: float, ahead_s: float) -> None:
        """Applies the durations of the configuration in force."""
        self._timing = dataclasses.replace(
            self._timing, result_hold_s=result_hold_s, ahead_s=ahead_s
        )
        for slots in self._upstreams.values():
            slots.splitter = SlotSplitter(
                slots=slots.announcement.slots, ahead_s=ahead_s
            )
            slots.needs_split = True

    def take_effects(self) -> list[AgentEffect]:
        """Removes and returns the actions that the process must carry out."""
        effects, self._effects = self._effects, []
        return effects

    def announce(self, announcement: Announcement, now_s: float) -> None:
        """Registers or updates an upstream and renews the lease of its announcement."""
        expires_at_s = now_s + ANNOUNCEMENT_LEASE_S
        slots = self._upstreams.get(announcement.name)
        if slots is not None and slots.announcement == announcement:
            slots.expires_at_s = expires_at_s
            if slots.is_leaving:
                slots.is_leaving = False
                self._broadcast(UpstreamAnnounced(announcement=announcement))
                self._split_slots(slots, now_s)
            return
        splitter = SlotSplitter(slots=announcement.slots, ahead_s=self._timing.ahead_s)
        if slots is None:
            slots = UpstreamSlots(
                announcement=announcement, splitter=splitter, expires_at_s=expires_at_s
            )
            self._upstreams[announcement.name] = slots
        slots.announcement = announcement
        slots.splitter = splitter
        slots.expires_at_s = expires_at_s
        slots.is_leaving = False
        slots.granted_shares = {}
        self._broadcast(UpstreamAnnounced(announcement=announcement))
        self._split_slots(slots, now_s)

    def withdraw(self, upstream: str, now_s: float, reason: str = "left") -> bool:
        """Stops accepting tasks for an upstream and drops those that are queued.

        Returns:
            Whether the upstream is known.
        """
        slots = self._upstreams.get(upstream)
        if slots is None or slots.is_leaving:
            return slots is not None
        slots.is_leaving = True
        self._broadcast(UpstreamGone(upstream=upstream, reason=reason))
        for task in slots.take_queued_tasks(lambda task: True):
            self._record_outcome(
                task, upstream, TaskOutcome.NOT_STARTED, 0.0, b"", reason, now_s
            )
        self._send_due_results(now_s)
        return True

    def on_link_event(self, event: LinkEvent, now_s: float) -> None:
        """Processes an event of the link to an entry."""
        if isinstance(event, PeerUp):
            self._on_entry_up(event, now_s)
        elif isinstance(event, PeerDown):
            if self._entries.on_link_down(event.peer):
                for slots in self._upstreams.values():
                    slots.needs_split = True
        else:
            self._entries.renew_lease(event.peer, event.confirmed_at_s)
            if isinstance(event, MessageReceived):
                self._on_message(event.peer, event.message, now_s)
        self._send_due_results(now_s)

    def on_call_ended(
        self,
        *,
        upstream: str,
        job: str,
        index: int,
        end: CallOutcome,
        run_s: float,
        body: bytes,
        now_s: float,
    ) -> None:
        """Processes the end of a call that a StartCall effect started.

        Args:
            upstream: Name of the upstream.
            job: Job id.
            index: Position of the task in its job.
            end: How the call ended.
            run_s: Time from the start of the call to its end.
            body: Body of the response, empty unless the call was answered.
            now_s: Current time.
        """
        slots = self._upstreams[upstream]
        task = slots.running.pop((job, index), None)
        if task is None:
            return
        classification = classify_call(end)
        reason = "" if classification.completed else end.value
        if classification.completed:
            outcome = TaskOutcome.COMPLETED
            slots.record_run_time(run_s)
        elif not classification.started:
            outcome = TaskOutcome.NOT_STARTED
        elif classification.known:
            outcome = TaskOutcome.FAILED
        else:
            outcome = TaskOutcome.UNKNOWN
        self._start_queued_tasks(slots, now_s)
        self._record_outcome(task, upstream, outcome, run_s, body, reason, now_s)
        self._send_due_results(now_s)

    def tick(self, now_s: float) -> None:
        """Advances time-dependent state to `now_s`.

        Withdraws upstreams whose announcement has expired, stops tasks of entries whose
        lease has expired, splits slots again where that is due, and sends due results.
        """
        for name, slots in list(self._upstreams.items()):
            if not slots.is_leaving and now_s >= slots.expires_at_s:
                self.withdraw(name, now_s, "announcement_expired")
        for name in self._entries.take_expired(now_s):
            self._stop_tasks_of_entry(name, now_s)
        for slots in self._upstreams.values():
            is_due = now_s - slots.split_at_s >= self._timing.split_interval_s
            if slots.needs_split and is_due:
                self._split_slots(slots, now_s)
        self._job_owners.expire_closed_jobs(now_s)
        self._send_due_results(now_s)

    def next_due_s(self, now_s: float) -> float:
        """Returns the time until the next tick is due."""
        due_s = min(_TICK_INTERVAL_S, max(0.0, self._reporter.due_at_s - now_s))
        if any(slots.needs_split for slots in self._upstreams.values()):
            due_s = min(due_s, self._timing.split_interval_s)
        return due_s

    # Entries

    def _on_entry_up(self, event: PeerUp, now_s: float) -> None:
        if event.role != "entry":
            return
        self._entries.on_link_up(event.peer, restarted=event.restarted)
        for slots in self._upstreams.values():
            slots.granted_shares.pop(event.peer, None)
            if not slots.is_leaving:
                announced = UpstreamAnnounced(announcement=slots.announcement)
                self._send(event.peer, announced)
                self._split_slots(slots, now_s)

    def _on_message(self, peer: str, message: Message, now_s: float) -> None:
        match message:
            case DispatchBatch():
                self._on_dispatch(peer, message, now_s)
            case SlotDemand():
                self._on_demand(peer, message.backlog, now_s)
            case CancelJobs():
                for job in message.jobs:
                    self._cancel_job(peer, job, now_s)
            case JobsClosed():
                for job in message.jobs:
                    self._job_owners.close(peer, job, now_s)
            case RecoverJobs():
                self._on_recover(peer, message, now_s)
            case ConfigurationUpdate():
                if message.version > self._configuration.version:
                    self._configuration = message
            case _:
                self._count_wasted("unexpected")

    def _on_demand(self, peer: str, backlog: dict[str, int], now_s: float) -> None:
        for upstream, waiting in backlog.items():
            previous = self._entries.set_backlog(peer, upstream, waiting)
            slots = self._upstreams.get(upstream)
            if slots is None or previous is None or previous == waiting:
                continue
            if not previous:
                self._split_slots(slots, now_s)
            else:
                slots.needs_split = True

    def _on_dispatch(self, peer: str, batch: DispatchBatch, now_s: float) -> None:
        is_fenced = self._job_owners.is_fenced(peer, batch.incarnation)
        for item in batch.items:
            for start in item.tasks:
                reason = self._refusal_reason(item, start)
                if is_fenced:
                    reason = "fenced"
                elif not self._entries.has_lease(peer, now_s):
                    reason = "lease_lapsed"
                self._accept_or_refuse(peer, item, start, reason, now_s)
        self._on_demand(peer, batch.backlog, now_s)
        for name in sorted({item.upstream for item in batch.items}):
            slots = self._upstreams.get(name)
            if slots is not None:
                self._start_queued_tasks(slots, now_s)

    def _refusal_reason(self, item: DispatchItem, start: TaskStart) -> str:
        """Returns why a task must be refused, or an empty string."""
        reason = self._job_owners.refusal_reason(item, start)
        if reason:
            return reason
        slots = self._upstreams.get(item.upstream)
        return "upstream_gone" if slots is None or slots.is_leaving else ""

    def _accept_or_refuse(
        self,
        peer: str,
        item: DispatchItem,
        start: TaskStart,
        reason: str,
        now_s: float,
    ) -> None:
        task = TaskRecord(
            entry=peer,
            job=item.job,
            key=item.key,
            service=item.service,
            index=start.index,
            attempt=start.attempt,
            payload=start.payload,
            repeatable=item.repeatable,
            expires_at_s=now_s + item.budget_s,
            run_limit_s=item.run_limit_s,
        )
        if reason == "repeated":
            self._count_wasted("duplicate")
            return
        if reason:
            self._refuse_task(task, item, reason, now_s)
            return
        self._job_owners.record_accepted_task(peer, item, start)
        self._upstreams[item.upstream].queue.append(task)

    def _refuse_task(
        self, task: TaskRecord, item: DispatchItem, reason: str, now_s: float
    ) -> None:
        self._count_wasted("refused")
        result = TaskResult(
            job=task.job,
            epoch=item.epoch,
            index=task.index,
            attempt=task.attempt,
            upstream=item.upstream,
            outcome=TaskOutcome.NOT_STARTED,
            run_s=0.0,
            body=b"",
            reason=reason,
        )
        self._report_result(task.entry, result, now_s, is_urgent=True)

    def _cancel_job(self, peer: str, job: str, now_s: float) -> None:
        record = self._job_owners.get(job)
        if record is None or record.owner != peer:
            return
        for slots in self._upstreams.values():
            self._drop_queued_tasks(slots, record, job)
            for task in slots.running.values():
                if task.job == job:
                    self._stop_task(task)
            self._start_queued_tasks(slots, now_s)

    # Change of owner

    def _on_recover(self, peer: str, message: RecoverJobs, now_s: float) -> None:
        """Fences the previous owners and reports what the agent holds of the jobs."""
        for previous in message.fenced:
            self._job_owners.fence(previous)
        holdings = []
        for job in message.jobs:
            job_holdings = self._change_owner(peer, job, now_s)
            if job_holdings is not None:
                holdings.append(job_holdings)
        self._send(peer, JobsRecovered(recovery=message.recovery, holdings=holdings))

    def _change_owner(
        self, peer: str, job: JobEpoch, now_s: float
    ) -> JobHoldings | None:
        record = self._job_owners.change_owner(peer, job)
        if record is None:
            return None
        running = []
        for slots in self._upstreams.values():
            self._drop_queued_tasks(slots, record, job.job)
            for task in slots.running.values():
                if task.job == job.job:
                    running.append((task.index, task.attempt))
            self._start_queued_tasks(slots, now_s)
        record.attempts = dict(running)
        return JobHoldings(
            job=job.job, running=running, finished=list(record.finished.values())
        )

    def _stop_tasks_of_entry(self, entry: str, now_s: float) -> None:
        """Drops the queued tasks of a silent entry and stops its running ones.

        Only repeatable tasks are stopped, and only at upstreams that stop a task when
        its connection closes.
        """
        for name, slots in self._upstreams.items():
            for task in slots.take_queued_tasks(lambda task: task.entry == entry):
                outcome = TaskOutcome.NOT_STARTED
                self._record_outcome(
                    task, name, outcome, 0.0, b"", "owner_silent", now_s
                )
            if not slots.announcement.stops_on_disconnect:
                continue
            for task in slots.running.values():
                record = self._job_owners.get(task.job)
                owner = record.owner if record else task.entry
                if owner == entry and task.repeatable:
                    self._stop_task(task)

    def _drop_queued_tasks(
        self, slots: UpstreamSlots, record: JobRecord, job: str
    ) -> None:
        """Drops the queued tasks of a job without reporting an outcome."""
        record.active_task_count -= len(
            slots.take_queued_tasks(lambda task: task.job == job)
        )

    def _stop_task(self, task: TaskRecord) -> None:
        self._effects.append(
            StopCall(job=task.job, index=task.index, attempt=task.attempt)
        )

    # Slots

    def _start_queued_tasks(self, slots: UpstreamSlots, now_s: float) -> None:
        announcement = slots.announcement
        while slots.queue and len(slots.running) < announcement.slots:
            task = slots.queue.popleft()
            reason = self._start_refusal_reason(task, now_s)
            if reason:
                outcome = TaskOutcome.NOT_STARTED
                self._record_outcome(
                    task, announcement.name, outcome, 0.0, b"", reason, now_s
                )
                continue
            self._start_task(slots, task)

    def _start_refusal_reason(self, task: TaskRecord, now_s: float) -> str:
        if now_s >= task.expires_at_s:
            return "deadline"
        return "" if self._entries.has_lease(task.entry, now_s) else "lease_lapsed"

    def _start_task(self, slots: UpstreamSlots, task: TaskRecord) -> None:
        slots.running[task.job, task.index] = task
        record = self._job_owners.get(task.job)
        if record is not None:
            record.started.add(task.index)
        self._effects.append(
            StartCall(
                upstream=slots.announcement.name,
                job=task.job,
                key=task.key,
                service=task.service,
                index=task.index,
                attempt=task.attempt,
                payload=task.payload,
                timeout_s=task.run_limit_s,
            )
        )

    def _split_slots(self, slots: UpstreamSlots, now_s: float) -> None:
        """Splits an upstream's slots again and sends the grants that changed."""
        backlog = self._entries.backlogs(slots.announcement.name)
        for peer, grant in slots.split(backlog, now_s):
            self._send(peer, grant)

    # Results

    def _record_outcome(
        self,
        task: TaskRecord,
        upstream: str,
        outcome: TaskOutcome,
        run_s: float,
        body: bytes,
        reason: str,
        now_s: float,
    ) -> None:
        """Records the outcome of a task and reports it to the owner of its job."""
        record = self._job_owners.get(task.job)
        if record is None:
            self._count_wasted("late")
            return
        record.active_task_count -= 1
        result = TaskResult(
            job=task.job,
            epoch=record.epoch,
            index=task.index,
            attempt=task.attempt,
            upstream=upstream,
            outcome=outcome,
            run_s=run_s,
            body=body,
            reason=reason,
        )
        if outcome is not TaskOutcome.NOT_STARTED:
            record.finished[task.index] = result
        is_urgent = (
            record.active_task_count == 0
            or reason != ""
            or self._is_starved(upstream, record.owner)
        )
        self._report_result(record.owner, result, now_s, is_urgent=is_urgent)

    def _is_starved(self, upstream: str, owner: str) -> bool:
        """Returns whether an upstream's queue is empty but the owner has a backlog."""
        if self._upstreams[upstream].queue:
            return False
        return self._entries.backlog(owner, upstream) > 0

    def _report_result(
        self, peer: str, result: TaskResult, now_s: float, *, is_urgent: bool
    ) -> None:
        hold_s = 0.0 if is_urgent else self._timing.result_hold_s
        self._reporter.add(peer, result, now_s + hold_s)

    def _send_due_results(self, now_s: float) -> None:
        for peer, batch in self._reporter.take_due(now_s):
            self._send(peer, batch)

    def _send(self, peer: str, message: Message) -> None:
        self._effects.append(SendMessage(peer=peer, message=message))

    def _broadcast(self, message: Message) -> None:
        for peer in self._entries.names:
            self._send(peer, message)

    def _count_wasted(self, cause: str) -> None:
        self._wasted[cause] = self._wasted.get(cause, 0) + 1
