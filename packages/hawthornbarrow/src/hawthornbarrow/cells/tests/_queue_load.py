"""Plays two queues with Poisson arrivals and tight objectives on a simulated cell."""

import collections
import dataclasses
import random
import unittest.mock

from hawthornbarrow.cells import JobState
from hawthornbarrow.cells.tests import _cell_simulation
from hawthornbarrow.cells.tests._cell_simulation import CellSimulation, make_job

SECONDS = 14  # of arrivals
CRASHING_FROM_S = 1
CRASHING_UNTIL_S = 10
CRASH_DELAY_S = 0.01
OBJECTIVE_S = 0.9  # results that are later earn LATE_CREDIT, and later still nothing
LATE_CREDIT = 0.2
LATE_FACTOR = 3.0
POWER_LOSS_COUNT = 5
CRASHING_PREFIX = "crashing-"
TASK_COUNTS = {"q": 1, "r": 2}


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueLoad:
    """A load of the queues q and r.

    Attributes:
        agents: Number of workers.
        rates: Jobs per second by queue.
        crashing: Fraction of the jobs that crash upstreams, by queue.
        takeover_s: Time of a takeover, None for none.
        power_loss_s: Time at which some upstreams lose power, None for none.
    """

    agents: int
    rates: dict[str, float]
    crashing: dict[str, float]
    takeover_s: float | None = None
    power_loss_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadResult:
    """What callers got.

    Attributes:
        earned: Mean credit of the good jobs, by queue.
        condemned: Good jobs that failed.
        most_starts: Starts of the crashing task that was started most often.
    """

    earned: dict[str, float]
    condemned: list[str]
    most_starts: int


def play(load, seed):
    """Plays a load, and returns what callers got."""
    make_table = _cell_simulation.make_table
    with unittest.mock.patch.object(
        _cell_simulation, "make_table", lambda: make_table(objective_s=0.06)
    ):
        return _LoadPlay(load, seed).play()


class _LoadPlay:
    def __init__(self, load, seed):
        self.load = load
        self.generator = random.Random(seed)
        self.cell = CellSimulation(seed=seed, agents=load.agents)
        self.cell.delays_s = [0.002, 0.002, 0.01]
        self.cell.run(0.5)
        self.began_at_s = self.cell.now_s
        self.next_at_s = {
            queue: self.generator.expovariate(rate)
            for queue, rate in load.rates.items()
        }
        self.counts = collections.Counter()
        self.sent_at_s = {}
        self.ended_at_s = {}

    def play(self):
        cell = self.cell
        while (at_s := round(cell.now_s - self.began_at_s, 2)) < SECONDS + 3:
            for queue in self.load.rates:
                while self.next_at_s[queue] <= min(at_s, SECONDS):
                    self.next_at_s[queue] += self.generator.expovariate(
                        self.load.rates[queue]
                    )
                    self.submit(queue, at_s)
            if at_s == self.load.takeover_s:
                cell.take_over()
            if at_s == self.load.power_loss_s:
                for name in list(cell.upstreams)[:POWER_LOSS_COUNT]:
                    if cell.upstreams[name].is_up:
                        cell.stop_upstream(name)
            cell.step()
            for job in cell.answers.keys() - self.ended_at_s.keys():
                self.ended_at_s[job] = cell.now_s
        return self.result()

    def submit(self, queue, at_s):
        self.counts[queue] += 1
        name = f"{queue}{self.counts[queue]}"
        is_crashing = self.generator.random() < self.load.crashing.get(queue, 0.0)
        if is_crashing and CRASHING_FROM_S < at_s < CRASHING_UNTIL_S:
            name = CRASHING_PREFIX + name
            self.cell.crash_delays_s[name] = CRASH_DELAY_S
        self.sent_at_s[name] = self.cell.now_s
        self.cell.submit(
            make_job(name, count=TASK_COUNTS[queue], cpu=2000, queue=queue)
        )

    def credit(self, job):
        if self.cell.answers.get(job) is not JobState.COMPLETE:
            return 0.0
        took_s = self.ended_at_s[job] - self.sent_at_s[job]
        if took_s <= OBJECTIVE_S:
            return 1.0
        return LATE_CREDIT if took_s <= LATE_FACTOR * OBJECTIVE_S else 0.0

    def result(self):
        good = [job for job in self.sent_at_s if not job.startswith(CRASHING_PREFIX)]
        earned = {}
        for queue in self.load.rates:
            credits_of = [self.credit(job) for job in good if job.startswith(queue)]
            earned[queue] = sum(credits_of) / len(credits_of)
        return LoadResult(
            earned=earned,
            condemned=[
                job for job in good if self.cell.answers.get(job) is JobState.FAILED
            ],
            most_starts=max(
                (
                    count
                    for task, count in self.cell.starts.items()
                    if task.startswith(CRASHING_PREFIX)
                ),
                default=0,
            ),
        )
