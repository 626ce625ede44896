"""Decides how many workers of a service each confined queue gets."""

import collections.abc
import dataclasses

USABLE_FRACTION = 0.92  # of the capacity; the rest is lost to uneven task sizes
DEMAND_MARGIN = 1.25  # times the mean demand, as it varies within seconds
# Further workers of a queue that crashes upstreams, where they cost the others nothing:
# nothing else starts beside a suspect, and each crash takes one until the next plan.
SPARE_WORKERS = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueNeed:
    """What the jobs of one or several queues need.

    Attributes:
        demand_cores: Core-seconds of submitted work per second.
        crashes_per_s: Upstreams that they crash per second.
        lost_core_s: Work that is lost with each such upstream, and is done again.
        drain: Workers that are away for each worker that they use, as they crash it.
    """

    demand_cores: float
    crashes_per_s: float = 0.0
    lost_core_s: float = 0.0
    drain: float = 0.0

    def shortage(self, workers: float, cores: float) -> float:
        """Returns the expected loss with a number of workers.

        It rises with the square of the work that does not fit, relative to the demand.
        So the least sum over queues is without a shortage where that is possible, and
        is otherwise the one with equal fractions of their work refused.

        Args:
            workers: Number of workers.
            cores: Mean cores of a worker.
        """
        demand = self.demand_cores * DEMAND_MARGIN
        demand += self.crashes_per_s * self.lost_core_s
        if demand <= 0:
            return 0.0
        missing = max(0.0, demand - workers * cores * USABLE_FRACTION)
        return missing * missing / demand


def plan_parts(
    confined: collections.abc.Mapping[str, QueueNeed],
    others: QueueNeed,
    workers: int,
    *,
    known: int,
    cores: float,
) -> dict[str, int]:
    """Returns the numbers of workers of confined queues with the least expected loss.

    The others keep one worker at least. Workers go to the confined queue whose loss
    they lower most, as long as that is more than the other queues lose. The losses are
    convex, so no other division has a lower sum. A worker costs the others itself and
    those that will be away as the queue crashes it.

    Args:
        confined: Needs of the confined queues.
        others: Needs of all other queues together.
        workers: Number of workers of the service that are there.
        known: Number of workers of the service with those that are away.
        cores: Mean cores of a worker.
    """
    parts = dict.fromkeys(confined, 0)
    left = workers

    def gain(queue: str) -> float:
        need, count = confined[queue], parts[queue]
        return need.shortage(count, cores) - need.shortage(count + 1, cores)

    def others_loss(left: int, drained: float) -> float:
        return others.shortage(min(left, known - drained), cores)

    def others_cost(queue: str) -> float:
        drained_with = drained + 1 + confined[queue].drain
        return others_loss(left - 1, drained_with) - others_loss(left, drained)

    def move_worker(queue: str) -> None:
        nonlocal left, drained
        parts[queue] += 1
        left -= 1
        drained += 1 + confined[queue].drain

    drained = 0.0
    while left > 1:
        queue = max(parts, key=gain)
        if gain(queue) <= others_cost(queue):
            break
        move_worker(queue)
    for queue, need in confined.items():
        for _ in range(SPARE_WORKERS if need.crashes_per_s > 0 else 0):
            if left > 1 and others_cost(queue) <= 0:
                move_worker(queue)
    return parts
