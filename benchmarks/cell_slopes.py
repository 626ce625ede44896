"""Measures a dispatcher's CPU time by number of workers and tasks per job.

python -m benchmarks.cell_slopes
"""

import argparse
import logging
import time

import structlog
from hawthornbarrow.cells import LoadFeature, TimelyPriorityOrder, parse_features

from benchmarks.cell_load import CellSite, JobKind, LoadRun

TASKS_PER_S_PER_WORKER = 25.0
CORES_PER_WORKER = 64
TASK_CPU_MILLICORES = 6200


def build_site(workers: int, task_count: int) -> CellSite:
    """Returns a site with a constant arrival rate of one kind of job."""
    kind = JobKind(
        name="quick",
        rate_per_s=TASKS_PER_S_PER_WORKER * workers / task_count,
        task_count=task_count,
        run_s=0.12,
        cpu=TASK_CPU_MILLICORES,
        priority=0,
        worth=1.0,
    )
    return CellSite(
        job_kinds=(kind,),
        worker_cores=(CORES_PER_WORKER,) * workers,
        relative_speeds=(1.0,) * workers,
    )


def measure_dispatcher(
    workers: int,
    task_count: int,
    seconds: float,
    features: frozenset[LoadFeature],
) -> tuple[float, float]:
    """Returns the dispatcher's CPU time per task, in microseconds, and share served."""
    load_run = LoadRun(
        site=build_site(workers, task_count),
        order=TimelyPriorityOrder(),
        load=1.0,
        seed=1,
        features=features,
    )
    cpu_time_s = 0.0
    dispatcher = load_run.dispatcher

    def record_cpu_time(method):  # noqa: ANN001, ANN202
        def call(*arguments):  # noqa: ANN002, ANN202
            nonlocal cpu_time_s
            started_s = time.process_time()
            result = method(*arguments)
            cpu_time_s += time.process_time() - started_s
            return result

        return call

    for name in ("submit", "report", "tick", "take_messages"):
        setattr(dispatcher, name, record_cpu_time(getattr(dispatcher, name)))
    result = load_run.run(seconds)
    tasks = dispatcher.counts["run_started"]
    return cpu_time_s / tasks * 1e6, result["served"]


def main() -> None:
    """Prints a row for each number of workers and of tasks per job."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--features", default="")
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for workers in (11, 77, 160, 300, 1000):
        for task_count in (2, 8):
            cost_us, served = measure_dispatcher(
                workers,
                task_count,
                arguments.seconds,
                parse_features(arguments.features),
            )
            print(
                f"{workers:4} workers, {task_count} tasks a job: "
                f"{cost_us:6.0f} us a task, served {served:.3f}"
            )


if __name__ == "__main__":
    main()
