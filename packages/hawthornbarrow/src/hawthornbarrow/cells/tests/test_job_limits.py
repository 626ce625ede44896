"""Tests that no process acts on a job document beyond the limits."""

import math
import unittest

from hawthornbarrow.cells import (
    Dispatcher,
    InvalidJobError,
    JobAnswer,
    JobDocument,
    JobState,
    Resources,
    Step,
    SubmitJob,
    check_document,
)
from hawthornbarrow.cells._job_limits import MAX_STEPS, MAX_TASKS
from hawthornbarrow.cells.tests._cell_simulation import TIMING, make_table

NEEDS = Resources(cpu=1000)


def step_of(**changes):
    return Step(**{"count": 1, "each": NEEDS, "estimated_s": 0.1, **changes})


def document_of(*steps):
    return JobDocument(job="j", queue="q", spec="x", steps=steps)


INVALID = {
    "no steps": document_of(),
    "too many steps": document_of(*[step_of()] * (MAX_STEPS + 1)),
    "no tasks": document_of(step_of(count=0)),
    "negative count": document_of(step_of(count=-1)),
    "too many tasks": document_of(step_of(count=MAX_TASKS), step_of()),
    "later step": document_of(step_of(after=(1,)), step_of()),
    "itself": document_of(step_of(after=(0,))),
    "negative position": document_of(step_of(), step_of(after=(-1,))),
    "negative cpu": document_of(step_of(each=Resources(cpu=-1))),
    "negative memory": document_of(step_of(each=Resources(memory_mb=-1))),
    "negative limit": document_of(step_of(most_on_worker=-1)),
    "negative estimate": document_of(step_of(estimated_s=-0.1)),
    "infinite estimate": document_of(step_of(estimated_s=math.inf)),
    "no number": document_of(step_of(estimated_s=math.nan)),
}


class JobLimitsTest(unittest.TestCase):
    def test_valid_document_passes(self):
        check_document(document_of(step_of(), step_of(count=270, after=(0,))))

    def test_invalid_documents_are_told_apart(self):
        for name, document in INVALID.items():
            with self.subTest(name), self.assertRaises(InvalidJobError):
                check_document(document)

    def test_dispatcher_refuses_what_another_version_of_an_entry_let_through(self):
        for name, document in INVALID.items():
            with self.subTest(name):
                dispatcher = Dispatcher(term=9, timing=TIMING, expected=(), now_s=1.0)
                dispatcher.set_table(make_table())
                message = SubmitJob(document=document, age_s=0.0, was_offered=False)
                dispatcher.submit("entry", message, 1.0)
                dispatcher.tick(1.0)
                ((_, answer),) = dispatcher.take_messages()
                self.assertIsInstance(answer, JobAnswer)
                self.assertIs(JobState.UNKNOWN, answer.state)
                self.assertTrue(answer.has_not_run)


if __name__ == "__main__":
    unittest.main()
