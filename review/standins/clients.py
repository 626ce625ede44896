"""Stand-in clients: jobs that need not be stored, as the users' protocol says."""

import asyncio
import dataclasses
import json
import random

from standins.deployment import Machine
from standins.executor import Executor
from standins.http11 import call
from standins.record import Record

HOST = "front.example"
PREFIX = "/desk/"


@dataclasses.dataclass(kw_only=True)
class Job:
    """A job and the answer to its submission.

    Attributes:
        id: Its id.
        steps: Number of tasks and work of each in ms, for each step.
        cpu: Thousandths of a core that each task requests.
        is_chain: Whether each step depends on the one before it.
        sent_s: When it was sent, by the record's clock.
        status: Status of the answer, 0 for none.
        state: State in the answer.
    """

    id: str = dataclasses.field(
        default_factory=lambda: f"{random.getrandbits(64):016x}"
    )
    steps: list[tuple[int, int]]
    cpu: int = 1600
    is_chain: bool = False
    sent_s: float = 0.0
    status: int = 0
    state: str = ""

    @property
    def body(self) -> bytes:
        """The body of its submission."""
        phases = []
        for number, (count, work_ms) in enumerate(self.steps):
            phase = {
                "count": count,
                "cpu": self.cpu,
                "memMb": 64,
                "estimatedMs": work_ms,
            }
            if self.is_chain and number:
                phase["dependsOn"] = [number - 1]
            phases.append(phase)
        spec = json.dumps({"ms": [work_ms for _, work_ms in self.steps]})
        document = {"spec": spec, "phases": phases, "bestEffort": True}
        return json.dumps(document).encode()


def request_headers(deadline_ms: int) -> dict[str, str]:
    """Returns the headers of a client's request."""
    return {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}


async def submit(
    job: Job, entry: Machine, record: Record, *, deadline_ms: int = 1500
) -> Job:
    """Submits a job once and waits for its answer."""
    job.sent_s = record.now_s
    record.write("job_sent", job=job.id, entry=entry.name, steps=job.steps)
    answer = await call(
        entry.frontend,
        "POST",
        PREFIX + job.id,
        headers=request_headers(deadline_ms),
        body=job.body,
        timeout_s=deadline_ms / 1000,
    )
    job.status = answer.status if answer else 0
    job.state = answer.json().get("state", "") if job.status == 200 else ""
    record.write(
        "job_answered",
        job=job.id,
        entry=entry.name,
        status=job.status,
        state=job.state or "-",
        took_s=round(record.now_s - job.sent_s, 3),
    )
    return job


async def cancel(job: Job, entry: Machine, record: Record) -> int:
    """Cancels a job once; returns the status of the answer, 0 for none."""
    record.write("cancel_sent", job=job.id, entry=entry.name)
    answer = await call(
        entry.frontend, "DELETE", PREFIX + job.id, headers=request_headers(1000)
    )
    status = answer.status if answer else 0
    record.write("cancel_answered", job=job.id, entry=entry.name, status=status)
    return status


async def start_executors(
    agents: list[Machine], record: Record, **settings: object
) -> list[Executor]:
    """Starts the executor of each side machine."""
    executors = []
    for agent in agents:
        executor = Executor(
            name=agent.name,
            app=agent.app,
            control=agent.control,
            service=agent.service,
            zone=agent.zone,
            record=record,
            **settings,
        )
        await executor.begin_life()
        executors.append(executor)
    return executors


async def warm_up(entries: list[Machine], record: Record, timeout_s: float) -> bool:
    """Submits small jobs until one is answered as complete at each entry."""
    until_s = record.now_s + timeout_s
    for entry in entries:
        while True:
            job = Job(steps=[(2, 100)])
            await submit(job, entry, record, deadline_ms=1500)
            if job.state == "complete":
                break
            if record.now_s > until_s:
                return False
            await asyncio.sleep(0.2)
    return True
