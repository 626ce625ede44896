"""Limits of a job document, checked before any process acts on it.

An entry hands its callers' jobs over to one dispatcher after the other, so a job that
ends or blocks a dispatcher would do that to all of them.
"""

import math

from hawthornbarrow.cells._parts import JobDocument, Resources, Step

MAX_STEPS = 1_000
MAX_TASKS = 10_000  # of all steps; a dispatcher keeps a record of each
# Values in an encoded document; the largest body of a client has no more.
MAX_ENCODED_VALUES = 128 * 1024
MAX_SPEC_BYTES = 4_000
MAX_LABEL_BYTES = 1_000
MAX_RUN_S = 7 * 86_400.0  # estimated run time of a task


class InvalidJobError(Exception):
    """The job document is not valid."""


def check_encoded_job(body: bytes) -> None:
    """Checks that an encoded job may be decoded.

    A small value takes a hundred times its size once it is decoded. The values are
    counted by the commas between them, before any of them is built.

    Raises:
        InvalidJobError: It has too many values.
    """
    if len(body) > MAX_ENCODED_VALUES and body.count(b",") > MAX_ENCODED_VALUES:
        raise InvalidJobError(f"more than {MAX_ENCODED_VALUES} values")


def check_step_count(count: int) -> None:
    """Checks the number of steps of a job.

    Raises:
        InvalidJobError: It has no step or too many.
    """
    if not 1 <= count <= MAX_STEPS:
        raise InvalidJobError(f"{count} steps, expected 1 to {MAX_STEPS}")


def check_texts(document: JobDocument) -> None:
    """Checks the texts of a job that a caller submits.

    A dispatcher keeps them with the job for a time after its end. They are checked at
    the entry only: a job that another dispatcher may have started is not refused.

    Raises:
        InvalidJobError: The spec or a label is too long.
    """
    if len(document.spec.encode()) > MAX_SPEC_BYTES:
        raise InvalidJobError(f"spec is longer than {MAX_SPEC_BYTES} bytes")
    for position, step in enumerate(document.steps):
        if max(len(step.label), len(step.rack)) > MAX_LABEL_BYTES:
            raise InvalidJobError(f"step {position} has too long a label")


def check_document(document: JobDocument) -> None:
    """Checks that a job can be run.

    Raises:
        InvalidJobError: A limit is exceeded, or a step depends on a later one.
    """
    check_step_count(len(document.steps))
    for position, step in enumerate(document.steps):
        _check_step(position, step)
    task_count = sum(step.count for step in document.steps)
    if task_count > MAX_TASKS:
        raise InvalidJobError(f"{task_count} tasks, expected {MAX_TASKS} at most")


def _check_step(position: int, step: Step) -> None:
    if step.count < 1:
        raise InvalidJobError(f"step {position} has {step.count} tasks")
    if not all(0 <= index < position for index in step.after):
        raise InvalidJobError(f"step {position} depends on a step that is not earlier")
    if not math.isfinite(step.estimated_s) or not 0 <= step.estimated_s <= MAX_RUN_S:
        raise InvalidJobError(f"step {position} is estimated at {step.estimated_s} s")
    if not Resources().fits_into(step.each) or step.most_on_worker < 0:
        raise InvalidJobError(f"step {position} needs a negative amount")
