"""Dispatcher: the sans-I/O state machine that runs the jobs of a cell.

It leads for one term. Jobs live in its memory; entries keep the callers and hand their
jobs to the next dispatcher, which learns from the agents what runs already.
"""

import collections
import collections.abc

import structlog

from hawthornbarrow.cells._admission import Admission
from hawthornbarrow.cells._job_record import JobRecord, TaskProgress
from hawthornbarrow.cells._messages import (
    AttachWorker,
    CellMessage,
    EndedRun,
    HeldRun,
    JobAnswer,
    JobState,
    Pulse,
    RunEnd,
    StartOrder,
    StartTasks,
    StopTasks,
    SubmitJob,
    TaskKey,
    WorkerReport,
)
from hawthornbarrow.cells._ordering import JobOrder, TimelyPriorityOrder
from hawthornbarrow.cells._placement import Placement
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._timing import RunLeaseTiming
from hawthornbarrow.cells._worker_view import Run, WorkerView
from hawthornbarrow.queues import QueueTable

ENDED_JOB_KEPT_S = 60.0
ORPHAN_KEPT_S = 2.5
LATE_SHARE = 0.4  # of the objective, by which a start may be late before a refusal
LATE_FACTOR = 3.0  # of the objective; a later answer is of no use to its caller
ATTEMPTS_A_TERM = 8
_OVERHEAD_S = 0.03
_STALL_FACTOR = 3.5
_STALL_LEAST_S = 0.6
_SWEEP_S = 0.1

_log = structlog.get_logger()


class Dispatcher:
    """Places the tasks of all jobs on the workers of all agents.

    Args:
        term: Term in which it leads.
        timing: Lengths of the leases.
        expected: Agents that may hold work of an earlier dispatcher.
        now_s: Current time.
        order: Order of waiting jobs.
    """

    def __init__(
        self,
        *,
        term: int,
        timing: RunLeaseTiming,
        expected: collections.abc.Iterable[str],
        now_s: float,
        order: JobOrder | None = None,
    ) -> None:
        """Starts without agents, waiting for those that are expected."""
        self._term = term
        self._timing = timing
        self._began_at_s = now_s
        self._expected = set(expected)
        self._recovers_until_s = now_s + timing.lost_after_s
        self._order = order or TimelyPriorityOrder()
        self._run_times = RunTimes()
        self._admission = Admission(run_times=self._run_times)
        self._placement = Placement(run_times=self._run_times)
        self._table: QueueTable | None = None
        self._workers: dict[str, WorkerView] = {}
        self._jobs: dict[str, JobRecord] = {}
        self._waiting: dict[str, JobRecord] = {}
        self._ended: collections.deque[tuple[float, str, JobRecord]] = (
            collections.deque()
        )
        self._orphans: dict[TaskKey, tuple[str, float]] = {}
        self._done_before: dict[TaskKey, float] = {}
        self._ran_before: set[str] = set()
        self._was_offered: set[str] = set()
        self._messages: list[tuple[str, CellMessage]] = []
        self._starts: dict[str, list[StartOrder]] = {}
        self._stops: dict[str, list[TaskKey]] = {}
        self._swept_at_s = now_s
        self._has_news = True
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> collections.Counter[str]:
        """Number of events of each kind in this term."""
        return self._counts

    @property
    def term(self) -> int:
        """Term in which it leads."""
        return self._term

    @property
    def workers(self) -> dict[str, WorkerView]:
        """Attached agents by name."""
        return self._workers

    @property
    def jobs(self) -> dict[str, JobRecord]:
        """Jobs by id, ended ones for a while."""
        return self._jobs

    @property
    def waiting_count(self) -> int:
        """Jobs with tasks that wait."""
        return len(self._waiting)

    def is_recovering(self, now_s: float) -> bool:
        """Tells whether work of an earlier dispatcher may run unseen."""
        return now_s < self._recovers_until_s and bool(
            self._expected - set(self._workers)
        )

    def set_table(self, table: QueueTable) -> None:
        """Takes the configuration in force."""
        self._table = table
        self._has_news = True

    def state_of(self, job: str) -> JobState:
        """Returns what callers see of a job."""
        record = self._jobs.get(job)
        return record.state if record else JobState.UNKNOWN

    def waiting_by_queue(self) -> dict[str, int]:
        """Returns the number of jobs not begun, by queue."""
        counts = collections.Counter(
            job.queue.name
            for job in self._waiting.values()
            if job.state is JobState.QUEUED
        )
        return dict(counts)

    def pulse_for_agent(self, agent: str, heard_at_s: float) -> Pulse:
        """Returns the pulse for an agent."""
        worker = self._workers.get(agent)
        return Pulse(
            term=self._term,
            heard_at_s=heard_at_s,
            version=self._table.version if self._table else 0,
            session=worker.session if worker else 0,
            noted=worker.noted if worker else 0,
        )

    def pulse_for_entry(self, heard_at_s: float, version: int) -> Pulse:
        """Returns the pulse for an entry, with the version in force."""
        return Pulse(
            term=self._term,
            heard_at_s=heard_at_s,
            version=version,
            waiting=self.waiting_by_queue(),
        )

    def take_messages(self) -> list[tuple[str, CellMessage]]:
        """Returns the messages to send, by receiver, and forgets them."""
        messages, self._messages = self._messages, []
        for agent, orders in self._starts.items():
            session = self._workers[agent].session
            message = StartTasks(term=self._term, session=session, orders=orders)
            messages.append((agent, message))
        for agent, tasks in self._stops.items():
            session = self._workers[agent].session
            message = StopTasks(term=self._term, session=session, tasks=tasks)
            messages.append((agent, message))
        self._starts = {}
        self._stops = {}
        return messages

    # --- agents --------------------------------------------------------------

    def attach(self, agent: str, message: AttachWorker, now_s: float) -> None:
        """Takes an agent's offer and learns what it holds."""
        if message.term != self._term:
            return
        known = self._workers.get(agent)
        if known is not None and known.session == message.session:
            known.heard_at_s = now_s
            return
        if known is not None:
            self._detach(known, "attached anew", now_s)
        self._expected.discard(agent)
        if message.worker is None:
            return
        worker = WorkerView(
            agent=agent, session=message.session, record=message.worker, now_s=now_s
        )
        worker.is_leaving = message.is_leaving
        self._workers[agent] = worker
        for run in message.running:
            self._adopt_run(worker, run, now_s)
        for ended in message.ended:
            self._adopt_end(worker, ended, now_s)
        self._has_news = True
        _log.info(
            "worker_attached",
            agent=agent,
            upstream=message.worker.upstream,
            session=message.session,
            term=self._term,
            running=len(message.running),
            leaving=message.is_leaving,
        )

    def report(self, agent: str, message: WorkerReport, now_s: float) -> None:
        """Takes news of an attached worker."""
        worker = self._workers.get(agent)
        if worker is None or worker.session != message.session:
            return
        worker.heard_at_s = now_s
        if message.is_leaving and not worker.is_leaving:
            worker.is_leaving = True
            _log.info("worker_leaving", agent=agent, upstream=worker.record.upstream)
        worker.is_silent = message.is_silent
        for ended in message.ended:
            if ended.number > worker.noted:
                worker.noted = ended.number
                self._end_run(worker, ended, now_s)
        for task in message.stalled:
            self._stop_stalled(worker, task, now_s)
        self._has_news = True

    def heard(self, agent: str, now_s: float) -> None:
        """Notes that a frame of an agent arrived."""
        worker = self._workers.get(agent)
        if worker is not None:
            if now_s - worker.heard_at_s > self._timing.doubted_after_s:
                self._has_news = True
            worker.heard_at_s = now_s

    def _detach(self, worker: WorkerView, reason: str, now_s: float) -> None:
        """Gives an agent up; nothing of its session runs any more."""
        self._counts["worker_lost"] += 1
        del self._workers[worker.agent]
        self._starts.pop(worker.agent, None)
        self._stops.pop(worker.agent, None)
        _log.warning(
            "worker_lost",
            agent=worker.agent,
            upstream=worker.record.upstream,
            session=worker.session,
            reason=reason,
            silent_s=round(now_s - worker.heard_at_s, 3),
            lost_runs=len(worker.runs),
        )
        for task in list(worker.runs):
            worker.remove(task)
            self._requeue(worker, task, RunEnd.LOST, now_s)
        self._has_news = True

    def _adopt_run(self, worker: WorkerView, held: HeldRun, now_s: float) -> None:
        run = Run(
            task=held.task,
            attempt=held.attempt,
            needs=held.needs,
            started_at_s=now_s - held.age_s,
        )
        worker.add(run)
        self._ran_before.add(held.task.job)
        record = self._jobs.get(held.task.job)
        if record is not None and not record.state.is_final:
            self._join_run(record, worker, run)
        else:
            self._orphans[held.task] = (worker.agent, now_s)

    def _adopt_end(self, worker: WorkerView, ended: EndedRun, now_s: float) -> None:
        worker.noted = max(worker.noted, ended.number)
        self._ran_before.add(ended.task.job)
        if ended.end is not RunEnd.DONE:
            return
        record = self._jobs.get(ended.task.job)
        if record is None:
            self._done_before[ended.task] = now_s
            return
        self._end_task(record, worker, ended, now_s)

    def _join_run(self, record: JobRecord, worker: WorkerView, run: Run) -> None:
        """Gives a run that an earlier dispatcher started its place in its job."""
        key = run.task
        progress = self._progress(record, key)
        if progress is None or progress.worker or progress.is_done:
            self._order_stop(worker, run)
            return
        record.begin(key.step, key.index, worker.agent)
        progress.attempts = max(progress.attempts, run.attempt)
        _log.info(
            "run_adopted",
            job=key.job,
            task=str(key),
            agent=worker.agent,
            term=self._term,
        )

    # --- jobs ----------------------------------------------------------------

    def submit(self, entry: str, message: SubmitJob, now_s: float) -> None:
        """Takes a job, or joins a submission of one that is known."""
        job = message.document.job
        if message.was_offered:
            self._was_offered.add(job)
        known = self._jobs.get(job)
        if known is not None and known.state is not JobState.CANCELLED:
            known.entries.add(entry)
            if known.state.is_final:
                self._answer(known)
            return
        queue = self._table.queues.get(message.document.queue) if self._table else None
        if queue is None:
            self._refuse(entry, job, "the queue is not in force", 1.0)
            return
        if known is not None and known.running_count:
            # Its runs are being stopped: it may not begin before they have ended.
            self._refuse(entry, job, "its cancelled runs have not ended", 1.0)
            return
        record = JobRecord(
            document=message.document,
            queue=queue,
            arrived_at_s=now_s - message.age_s,
            first_attempt=self._first_attempt(message, known),
        )
        self._set_times(record)
        record.entries.add(entry)
        if self._is_refused(entry, record, message, now_s):
            return
        self._jobs[job] = record
        self._claim_orphans(record)
        self._waiting[job] = record
        self._has_news = True

    def withdraw(self, job: str, now_s: float) -> None:
        """Cancels a job; its runs are stopped."""
        record = self._jobs.get(job)
        if record is None or record.state.is_final:
            return
        self._close(record, JobState.CANCELLED, "withdrawn", now_s)

    def _first_attempt(self, message: SubmitJob, known: JobRecord | None) -> int:
        """Returns the number of starts that upstreams may have seen already."""
        if known is not None:
            return max(
                (task.attempts for step in known.tasks for task in step), default=0
            )
        return self._term * ATTEMPTS_A_TERM if message.was_offered else 0

    def _set_times(self, record: JobRecord) -> None:
        queue = record.queue
        chain_s = self._run_times.expected_s(queue.name, record.longest_chain_s)
        objective_s = queue.slack_factor * chain_s + queue.objective_s
        record.start_by_s = record.arrived_at_s + objective_s - chain_s - _OVERHEAD_S
        record.refuse_by_s = record.start_by_s + LATE_SHARE * objective_s
        record.give_up_at_s = record.arrived_at_s + LATE_FACTOR * objective_s

    def _is_refused(
        self, entry: str, record: JobRecord, message: SubmitJob, now_s: float
    ) -> bool:
        if message.was_offered or self.is_recovering(now_s):
            return False
        offered = self._workers_by_service(now_s).get(record.queue.service, ())
        workers = [worker for _, worker in offered]
        verdict = self._admission.judge(record, self._waiting.values(), workers, now_s)
        if verdict.is_admitted:
            return False
        self._counts["job_refused"] += 1
        _log.info(
            "job_refused",
            job=record.job,
            queue=record.queue.name,
            predicted_wait_s=round(verdict.predicted_wait_s, 3),
            slack_s=round(verdict.slack_s, 3),
            waiting=len(self._waiting),
            workers=len(workers),
        )
        self._refuse(entry, record.job, "no room in time", verdict.retry_after_s)
        return True

    def _refuse(self, entry: str, job: str, reason: str, retry_after_s: float) -> None:
        answer = JobAnswer(
            job=job,
            state=JobState.UNKNOWN,
            reason=reason,
            retry_after_s=retry_after_s,
            has_not_run=self._has_not_run(job),
        )
        self._messages.append((entry, answer))

    def _has_not_run(self, job: str) -> bool:
        """Tells whether no task of a job that is not begun here has ever started.

        Of a job that an earlier dispatcher was offered that is known once all agents
        that may hold its work have told what they hold and held.
        """
        if job not in self._was_offered:
            return True
        return not self._expected and job not in self._ran_before

    def _claim_orphans(self, record: JobRecord) -> None:
        for step, tasks in enumerate(record.tasks):
            for index in range(len(tasks)):
                key = TaskKey(job=record.job, step=step, index=index)
                if key in self._done_before:
                    record.end(step, index, is_done=True)
                    del self._done_before[key]
                    continue
                agent, _ = self._orphans.pop(key, ("", 0.0))
                worker = self._workers.get(agent)
                if worker is not None and key in worker.runs:
                    self._join_run(record, worker, worker.runs[key])
        if record.is_done:
            self._close(record, JobState.COMPLETE, "done before", record.arrived_at_s)

    def _answer(self, record: JobRecord) -> None:
        answer = JobAnswer(job=record.job, state=record.state)
        for entry in record.entries:
            self._messages.append((entry, answer))
        record.entries.clear()

    def _close(
        self, record: JobRecord, state: JobState, reason: str, now_s: float
    ) -> None:
        has_run = record.state is not JobState.QUEUED
        self._counts[f"job_{state.value}"] += 1
        record.state = state
        record.ended_at_s = now_s
        self._waiting.pop(record.job, None)
        self._ended.append((now_s, record.job, record))
        for worker in self._workers.values():
            for run in worker.runs.values():
                if run.task.job == record.job and not run.is_stopping:
                    self._order_stop(worker, run)
        _log.info(
            "job_ended",
            job=record.job,
            queue=record.queue.name,
            state=state.value,
            reason=reason,
            has_run=has_run,
            took_s=round(now_s - record.arrived_at_s, 3),
        )
        self._answer(record)

    # --- runs ----------------------------------------------------------------

    def _progress(self, record: JobRecord, key: TaskKey) -> TaskProgress | None:
        if key.step >= len(record.tasks) or key.index >= len(record.tasks[key.step]):
            return None
        return record.tasks[key.step][key.index]

    def _order_stop(self, worker: WorkerView, run: Run) -> None:
        run.is_stopping = True
        self._stops.setdefault(worker.agent, []).append(run.task)

    def _stop_stalled(self, worker: WorkerView, task: TaskKey, now_s: float) -> None:
        run = worker.runs.get(task)
        if run is None or run.is_stopping:
            return
        is_ejected = worker.health.note_failure(task.job, now_s)
        _log.warning(
            "run_stalled",
            job=task.job,
            task=str(task),
            agent=worker.agent,
            expected_s=round(run.expected_s, 3),
            ran_s=round(now_s - run.started_at_s, 3),
            ejected=is_ejected,
        )
        record = self._jobs.get(task.job)
        progress = self._progress(record, task) if record else None
        if progress is not None:
            progress.avoided.add(worker.agent)
        self._order_stop(worker, run)

    def _end_run(self, worker: WorkerView, ended: EndedRun, now_s: float) -> None:
        run = worker.runs.get(ended.task)
        if run is None or run.attempt != ended.attempt:
            return
        worker.remove(ended.task)
        self._counts[f"run_{ended.end.value}"] += 1
        self._orphans.pop(ended.task, None)
        record = self._jobs.get(ended.task.job)
        self._judge_worker(worker, run, ended, record, now_s)
        if record is None:
            if ended.end is RunEnd.DONE:
                self._done_before[ended.task] = now_s
            return
        self._end_task(record, worker, ended, now_s)

    def _judge_worker(
        self,
        worker: WorkerView,
        run: Run,
        ended: EndedRun,
        record: JobRecord | None,
        now_s: float,
    ) -> None:
        if ended.end is RunEnd.DONE:
            worker.health.note_success()
            if record is not None and run.expected_s:
                step = record.document.steps[ended.task.step]
                self._run_times.learn(
                    record.queue.name,
                    worker.record.upstream,
                    step.estimated_s,
                    ended.run_s,
                )
        elif ended.end in (RunEnd.FAILED, RunEnd.REFUSED, RunEnd.LOST):
            is_ejected = worker.health.note_failure(ended.task.job, now_s)
            _log.warning(
                "run_failed",
                job=ended.task.job,
                task=str(ended.task),
                attempt=ended.attempt,
                agent=worker.agent,
                end=ended.end.value,
                reason=ended.reason,
                ejected=is_ejected,
            )

    def _end_task(
        self, record: JobRecord, worker: WorkerView, ended: EndedRun, now_s: float
    ) -> None:
        key = ended.task
        progress = self._progress(record, key)
        if progress is None or progress.is_done:
            return
        is_done = ended.end is RunEnd.DONE
        if progress.worker and progress.worker != worker.agent and not is_done:
            return
        if record.state.is_final:
            if progress.worker:
                record.end(key.step, key.index, is_done=is_done)
            return
        if is_done:
            record.end(key.step, key.index, is_done=True)
            if record.is_done:
                self._close(record, JobState.COMPLETE, "all tasks done", now_s)
            return
        if progress.worker:
            self._requeue(worker, key, ended.end, now_s, ended.reason)

    def _requeue(
        self,
        worker: WorkerView,
        key: TaskKey,
        end: RunEnd,
        now_s: float,
        reason: str = "",
    ) -> None:
        """Lets a task wait again after a run that did not end well."""
        record = self._jobs.get(key.job)
        progress = self._progress(record, key) if record else None
        if record is None or progress is None or progress.worker != worker.agent:
            return
        record.end(key.step, key.index, is_done=False)
        if end is RunEnd.SUPERSEDED:
            progress.attempts += ATTEMPTS_A_TERM
        if end is not RunEnd.STOPPED:
            progress.avoided.add(worker.agent)
        if end is RunEnd.FAILED:
            progress.failures += 1
        if record.state.is_final:
            return
        _log.info(
            "task_waits_again",
            job=key.job,
            task=str(key),
            agent=worker.agent,
            end=end.value,
            reason=reason,
            failures=progress.failures,
            attempts=progress.attempts,
        )
        if progress.failures >= record.queue.max_attempts:
            self._close(record, JobState.FAILED, f"task {key} failed", now_s)
            return
        self._waiting[record.job] = record

    # --- time ----------------------------------------------------------------

    def tick(self, now_s: float) -> None:
        """Lets time pass and places what waits."""
        if now_s - self._swept_at_s >= _SWEEP_S:
            self._swept_at_s = now_s
            self._sweep(now_s)
        if self._has_news and not self.is_recovering(now_s):
            self._has_news = False
            self._place_waiting(now_s)

    def _sweep(self, now_s: float) -> None:
        for worker in list(self._workers.values()):
            if now_s - worker.heard_at_s > self._timing.lost_after_s:
                self._detach(worker, "silent", now_s)
            else:
                self._sweep_runs(worker, now_s)
        if not self.is_recovering(now_s):
            self._refuse_hopeless(now_s)
        for job in list(self._waiting.values()):
            if now_s > job.give_up_at_s and not job.running_count:
                self._give_up(job, now_s)
        while self._ended and now_s - self._ended[0][0] > ENDED_JOB_KEPT_S:
            _, job, record = self._ended.popleft()
            if self._jobs.get(job) is record:
                del self._jobs[job]
        self._sweep_orphans(now_s)
        self._has_news = True

    def _sweep_runs(self, worker: WorkerView, now_s: float) -> None:
        for run in list(worker.runs.values()):
            if not run.expected_s or run.is_stopping:
                continue
            slowness = self._run_times.slowness(worker.record.upstream)
            limit_s = max(run.expected_s * _STALL_FACTOR, _STALL_LEAST_S) * slowness
            ran_s = now_s - run.started_at_s
            if ran_s > limit_s:
                self._run_times.suspect(worker.record.upstream, ran_s / run.expected_s)

    def _sweep_orphans(self, now_s: float) -> None:
        kept_from_s = self._began_at_s + self._timing.lost_after_s
        for task, (agent, found_at_s) in list(self._orphans.items()):
            if now_s - max(found_at_s, kept_from_s) < ORPHAN_KEPT_S:
                continue
            del self._orphans[task]
            worker = self._workers.get(agent)
            run = worker.runs.get(task) if worker else None
            if worker is not None and run is not None:
                self._order_stop(worker, run)
        for task, found_at_s in list(self._done_before.items()):
            if now_s - found_at_s > ENDED_JOB_KEPT_S:
                del self._done_before[task]

    def _refuse_hopeless(self, now_s: float) -> None:
        """Refuses jobs as soon as it shows that they can not begin in time."""
        services = self._workers_by_service(now_s)
        jobs: dict[str, list[JobRecord]] = {}
        for job in self._in_order(now_s):
            jobs.setdefault(self._service_of(job), []).append(job)
        for service, waiting in jobs.items():
            workers = [worker for _, worker in services.get(service, ())]
            for job in self._admission.hopeless(waiting, workers, now_s):
                self._give_up(job, now_s)

    def _give_up(self, record: JobRecord, now_s: float) -> None:
        """Answers a job that waited until its answer would be of no use."""
        if record.state is JobState.QUEUED:
            for entry in record.entries:
                self._refuse(entry, record.job, "waited too long", 1.0)
            record.entries.clear()
        self._close(record, JobState.CANCELLED, "waited too long", now_s)

    def _place_waiting(self, now_s: float) -> None:
        """Starts waiting tasks in order, as far as there is room."""
        services = self._workers_by_service(now_s)
        for job in self._in_order(now_s):
            workers = services.get(self._service_of(job))
            if workers:
                self._place_job(job, workers, now_s)
            if job.is_all_begun:
                self._waiting.pop(job.job, None)

    def _workers_by_service(
        self, now_s: float
    ) -> dict[str, list[tuple[int, WorkerView]]]:
        """Returns the workers that may take work, each after its speed class."""
        services: dict[str, list[tuple[int, WorkerView]]] = {}
        for worker in self._workers.values():
            if worker.may_take(now_s, self._timing.doubted_after_s):
                entry = (self._placement.speed_class(worker), worker)
                services.setdefault(worker.record.service, []).append(entry)
        return services

    def _in_order(self, now_s: float) -> list[JobRecord]:
        """Returns the waiting jobs in the order in which they get room."""
        return sorted(
            self._waiting.values(), key=lambda job: self._order.key(job, now_s)
        )

    def _service_of(self, job: JobRecord) -> str:
        """Returns the service by the configuration in force, empty for none."""
        queue = self._table.queues.get(job.queue.name) if self._table else None
        return queue.service if queue else ""

    def _place_job(
        self, job: JobRecord, workers: list[tuple[int, WorkerView]], now_s: float
    ) -> None:
        placed: list[str] = []
        for step in job.waiting_steps():
            for index in list(job.waiting_tasks(step)):
                worker = self._placement.choose(job, step, index, workers)
                if worker is None:
                    break
                self._start(job, step, index, worker, now_s)
                placed.append(f"{step}.{index}@{worker.agent}")
        if placed:
            _log.info(
                "tasks_placed",
                job=job.job,
                queue=job.queue.name,
                term=self._term,
                tasks=" ".join(placed),
                waited_s=round(now_s - job.arrived_at_s, 3),
                slack_s=round(job.start_by_s - now_s, 3),
                waiting=len(self._waiting),
            )

    def _start(
        self, job: JobRecord, step: int, index: int, worker: WorkerView, now_s: float
    ) -> None:
        self._counts["run_started"] += 1
        progress = job.begin(step, index, worker.agent)
        progress.attempts += 1
        wanted = job.document.steps[step]
        key = TaskKey(job=job.job, step=step, index=index)
        expected_s = self._run_times.expected_s(job.queue.name, wanted.estimated_s)
        worker.add(
            Run(
                task=key,
                attempt=progress.attempts,
                needs=wanted.each,
                started_at_s=now_s,
                expected_s=max(expected_s, 0.001),
            )
        )
        order = StartOrder(
            task=key,
            attempt=progress.attempts,
            spec=job.document.spec,
            needs=wanted.each,
            expected_s=expected_s,
        )
        self._starts.setdefault(worker.agent, []).append(order)
