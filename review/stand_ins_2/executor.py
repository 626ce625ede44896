"""Executors as the pages describe them, on the machine of their agent.

The `spec` of a task says how long it works: `ms=800`.
"""

import asyncio
import json
import time

from stand_ins_2.platform import APP_PORT, CONTROL_PORT, SERVICE
from stand_ins_2.wire import call, serve

_BEAT_S = 1.5
_HOLD_MAX_MS = 1000
_STEP_S = 0.005


class Runs:
    """What runs where, over all executors: tells when a task runs twice at once."""

    def __init__(self, record):
        """Initializes it without runs."""
        self._record = record
        self.running = {}  # task -> {(executor, run)}
        self.overlaps = []
        self.starts = []  # (time, task, executor, run)

    def began(self, task, executor, run):
        """Records that a run has begun."""
        places = self.running.setdefault(task, set())
        places.add((executor, run))
        self.starts.append((self._record.now_s(), task, executor, run))
        self._record.note(f"run begins: {task} run {run} on {executor}")
        if len(places) > 1:
            self.overlaps.append(task)
            self._record.note(f"RUNS TWICE AT ONCE: {task} on {sorted(places)}")

    def ended(self, task, executor, run, how):
        """Records that a run has ended."""
        self.running.get(task, set()).discard((executor, run))
        self._record.note(f"run ends: {task} run {run} on {executor}: {how}")


class Executor:
    """One executor, beside the agent of its machine."""

    def __init__(self, machine, runs, record, *, cpu=16000):
        """Creates an executor that does not listen yet."""
        self._machine, self._runs, self._record = machine, runs, record
        self._cpu = cpu
        self.id = f"i-{machine.name}"
        self._born_s = time.monotonic()
        self._until_ms = 0
        self._fence = 0
        self.sequence = 0
        self.state = "ready"
        self.drain_acked_s = None  # when a report that it drains was acknowledged
        self._running = {}  # task -> [run, began, length]
        self._closed = {}  # task -> highest run ended or stopped here
        self._ends = []
        self._end_count = 0
        self._tasks = []
        self._server = None
        self._gone = False

    async def start(self):
        """Accepts calls and begins to report to the agent."""
        self._server = await serve(self._machine.ip, APP_PORT, self._handle)
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._beat()),
        ]

    def _clock_ms(self):
        return int((time.monotonic() - self._born_s) * 1000)

    async def _beat(self):
        while True:
            self.sequence += 1
            beat = {
                "service": SERVICE,
                "address": f"{self._machine.ip}:{APP_PORT}",
                "zone": self._machine.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": self._cpu, "memMb": 32768, "gpu": 0},
                "labels": ["a", "r1-1"],
                "clockMs": self._clock_ms(),
                "sequence": self.sequence,
            }
            if self.state == "draining":
                beat["remainingMs"] = 3000
            status, _ = await call(
                self._machine.ip,
                CONTROL_PORT,
                "PUT",
                f"/api/instances/{self.id}",
                body=json.dumps(beat).encode(),
            )
            if self.state == "draining" and status == 200:
                self._record.note(f"{self.id} says that it drains: 200")
                if self.drain_acked_s is None:
                    self.drain_acked_s = self._record.now_s()
            await asyncio.sleep(_BEAT_S)

    async def leave(self):
        """Deregisters and ends; what runs there is terminated."""
        for task in self._tasks:
            task.cancel()
        await call(
            self._machine.ip, CONTROL_PORT, "DELETE", f"/api/instances/{self.id}"
        )
        self._server.close()
        self._gone = True
        lost = list(self._running.items())
        for task, (run, _, _) in lost:
            del self._running[task]
            self._runs.ended(task, self.id, run, "lost with its executor")
        return len(lost)

    async def _work(self):
        while True:
            now_s = time.monotonic()
            lapsed = self._clock_ms() > self._until_ms
            for task, (run, began_s, length_s) in list(self._running.items()):
                if lapsed:
                    self._end(task, run, "lapsed")
                elif now_s - began_s >= length_s:
                    self._end(task, run, "done")
            await asyncio.sleep(_STEP_S)

    def _end(self, task, run, how):
        del self._running[task]
        self._closed[task] = max(run, self._closed.get(task, 0))
        self._end_count += 1
        self._ends.append([self._end_count, task, run, how, ""])
        self._runs.ended(task, self.id, run, how)

    def _answer(self, status, **fields):
        return status, {"clockMs": self._clock_ms(), **fields}

    async def _handle(self, method, path, headers, body):
        if self._gone:
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, None
        order = json.loads(body) if body else {}
        if order.get("fencingToken", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = order.get("fencingToken", 0)
        if path == "/api/run-start":
            return self._start(order)
        if path == "/api/run-stop":
            return self._stop(order)
        if path == "/api/hold":
            return await self._hold(order)
        return 404, None

    def _extend(self, until_ms):
        until_ms = min(until_ms, self._clock_ms() + _HOLD_MAX_MS)
        self._until_ms = max(self._until_ms, until_ms)

    def _start(self, order):
        task, run = order["task"], order["attempt"]
        if task in self._running and self._running[task][0] == run:
            return self._answer(200)
        if order["untilMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(order["untilMs"])
        if task in self._running or run <= self._closed.get(task, 0):
            return self._answer(409, reason="old")
        length_s = int(order["spec"].partition("=")[2]) / 1000
        self._running[task] = [run, time.monotonic(), length_s]
        self._runs.began(task, self.id, run)
        return self._answer(200)

    def _stop(self, order):
        task, run = order["task"], order["attempt"]
        self._closed[task] = max(run, self._closed.get(task, 0))
        if task in self._running and self._running[task][0] <= run:
            self._end(task, self._running[task][0], "stopped")
        return self._answer(200)

    async def _hold(self, order):
        if "untilMs" in order:
            self._extend(order["untilMs"])
        cursor = order.get("ackCursor", 0)
        self._ends = [end for end in self._ends if end[0] > cursor]
        wait_until_s = time.monotonic() + order.get("waitMs", 0) / 1000
        while not self._ends and time.monotonic() < wait_until_s:
            await asyncio.sleep(_STEP_S)
        now_s = time.monotonic()
        running = [
            [task, run, "", int(100 * (now_s - began_s) / length_s), 1000]
            for task, (run, began_s, length_s) in self._running.items()
        ]
        return self._answer(200, running=running, finished=self._ends[:500])
