"""Stand-in executors with leases, fencing and capacity, and the oracle of runs."""

import collections
import dataclasses
import itertools
import math
import random
import time

import curio
import msgspec
from hawthornbarrow.clock import steady_s
from hawthornbarrow.http import (
    HttpClientError,
    HttpServer,
    PooledClient,
    Request,
    Response,
)

MAX_LEASE_S = 1.0
CAPACITY_MILLICORES = 4000
CRASHING_SUFFIX = "!"  # of the spec of a task that crashes its executor
CRASH_DELAY_S = 0.02  # from the start of such a task
# Time after a change in which starts may still exceed a smaller capacity: the agent may
# be out of touch, and the next heartbeat announces the change.
CAPACITY_GRACE_S = 3.5
MAX_CRASHES = 3  # executors that may crash under a task before its starts are limited
MAX_LATER_STARTS = 2
NEW_ID_SHARE = 0.5  # share of the restarts under another id
_POLL_INTERVAL_S = 0.005
_HEARTBEAT_INTERVAL_S = 0.5


class Oracle:
    """Checks invariants on runs from the events that executors record.

    Attributes:
        violations: Violations so far, each with the time at which it was recorded.
        executor_by_task: Executor at which each running task runs, by task.
        started_jobs: Jobs of which at least one task was started.
        start_count: Number of runs started.
        crash_count: Number of executors that crashed under a task.
    """

    def __init__(self) -> None:
        """Initializes an oracle without runs or violations."""
        self.violations: list[str] = []
        self.executor_by_task: dict[str, str] = {}
        self.started_jobs: set[str] = set()
        self.start_count = 0
        self.crash_count = 0
        self._crashes = collections.Counter[str]()
        self._later_starts = collections.Counter[str]()
        self._evacuated_from_s: dict[str, float] = {}
        self._last_start_s: dict[str, float] = {}

    def begin_evacuation(self, data_centre: str, from_s: float) -> None:
        """Makes each start in a data centre a violation from a time on."""
        self._evacuated_from_s[data_centre] = from_s

    def end_evacuation(self, data_centre: str) -> None:
        """Allows starts in a data centre."""
        self._evacuated_from_s.pop(data_centre, None)

    def last_start_s(self, data_centre: str) -> float:
        """Returns the time of the last start in a data centre, zero for none."""
        return self._last_start_s.get(data_centre, 0.0)

    def record_start(self, task: str, executor: str, data_centre: str) -> None:
        """Records the start of a run.

        Two runs of one task at once, and a start in an evacuated data centre, are
        violations.
        """
        self._last_start_s[data_centre] = steady_s()
        if steady_s() > self._evacuated_from_s.get(data_centre, math.inf):
            self.record_violation(
                f"task {task} starts at {executor}, but {data_centre} is evacuated"
            )
        self.start_count += 1
        self.started_jobs.add(task.partition(".")[0])
        other_executor = self.executor_by_task.get(task)
        if other_executor is not None:
            self.record_violation(
                f"task {task} runs at both {other_executor} and {executor}"
            )
        self.executor_by_task[task] = executor
        if self._crashes[task] >= MAX_CRASHES:
            self._later_starts[task] += 1
        if self._later_starts[task] > MAX_LATER_STARTS:
            self.record_violation(
                f"task {task} was started {self._later_starts[task]} times after "
                f"{MAX_CRASHES} executors crashed under it"
            )

    def record_crash(self, task: str) -> None:
        """Records that a task has crashed its executor."""
        self.crash_count += 1
        self._crashes[task] += 1

    def record_end(self, task: str, executor: str) -> None:
        """Records the end of a run."""
        if self.executor_by_task.get(task) == executor:
            del self.executor_by_task[task]

    def record_violation(self, message: str) -> None:
        """Records a violation of an invariant."""
        self.violations.append(f"{steady_s():.3f} {message}")


@dataclasses.dataclass(kw_only=True)
class _Run:
    attempt: int
    millicores: int
    started_at_s: float
    duration_s: float
    is_crashing: bool = False


class Executor:
    """Simulates the executor of one machine through all its incarnations.

    Args:
        name: Name of the machine.
        data_centre: Its data centre.
        app: Host and port at which it accepts orders.
        registry: Host and port at which its agent accepts heartbeats.
        oracle: Checks its runs.
        generator: Source of the clock rate, run durations and delays of orders.

    Attributes:
        id: Name of the current incarnation.
        delayed_order_share: Share of the orders that are executed late, after the
            agent's call has timed out.
        fails_runs: Whether runs end as failed instead of done.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        app: tuple[str, int],
        registry: tuple[str, int],
        oracle: Oracle,
        generator: random.Random,
    ) -> None:
        """Initializes the executor in its first incarnation."""
        self._name = name
        self._data_centre = data_centre
        self._app = app
        self._registry = registry
        self._oracle = oracle
        self._generator = generator
        self._incarnation_numbers = itertools.count(1)
        self._clock_rate = generator.choice((1.0, 0.98))
        self.delayed_order_share = 0.0
        self.fails_runs = False
        # Times of changes and the capacity since then, the newest last.
        self._capacities = [(0.0, CAPACITY_MILLICORES)]
        self.crash()

    def set_capacity(self, millicores: int) -> None:
        """Changes the capacity, which the next heartbeat announces."""
        self._capacities.append((steady_s(), millicores))

    def _allowed_millicores(self) -> int:
        """Returns the largest capacity within the last CAPACITY_GRACE_S."""
        since_s = steady_s() - CAPACITY_GRACE_S
        while len(self._capacities) > 1 and self._capacities[1][0] < since_s:
            del self._capacities[0]
        return max(millicores for _, millicores in self._capacities)

    def crash(self) -> None:
        """Ends all runs and begins the next incarnation."""
        for task in getattr(self, "_runs", {}):
            self._oracle.record_end(task, self.id)
        number = next(self._incarnation_numbers)
        if number == 1 or self._generator.random() < NEW_ID_SHARE:
            self.id = f"i-{self._name}-{number}"
        # Restarts may follow each other within a millisecond.
        self._born_ms = int(time.time() * 1000) + number
        self._born_at_s = steady_s()
        self._runs: dict[str, _Run] = {}
        self._closed_attempts: dict[str, int] = {}
        self._finished_runs: list[list] = []
        self._last_run_number = 0
        self._fencing_token = 0
        self._lease_expires_at_s = 0.0
        self._sequence = 0

    async def run(self) -> None:
        """Serves orders, runs tasks and sends heartbeats until cancelled."""
        server = HttpServer(handler=self._handle)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(server.serve, *self._app)
            await group.spawn(self._advance_runs)
            await group.spawn(self._send_heartbeats)

    def _clock_s(self) -> float:
        return (steady_s() - self._born_at_s) * self._clock_rate

    async def _advance_runs(self) -> None:
        while True:
            if self._runs and self._clock_s() > self._lease_expires_at_s:
                for task in list(self._runs):
                    self._end_run(task, "lapsed")
            now_s = steady_s()
            for task, run in list(self._runs.items()):
                if run.is_crashing and now_s - run.started_at_s >= CRASH_DELAY_S:
                    self._oracle.record_crash(task)
                    self.crash()
                    break
                if now_s - run.started_at_s >= run.duration_s:
                    self._end_run(task, "failed" if self.fails_runs else "done")
            await curio.sleep(_POLL_INTERVAL_S)

    async def _send_heartbeats(self) -> None:
        host, port = self._registry
        client = PooledClient(
            host=host, port=port, connections=1, connect_timeout_s=0.3
        )
        while True:
            self._sequence += 1
            heartbeat = {
                "service": "s",
                "address": f"{self._app[0]}:{self._app[1]}",
                "zone": self._data_centre,
                "state": "ready",
                "capacity": {"cpu": self._capacities[-1][1], "memMb": 4000},
                "labels": ["a", "r1"],
                "clockMs": int(self._clock_s() * 1000),
                "sequence": self._sequence,
                "born": self._born_ms,
            }
            try:
                async with curio.timeout_after(1.0):
                    await client.request(
                        "PUT",
                        f"/api/instances/{self.id}",
                        {"Content-Type": "application/json"},
                        msgspec.json.encode(heartbeat),
                    )
            except (HttpClientError, curio.TaskTimeout):
                await client.close()
            await curio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _handle(self, request: Request) -> Response:
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return Response(status=421)
        body = msgspec.json.decode(request.body)
        if request.path == "/api/hold":
            return await self._renew_runs(body)
        if self._generator.random() < self.delayed_order_share:
            born_ms = self._born_ms
            await curio.sleep(self._generator.uniform(0.5, 3.0))
            if born_ms == self._born_ms:
                self._execute_order(request.path, body)
            await curio.sleep(10)
        return self._execute_order(request.path, body)

    def _execute_order(self, path: str, body: dict) -> Response:
        if body.get("fencingToken", 0) < self._fencing_token:
            return self._build_response(409, reason="fence")
        self._fencing_token = body["fencingToken"]
        if path == "/api/run-stop":
            return self._stop_run(body)
        return self._start_run(body)

    def _start_run(self, body: dict) -> Response:
        task, attempt = body["task"], body["attempt"]
        existing_run = self._runs.get(task)
        if existing_run is not None and existing_run.attempt == attempt:
            return self._build_response(200)
        expires_at_s = body["untilMs"] / 1000
        if expires_at_s <= self._clock_s():
            return self._build_response(409, reason="late")
        self._extend_lease(expires_at_s)
        if existing_run is not None or attempt <= self._closed_attempts.get(task, 0):
            return self._build_response(409, reason="old")
        millicores = int(body["spec"].rstrip(CRASHING_SUFFIX))
        duration_s = self._generator.uniform(0.03, 0.5)
        self._runs[task] = _Run(
            attempt=attempt,
            millicores=millicores,
            started_at_s=steady_s(),
            duration_s=duration_s,
            is_crashing=body["spec"].endswith(CRASHING_SUFFIX),
        )
        self._oracle.record_start(task, self.id, self._data_centre)
        used_millicores = sum(run.millicores for run in self._runs.values())
        if used_millicores > self._allowed_millicores():
            self._oracle.record_violation(
                f"{self.id} runs tasks of {used_millicores} millicores, "
                f"its capacity is {self._allowed_millicores()}"
            )
        return self._build_response(200)

    def _stop_run(self, body: dict) -> Response:
        task, attempt = body["task"], body["attempt"]
        self._closed_attempts[task] = max(self._closed_attempts.get(task, 0), attempt)
        if task in self._runs and self._runs[task].attempt <= attempt:
            self._end_run(task, "stopped")
        return self._build_response(200)

    async def _renew_runs(self, body: dict) -> Response:
        if body.get("fencingToken", 0) < self._fencing_token:
            return self._build_response(409, reason="fence")
        self._fencing_token = body["fencingToken"]
        if "untilMs" in body:
            self._extend_lease(body["untilMs"] / 1000)
        acknowledged_number = body.get("ackCursor", 0)
        self._finished_runs = [
            row for row in self._finished_runs if row[0] > acknowledged_number
        ]
        wait_deadline_s = steady_s() + body.get("waitMs", 0) / 1000
        while not self._finished_runs and steady_s() < wait_deadline_s:
            await curio.sleep(_POLL_INTERVAL_S)
        now_s = steady_s()
        running = [
            [
                task,
                run.attempt,
                "",
                int(100 * (now_s - run.started_at_s) / run.duration_s),
            ]
            for task, run in self._runs.items()
        ]
        return self._build_response(200, running=running, finished=self._finished_runs)

    def _extend_lease(self, expires_at_s: float) -> None:
        max_expires_at_s = self._clock_s() + MAX_LEASE_S
        self._lease_expires_at_s = max(
            self._lease_expires_at_s, min(expires_at_s, max_expires_at_s)
        )

    def _end_run(self, task: str, outcome: str) -> None:
        run = self._runs.pop(task)
        self._closed_attempts[task] = max(
            self._closed_attempts.get(task, 0), run.attempt
        )
        self._last_run_number += 1
        self._finished_runs.append(
            [self._last_run_number, task, run.attempt, outcome, ""]
        )
        self._oracle.record_end(task, self.id)

    def _build_response(self, status: int, **fields: object) -> Response:
        body = {
            "clockMs": int(self._clock_s() * 1000),
            "born": self._born_ms,
            **fields,
        }
        return Response(status=status, body=msgspec.json.encode(body))
