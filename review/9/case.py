"""A report with missing fields, of another writer, moves an agent off its executor."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins_2.deployment import main  # noqa: E402
from stand_ins_2.platform import APP_PORT, CONTROL_PORT, SERVICE  # noqa: E402
from stand_ins_2.wire import call  # noqa: E402

JOBS = 24  # one each 0.25 s
TASK_MS = 900


async def case(deployment, trouble):
    """Returns whether no task ran twice at the same time."""
    record = deployment.record
    await deployment.put_until_accepted(7, deployment.configuration(7))
    await deployment.wait_ready(deployment.entries)
    await deployment.wait_serving(deployment.entries)
    await asyncio.sleep(3.0)
    jobs = []
    for number in range(JOBS):
        entry = deployment.entries[number % len(deployment.entries)]
        jobs.append(
            asyncio.create_task(
                deployment.submit(entry, ms=TASK_MS, count=9, timeout_ms=4000)
            )
        )
        await asyncio.sleep(0.25)
        if number == JOBS // 3 and trouble:
            await report_of_another_writer(deployment)
    await asyncio.gather(*jobs)
    await asyncio.sleep(1.0)
    record.note(f"tasks that ran twice at once: {deployment.runs.overlaps}")
    return not deployment.runs.overlaps


async def report_of_another_writer(deployment):
    """Sends one report without `version`, `slots`, `labels`, `memMb` and `gpu`."""
    executor, agent = deployment.executors[0], deployment.agents[0]
    report = {
        "service": SERVICE,
        "address": f"{deployment.unused_address}:{APP_PORT}",
        "zone": agent.zone,
        "state": "ready",
        "capacity": {"cpu": 16000},
        "clockMs": 1000,
        "sequence": executor.sequence + 2,
    }
    status, _ = await call(
        agent.ip,
        CONTROL_PORT,
        "PUT",
        f"/api/instances/{executor.id}",
        body=json.dumps(report).encode(),
    )
    deployment.record.note(
        f"another writer: PUT /api/instances/{executor.id} {report}: {status}"
    )


if __name__ == "__main__":
    sys.exit(main(case, cores=3, fronts=1, agents=3))
