"""Measures the processor time of a cell's dispatcher, by workers and tasks a job.

python -m benchmarks.cell_slopes
"""

import argparse
import logging
import time

import structlog
from hawthornbarrow.cells import TimelyPriorityOrder

from benchmarks.cell_load import Kind, LoadRun, Site

RATE_TASKS_PER_WORKER = 25.0
CORES = 64
CPU_PER_TASK = 6200


def site_of(workers: int, width: int) -> Site:
    """Returns a site with a steady load of equal jobs."""
    kind = Kind(
        name="quick",
        rate=RATE_TASKS_PER_WORKER * workers / width,
        width=width,
        run_s=0.12,
        cpu=CPU_PER_TASK,
        priority=0,
        worth=1.0,
    )
    return Site(kinds=(kind,), cores=(CORES,) * workers, speeds=(1.0,) * workers)


def measure(workers: int, width: int, seconds: float) -> tuple[float, float]:
    """Returns microseconds of the dispatcher a task, and the share served."""
    run = LoadRun(
        site=site_of(workers, width), order=TimelyPriorityOrder(), load=1.0, seed=1
    )
    spent_s = 0.0
    dispatcher = run.dispatcher

    def timed(method):  # noqa: ANN001, ANN202
        def call(*arguments):  # noqa: ANN002, ANN202
            nonlocal spent_s
            began_s = time.process_time()
            result = method(*arguments)
            spent_s += time.process_time() - began_s
            return result

        return call

    for name in ("submit", "report", "tick", "take_messages"):
        setattr(dispatcher, name, timed(getattr(dispatcher, name)))
    result = run.play(seconds)
    tasks = dispatcher.counts["run_started"]
    return spent_s / tasks * 1e6, result["served"]


def main() -> None:
    """Prints a row for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for workers in (11, 60, 300):
        for width in (2, 8):
            cost_us, served = measure(workers, width, arguments.seconds)
            print(
                f"{workers:4} workers, {width} tasks a job: "
                f"{cost_us:6.0f} us a task, served {served:.3f}"
            )


if __name__ == "__main__":
    main()
