"""Tests of the admission of jobs that waited at their entry through a gap."""

import unittest

from hawthornbarrow.cells import (
    AttachWorker,
    Dispatcher,
    JobAnswer,
    JobDocument,
    LoadFeature,
    Resources,
    RunLeaseTiming,
    StartTasks,
    Step,
    SubmitJob,
    WorkerRecord,
)
from hawthornbarrow.queues import Queue, QueueTable, Service

RUN_S = 0.4
OBJECTIVE_S = 1.6 * RUN_S + 0.06
CAPACITY = Resources(cpu=4000, memory_mb=4000)
GAP_WAITING = frozenset({LoadFeature.GAP_WAITING})


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


def submit(dispatcher, name, age_s, count=1):
    step = Step(count=count, each=Resources(cpu=1000), estimated_s=RUN_S)
    document = JobDocument(job=name, queue="q", spec="x", steps=(step,))
    message = SubmitJob(document=document, age_s=age_s, was_offered=False)
    dispatcher.on_frame("a", 11.0)
    dispatcher.submit("e", message, 11.0)
    dispatcher.tick(11.0)
    messages = [message for _, message in dispatcher.take_messages()]
    starts = [message for message in messages if isinstance(message, StartTasks)]
    refusals = [message for message in messages if isinstance(message, JobAnswer)]
    return len(starts), len(refusals)


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
