"""Job documents that callers submit."""

import math

import msgspec

from hawthornbarrow.upstreams import Resources

MAX_SERVICE_NAME_CHARS = 128


class JobSpecError(Exception):
    """The submitted document is not a valid job."""


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A job as submitted.

    Attributes:
        service: Name of the service that each task calls.
        tasks: Tasks, each an arbitrary JSON value, stored as the received bytes.
        repeatable: Whether a task may run again if it is unknown whether an earlier
            attempt ran.
        deadline_s: Time after submission at which the answer is of no more use.
        declared_run_s: Run time of one task as estimated by the caller.
        resources: Resources that one task needs.
    """

    service: str
    tasks: list[msgspec.Raw]
    repeatable: bool = False
    deadline_s: float | None = None
    declared_run_s: float | None = None
    resources: Resources = Resources()


_DECODER = msgspec.json.Decoder(JobSpec)


def parse_job_spec(body: bytes, *, max_tasks: int) -> JobSpec:
    """Returns the job in the given request body.

    Raises:
        JobSpecError: The body is not a valid job. The message says what was expected.
    """
    try:
        body.decode("utf-8")
        spec = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise JobSpecError(f"invalid job document: {error}") from error
    if not 1 <= len(spec.service) <= MAX_SERVICE_NAME_CHARS:
        raise JobSpecError(
            f"service has {len(spec.service)} characters, "
            f"expected 1 to {MAX_SERVICE_NAME_CHARS}"
        )
    if not 1 <= len(spec.tasks) <= max_tasks:
        raise JobSpecError(f"got {len(spec.tasks)} tasks, expected 1 to {max_tasks}")
    _require_positive("deadline_s", spec.deadline_s)
    _require_positive("declared_run_s", spec.declared_run_s)
    return spec


def _require_positive(name: str, value: float | None) -> None:
    if value is not None and not (value > 0 and math.isfinite(value)):
        raise JobSpecError(f"{name} is {value}, expected a positive number")
