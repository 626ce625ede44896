"""CPU and memory of real processes, as slopes over at least three sizes.

Prints, for entry and agent: CPU a task at batch sizes 1, 16 and 270; memory at rest
and with tasks queued; claim latency and CPU at several rates; CPU at rest against the
number of agents.
"""

import argparse
import os
import pathlib
import statistics
import sys
import time

import curio
import msgspec
from hawthornbarrow_entry.tests._deployment import Caller, Deployment, echo_job

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_MB


class _Meter:
    """CPU of groups of processes between two moments."""

    def __init__(self, *, deployment: Deployment) -> None:
        self._deployment = deployment
        self._before = self._now()
        self._frames = self._count_frames()

    def _now(self) -> dict[str, float]:
        return {
            name: cpu_s(process.pid)
            for name, process in self._deployment.processes.items()
        }

    def _count_frames(self) -> int:
        frames = 0
        for name in self._deployment.entry_names:
            body = self._deployment.call(name, "GET", "/v1/status").body
            frames += msgspec.json.decode(body)["links"]["frames_sent"]
        for name in self._deployment.agent_names:
            body = curio.run(self._deployment.agent_status, name)
            frames += msgspec.json.decode(body)["links"]["frames_sent"]
        return frames

    def used_s(self, prefix: str) -> float:
        now = self._now()
        return sum(
            now[name] - self._before[name] for name in now if name.startswith(prefix)
        )

    def frames(self) -> int:
        return self._count_frames() - self._frames


async def _submit_all(
    deployment: Deployment, label: str, jobs: int, tasks: int, run_ms: float
) -> None:
    caller = Caller(deployment)

    async def worker(number: int) -> None:
        for turn in range(number, jobs, 16):
            key = f"{label}-{turn}"
            body = echo_job(key, tasks, run_ms, repeatable=True)
            response = await caller.post("entry-1", key, body)
            if response is None or response.status != 200:
                raise RuntimeError(f"{key}: {response}")

    async with curio.TaskGroup() as group:
        for number in range(16):
            await group.spawn(worker, number)


def cost_by_batch() -> None:
    """CPU a task on one entry and one agent, by tasks a job."""
    print("CPU a task, one entry, one agent, tasks of 2 ms")
    with Deployment(entries=1, agents=1, slots=32) as deployment:
        curio.run(_submit_all, deployment, "warm", 64, 8, 0.0)
        for tasks, jobs in ((1, 1600), (16, 200), (270, 16)):
            meter = _Meter(deployment=deployment)
            curio.run(_submit_all, deployment, f"b{tasks}", jobs, tasks, 2.0)
            total = jobs * tasks
            print(
                f"  {tasks:>3} tasks a job: entry "
                f"{meter.used_s('entry') / total * 1e6:.0f} us, agent "
                f"{meter.used_s('agent') / total * 1e6:.0f} us, "
                f"{meter.frames() / total:.2f} messages a task"
            )


def memory() -> None:
    """Memory at rest and with tasks queued."""
    with Deployment(entries=1, agents=1, slots=8) as deployment:
        entry = deployment.processes["entry-1"].pid
        agent = deployment.processes["agent-1"].pid
        print(
            f"memory at rest: entry {memory_mb(entry):.0f} MB, "
            f"agent {memory_mb(agent):.0f} MB"
        )
        for queued in (1_000, 5_000, 10_000):
            curio.run(_queue, deployment, queued)
            print(
                f"  with {queued} more tasks queued: entry "
                f"{memory_mb(entry):.1f} MB, agent {memory_mb(agent):.1f} MB"
            )


async def _queue(deployment: Deployment, tasks: int) -> None:
    caller = Caller(deployment)
    headers = {"Prefer": "respond-async"}
    for number in range(tasks // 250):
        key = f"queue-{tasks}-{number}"
        body = echo_job(key, 250, 1000.0, repeatable=True, deadline_s=36_000.0)
        await deployment.request(
            "entry-1",
            "POST",
            "/v1/jobs",
            body,
            {**headers, "Idempotency-Key": key},
            "member-token",
        )
    del caller
    await curio.sleep(1.0)


def claims() -> None:
    """Claim latency and CPU by rate, three replicas."""
    print("claims, three replicas, jobs of one task of 0 ms at the leader")
    with Deployment(entries=3, agents=1, slots=64) as deployment:
        body = deployment.call("entry-1", "GET", "/v1/ledger").body
        leader = msgspec.json.decode(body)["leader"].partition(".")[0]
        for rate in (1, 10, 100, 1000):
            seconds = 6 if rate < 1000 else 4
            meter = _Meter(deployment=deployment)
            lags, done = curio.run(_claim_load, deployment, leader, rate, seconds)
            print(
                f"  {rate:>4} jobs/s wanted, {done / seconds:.0f} done: response "
                f"median {statistics.median(lags) * 1000:.1f} ms, p99 "
                f"{sorted(lags)[int(len(lags) * 0.99)] * 1000:.1f} ms; CPU a job: "
                f"leader {meter.used_s(leader) / done * 1e6:.0f} us, all entries "
                f"{meter.used_s('entry') / done * 1e6:.0f} us"
            )


async def _claim_load(
    deployment: Deployment, leader: str, rate: int, seconds: int
) -> tuple[list[float], int]:
    caller = Caller(deployment, connections=256)
    lags: list[float] = []

    async def one(number: int) -> None:
        key = f"claim-{rate}-{number}"
        started_s = time.monotonic()
        body = echo_job(key, 1, 0, repeatable=True)
        response = await caller.post(leader, key, body)
        if response is not None and response.status == 200:
            lags.append(time.monotonic() - started_s)

    start_s = time.monotonic()
    async with curio.TaskGroup() as group:
        for number in range(rate * seconds):
            await curio.sleep(max(0.0, start_s + number / rate - time.monotonic()))
            await group.spawn(one, number)
    return lags, len(lags)


def at_rest() -> None:
    """CPU at rest by number of agents, one entry."""
    print("CPU at rest, in per cent of a core")
    for agents in (1, 8, 32):
        with Deployment(entries=1, agents=agents, slots=8) as deployment:
            time.sleep(1.0)
            meter = _Meter(deployment=deployment)
            time.sleep(8.0)
            print(
                f"  {agents:>2} agents: entry {meter.used_s('entry') / 8 * 100:.2f}, "
                f"an agent {meter.used_s('agent') / 8 / agents * 100:.2f}, "
                f"{meter.frames() / 8 / agents:.2f} messages a second and link"
            )


def main() -> int:
    """Runs all measurements, or the named ones."""
    parts = {
        "batch": cost_by_batch,
        "memory": memory,
        "claims": claims,
        "rest": at_rest,
    }
    parser = argparse.ArgumentParser(prog="python -m benchmarks.cost")
    parser.add_argument("names", nargs="*", choices=[*parts, []])
    for name in parser.parse_args().names or parts:
        parts[name]()
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
