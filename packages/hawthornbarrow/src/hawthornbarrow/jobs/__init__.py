"""Jobs: what callers submit, and the one record that closes each of them."""

from hawthornbarrow.jobs._job import Job, JobStatus, Placement
from hawthornbarrow.jobs._spec import JobSpec, JobSpecError, parse_job_spec
from hawthornbarrow.jobs._timeline import Timeline, TimelineStep

__all__ = [
    "Job",
    "JobSpec",
    "JobSpecError",
    "JobStatus",
    "Placement",
    "Timeline",
    "TimelineStep",
    "parse_job_spec",
]
