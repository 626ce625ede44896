"""Stand-in executors: leases, fences and room, and the oracle of their runs."""

import dataclasses
import itertools
import random

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

LONGEST_LEASE_S = 1.0
CAPACITY_CPU = 4000
_TICK_S = 0.005
_BEAT_S = 0.5


class Oracle:
    """Promises about runs, checked from what executors do."""

    def __init__(self) -> None:
        """Starts without runs."""
        self.violations: list[str] = []
        self.running: dict[str, str] = {}
        self.started_jobs: set[str] = set()
        self.starts = 0

    def begin(self, task: str, executor: str) -> None:
        """Notes a run that begins."""
        self.starts += 1
        self.started_jobs.add(task.partition(".")[0])
        other = self.running.get(task)
        if other is not None:
            self.violate(f"{task} runs at {other} and {executor}")
        self.running[task] = executor

    def end(self, task: str, executor: str) -> None:
        """Notes a run that is over."""
        if self.running.get(task) == executor:
            del self.running[task]

    def violate(self, text: str) -> None:
        """Notes a broken promise."""
        self.violations.append(f"{steady_s():.3f} {text}")


@dataclasses.dataclass(kw_only=True)
class _Run:
    attempt: int
    cpu: int
    began_s: float
    run_s: float


class Executor:
    """One machine's executor, through all its incarnations.

    Args:
        name: Name of the machine.
        app: Host and port of its calls.
        registry: Host and port of the agent beside it.
        oracle: Where its runs are checked.
        generator: Source of run times and late orders.
    """

    def __init__(
        self,
        *,
        name: str,
        app: tuple[str, int],
        registry: tuple[str, int],
        oracle: Oracle,
        generator: random.Random,
    ) -> None:
        """Starts its first incarnation."""
        self._name = name
        self._app = app
        self._registry = registry
        self._oracle = oracle
        self._generator = generator
        self._lives = itertools.count(1)
        self._rate = generator.choice((1.0, 0.98))
        self.late_share = 0.0
        self.fails = False
        self.crash()

    def crash(self) -> None:
        """Ends all runs and begins another incarnation."""
        for task in getattr(self, "_runs", {}):
            self._oracle.end(task, self.id)
        self.id = f"i-{self._name}-{next(self._lives)}"
        self._runs: dict[str, _Run] = {}
        self._closed: dict[str, int] = {}
        self._ended: list[list] = []
        self._number = 0
        self._fence = 0
        self._lease_s = 0.0
        self._sequence = 0

    async def run(self) -> None:
        """Serves calls, runs tasks and sends beats until cancelled."""
        server = HttpServer(handler=self._handle)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(server.serve, *self._app)
            await group.spawn(self._work)
            await group.spawn(self._beat)

    def _clock_s(self) -> float:
        return steady_s() * self._rate

    async def _work(self) -> None:
        while True:
            if self._runs and self._clock_s() > self._lease_s:
                for task in list(self._runs):
                    self._end(task, "lapsed")
            now_s = steady_s()
            for task, run in list(self._runs.items()):
                if now_s - run.began_s >= run.run_s:
                    self._end(task, "failed" if self.fails else "done")
            await curio.sleep(_TICK_S)

    async def _beat(self) -> None:
        host, port = self._registry
        client = PooledClient(
            host=host, port=port, connections=1, connect_timeout_s=0.3
        )
        while True:
            self._sequence += 1
            beat = {
                "service": "s",
                "address": f"{self._app[0]}:{self._app[1]}",
                "zone": "z",
                "state": "ready",
                "capacity": {"cpu": CAPACITY_CPU, "memMb": 4000},
                "labels": ["a", "r1"],
                "clockMs": int(self._clock_s() * 1000),
                "sequence": self._sequence,
            }
            try:
                async with curio.timeout_after(1.0):
                    await client.request(
                        "PUT",
                        f"/api/instances/{self.id}",
                        {"Content-Type": "application/json"},
                        msgspec.json.encode(beat),
                    )
            except (HttpClientError, curio.TaskTimeout):
                await client.close()
            await curio.sleep(_BEAT_S)

    async def _handle(self, request: Request) -> Response:
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return Response(status=421)
        body = msgspec.json.decode(request.body)
        if request.path == "/api/hold":
            return await self._hold(body)
        if self._generator.random() < self.late_share:
            incarnation = self.id
            await curio.sleep(self._generator.uniform(0.5, 3.0))
            if incarnation == self.id:
                self._order(request.path, body)
            await curio.sleep(10)
        return self._order(request.path, body)

    def _order(self, path: str, body: dict) -> Response:
        if body.get("fencingToken", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body["fencingToken"]
        if path == "/api/run-stop":
            return self._stop(body)
        return self._start(body)

    def _start(self, body: dict) -> Response:
        task, attempt = body["task"], body["attempt"]
        known = self._runs.get(task)
        if known is not None and known.attempt == attempt:
            return self._answer(200)
        until_s = body["untilMs"] / 1000
        if until_s <= self._clock_s():
            return self._answer(409, reason="late")
        self._extend(until_s)
        if known is not None or attempt <= self._closed.get(task, 0):
            return self._answer(409, reason="old")
        cpu = int(body["spec"])
        run_s = self._generator.uniform(0.03, 0.5)
        self._runs[task] = _Run(
            attempt=attempt, cpu=cpu, began_s=steady_s(), run_s=run_s
        )
        self._oracle.begin(task, self.id)
        used = sum(run.cpu for run in self._runs.values())
        if used > CAPACITY_CPU:
            self._oracle.violate(f"{self.id} holds {used} of {CAPACITY_CPU}")
        return self._answer(200)

    def _stop(self, body: dict) -> Response:
        task, attempt = body["task"], body["attempt"]
        self._closed[task] = max(self._closed.get(task, 0), attempt)
        if task in self._runs and self._runs[task].attempt <= attempt:
            self._end(task, "stopped")
        return self._answer(200)

    async def _hold(self, body: dict) -> Response:
        if body.get("fencingToken", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body["fencingToken"]
        if "untilMs" in body:
            self._extend(body["untilMs"] / 1000)
        acknowledged = body.get("ackCursor", 0)
        self._ended = [row for row in self._ended if row[0] > acknowledged]
        waits_until_s = steady_s() + body.get("waitMs", 0) / 1000
        while not self._ended and steady_s() < waits_until_s:
            await curio.sleep(_TICK_S)
        now_s = steady_s()
        running = [
            [task, run.attempt, "", int(100 * (now_s - run.began_s) / run.run_s)]
            for task, run in self._runs.items()
        ]
        return self._answer(200, running=running, finished=self._ended)

    def _extend(self, until_s: float) -> None:
        longest_s = self._clock_s() + LONGEST_LEASE_S
        self._lease_s = max(self._lease_s, min(until_s, longest_s))

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        self._closed[task] = max(self._closed.get(task, 0), run.attempt)
        self._number += 1
        self._ended.append([self._number, task, run.attempt, how, ""])
        self._oracle.end(task, self.id)

    def _answer(self, status: int, **fields: object) -> Response:
        body = {"clockMs": int(self._clock_s() * 1000), **fields}
        return Response(status=status, body=msgspec.json.encode(body))
