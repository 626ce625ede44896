"""Tests of the admission of jobs that waited at their entry through a gap."""

import unittest

from hawthornbarrow.cells import (
    GIVE_UP_FACTOR,
    AttachWorker,
    Dispatcher,
    EndedRun,
    JobAnswer,
    JobDocument,
    JobState,
    LoadFeature,
    Resources,
    RunLeaseTiming,
    RunOutcome,
    StartTasks,
    Step,
    SubmitJob,
    TaskKey,
    WorkerRecord,
    WorkerReport,
)
from hawthornbarrow.queues import Queue, QueueTable, Service

RUN_S = 0.4
OBJECTIVE_S = 1.6 * RUN_S + 0.06
CAPACITY = Resources(cpu=4000, memory_mb=4000)
GAP_WAITING = frozenset({LoadFeature.GAP_WAITING})
LATE_SERVICE = GAP_WAITING | {LoadFeature.LATE_SERVICE}


def attached_dispatcher(features):
    timing = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
    dispatcher = Dispatcher(
        term=2, timing=timing, expected=(), now_s=10.0, features=features
    )
    queue = Queue(
        name="q",
        host="h",
        prefix="/q/",
        service="s",
        slack_factor=1.6,
        objective_s=0.06,
    )
    table = QueueTable(version=1, queues=[queue], services=[Service(name="s")])
    dispatcher.set_table(table)
    worker = WorkerRecord(
        upstream="u", service="s", data_centre="d", labels=(), capacity=CAPACITY
    )
    request = AttachWorker(
        term=2, session=1, worker=worker, is_leaving=False, running=[], ended=[]
    )
    dispatcher.attach("a", request, 10.0)
    return dispatcher


def submit(dispatcher, name, age_s, count=1, now_s=11.0):
    step = Step(count=count, each=Resources(cpu=1000), estimated_s=RUN_S)
    document = JobDocument(job=name, queue="q", spec="x", steps=(step,))
    message = SubmitJob(document=document, age_s=age_s, was_offered=False)
    dispatcher.on_frame("a", now_s)
    dispatcher.submit("e", message, now_s)
    return take_outcomes(dispatcher, now_s)


def take_outcomes(dispatcher, now_s):
    """Returns how many tasks start now and how many jobs are refused."""
    dispatcher.tick(now_s)
    messages = [message for _, message in dispatcher.take_messages()]
    starts = [message for message in messages if isinstance(message, StartTasks)]
    refusals = [
        message
        for message in messages
        if isinstance(message, JobAnswer) and message.state is JobState.UNKNOWN
    ]
    return len(starts), len(refusals)


def end_runs(dispatcher, name, count, now_s):
    ended = [
        EndedRun(
            number=round(1000 * now_s) + index,
            task=TaskKey(job=name, step=0, index=index),
            attempt=1,
            end=RunOutcome.DONE,
        )
        for index in range(count)
    ]
    report = WorkerReport(session=1, is_leaving=False, ended=ended)
    dispatcher.on_frame("a", now_s)
    dispatcher.report("a", report, now_s)


class LateAdmissionTest(unittest.TestCase):
    def test_a_late_job_is_not_refused_beside_idle_workers(self):
        dispatcher = attached_dispatcher(GAP_WAITING)
        self.assertEqual((1, 0), submit(dispatcher, "j", 2 * OBJECTIVE_S))

    def test_a_late_job_of_no_use_is_refused(self):
        dispatcher = attached_dispatcher(GAP_WAITING)
        self.assertEqual((0, 1), submit(dispatcher, "j", 3 * OBJECTIVE_S - RUN_S))

    def test_a_late_job_takes_no_capacity_that_others_need(self):
        dispatcher = attached_dispatcher(GAP_WAITING)
        self.assertEqual((1, 0), submit(dispatcher, "first", 0.0, count=4))
        self.assertEqual((0, 1), submit(dispatcher, "late", 2 * OBJECTIVE_S))

    def test_a_late_job_is_refused_where_the_feature_is_off(self):
        dispatcher = attached_dispatcher(frozenset())
        self.assertEqual((0, 1), submit(dispatcher, "j", 2 * OBJECTIVE_S))


class LateServiceTest(unittest.TestCase):
    """Plays a late job that meets busy workers and a demand below their capacity."""

    def setUp(self):
        self.dispatcher = attached_dispatcher(LATE_SERVICE)
        for name, now_s in (("a", 10.5), ("b", 11.0)):
            submit(self.dispatcher, name, 0.0, now_s=now_s)
            end_runs(self.dispatcher, name, 1, now_s + 0.1)

    def test_late_job_starts_once_others_leave_capacity(self):
        self.assertEqual((1, 0), submit(self.dispatcher, "first", 0.0, 4, now_s=11.6))
        late = submit(self.dispatcher, "late", OBJECTIVE_S, now_s=11.6)
        self.assertEqual((0, 0), late)
        self.assertEqual((0, 0), take_outcomes(self.dispatcher, 11.8))
        end_runs(self.dispatcher, "first", 4, 11.9)
        self.assertEqual((1, 0), take_outcomes(self.dispatcher, 11.9))

    def test_late_job_is_refused_at_once_where_the_demand_leaves_nothing(self):
        for index in range(4):
            submit(self.dispatcher, f"busy{index}", 0.0, 4, now_s=11.5 + index / 100)
        late = submit(self.dispatcher, "late", OBJECTIVE_S, now_s=11.6)
        self.assertEqual((0, 1), late)

    def test_late_job_is_refused_when_its_result_would_be_of_no_use(self):
        submit(self.dispatcher, "first", 0.0, 4, now_s=11.6)
        age_s = GIVE_UP_FACTOR * OBJECTIVE_S - RUN_S
        late = submit(self.dispatcher, "late", age_s, now_s=11.6)
        self.assertEqual((0, 1), late)
