"""Start-time fair queueing over members, with a job order within each member.

The algorithm is that of P. Goyal, H. Vin and H. Cheng, "Start-time Fair Queueing"
(SIGCOMM 1996). A start is charged immediately with the expected run time; the charge is
replaced by the measured run time when the task ends. Start-time fair queueing does not
account for earlier usage, so a member with a permanent backlog would take half of the
slots from each burst of a small member. The start tag of a member whose recent usage is
far above its share is therefore increased by a bounded penalty.
"""

import heapq
import itertools
import math

from hawthornbarrow.dispatch._ordering import JobOrder
from hawthornbarrow.jobs import Job
from hawthornbarrow.upstreams import Resources

SchedulingClass = tuple[str, Resources]

HEAVY_USAGE_FACTOR = 3.0
HEAVY_USAGE_PENALTY_S = 30.0
_USAGE_HALF_LIFE_S = 20.0
_USAGE_UPDATE_INTERVAL_S = 0.5
_KEY_TOLERANCE_FACTOR = 1.05


class _JobHeap:
    """Jobs of one member and scheduling class; keys are updated lazily."""

    def __init__(self, *, order: JobOrder) -> None:
        self._order = order
        self._by_key: list[tuple[float, int, Job]] = []
        self._by_promotion: list[tuple[float, int, Job]] = []
        self._serial = itertools.count()

    def push(self, job: Job) -> None:
        serial = next(self._serial)
        heapq.heappush(self._by_key, (self._order.key(job), serial, job))
        promote_at_s = self._order.promote_at_s(job)
        if promote_at_s < math.inf:
            heapq.heappush(self._by_promotion, (promote_at_s, serial, job))

    def head(self, now_s: float) -> Job | None:
        """Returns the first job, or None when no job has waiting tasks."""
        promoted = self._promoted_head(now_s)
        if promoted is not None:
            return promoted
        while self._by_key:
            key, serial, job = self._by_key[0]
            if not job.waiting_count:
                heapq.heappop(self._by_key)
                continue
            current_key = self._order.key(job)
            if current_key > key * _KEY_TOLERANCE_FACTOR and len(self._by_key) > 1:
                heapq.heapreplace(self._by_key, (current_key, serial, job))
                continue
            return job
        return None

    def refresh_head(self, job: Job) -> None:
        """Updates the key of the head job after one of its tasks was removed."""
        if self._by_key and self._by_key[0][2] is job:
            serial = self._by_key[0][1]
            heapq.heapreplace(self._by_key, (self._order.key(job), serial, job))

    def _promoted_head(self, now_s: float) -> Job | None:
        while self._by_promotion and self._by_promotion[0][0] <= now_s:
            _, serial, job = self._by_promotion[0]
            if not job.waiting_count:
                heapq.heappop(self._by_promotion)
                continue
            current_promote_at_s = self._order.promote_at_s(job)
            if current_promote_at_s <= now_s:
                return job
            heapq.heapreplace(self._by_promotion, (current_promote_at_s, serial, job))
        return None


class _MemberQueue:
    """Waiting jobs and slot usage of one member."""

    def __init__(self, *, weight: float) -> None:
        self.weight = weight
        self.finish_tag = 0.0
        self.usage_s = 0.0
        self.running = 0
        self.slot_quota = math.inf
        self.heaps: dict[SchedulingClass, _JobHeap] = {}


class FairQueue:
    """Selects the job whose task gets the next slot.

    Args:
        order: Order of the jobs within one member.
    """

    def __init__(self, *, order: JobOrder) -> None:
        """Initializes the queue without members."""
        self._order = order
        self._members: dict[str, _MemberQueue] = {}
        self._virtual_time = 0.0
        self._heavy_members: set[str] = set()
        self._usage_updated_at_s = 0.0

    def set_member(
        self, member: str, *, weight: float, slot_quota: float = math.inf
    ) -> None:
        """Sets a member's weight and the maximum number of slots it may hold here."""
        queue = self._member(member)
        queue.weight = weight
        queue.slot_quota = slot_quota

    def push(self, job: Job) -> None:
        """Adds a job that has waiting tasks, or has waiting tasks again."""
        queue = self._member(job.member)
        heap = queue.heaps.get(job.scheduling_class)
        if heap is None:
            heap = queue.heaps[job.scheduling_class] = _JobHeap(order=self._order)
        heap.push(job)

    def pick(
        self,
        services: set[str],
        now_s: float,
        blocked: frozenset[SchedulingClass] | set[SchedulingClass] = frozenset(),
    ) -> Job | None:
        """Returns the job whose next task should be dispatched, or None.

        Args:
            services: Services for which some upstream has credit.
            now_s: Current time.
            blocked: Scheduling classes that fit no upstream with credit.
        """
        best: Job | None = None
        best_tag = math.inf
        self._update_heavy_members(now_s)
        for member, queue in self._members.items():
            if queue.running >= queue.slot_quota:
                continue
            tag = self._start_tag(queue)
            if member in self._heavy_members:
                tag += HEAVY_USAGE_PENALTY_S / queue.weight
            if tag >= best_tag:
                continue
            job = self._head_job(queue, services, blocked, now_s)
            if job is not None:
                best, best_tag = job, tag
        return best

    def charge_start(self, job: Job, cost_s: float) -> None:
        """Charges the start of one task of a picked job to its member."""
        queue = self._members[job.member]
        start_tag = self._start_tag(queue)
        self._virtual_time = max(self._virtual_time, start_tag)
        queue.finish_tag = start_tag + cost_s / queue.weight
        queue.running += 1
        queue.usage_s += cost_s
        queue.heaps[job.scheduling_class].refresh_head(job)

    def charge_end(self, member: str, *, charged_s: float, measured_s: float) -> None:
        """Replaces the charge of a task by its measured slot time."""
        queue = self._member(member)
        queue.finish_tag += (measured_s - charged_s) / queue.weight
        queue.running = max(0, queue.running - 1)

    def charge_elsewhere(self, member: str, used_s: float) -> None:
        """Charges slot time that the member used through another entry."""
        queue = self._member(member)
        queue.finish_tag += used_s / queue.weight
        queue.usage_s += used_s

    def _start_tag(self, queue: _MemberQueue) -> float:
        return max(self._virtual_time, queue.finish_tag)

    def _update_heavy_members(self, now_s: float) -> None:
        """Updates the set of members whose recent usage is far above their share."""
        elapsed_s = now_s - self._usage_updated_at_s
        if elapsed_s < _USAGE_UPDATE_INTERVAL_S:
            return
        self._usage_updated_at_s = now_s
        decay = 0.5 ** (elapsed_s / _USAGE_HALF_LIFE_S)
        for queue in self._members.values():
            queue.usage_s *= decay
        total_usage_s = sum(queue.usage_s for queue in self._members.values())
        total_weight = sum(queue.weight for queue in self._members.values())
        self._heavy_members = {
            member
            for member, queue in self._members.items()
            if queue.usage_s
            > HEAVY_USAGE_FACTOR * total_usage_s * queue.weight / total_weight
        }

    def _head_job(
        self,
        queue: _MemberQueue,
        services: set[str],
        blocked: frozenset[SchedulingClass] | set[SchedulingClass],
        now_s: float,
    ) -> Job | None:
        best: Job | None = None
        best_key = math.inf
        empty_classes = []
        for scheduling_class, heap in queue.heaps.items():
            if scheduling_class[0] not in services or scheduling_class in blocked:
                continue
            job = heap.head(now_s)
            if job is None:
                empty_classes.append(scheduling_class)
                continue
            key = self._order.key(job)
            if key < best_key:
                best, best_key = job, key
        for scheduling_class in empty_classes:
            del queue.heaps[scheduling_class]
        return best

    def _member(self, member: str) -> _MemberQueue:
        queue = self._members.get(member)
        if queue is None:
            queue = self._members[member] = _MemberQueue(weight=1.0)
        return queue
