"""AgentCore: the sans-I/O decisions of one agent."""

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

from hawthornbarrow_agent._custody import JobCustody
from hawthornbarrow_agent._effects import (
    AgentEffect,
    SendMessage,
    StartCall,
    StopCall,
)
from hawthornbarrow_agent._entry_links import EntryLinks
from hawthornbarrow_agent._holdings import HeldTask, JobHolding, UpstreamSlots
from hawthornbarrow_agent._reporter import ResultReporter
from hawthornbarrow_agent._timing import AgentTiming

_TICK_S = 0.2


class AgentCore:
    """Holds slots, starts tasks and keeps results until their job is closed.

    Args:
        timing: Times of its decisions.
    """

    def __init__(self, *, timing: AgentTiming | None = None) -> None:
        """Starts without upstreams and entries."""
        self._timing = timing or AgentTiming()
        self._upstreams: dict[str, UpstreamSlots] = {}
        self._entries = EntryLinks(fence_s=self._timing.fence_s)
        self._custody = JobCustody()
        self._reporter = ResultReporter()
        self._effects: list[AgentEffect] = []
        self._configuration = ConfigurationUpdate(version=0, document=b"")
        self._wasted: dict[str, int] = {}

    @property
    def configuration(self) -> ConfigurationUpdate:
        """The newest configuration that an entry has told."""
        return self._configuration

    @property
    def upstreams(self) -> dict[str, UpstreamSlots]:
        """Announced upstreams by name."""
        return self._upstreams

    @property
    def job_count(self) -> int:
        """Number of jobs of which something is held."""
        return len(self._custody)

    @property
    def wasted(self) -> dict[str, int]:
        """Messages that did not help any job, by cause."""
        return self._wasted

    @property
    def is_idle(self) -> bool:
        """Whether no task is held and no result waits to be sent."""
        has_tasks = any(
            slots.queue or slots.running for slots in self._upstreams.values()
        )
        return self._reporter.is_empty and not has_tasks

    def retime(self, *, result_hold_s: float, ahead_s: float) -> None:
        """Takes new times from the configuration in force."""
        self._timing = dataclasses.replace(
            self._timing, result_hold_s=result_hold_s, ahead_s=ahead_s
        )
        for slots in self._upstreams.values():
            slots.splitter = SlotSplitter(
                slots=slots.announcement.slots, ahead_s=ahead_s
            )
            slots.is_dirty = True

    def take_effects(self) -> list[AgentEffect]:
        """Returns what there is to do, and forgets it."""
        effects, self._effects = self._effects, []
        return effects

    def announce(self, announcement: Announcement, now_s: float) -> None:
        """Takes or renews an upstream's announcement."""
        expires_at_s = now_s + ANNOUNCEMENT_LEASE_S
        known = self._upstreams.get(announcement.name)
        if known is not None and known.announcement == announcement:
            known.expires_at_s = expires_at_s
            if known.is_leaving:
                known.is_leaving = False
                self._tell_all(UpstreamAnnounced(announcement=announcement))
                self._split(known, now_s)
            return
        splitter = SlotSplitter(slots=announcement.slots, ahead_s=self._timing.ahead_s)
        if known is None:
            known = UpstreamSlots(
                announcement=announcement, splitter=splitter, expires_at_s=expires_at_s
            )
            self._upstreams[announcement.name] = known
        known.announcement = announcement
        known.splitter = splitter
        known.expires_at_s = expires_at_s
        known.is_leaving = False
        known.shares = {}
        self._tell_all(UpstreamAnnounced(announcement=announcement))
        self._split(known, now_s)

    def withdraw(self, upstream: str, now_s: float, reason: str = "left") -> bool:
        """Stops new work for an upstream; returns False when it is unknown."""
        slots = self._upstreams.get(upstream)
        if slots is None or slots.is_leaving:
            return slots is not None
        slots.is_leaving = True
        self._tell_all(UpstreamGone(upstream=upstream, reason=reason))
        for task in slots.take_waiting(lambda task: True):
            self._end(task, upstream, TaskOutcome.NOT_STARTED, 0.0, b"", reason, now_s)
        self._flush_due(now_s)
        return True

    def on_link_event(self, event: LinkEvent, now_s: float) -> None:
        """Takes an event of the link to an entry."""
        if isinstance(event, PeerUp):
            self._entry_up(event, now_s)
        elif isinstance(event, PeerDown):
            if self._entries.down(event.peer):
                for slots in self._upstreams.values():
                    slots.is_dirty = True
        else:
            self._entries.renew(event.peer, event.confirmed_at_s)
            if isinstance(event, MessageReceived):
                self._receive(event.peer, event.message, now_s)
        self._flush_due(now_s)

    def call_ended(
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
        """Takes the end of a call that StartCall began."""
        slots = self._upstreams[upstream]
        task = slots.running.pop((job, index), None)
        if task is None:
            return
        verdict = classify_call(end)
        reason = "" if verdict.completed else end.value
        if verdict.completed:
            outcome = TaskOutcome.COMPLETED
            slots.learn(run_s)
        elif not verdict.started:
            outcome = TaskOutcome.NOT_STARTED
        elif verdict.known:
            outcome = TaskOutcome.FAILED
        else:
            outcome = TaskOutcome.UNKNOWN
        self._start_waiting(slots, now_s)
        self._end(task, upstream, outcome, run_s, body, reason, now_s)
        self._flush_due(now_s)

    def tick(self, now_s: float) -> None:
        """Lets time pass: ends leases, fences silent entries, sends results."""
        for name, slots in list(self._upstreams.items()):
            if not slots.is_leaving and now_s >= slots.expires_at_s:
                self.withdraw(name, now_s, "announcement_expired")
        for name in self._entries.take_lapsed(now_s):
            self._stop_work_of(name, now_s)
        for slots in self._upstreams.values():
            is_due = now_s - slots.split_at_s >= self._timing.split_interval_s
            if slots.is_dirty and is_due:
                self._split(slots, now_s)
        self._custody.forget_closed(now_s)
        self._flush_due(now_s)

    def next_due_s(self, now_s: float) -> float:
        """Returns the time until something is due."""
        due_s = min(_TICK_S, max(0.0, self._reporter.due_at_s - now_s))
        if any(slots.is_dirty for slots in self._upstreams.values()):
            due_s = min(due_s, self._timing.split_interval_s)
        return due_s

    # --- entries -------------------------------------------------------------

    def _entry_up(self, event: PeerUp, now_s: float) -> None:
        if event.role != "entry":
            return
        self._entries.up(event.peer, restarted=event.restarted)
        for slots in self._upstreams.values():
            slots.shares.pop(event.peer, None)
            if not slots.is_leaving:
                announced = UpstreamAnnounced(announcement=slots.announcement)
                self._send(event.peer, announced)
                self._split(slots, now_s)

    def _receive(self, peer: str, message: Message, now_s: float) -> None:
        match message:
            case DispatchBatch():
                self._on_dispatch(peer, message, now_s)
            case SlotDemand():
                self._on_demand(peer, message.backlog, now_s)
            case CancelJobs():
                for job in message.jobs:
                    self._cancel(peer, job, now_s)
            case JobsClosed():
                for job in message.jobs:
                    self._custody.close(peer, job, now_s)
            case RecoverJobs():
                self._on_recover(peer, message, now_s)
            case ConfigurationUpdate():
                if message.version > self._configuration.version:
                    self._configuration = message
            case _:
                self._count_wasted("unexpected")

    def _on_demand(self, peer: str, backlog: dict[str, int], now_s: float) -> None:
        for upstream, waiting in backlog.items():
            before = self._entries.set_backlog(peer, upstream, waiting)
            slots = self._upstreams.get(upstream)
            if slots is None or before is None or before == waiting:
                continue
            if not before:
                self._split(slots, now_s)
            else:
                slots.is_dirty = True

    def _on_dispatch(self, peer: str, batch: DispatchBatch, now_s: float) -> None:
        is_fenced = self._custody.is_fenced(peer, batch.incarnation)
        for item in batch.items:
            for start in item.tasks:
                reason = self._refusal(item, start)
                if is_fenced:
                    reason = "fenced"
                elif not self._entries.has_lease(peer, now_s):
                    reason = "lease_lapsed"
                self._take(peer, item, start, reason, now_s)
        self._on_demand(peer, batch.backlog, now_s)
        for name in sorted({item.upstream for item in batch.items}):
            slots = self._upstreams.get(name)
            if slots is not None:
                self._start_waiting(slots, now_s)

    def _refusal(self, item: DispatchItem, start: TaskStart) -> str:
        """Returns why a task must not be taken, or an empty string."""
        reason = self._custody.refusal(item, start)
        if reason:
            return reason
        slots = self._upstreams.get(item.upstream)
        return "upstream_gone" if slots is None or slots.is_leaving else ""

    def _take(
        self,
        peer: str,
        item: DispatchItem,
        start: TaskStart,
        reason: str,
        now_s: float,
    ) -> None:
        task = HeldTask(
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
            self._refuse(task, item, reason, now_s)
            return
        self._custody.accept(peer, item, start)
        self._upstreams[item.upstream].queue.append(task)

    def _refuse(
        self, task: HeldTask, item: DispatchItem, reason: str, now_s: float
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
        self._report(task.entry, result, now_s, is_urgent=True)

    def _cancel(self, peer: str, job: str, now_s: float) -> None:
        holding = self._custody.get(job)
        if holding is None or holding.owner != peer:
            return
        for slots in self._upstreams.values():
            self._drop_waiting(slots, holding, job)
            for task in slots.running.values():
                if task.job == job:
                    self._stop(task)
            self._start_waiting(slots, now_s)

    # --- change of owner -----------------------------------------------------

    def _on_recover(self, peer: str, message: RecoverJobs, now_s: float) -> None:
        """Fences the former owners and reports all that is held of the jobs."""
        for former in message.fenced:
            self._custody.fence(former)
        holdings = []
        for job in message.jobs:
            holding = self._adopt(peer, job, now_s)
            if holding is not None:
                holdings.append(holding)
        self._send(peer, JobsRecovered(recovery=message.recovery, holdings=holdings))

    def _adopt(self, peer: str, job: JobEpoch, now_s: float) -> JobHoldings | None:
        holding = self._custody.adopt(peer, job)
        if holding is None:
            return None
        running = []
        for slots in self._upstreams.values():
            self._drop_waiting(slots, holding, job.job)
            for task in slots.running.values():
                if task.job == job.job:
                    running.append((task.index, task.attempt))
            self._start_waiting(slots, now_s)
        holding.attempts = dict(running)
        return JobHoldings(
            job=job.job, running=running, finished=list(holding.finished.values())
        )

    def _stop_work_of(self, entry: str, now_s: float) -> None:
        """Drops what waits and stops what may run again for a silent entry."""
        for name, slots in self._upstreams.items():
            for task in slots.take_waiting(lambda task: task.entry == entry):
                outcome = TaskOutcome.NOT_STARTED
                self._end(task, name, outcome, 0.0, b"", "owner_silent", now_s)
            if not slots.announcement.stops_on_disconnect:
                continue
            for task in slots.running.values():
                holding = self._custody.get(task.job)
                owner = holding.owner if holding else task.entry
                if owner == entry and task.repeatable:
                    self._stop(task)

    def _drop_waiting(
        self, slots: UpstreamSlots, holding: JobHolding, job: str
    ) -> None:
        """Drops the tasks of a job that have not started; nobody is told."""
        holding.active -= len(slots.take_waiting(lambda task: task.job == job))

    def _stop(self, task: HeldTask) -> None:
        self._effects.append(
            StopCall(job=task.job, index=task.index, attempt=task.attempt)
        )

    # --- slots ---------------------------------------------------------------

    def _start_waiting(self, slots: UpstreamSlots, now_s: float) -> None:
        announcement = slots.announcement
        while slots.queue and len(slots.running) < announcement.slots:
            task = slots.queue.popleft()
            reason = self._refusal_of_start(task, now_s)
            if reason:
                outcome = TaskOutcome.NOT_STARTED
                self._end(task, announcement.name, outcome, 0.0, b"", reason, now_s)
                continue
            self._start(slots, task)

    def _refusal_of_start(self, task: HeldTask, now_s: float) -> str:
        if now_s >= task.expires_at_s:
            return "deadline"
        return "" if self._entries.has_lease(task.entry, now_s) else "lease_lapsed"

    def _start(self, slots: UpstreamSlots, task: HeldTask) -> None:
        slots.running[task.job, task.index] = task
        holding = self._custody.get(task.job)
        if holding is not None:
            holding.started.add(task.index)
        self._effects.append(
            StartCall(
                upstream=slots.announcement.name,
                job=task.job,
                key=task.key,
                service=task.service,
                index=task.index,
                attempt=task.attempt,
                payload=task.payload,
                limit_s=task.run_limit_s,
            )
        )

    def _split(self, slots: UpstreamSlots, now_s: float) -> None:
        """Splits an upstream's slots anew and sends the grants that changed."""
        backlog = self._entries.backlogs(slots.announcement.name)
        for peer, grant in slots.split(backlog, now_s):
            self._send(peer, grant)

    # --- results -------------------------------------------------------------

    def _end(
        self,
        task: HeldTask,
        upstream: str,
        outcome: TaskOutcome,
        run_s: float,
        body: bytes,
        reason: str,
        now_s: float,
    ) -> None:
        """Records the end of a task and reports it to the job's owner."""
        holding = self._custody.get(task.job)
        if holding is None:
            self._count_wasted("late")
            return
        holding.active -= 1
        result = TaskResult(
            job=task.job,
            epoch=holding.epoch,
            index=task.index,
            attempt=task.attempt,
            upstream=upstream,
            outcome=outcome,
            run_s=run_s,
            body=body,
            reason=reason,
        )
        if outcome is not TaskOutcome.NOT_STARTED:
            holding.finished[task.index] = result
        is_urgent = (
            holding.active == 0
            or reason != ""
            or self._is_starving(upstream, holding.owner)
        )
        self._report(holding.owner, result, now_s, is_urgent=is_urgent)

    def _is_starving(self, upstream: str, owner: str) -> bool:
        """Tells whether the upstream idles while work for it waits at the owner."""
        if self._upstreams[upstream].queue:
            return False
        return self._entries.backlog(owner, upstream) > 0

    def _report(
        self, peer: str, result: TaskResult, now_s: float, *, is_urgent: bool
    ) -> None:
        hold_s = 0.0 if is_urgent else self._timing.result_hold_s
        self._reporter.add(peer, result, now_s + hold_s)

    def _flush_due(self, now_s: float) -> None:
        for peer, batch in self._reporter.take_due(now_s):
            self._send(peer, batch)

    def _send(self, peer: str, message: Message) -> None:
        self._effects.append(SendMessage(peer=peer, message=message))

    def _tell_all(self, message: Message) -> None:
        for peer in self._entries.names:
            self._send(peer, message)

    def _count_wasted(self, cause: str) -> None:
        self._wasted[cause] = self._wasted.get(cause, 0) + 1
