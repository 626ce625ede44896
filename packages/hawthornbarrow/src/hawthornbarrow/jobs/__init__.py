"""Jobs: job documents that callers submit, and the state of each job."""

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
