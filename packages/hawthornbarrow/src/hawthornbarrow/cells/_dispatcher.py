"""Dispatcher: the sans-I/O state machine that runs the jobs of a cell.

A dispatcher dispatches for one term and keeps its jobs in memory only. Entries keep
the connections to the callers and hand their jobs over to the next dispatcher, which
learns from the agents which tasks are running already.
"""

import collections
import collections.abc
import math

import structlog

from hawthornbarrow.cells._admission import Admission
from hawthornbarrow.cells._cancelled_jobs import CancelledJobs
from hawthornbarrow.cells._contention_control import ContentionControl
from hawthornbarrow.cells._crash_history import CrashHistory
from hawthornbarrow.cells._crash_monitor import CrashMonitor
from hawthornbarrow.cells._dispatch_scope import DispatchScope, ScopedJobs
from hawthornbarrow.cells._evacuation import EvacuationState
from hawthornbarrow.cells._job_limits import InvalidJobError, check_document
from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._job_registry import JobRegistry
from hawthornbarrow.cells._load_features import NO_FEATURES, LoadFeature
from hawthornbarrow.cells._messages import (
    AttachWorker,
    CellMessage,
    DispatcherHeartbeat,
    JobAnswer,
    SubmitJob,
    WorkerReport,
)
from hawthornbarrow.cells._ordering import JobOrder, TimelyPriorityOrder
from hawthornbarrow.cells._parts import (
    ActiveRun,
    EndedRun,
    JobState,
    QueueLevel,
    Resources,
    RunOutcome,
    TaskKey,
    WorkerRecord,
)
from hawthornbarrow.cells._previous_runs import PreviousRuns
from hawthornbarrow.cells._queue_capacity import QueueCapacity
from hawthornbarrow.cells._queue_isolation import QueueIsolation
from hawthornbarrow.cells._task_placer import TaskPlacer
from hawthornbarrow.cells._timing import RunLeaseTiming
from hawthornbarrow.cells._waiting_jobs import plain_work_ahead_core_s
from hawthornbarrow.cells._worker_decisions import build_worker_decisions
from hawthornbarrow.cells._worker_pool import (
    ATTACH_WINDOW_S,
    DIRECTORY_ATTACH_WINDOW_S,
    WorkerPool,
)
from hawthornbarrow.cells._worker_selector import WorkerSelector
from hawthornbarrow.cells._worker_view import Run, WorkerView
from hawthornbarrow.queues import QueueTable

# Attempt numbers that a term reserves for starts of a task that a previous dispatcher
# may have ordered.
ATTEMPTS_PER_TERM = 8
_RETRY_AFTER_S = 1.0
_UNRUNNABLE_REASON = "no worker can run it"
# Upstreams that crashed are back after some seconds.
_UNRUNNABLE_RETRY_AFTER_S = 3.0
_SWEEP_INTERVAL_S = 0.1

_log = structlog.get_logger()


class Dispatcher:
    """Places the tasks of all jobs on the workers of all agents.

    Args:
        term: Term in which it dispatches.
        timing: Durations of the leases.
        expected: Agents that may still run tasks of a previous dispatcher.
        now_s: Current time.
        has_lease_expired: Whether the leases of the previous dispatcher have expired.
        order: Order in which waiting jobs are placed.
        features: Optional features that the deployment has enabled.
        resend_s: Minimum time after which a caller whose connection broke submits its
            job again, or None when unknown.
    """

    def __init__(
        self,
        *,
        term: int,
        timing: RunLeaseTiming,
        expected: collections.abc.Iterable[str],
        now_s: float,
        has_lease_expired: bool = False,
        order: JobOrder | None = None,
        features: frozenset[LoadFeature] = NO_FEATURES,
        resend_s: float | None = None,
    ) -> None:
        """Initializes a dispatcher without agents, which awaits the expected ones."""
        self._term = term
        self._decisions = build_worker_decisions(features)
        self._run_times = self._decisions.run_times
        self._admission = Admission(
            run_times=self._run_times,
            admits_useful_late_jobs=LoadFeature.GAP_WAITING in features,
        )
        self._monitor = self._decisions.monitor
        self._pool = WorkerPool(
            term=term,
            timing=timing,
            run_times=self._run_times,
            expected=expected,
            now_s=now_s,
            has_lease_expired=has_lease_expired,
            index=self._decisions.index,
            attach_window_s=(
                DIRECTORY_ATTACH_WINDOW_S
                if LoadFeature.UPSTREAM_DIRECTORY in features
                else ATTACH_WINDOW_S
            ),
        )
        self._scoped_jobs = ScopedJobs(timing=timing, resend_s=resend_s)
        self._cancelled_jobs = CancelledJobs()
        self._previous_runs = PreviousRuns(recovery_until_s=self._pool.recovery_until_s)
        self._crash_history = CrashHistory()
        self._isolation = QueueIsolation()
        self._capacity = QueueCapacity(pool=self._pool, isolation=self._isolation)
        self._table: QueueTable | None = None
        self._swept_at_s = now_s
        self._has_changes = True
        self._is_handover_complete = False
        self._new_before_s = -math.inf
        self._counts: collections.Counter[str] = collections.Counter()
        self._contention = ContentionControl(
            features=features,
            admission=self._admission,
            run_times=self._run_times,
            capacity=self._capacity,
            counts=self._counts,
            now_s=now_s,
        )
        self._job_registry = JobRegistry(
            term=term, order=self._contention.order_for(order or TimelyPriorityOrder())
        )
        self._contention.set_waiting(self._job_registry.waiting)
        self._crash_monitor = CrashMonitor(
            history=self._crash_history,
            isolation=self._isolation,
            counts=self._counts,
        )
        selector = WorkerSelector(suspect_after_s=self._pool.suspect_after_s)
        self._task_placer = TaskPlacer(
            term=term,
            pool=self._pool,
            job_registry=self._job_registry,
            run_times=self._run_times,
            crash_history=self._crash_history,
            isolation=self._isolation,
            contention=self._contention,
            counts=self._counts,
            selector=selector,
            choice=self._decisions.build_choice(self._pool, selector, self._counts),
        )

    @property
    def counts(self) -> collections.Counter[str]:
        """Number of events of each kind in this term."""
        return self._counts

    @property
    def gauges(self) -> dict[str, int]:
        """Current values of the gauges of the enabled features, by name."""
        return {**self._run_times.gauges, **self._contention.gauges}

    @property
    def term(self) -> int:
        """Term in which it dispatches."""
        return self._term

    @property
    def workers(self) -> dict[str, WorkerView]:
        """Attached agents by name."""
        return self._pool.workers

    @property
    def evacuation(self) -> EvacuationState:
        """The state of the evacuations in force."""
        return self._pool.evacuation

    @property
    def evacuated_count(self) -> int:
        """Number of attached workers in evacuated data centres."""
        return self._pool.evacuated_count

    @property
    def jobs(self) -> dict[str, JobRecord]:
        """Jobs by id, including recently ended ones."""
        return self._job_registry.jobs

    @property
    def waiting_count(self) -> int:
        """Number of jobs with waiting tasks."""
        return len(self._job_registry.waiting)

    def is_recovering(self, now_s: float) -> bool:
        """Returns whether unreported runs of a previous dispatcher may exist."""
        return self._pool.is_recovering(now_s)

    @property
    def is_handover_complete(self) -> bool:
        """Whether all entries have handed over the jobs they had before its term."""
        return self._is_handover_complete

    def record_handover_complete(self) -> None:
        """Records that all entries have handed over the jobs they had before its term.

        Jobs that arrive from now on, and were not submitted to a previous dispatcher,
        are new. They need not wait for agents that may still run previous tasks.
        """
        self._is_handover_complete = True
        self._has_changes = True

    def record_new_before(self, received_before_s: float) -> None:
        """Records that jobs received before a time can not be resubmissions.

        Such a job is new, as after `record_handover_complete`, unless it was submitted
        to a previous dispatcher.

        Args:
            received_before_s: Time before which the job's entry received it.
        """
        if received_before_s > self._new_before_s:
            self._new_before_s = received_before_s
            self._has_changes = True
            _log.info(
                "new_jobs_known",
                received_before_s=round(received_before_s, 3),
                term=self._term,
            )

    @property
    def scope(self) -> DispatchScope:
        """How far this dispatcher knows that no other one is at work."""
        return self._scoped_jobs.scope

    def set_scope(
        self, scope: DispatchScope, entries: collections.abc.Set[str]
    ) -> None:
        """Sets how far this dispatcher knows that no other one is at work.

        Args:
            scope: The scope.
            entries: Entries that are known to follow this dispatcher.
        """
        if scope is not self._scoped_jobs.scope:
            _log.info(
                "dispatch_scope_changed",
                term=self._term,
                scope=scope.value,
                former=self._scoped_jobs.scope.value,
                workers=len(self._pool.workers),
                entries=len(entries),
            )
            self._has_changes = True
        self._scoped_jobs.set_scope(scope, entries)

    def on_entry_restarted(self, entry: str) -> None:
        """Forgets an entry that has restarted, as its callers' connections broke."""
        for record in self._job_registry.jobs.values():
            record.entries.discard(entry)

    def set_table(self, table: QueueTable) -> None:
        """Sets the configuration in force."""
        self._table = table
        self._task_placer.set_table(table)
        self._contention.set_table(table)
        self._has_changes = True

    def set_evacuation(
        self,
        state: EvacuationState,
        withdrawn_at_s: collections.abc.Mapping[str, float],
        now_s: float,
    ) -> None:
        """Puts a state of the evacuations in force.

        From now on no task is started in evacuated data centres. The next tick refuses
        the jobs that only workers there could run.

        Args:
            state: The state.
            withdrawn_at_s: When recent withdrawals were seen, by data centre.
            now_s: Current time.
        """
        self._pool.set_evacuation(state, withdrawn_at_s, now_s)
        self._swept_at_s = -math.inf
        self._has_changes = True
        _log.info(
            "evacuation_in_force",
            term=self._term,
            revision=state.revision,
            data_centres=" ".join(state.data_centres),
            withdrawn=" ".join(sorted(withdrawn_at_s)),
            evacuated_workers=self.evacuated_count,
            workers=len(self._pool.workers),
        )

    def state_of(self, job: str) -> JobState:
        """Returns the state of a job that callers see."""
        state = self._job_registry.state_of(job)
        if state is JobState.UNKNOWN and job in self._cancelled_jobs:
            return JobState.CANCELLED
        return state

    def awaits_first_attach(self, agent: str) -> bool:
        """Returns whether no run that this dispatcher ordered can be at an agent.

        That is before its first session, and once its leases have expired.
        """
        return self._pool.awaits_first_attach(agent)

    def heartbeat_for_agent(
        self,
        agent: str,
        heard_at_s: float,
        known_worker: WorkerRecord | None = None,
        *,
        sent_at_s: float = -math.inf,
    ) -> DispatcherHeartbeat:
        """Returns the heartbeat for an agent.

        Args:
            agent: Name of the agent.
            heard_at_s: When, on its own clock, it sent its newest heard frame.
            known_worker: Worker that the ledger lists for it.
            sent_at_s: Current time, or negative infinity to tell none.
        """
        worker = self._pool.workers.get(agent)
        return DispatcherHeartbeat(
            term=self._term,
            heard_at_s=heard_at_s,
            version=self._table.version if self._table else 0,
            session=worker.session if worker else 0,
            noted=worker.acknowledged if worker else 0,
            known_worker=known_worker if self.awaits_first_attach(agent) else None,
            sent_at_s=sent_at_s,
        )

    def count_waiting_by_queue(self) -> dict[str, int]:
        """Returns the number of jobs that have not begun, by queue."""
        return self._job_registry.count_not_begun_by_queue()

    def queue_levels(self, now_s: float) -> tuple[QueueLevel, ...]:
        """Returns what new jobs of each queue can expect, empty where that is off.

        It is also empty while workers are unknown, as admission then refuses nothing.
        """
        if self._pool.is_in_attach_window(now_s) or self.is_recovering(now_s):
            return ()
        return self._contention.levels(now_s)

    def heartbeat_for_entry(
        self,
        heard_at_s: float,
        version: int,
        waiting: dict[str, int],
        levels: tuple[QueueLevel, ...] = (),
    ) -> DispatcherHeartbeat:
        """Returns the heartbeat for an entry.

        Args:
            heard_at_s: When, on its own clock, the entry sent its newest heard frame.
            version: Version of the configuration in force.
            waiting: Number of jobs that have not begun, by queue.
            levels: What new jobs of each queue can expect.
        """
        return DispatcherHeartbeat(
            term=self._term,
            heard_at_s=heard_at_s,
            version=version,
            waiting=waiting,
            evacuation_revision=self.evacuation.revision,
            evacuated=self.evacuation.data_centres,
            levels=levels,
            releases_jobs=True,
        )

    def take_messages(self) -> list[tuple[str, CellMessage]]:
        """Returns the messages to send with their receivers, and clears them."""
        return self._job_registry.take_answers() + self._pool.take_orders()

    # Agents

    def attach(self, agent: str, message: AttachWorker, now_s: float) -> None:
        """Attaches an agent and adopts the runs that it reports."""
        if message.term != self._term:
            return
        known = self._pool.workers.get(agent)
        if known is not None and known.session == message.session:
            known.heard_at_s = now_s
            return
        if known is not None and message.sent_at_s < known.attach_sent_at_s:
            # It lists fewer runs than exist by now.
            _log.info("attach_request_outdated", agent=agent, session=message.session)
            return
        former_runs = list(known.runs.values()) if known is not None else []
        if known is not None:
            self._detach(known, "attached anew", now_s)
        worker = self._pool.attach(agent, message, now_s)
        for run in message.running:
            if worker is not None:
                self._adopt_run(worker, run, now_s)
        self._crash_monitor.on_ended_runs(
            message.ended, now_s, sent_at_s=message.sent_at_s
        )
        if known is not None:
            self._crash_monitor.on_attached_anew(known, former_runs, message, now_s)
        for ended in message.ended:
            self._adopt_ended_run(agent, ended, now_s)
        self._has_changes = True

    def on_agent_restarted(self, agent: str, now_s: float, *, process: int = 0) -> None:
        """Records that an agent has restarted, perhaps with an earlier clock.

        It drops orders of its former attachment, so it gets none until it attaches. It
        does so once the leases of all former runs have expired, or earlier. Its direct
        link may come up after its new process has attached through a relay.

        Args:
            agent: Name of the agent.
            now_s: Current time.
            process: Random number of its new process, zero if unknown.
        """
        worker = self._pool.workers.get(agent)
        if worker is not None and not (process and process == worker.process):
            worker.attach_sent_at_s = -math.inf
            self._pool.await_attach(worker, now_s)

    def report(self, agent: str, message: WorkerReport, now_s: float) -> None:
        """Processes a report of an attached agent."""
        worker = self._pool.workers.get(agent)
        if worker is None or worker.session != message.session:
            return
        worker.heard_at_s = now_s
        if message.is_leaving and not worker.is_leaving:
            worker.is_leaving = True
            _log.info("worker_leaving", agent=agent, upstream=worker.record.incarnation)
        self._decisions.drain_policy.on_report(worker, message, now_s)
        worker.is_silent = message.is_silent
        if message.capacity not in (None, worker.record.capacity):
            self._set_capacity(worker, message.capacity)
        self._crash_monitor.on_ended_runs(message.ended, now_s)
        for ended in message.ended:
            if ended.number > worker.acknowledged:
                worker.acknowledged = ended.number
                self._end_run(worker, ended, now_s)
        for task in message.stalled:
            self._stop_stalled(worker, task, now_s)
        self._pool.refresh(worker, now_s)
        self._has_changes = True

    def _set_capacity(self, worker: WorkerView, capacity: Resources) -> None:
        _log.info(
            "worker_capacity_changed",
            agent=worker.agent,
            upstream=worker.record.incarnation,
            cpu=capacity.cpu,
            memory_mb=capacity.memory_mb,
            former_cpu=worker.record.capacity.cpu,
            free_cpu=worker.free.cpu,
        )
        worker.set_capacity(capacity)

    def on_frame(self, agent: str, now_s: float) -> None:
        """Records that a frame of an agent arrived."""
        if self._pool.on_frame(agent, now_s):
            self._has_changes = True

    def _detach(self, worker: WorkerView, reason: str, now_s: float) -> None:
        """Detaches an agent and queues its tasks again."""
        self._counts["worker_lost"] += 1
        self._pool.detach(worker, reason, now_s)
        tasks = list(worker.runs)
        self._crash_monitor.on_detached(worker, now_s)
        for task in tasks:
            self._pool.remove_run(worker, task, now_s)
        for task in tasks:
            self._requeue(worker.agent, task, RunOutcome.LOST, now_s, reason)
        self._has_changes = True

    def _adopt_run(self, worker: WorkerView, active: ActiveRun, now_s: float) -> None:
        run = Run(
            task=active.task,
            attempt=active.attempt,
            needs=active.needs,
            started_at_s=now_s - active.age_s,
        )
        self._pool.add_run(worker, run, now_s)
        self._crash_monitor.on_adopted_run(active, now_s)
        self._previous_runs.record_trace(active.task.job, now_s)
        if active.task.job in self._cancelled_jobs:
            self._pool.order_stop(worker, run)
            return
        record = self._job_registry.jobs.get(active.task.job)
        if record is not None and not record.state.is_final:
            self._assign_run(record, worker, run)
        else:
            self._previous_runs.record_run(active.task, worker.agent, now_s)

    def _adopt_ended_run(self, agent: str, ended: EndedRun, now_s: float) -> None:
        """Takes an ended run into account, also of an agent without an upstream."""
        worker = self._pool.workers.get(agent)
        if worker is not None:
            worker.acknowledged = max(worker.acknowledged, ended.number)
        self._previous_runs.record_trace(ended.task.job, now_s)
        if ended.end is not RunOutcome.DONE:
            return
        record = self._job_registry.jobs.get(ended.task.job)
        if record is None:
            self._previous_runs.record_done(ended.task, now_s)
            return
        self._end_task(record, agent, ended, now_s)

    def _assign_run(self, record: JobRecord, worker: WorkerView, run: Run) -> None:
        """Assigns a run that a previous dispatcher started to its task."""
        key = run.task
        progress = record.progress(key)
        if progress is None or progress.worker or progress.is_done:
            self._pool.order_stop(worker, run)
            return
        record.begin(key.step, key.index, worker.agent)
        progress.attempts = max(progress.attempts, run.attempt)
        self._job_registry.on_tasks_changed(record)
        _log.info(
            "run_adopted",
            job=key.job,
            task=str(key),
            agent=worker.agent,
            term=self._term,
        )

    # Jobs

    def submit(self, entry: str, message: SubmitJob, now_s: float) -> None:
        """Accepts or refuses a job, or adds the entry to a known job.

        A submission to a former dispatcher is ignored: links repeat it after a
        partition, when the entry may have submitted the job to others, and again here.
        """
        job = message.document.job
        if message.term not in (0, self._term):
            self._counts["late_submission"] += 1
            _log.info(
                "late_submission_ignored",
                job=job,
                entry=entry,
                submitted_in_term=message.term,
                term=self._term,
            )
            return
        if message.was_offered:
            self._previous_runs.record_previous_submission(
                job, now_s - message.age_s, now_s
            )
        known = self._job_registry.jobs.get(job)
        if known is not None and known.state is not JobState.CANCELLED:
            self._scoped_jobs.on_submission(known, entry, message, now_s)
            known.entries.add(entry)
            known.is_new = known.is_new and not message.was_offered
            if known.state.is_final:
                self._job_registry.answer(known)
            return
        if job in self._cancelled_jobs:
            state = JobState.CANCELLED
            answer = JobAnswer(
                job=job, state=state, reason="cancelled", term=self._term
            )
            self._job_registry.refuse(entry, answer)
            return
        try:
            check_document(message.document)
        except InvalidJobError as error:
            self._refuse(entry, job, str(error), _RETRY_AFTER_S)
            return
        queue = self._table.queues.get(message.document.queue) if self._table else None
        if queue is None:
            self._refuse(entry, job, "the queue is not in force", _RETRY_AFTER_S)
            return
        if known is not None and known.running_count:
            # Its runs are being stopped; it must not start before they have ended.
            self._refuse(
                entry, job, "its cancelled runs have not ended", _RETRY_AFTER_S
            )
            return
        record = JobRecord(
            document=message.document,
            queue=queue,
            arrived_at_s=now_s - message.age_s,
            first_attempt=self._first_attempt(message, known),
            data_centre=message.data_centre,
        )
        chain_s = self._run_times.expected_s(
            queue.name, record.document.longest_chain_s
        )
        record.set_times(chain_s)
        self._isolation.record_submission(queue.service, queue.name, now_s)
        self._scoped_jobs.on_submission(record, entry, message, now_s)
        record.entries.add(entry)
        record.is_new = not message.was_offered and not self._previous_runs.has_trace(
            job
        )
        cause = self._crash_history.cause_in(job)
        if cause is not None:
            self._job_registry.add(record)
            self._fail_crashing(record, cause, now_s)
            return
        self._contention.record_request(record, now_s, was_offered=message.was_offered)
        if self._refuse_unless_admitted(entry, record, message, now_s):
            return
        self._job_registry.add(record)
        self._assign_previous_runs(record, now_s)
        self._has_changes = True

    def withdraw(self, job: str, now_s: float, *, is_cancelled: bool = False) -> None:
        """Ends a job and stops its runs.

        Args:
            job: Id of the job.
            now_s: Current time.
            is_cancelled: Whether a caller cancelled it. Then a submission that arrives
                later, for example in a handover, is answered as cancelled. A job that
                callers left may be submitted again.
        """
        if is_cancelled:
            self._cancelled_jobs.add(job, now_s)
            self._pool.stop_job(job)
        record = self._job_registry.jobs.get(job)
        if record is None or record.state.is_final:
            return
        self._close(record, JobState.CANCELLED, "withdrawn", now_s)

    def _first_attempt(self, message: SubmitJob, known: JobRecord | None) -> int:
        """Returns the highest attempt number that upstreams may have seen already."""
        if known is not None:
            return max(
                (task.attempts for step in known.tasks for task in step), default=0
            )
        return self._term * ATTEMPTS_PER_TERM if message.was_offered else 0

    def _refuse_unless_admitted(
        self, entry: str, record: JobRecord, message: SubmitJob, now_s: float
    ) -> bool:
        if message.was_offered or self._pool.is_in_attach_window(now_s):
            return False
        if not self._can_run(record, now_s):
            self._refuse_unrunnable(record, now_s)
            return True
        capacity = self._capacity.of_queue(record.queue.service, record.queue.name)
        delay_s = self._start_delay_s(record, now_s)
        decision = self._contention.evaluate(
            record,
            self._work_ahead_core_s(record, delay_s, now_s),
            capacity,
            now_s,
            start_delay_s=delay_s,
        )
        if decision.is_admitted:
            return False
        self._counts["job_refused"] += 1
        retry_after_s = self._contention.refuse(
            record, decision.predicted_wait_s, decision.retry_after_s, capacity, now_s
        )
        _log.info(
            "job_refused",
            job=record.job,
            queue=record.queue.name,
            predicted_wait_s=round(decision.predicted_wait_s, 3),
            slack_s=round(decision.slack_s, 3),
            waiting=self.waiting_count,
            workers=capacity.worker_count,
            retry_after_s=round(retry_after_s, 1),
            **self._contention.describe(record, capacity, now_s),
        )
        self._refuse(entry, record.job, "no room in time", retry_after_s)
        return True

    def _work_ahead_core_s(
        self, record: JobRecord, delay_s: float, now_s: float
    ) -> float:
        """Returns the expected work of the jobs that get capacity before a new one.

        While a recovery lasts, jobs that must wait longer for it do not count.
        """
        waiting = self._job_registry.waiting
        if not self._pool.is_recovering(now_s):
            return waiting.work_ahead_core_s(
                record.queue.priority,
                self._run_times,
                now_s,
                shares_workers=lambda other: self._capacity.are_shared(
                    record.queue.service, record.queue.name, other
                ),
            )
        ahead = (
            job
            for job in waiting.records.values()
            if self._start_delay_s(job, now_s) <= delay_s
            and self._capacity.are_shared(
                record.queue.service, record.queue.name, job.queue.name
            )
        )
        return plain_work_ahead_core_s(
            ahead, record.queue.priority, self._run_times, now_s
        )

    def _can_run(self, record: JobRecord, now_s: float) -> bool:
        service = self._task_placer.service_of(record)
        return self._capacity.can_run(record, service, now_s)

    def _refuse_unrunnable(self, record: JobRecord, now_s: float) -> None:
        """Refuses a job of which no worker can run a step."""
        self._counts["job_unrunnable"] += 1
        _log.info(
            "job_refused",
            job=record.job,
            queue=record.queue.name,
            reason=_UNRUNNABLE_REASON,
            slack_s=round(record.start_by_s - now_s, 3),
            workers=len(self._pool.workers),
        )
        for entry in record.entries:
            self._refuse(
                entry, record.job, _UNRUNNABLE_REASON, _UNRUNNABLE_RETRY_AFTER_S
            )
        record.entries.clear()

    def _refuse(self, entry: str, job: str, reason: str, retry_after_s: float) -> None:
        answer = JobAnswer(
            job=job,
            state=JobState.UNKNOWN,
            reason=reason,
            retry_after_s=retry_after_s,
            has_not_run=self.has_not_run(job),
            term=self._term,
        )
        self._job_registry.refuse(entry, answer)

    def has_not_run(self, job: str) -> bool:
        """Returns whether a job not begun here is known never to have run.

        For a job that was submitted to a previous dispatcher this is known only once
        all agents that may have run its tasks have reported their runs.
        """
        reported_from_s = self._pool.reported_from_s
        may_have_run = self._previous_runs.may_have_run(
            job, reported_from_s=reported_from_s
        )
        if self._previous_runs.was_submitted_before(job):
            _log.info(
                "previous_runs_checked",
                job=job,
                may_have_run=may_have_run,
                has_trace=self._previous_runs.has_trace(job),
                reported_from_s=round(reported_from_s, 3),
                term=self._term,
            )
        return not may_have_run

    def _assign_previous_runs(self, record: JobRecord, now_s: float) -> None:
        """Assigns runs and results of a previous dispatcher to a job's tasks."""
        for step, tasks in enumerate(record.tasks):
            for index in range(len(tasks)):
                key = TaskKey(job=record.job, step=step, index=index)
                if self._previous_runs.pop_done(key):
                    record.end(step, index, is_done=True)
                    continue
                worker = self._pool.workers.get(self._previous_runs.pop_run(key))
                if worker is not None and key in worker.runs:
                    self._assign_run(record, worker, worker.runs[key])
        if record.is_done:
            self._close(record, JobState.COMPLETE, "done before", now_s)

    def _close(
        self, record: JobRecord, state: JobState, reason: str, now_s: float
    ) -> None:
        self._counts[f"job_{state.value}"] += 1
        self._job_registry.close(record, state, reason, now_s)
        self._pool.stop_job(record.job)

    def _fail_crashing(self, record: JobRecord, task: TaskKey, now_s: float) -> None:
        """Fails a job that can not be done, as a task of it crashes upstreams."""
        upstreams = self._crash_history.crashes_under(task)
        reason = f"{len(upstreams)} upstreams crashed under task {task}"
        self._close(record, JobState.FAILED, reason, now_s)

    # Runs

    def _stop_stalled(self, worker: WorkerView, task: TaskKey, now_s: float) -> None:
        run = worker.runs.get(task)
        if run is None or run.is_stopping:
            return
        self._monitor.on_run_stalled(worker, run, now_s)
        record = self._job_registry.jobs.get(task.job)
        progress = record.progress(task) if record else None
        if progress is not None:
            progress.avoided.add(worker.agent)
        self._pool.order_stop(worker, run)

    def _stop_unfinishable_runs(self, worker: WorkerView, now_s: float) -> None:
        """Stops runs that a leaving worker cuts off; their tasks wait again."""
        for run in self._decisions.drain_policy.unfinishable_runs(worker, now_s):
            self._counts["run_stopped_by_drain"] += 1
            _log.info(
                "run_stopped_by_drain",
                job=run.task.job,
                task=str(run.task),
                agent=worker.agent,
                expected_s=round(run.expected_s, 3),
                ran_s=round(now_s - run.started_at_s, 3),
                remaining_s=round(worker.ends_at_s - now_s, 3),
            )
            self._pool.order_stop(worker, run)

    def _end_run(self, worker: WorkerView, ended: EndedRun, now_s: float) -> None:
        run = worker.runs.get(ended.task)
        if run is None or run.attempt != ended.attempt:
            return
        if ended.end is RunOutcome.DONE:
            worker.record_done(run, ended.run_s or now_s - run.started_at_s)
        self._pool.release_run(worker, ended.task)
        self._crash_monitor.on_run_ended(worker, ended, now_s)
        self._counts[f"run_{ended.end.value}"] += 1
        self._previous_runs.remove_run(ended.task)
        record = self._job_registry.jobs.get(ended.task.job)
        self._monitor.on_run_ended(worker, run, ended, record, now_s)
        if record is None:
            if ended.end is RunOutcome.DONE:
                self._previous_runs.record_done(ended.task, now_s)
            return
        self._end_task(record, worker.agent, ended, now_s)

    def _end_task(
        self, record: JobRecord, agent: str, ended: EndedRun, now_s: float
    ) -> None:
        key = ended.task
        progress = record.progress(key)
        if progress is None or progress.is_done:
            return
        is_done = ended.end is RunOutcome.DONE
        if progress.worker and progress.worker != agent and not is_done:
            return
        if record.state.is_final:
            if progress.worker:
                record.end(key.step, key.index, is_done=is_done)
            return
        if is_done:
            self._crash_history.clear(key)
            record.end(key.step, key.index, is_done=True)
            self._job_registry.on_tasks_changed(record)
            if record.is_done:
                self._close(record, JobState.COMPLETE, "all tasks done", now_s)
            return
        if progress.worker:
            self._requeue(agent, key, ended.end, now_s, ended.reason)

    def _requeue(
        self,
        agent: str,
        key: TaskKey,
        end: RunOutcome,
        now_s: float,
        reason: str = "",
    ) -> None:
        """Queues a task again after a run that did not complete."""
        record = self._job_registry.jobs.get(key.job)
        progress = record.progress(key) if record else None
        if record is None or progress is None or progress.worker != agent:
            return
        record.end(key.step, key.index, is_done=False)
        if end is RunOutcome.SUPERSEDED:
            progress.attempts += ATTEMPTS_PER_TERM
        if end is not RunOutcome.STOPPED:
            progress.avoided.add(agent)
        if end is RunOutcome.FAILED:
            progress.failures += 1
        if record.state.is_final:
            return
        _log.info(
            "task_waits_again",
            job=key.job,
            task=str(key),
            agent=agent,
            end=end.value,
            reason=reason,
            failures=progress.failures,
            attempts=progress.attempts,
        )
        if progress.failures >= record.queue.max_attempts:
            self._close(record, JobState.FAILED, f"task {key} failed", now_s)
            return
        self._job_registry.requeue(record)

    # Time

    def tick(self, now_s: float) -> None:
        """Runs periodic maintenance and places waiting tasks."""
        if now_s - self._swept_at_s >= _SWEEP_INTERVAL_S:
            self._swept_at_s = now_s
            self._sweep(now_s)
        is_recovering = self.is_recovering(now_s)
        new_before_s = self._known_new_before_s
        if self._has_changes and (not is_recovering or new_before_s > -math.inf):
            self._has_changes = False
            self._task_placer.place(
                now_s,
                only_new=is_recovering,
                new_before_s=new_before_s,
                may_start=self._scope_filter(now_s),
            )

    def _scope_filter(
        self, now_s: float
    ) -> collections.abc.Callable[[JobRecord], bool] | None:
        if self._scoped_jobs.scope is DispatchScope.ALL:
            return None

        def may_start(job: JobRecord) -> bool:
            is_released = self._scoped_jobs.is_released(job)
            return not is_released and self._scope_delay_s(job, now_s) <= 0.0

        return may_start

    def _scope_delay_s(self, job: JobRecord, now_s: float) -> float:
        """Returns the time until no other dispatcher can run a job."""
        is_new = job.is_new and job.arrived_at_s < self._new_before_s
        return self._scoped_jobs.start_delay_s(
            job, now_s, is_new=is_new, knows_all_runs=not self._pool.has_missing_agents
        )

    def _stop_released_jobs(self, now_s: float) -> None:
        """Stops the runs of jobs whose entries may follow another dispatcher.

        The tasks wait until an entry of the job is heard again.
        """
        for job in self._pool.running_jobs:
            record = self._job_registry.jobs.get(job)
            if record is None or not self._scoped_jobs.is_released(record):
                continue
            if self._pool.stop_job(job):
                self._counts["job_released"] += 1
                _log.info(
                    "job_released",
                    job=job,
                    entries=" ".join(sorted(record.entries)),
                    running=record.running_count,
                    term=self._term,
                )

    def _sweep(self, now_s: float) -> None:
        for worker in self._pool.silent_workers(now_s):
            self._detach(worker, "silent", now_s)
            self._pool.forget_sessions(worker.agent)
        for worker in self._pool.workers.values():
            self._monitor.detect_slow_runs(worker, now_s)
            if worker.is_leaving:
                self._stop_unfinishable_runs(worker, now_s)
        is_part = self._scoped_jobs.scope is DispatchScope.PART
        if is_part:
            self._stop_released_jobs(now_s)
        self._decisions.sweep(now_s)
        self._pool.refresh_all(now_s)
        self._contention.update(now_s)
        if not self._pool.is_in_attach_window(now_s):
            self._refuse_infeasible(now_s)
        for job in list(self._job_registry.waiting.records.values()):
            if now_s > job.give_up_at_s and not job.running_count:
                self._give_up(job, now_s)
        self._job_registry.remove_old_jobs(now_s)
        for cause in self._crash_monitor.update(self._pool.workers.values(), now_s):
            crashing = self._job_registry.jobs.get(cause.task.job)
            if crashing is not None and not crashing.state.is_final:
                self._fail_crashing(crashing, cause.task, now_s)
        unclaimed = self._previous_runs.take_unclaimed(now_s, may_be_elsewhere=is_part)
        for task, agent in unclaimed:
            worker = self._pool.workers.get(agent)
            if worker is not None and task in worker.runs:
                self._pool.order_stop(worker, worker.runs[task])
        self._has_changes = True

    @property
    def _known_new_before_s(self) -> float:
        """Time before which entries received new jobs only, infinite for any time."""
        return math.inf if self._is_handover_complete else self._new_before_s

    def _start_delay_s(self, job: JobRecord, now_s: float) -> float:
        """Returns the time until a job may start if missing agents do not attach."""
        delay_s = self._scope_delay_s(job, now_s)
        if job.is_new and job.arrived_at_s < self._known_new_before_s:
            return delay_s
        return max(delay_s, self._pool.start_delay_s(now_s))

    def _refuse_infeasible(self, now_s: float) -> None:
        """Refuses jobs as soon as they are expected to start after ``refuse_by_s``."""
        jobs: dict[tuple[str, bool], list[JobRecord]] = {}
        for job in self._job_registry.waiting_in_order(now_s):
            service = self._task_placer.service_of(job)
            is_confined = self._isolation.is_confined(service, job.queue.name)
            jobs.setdefault((service, is_confined), []).append(job)
        for (service, _), waiting in jobs.items():
            runnable = self._refuse_waiting_unrunnable(waiting, now_s)
            infeasible = self._contention.find_infeasible(
                runnable,
                self._capacity.of_queue(service, waiting[0].queue.name),
                now_s,
                start_delay_s=lambda job: self._start_delay_s(job, now_s),
            )
            for job in infeasible:
                self._give_up(job, now_s)

    def _refuse_waiting_unrunnable(
        self, waiting: list[JobRecord], now_s: float
    ) -> list[JobRecord]:
        """Refuses waiting jobs that no worker can run; returns the others."""
        runnable = []
        for job in waiting:
            if job.has_begun or self._can_run(job, now_s):
                runnable.append(job)
                continue
            self._refuse_unrunnable(job, now_s)
            self._close(job, JobState.CANCELLED, _UNRUNNABLE_REASON, now_s)
        return runnable

    def _give_up(self, record: JobRecord, now_s: float) -> None:
        """Cancels a job whose result would come too late to be of use to its caller.

        Callers of a job that has not begun get a refusal with the advice to try again.
        """
        if not record.has_begun:
            capacity = self._capacity.of_queue(record.queue.service, record.queue.name)
            retry_after_s = self._contention.refuse(
                record, 0.0, _RETRY_AFTER_S, capacity, now_s
            )
            for entry in record.entries:
                self._refuse(entry, record.job, "waited too long", retry_after_s)
            record.entries.clear()
        self._close(record, JobState.CANCELLED, "waited too long", now_s)
