"""Dispatcher: the sans-I/O state machine that runs the jobs of a cell.

It leads for one term. Jobs live in its memory; entries keep the callers and hand their
jobs to the next dispatcher, which learns from the agents what runs already.
"""

import collections
import collections.abc

import structlog

from hawthornbarrow.cells._admission import Admission
from hawthornbarrow.cells._former_runs import FormerRuns
from hawthornbarrow.cells._job_board import JobBoard
from hawthornbarrow.cells._job_record import JobRecord
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
    EndedRun,
    HeldRun,
    JobState,
    RunOutcome,
    TaskKey,
)
from hawthornbarrow.cells._placer import Placer
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._timing import RunLeaseTiming
from hawthornbarrow.cells._worker_judge import WorkerJudge
from hawthornbarrow.cells._worker_pool import WorkerPool
from hawthornbarrow.cells._worker_view import Run, WorkerView
from hawthornbarrow.queues import QueueTable

ATTEMPTS_A_TERM = 8  # starts of a task that an earlier dispatcher may have ordered
_RETRY_SOON_S = 1.0
_SWEEP_S = 0.1

_log = structlog.get_logger()


class Dispatcher:
    """Places the tasks of all jobs on the workers of all agents.

    Args:
        term: Term in which it leads.
        timing: Lengths of the leases.
        expected: Agents that may hold work of an earlier dispatcher.
        now_s: Current time.
        has_lease_expired: Whether the leases of the previous dispatcher have expired.
        order: Order of waiting jobs.
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
    ) -> None:
        """Starts without agents, waiting for those that are expected."""
        self._term = term
        self._run_times = RunTimes()
        self._admission = Admission(run_times=self._run_times)
        self._judge = WorkerJudge(run_times=self._run_times)
        self._pool = WorkerPool(
            term=term,
            timing=timing,
            expected=expected,
            now_s=now_s,
            has_lease_expired=has_lease_expired,
        )
        self._board = JobBoard()
        self._former = FormerRuns(kept_from_s=self._pool.recovers_until_s)
        self._table: QueueTable | None = None
        self._swept_at_s = now_s
        self._has_news = True
        self._has_all_offers = False
        self._counts: collections.Counter[str] = collections.Counter()
        self._placer = Placer(
            term=term,
            pool=self._pool,
            board=self._board,
            order=order or TimelyPriorityOrder(),
            run_times=self._run_times,
            counts=self._counts,
        )

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
        return self._pool.workers

    @property
    def jobs(self) -> dict[str, JobRecord]:
        """Jobs by id, ended ones for a while."""
        return self._board.jobs

    @property
    def waiting_count(self) -> int:
        """Jobs with tasks that wait."""
        return len(self._board.waiting)

    def is_recovering(self, now_s: float) -> bool:
        """Tells whether work of an earlier dispatcher may run unseen."""
        return self._pool.is_recovering(now_s)

    @property
    def is_handover_complete(self) -> bool:
        """Whether all entries have offered what they held before its term."""
        return self._has_all_offers

    def record_handover_complete(self) -> None:
        """Notes that all entries have offered what they held before its term.

        Jobs that come from now on, and were not offered before, are new; they need not
        wait for agents that may hold work of an earlier dispatcher.
        """
        self._has_all_offers = True
        self._has_news = True

    def set_table(self, table: QueueTable) -> None:
        """Takes the configuration in force."""
        self._table = table
        self._placer.set_table(table)
        self._has_news = True

    def state_of(self, job: str) -> JobState:
        """Returns what callers see of a job."""
        return self._board.state_of(job)

    def heartbeat_for_agent(self, agent: str, heard_at_s: float) -> DispatcherHeartbeat:
        """Returns the pulse for an agent."""
        worker = self._pool.workers.get(agent)
        return DispatcherHeartbeat(
            term=self._term,
            heard_at_s=heard_at_s,
            version=self._table.version if self._table else 0,
            session=worker.session if worker else 0,
            noted=worker.noted if worker else 0,
        )

    def heartbeat_for_entry(
        self, heard_at_s: float, version: int
    ) -> DispatcherHeartbeat:
        """Returns the pulse for an entry, with the version in force."""
        return DispatcherHeartbeat(
            term=self._term,
            heard_at_s=heard_at_s,
            version=version,
            waiting=self._board.not_begun_by_queue(),
        )

    def take_messages(self) -> list[tuple[str, CellMessage]]:
        """Returns the messages to send, by receiver, and forgets them."""
        return self._board.take_answers() + self._pool.take_orders()

    # --- agents --------------------------------------------------------------

    def attach(self, agent: str, message: AttachWorker, now_s: float) -> None:
        """Takes an agent's offer and learns what it holds."""
        if message.term != self._term:
            return
        known = self._pool.workers.get(agent)
        if known is not None and known.session == message.session:
            known.heard_at_s = now_s
            return
        if known is not None:
            self._detach(known, "attached anew", now_s)
        worker = self._pool.attach(agent, message, now_s)
        if worker is None:
            return
        for run in message.running:
            self._adopt_run(worker, run, now_s)
        for ended in message.ended:
            self._adopt_end(worker, ended, now_s)
        self._has_news = True

    def report(self, agent: str, message: WorkerReport, now_s: float) -> None:
        """Takes news of an attached worker."""
        worker = self._pool.workers.get(agent)
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

    def on_frame(self, agent: str, now_s: float) -> None:
        """Notes that a frame of an agent arrived."""
        if self._pool.on_frame(agent, now_s):
            self._has_news = True

    def _detach(self, worker: WorkerView, reason: str, now_s: float) -> None:
        """Gives an agent up; its tasks wait again."""
        self._counts["worker_lost"] += 1
        self._pool.detach(worker, reason, now_s)
        for task in list(worker.runs):
            worker.remove(task)
            self._requeue(worker, task, RunOutcome.LOST, now_s)
        self._has_news = True

    def _adopt_run(self, worker: WorkerView, held: HeldRun, now_s: float) -> None:
        run = Run(
            task=held.task,
            attempt=held.attempt,
            needs=held.needs,
            started_at_s=now_s - held.age_s,
        )
        worker.add(run)
        self._former.note_trace(held.task.job, now_s)
        record = self._board.jobs.get(held.task.job)
        if record is not None and not record.state.is_final:
            self._join_run(record, worker, run)
        else:
            self._former.note_run(held.task, worker.agent, now_s)

    def _adopt_end(self, worker: WorkerView, ended: EndedRun, now_s: float) -> None:
        worker.noted = max(worker.noted, ended.number)
        self._former.note_trace(ended.task.job, now_s)
        if ended.end is not RunOutcome.DONE:
            return
        record = self._board.jobs.get(ended.task.job)
        if record is None:
            self._former.note_done(ended.task, now_s)
            return
        self._end_task(record, worker, ended, now_s)

    def _join_run(self, record: JobRecord, worker: WorkerView, run: Run) -> None:
        """Gives a run that an earlier dispatcher started its place in its job."""
        key = run.task
        progress = record.progress(key)
        if progress is None or progress.worker or progress.is_done:
            self._pool.order_stop(worker, run)
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
            self._former.note_offered(job, now_s - message.age_s, now_s)
        known = self._board.jobs.get(job)
        if known is not None and known.state is not JobState.CANCELLED:
            known.entries.add(entry)
            known.is_new = known.is_new and not message.was_offered
            if known.state.is_final:
                self._board.answer(known)
            return
        queue = self._table.queues.get(message.document.queue) if self._table else None
        if queue is None:
            self._refuse(entry, job, "the queue is not in force", _RETRY_SOON_S)
            return
        if known is not None and known.running_count:
            # Its runs are being stopped: it may not begin before they have ended.
            self._refuse(entry, job, "its cancelled runs have not ended", _RETRY_SOON_S)
            return
        record = JobRecord(
            document=message.document,
            queue=queue,
            arrived_at_s=now_s - message.age_s,
            first_attempt=self._first_attempt(message, known),
        )
        chain_s = self._run_times.expected_s(
            queue.name, record.document.longest_chain_s
        )
        record.set_times(chain_s)
        record.entries.add(entry)
        record.is_new = not message.was_offered and not self._former.has_trace(job)
        if self._is_refused(entry, record, message, now_s):
            return
        self._board.add(record)
        self._claim_runs(record, now_s)
        self._has_news = True

    def withdraw(self, job: str, now_s: float) -> None:
        """Cancels a job; its runs are stopped."""
        record = self._board.jobs.get(job)
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

    def _is_refused(
        self, entry: str, record: JobRecord, message: SubmitJob, now_s: float
    ) -> bool:
        if message.was_offered or self._pool.is_gathering(now_s):
            return False
        ready = self._placer.workers_by_service(now_s)
        workers = ready.get(record.queue.service, [])
        verdict = self._admission.judge(
            record,
            self._board.waiting.values(),
            workers,
            now_s,
            paused_s=self._paused_s(now_s),
        )
        if verdict.is_admitted:
            return False
        self._counts["job_refused"] += 1
        _log.info(
            "job_refused",
            job=record.job,
            queue=record.queue.name,
            predicted_wait_s=round(verdict.predicted_wait_s, 3),
            slack_s=round(verdict.slack_s, 3),
            waiting=len(self._board.waiting),
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
            has_not_run=self.has_not_run(job),
        )
        self._board.refuse(entry, answer)

    def has_not_run(self, job: str) -> bool:
        """Tells whether no task of a job that is not begun here has ever started.

        Of a job that an earlier dispatcher was offered that is known once all agents
        that may hold its work have told what they hold and held.
        """
        return not self._former.may_have_run(job, told_from_s=self._pool.told_from_s)

    def _claim_runs(self, record: JobRecord, now_s: float) -> None:
        """Gives a job what an earlier dispatcher has begun of it."""
        for step, tasks in enumerate(record.tasks):
            for index in range(len(tasks)):
                key = TaskKey(job=record.job, step=step, index=index)
                if self._former.take_done(key):
                    record.end(step, index, is_done=True)
                    continue
                worker = self._pool.workers.get(self._former.take_run(key))
                if worker is not None and key in worker.runs:
                    self._join_run(record, worker, worker.runs[key])
        if record.is_done:
            self._close(record, JobState.COMPLETE, "done before", now_s)

    def _close(
        self, record: JobRecord, state: JobState, reason: str, now_s: float
    ) -> None:
        self._counts[f"job_{state.value}"] += 1
        self._board.close(record, state, reason, now_s)
        self._pool.stop_job(record.job)

    # --- runs ----------------------------------------------------------------

    def _stop_stalled(self, worker: WorkerView, task: TaskKey, now_s: float) -> None:
        run = worker.runs.get(task)
        if run is None or run.is_stopping:
            return
        self._judge.take_stall(worker, run, now_s)
        record = self._board.jobs.get(task.job)
        progress = record.progress(task) if record else None
        if progress is not None:
            progress.avoided.add(worker.agent)
        self._pool.order_stop(worker, run)

    def _end_run(self, worker: WorkerView, ended: EndedRun, now_s: float) -> None:
        run = worker.runs.get(ended.task)
        if run is None or run.attempt != ended.attempt:
            return
        worker.remove(ended.task)
        self._counts[f"run_{ended.end.value}"] += 1
        self._former.forget_run(ended.task)
        record = self._board.jobs.get(ended.task.job)
        self._judge.take_end(worker, run, ended, record, now_s)
        if record is None:
            if ended.end is RunOutcome.DONE:
                self._former.note_done(ended.task, now_s)
            return
        self._end_task(record, worker, ended, now_s)

    def _end_task(
        self, record: JobRecord, worker: WorkerView, ended: EndedRun, now_s: float
    ) -> None:
        key = ended.task
        progress = record.progress(key)
        if progress is None or progress.is_done:
            return
        is_done = ended.end is RunOutcome.DONE
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
        end: RunOutcome,
        now_s: float,
        reason: str = "",
    ) -> None:
        """Lets a task wait again after a run that did not end well."""
        record = self._board.jobs.get(key.job)
        progress = record.progress(key) if record else None
        if record is None or progress is None or progress.worker != worker.agent:
            return
        record.end(key.step, key.index, is_done=False)
        if end is RunOutcome.SUPERSEDED:
            progress.attempts += ATTEMPTS_A_TERM
        if end is not RunOutcome.STOPPED:
            progress.avoided.add(worker.agent)
        if end is RunOutcome.FAILED:
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
        self._board.wait_again(record)

    # --- time ----------------------------------------------------------------

    def tick(self, now_s: float) -> None:
        """Lets time pass and places what waits."""
        if now_s - self._swept_at_s >= _SWEEP_S:
            self._swept_at_s = now_s
            self._sweep(now_s)
        may_place = self._has_all_offers or not self.is_recovering(now_s)
        if self._has_news and may_place:
            self._has_news = False
            self._placer.place(now_s, only_new=self.is_recovering(now_s))

    def _sweep(self, now_s: float) -> None:
        for worker in self._pool.silent(now_s):
            self._detach(worker, "silent", now_s)
        for worker in self._pool.workers.values():
            self._judge.suspect_slow(worker, now_s)
        if not self._pool.is_gathering(now_s):
            self._refuse_hopeless(now_s)
        for job in list(self._board.waiting.values()):
            if now_s > job.give_up_at_s and not job.running_count:
                self._give_up(job, now_s)
        self._board.forget_ended(now_s)
        for task, agent in self._former.take_unclaimed(now_s):
            worker = self._pool.workers.get(agent)
            if worker is not None and task in worker.runs:
                self._pool.order_stop(worker, worker.runs[task])
        self._has_news = True

    def _paused_s(self, now_s: float) -> float:
        """Returns how long no new job is started yet."""
        return 0.0 if self._has_all_offers else self._pool.paused_s(now_s)

    def _refuse_hopeless(self, now_s: float) -> None:
        """Refuses jobs as soon as it shows that they can not begin in time."""
        services = self._placer.workers_by_service(now_s)
        jobs: dict[str, list[JobRecord]] = {}
        for job in self._placer.in_order(now_s):
            jobs.setdefault(self._placer.service_of(job), []).append(job)
        for service, waiting in jobs.items():
            hopeless = self._admission.hopeless(
                waiting,
                services.get(service, []),
                now_s,
                paused_s=self._paused_s(now_s),
            )
            for job in hopeless:
                self._give_up(job, now_s)

    def _give_up(self, record: JobRecord, now_s: float) -> None:
        """Answers a job that waited until its answer would be of no use."""
        if not record.has_begun:
            for entry in record.entries:
                self._refuse(entry, record.job, "waited too long", _RETRY_SOON_S)
            record.entries.clear()
        self._close(record, JobState.CANCELLED, "waited too long", now_s)
