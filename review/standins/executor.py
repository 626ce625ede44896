"""Stand-in executor, as the section "Running tasks" of the users' protocol says."""

import asyncio
import dataclasses
import itertools
import json
import time

from standins.http11 import Message, Server, call
from standins.record import Record

HOLD_MAX_MS = 1000
_MAX_LISTED_ENDS = 500
_POLL_S = 0.005


@dataclasses.dataclass(kw_only=True)
class Run:
    """One run of a task.

    Attributes:
        task: Name of the task.
        attempt: Number of the start.
        executor: Id of the executor.
        began_s: When it began, by the record's clock.
        work_s: How long it takes.
        ended_s: When it ended, or None.
        how: How it ended.
    """

    task: str
    attempt: int
    executor: str
    began_s: float
    work_s: float
    ended_s: float | None = None
    how: str = ""


class Executor:
    """The executor of one side machine, through all its lives.

    The spec of a job is a JSON object; `ms` holds the work of a task for each step.

    Args:
        name: Name of the machine.
        app: Address at which it takes orders.
        control: Address at which it registers.
        service: Service that it belongs to.
        zone: Its zone.
        record: Where events are written.
        cpu: Its capacity in thousandths of a core.
        labels: Its kind and its rack.
        beat_s: Interval of its liveness reports.
    """

    def __init__(
        self,
        *,
        name: str,
        app: tuple[str, int],
        control: tuple[str, int],
        service: str,
        zone: str,
        record: Record,
        cpu: int = 16000,
        labels: tuple[str, ...] = ("a", "r1-1"),
        beat_s: float = 1.5,
    ) -> None:
        """Initializes an executor without a life."""
        self.name = name
        self.app = app
        self.control = control
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.labels = labels
        self.all_runs: list[Run] = []
        self.id = ""
        self.order_count = 0
        self._record = record
        self._beat_s = beat_s
        self._lives = itertools.count(1)
        self._server: Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._runs: dict[str, Run] = {}

    async def begin_life(self, *, reports: bool = True) -> None:
        """Starts a new life: a new id, nothing runs, no fence number was seen.

        Args:
            reports: Whether it sends its liveness reports by itself.
        """
        self.id = f"i-{self.name}-{next(self._lives)}"
        self._born_at_s = time.monotonic()
        self._runs = {}
        self._closed: dict[str, int] = {}
        self._ends: list[list] = []
        self._last_end = 0
        self._fence = 0
        self._lease_ms = 0
        self._sequence = 0
        self._record.write("executor_starts", id=self.id, app=self.app)
        self._server = Server(handle=self._handle)
        await self._server.listen(self.app)
        self._tasks = [asyncio.create_task(self._advance())]
        if reports:
            self._tasks.append(asyncio.create_task(self._report_regularly()))

    async def end_life(self) -> None:
        """Crashes: all that runs ends, and nothing listens any more."""
        self._record.write("executor_crashes", id=self.id)
        for task in self._tasks:
            task.cancel()
        for run in list(self._runs.values()):
            self._end(run, "crashed")
        if self._server is not None:
            self._server.close()
            self._server = None

    @property
    def running(self) -> list[Run]:
        """The runs in progress."""
        return list(self._runs.values())

    def report_body(self) -> dict:
        """Returns the next liveness report."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{self.app[0]}:{self.app[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
            "labels": list(self.labels),
            "clockMs": self._clock_ms,
            "sequence": self._sequence,
        }

    async def send_report(self) -> int:
        """Sends one liveness report; returns the status, 0 without an answer."""
        body = self.report_body()
        answer = await call(
            self.control, "PUT", f"/api/instances/{self.id}", body=body, timeout_s=1.0
        )
        status = answer.status if answer else 0
        self._record.write(
            "report", id=self.id, sequence=body["sequence"], status=status
        )
        return status

    async def _report_regularly(self) -> None:
        while True:
            status = await self.send_report()
            await asyncio.sleep(self._beat_s if status else 0.3)

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_at_s) * 1000)

    async def _advance(self) -> None:
        while True:
            if self._runs and self._clock_ms > self._lease_ms:
                for run in list(self._runs.values()):
                    self._end(run, "lapsed")
            now_s = self._record.now_s
            for run in list(self._runs.values()):
                if now_s - run.began_s >= run.work_s:
                    self._end(run, "done")
            await asyncio.sleep(_POLL_S)

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        run.ended_s, run.how = self._record.now_s, how
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.attempt)
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.attempt, how, ""])
        self._record.write(
            "run_ends", executor=run.executor, task=run.task, run=run.attempt, how=how
        )

    async def _handle(self, request: Message) -> tuple[int, dict | None]:
        method, path, _ = request.start
        if method == "GET":
            return 200, None
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421, None
        body = request.json()
        fence = body.get("fencingToken", 0)
        if fence < self._fence:
            return self._refuse("fence")
        self._fence = fence
        if path == "/api/hold":
            return await self._hold(body)
        if path == "/api/run-start":
            self.order_count += 1
            return self._start(body)
        if path == "/api/run-stop":
            return self._stop(body)
        return 404, None

    def _refuse(self, reason: str) -> tuple[int, dict]:
        return 409, {"clockMs": self._clock_ms, "reason": reason}

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self._clock_ms + HOLD_MAX_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    def _start(self, body: dict) -> tuple[int, dict]:
        task, attempt = body["task"], body["attempt"]
        known = self._runs.get(task)
        if known is not None and known.attempt == attempt:
            return 200, {"clockMs": self._clock_ms}
        if body["untilMs"] <= self._clock_ms:
            return self._refuse("late")
        self._extend(body["untilMs"])
        if known is not None or attempt <= self._closed.get(task, 0):
            return self._refuse("old")
        work_ms = json.loads(body["spec"])["ms"][int(task.split(".")[2])]
        run = Run(
            task=task,
            attempt=attempt,
            executor=self.id,
            began_s=self._record.now_s,
            work_s=work_ms / 1000,
        )
        self._runs[task] = run
        self.all_runs.append(run)
        self._record.write("run_begins", executor=self.id, task=task, run=attempt)
        return 200, {"clockMs": self._clock_ms}

    def _stop(self, body: dict) -> tuple[int, dict]:
        task, attempt = body["task"], body["attempt"]
        run = self._runs.get(task)
        if run is not None and run.attempt <= attempt:
            self._end(run, "stopped")
        self._closed[task] = max(self._closed.get(task, 0), attempt)
        return 200, {"clockMs": self._clock_ms}

    async def _hold(self, body: dict) -> tuple[int, dict]:
        if "untilMs" in body:
            self._extend(body["untilMs"])
        cursor = body.get("ackCursor", 0)
        self._ends = [row for row in self._ends if row[0] > cursor]
        until_s = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self._ends and time.monotonic() < until_s:
            await asyncio.sleep(_POLL_S)
        now_s = self._record.now_s
        running = [
            [
                run.task,
                run.attempt,
                "",
                int(100 * (now_s - run.began_s) / run.work_s),
                1,
            ]
            for run in self._runs.values()
        ]
        return 200, {
            "clockMs": self._clock_ms,
            "running": running,
            "finished": self._ends[:_MAX_LISTED_ENDS],
        }
