"""Measures CPU and memory of real processes at three or more sizes each.

Prints for entry and agent the CPU time per task for jobs of 1, 16 and 270 tasks, the
memory when idle and with queued tasks, the claim latency and CPU time at several rates,
and the CPU use when idle by number of agents.
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

_CPU_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_SIZE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CPU_TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in units of 10^6 bytes."""
    return (
        int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_SIZE_MB
    )


class _UsageMeter:
    """Measures CPU time and frames sent since its creation."""

    def __init__(self, *, deployment: Deployment) -> None:
        self._deployment = deployment
        self._cpu_before_s = self._read_cpu_times_s()
        self._frames_before = self._count_frames()

    def _read_cpu_times_s(self) -> dict[str, float]:
        return {
            name: cpu_s(process.pid)
            for name, process in self._deployment.processes.items()
        }

    def _count_frames(self) -> int:
        frames_sent = 0
        for name in self._deployment.entry_names:
            body = self._deployment.call(name, "GET", "/v1/status").body
            frames_sent += msgspec.json.decode(body)["links"]["frames_sent"]
        for name in self._deployment.agent_names:
            body = curio.run(self._deployment.agent_status, name)
            frames_sent += msgspec.json.decode(body)["links"]["frames_sent"]
        return frames_sent

    def cpu_used_s(self, prefix: str) -> float:
        now = self._read_cpu_times_s()
        return sum(
            now[name] - self._cpu_before_s[name]
            for name in now
            if name.startswith(prefix)
        )

    def frames_sent(self) -> int:
        return self._count_frames() - self._frames_before


async def _submit_all(
    deployment: Deployment, label: str, jobs: int, tasks: int, run_ms: float
) -> None:
    caller = Caller(deployment)

    async def submit_share(number: int) -> None:
        for job_number in range(number, jobs, 16):
            key = f"{label}-{job_number}"
            body = echo_job(key, tasks, run_ms, repeatable=True)
            response = await caller.post("entry-1", key, body)
            if response is None or response.status != 200:
                raise RuntimeError(f"job {key} was not completed: {response}")

    async with curio.TaskGroup() as group:
        for number in range(16):
            await group.spawn(submit_share, number)


def measure_batch_cost() -> None:
    """Measures the CPU time per task of one entry and agent by tasks per job."""
    print("CPU a task, one entry, one agent, tasks of 2 ms")
    with Deployment(entries=1, agents=1, slots=32) as deployment:
        curio.run(_submit_all, deployment, "warm", 64, 8, 0.0)
        for tasks, jobs in ((1, 1600), (16, 200), (270, 16)):
            meter = _UsageMeter(deployment=deployment)
            curio.run(_submit_all, deployment, f"b{tasks}", jobs, tasks, 2.0)
            total = jobs * tasks
            print(
                f"  {tasks:>3} tasks a job: entry "
                f"{meter.cpu_used_s('entry') / total * 1e6:.0f} us, agent "
                f"{meter.cpu_used_s('agent') / total * 1e6:.0f} us, "
                f"{meter.frames_sent() / total:.2f} frames a task"
            )


def measure_memory() -> None:
    """Measures the memory of one entry and agent when idle and with queued tasks."""
    with Deployment(entries=1, agents=1, slots=8) as deployment:
        entry = deployment.processes["entry-1"].pid
        agent = deployment.processes["agent-1"].pid
        print(
            f"memory at rest: entry {memory_mb(entry):.0f} MB, "
            f"agent {memory_mb(agent):.0f} MB"
        )
        for queued_count in (1_000, 5_000, 10_000):
            curio.run(_queue_tasks, deployment, queued_count)
            print(
                f"  with {queued_count} more tasks queued: entry "
                f"{memory_mb(entry):.1f} MB, agent {memory_mb(agent):.1f} MB"
            )


async def _queue_tasks(deployment: Deployment, tasks: int) -> None:
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


def measure_claims() -> None:
    """Measures claim latency and CPU time with three replicas by rate."""
    print("claims, three replicas, jobs of one task of 0 ms at the leader")
    with Deployment(entries=3, agents=1, slots=64) as deployment:
        body = deployment.call("entry-1", "GET", "/v1/ledger").body
        leader = msgspec.json.decode(body)["leader"].partition(".")[0]
        for rate in (1, 10, 100, 1000):
            seconds = 6 if rate < 1000 else 4
            meter = _UsageMeter(deployment=deployment)
            latencies_s, done_count = curio.run(
                _submit_at_rate, deployment, leader, rate, seconds
            )
            print(
                f"  {rate:>4} jobs/s wanted, {done_count / seconds:.0f} done: response "
                f"median {statistics.median(latencies_s) * 1000:.1f} ms, p99 "
                f"{sorted(latencies_s)[int(len(latencies_s) * 0.99)] * 1000:.1f} ms; "
                f"CPU a job: leader {meter.cpu_used_s(leader) / done_count * 1e6:.0f} "
                f"us, all entries {meter.cpu_used_s('entry') / done_count * 1e6:.0f} us"
            )


async def _submit_at_rate(
    deployment: Deployment, leader: str, rate: int, seconds: int
) -> tuple[list[float], int]:
    caller = Caller(deployment, connections=256)
    latencies_s: list[float] = []

    async def submit_job(number: int) -> None:
        key = f"claim-{rate}-{number}"
        started_s = time.monotonic()
        body = echo_job(key, 1, 0, repeatable=True)
        response = await caller.post(leader, key, body)
        if response is not None and response.status == 200:
            latencies_s.append(time.monotonic() - started_s)

    start_s = time.monotonic()
    async with curio.TaskGroup() as group:
        for number in range(rate * seconds):
            await curio.sleep(max(0.0, start_s + number / rate - time.monotonic()))
            await group.spawn(submit_job, number)
    return latencies_s, len(latencies_s)


def measure_idle_cpu() -> None:
    """Measures the CPU use of one idle entry and its agents by number of agents."""
    print("CPU at rest, in per cent of a core")
    for agents in (1, 8, 32):
        with Deployment(entries=1, agents=agents, slots=8) as deployment:
            time.sleep(1.0)
            meter = _UsageMeter(deployment=deployment)
            time.sleep(8.0)
            print(
                f"  {agents:>2} agents: entry "
                f"{meter.cpu_used_s('entry') / 8 * 100:.2f}, an agent "
                f"{meter.cpu_used_s('agent') / 8 / agents * 100:.2f}, "
                f"{meter.frames_sent() / 8 / agents:.2f} frames a second and link"
            )


def main() -> int:
    """Runs the named measurements, or all of them."""
    measurements = {
        "batch": measure_batch_cost,
        "memory": measure_memory,
        "claims": measure_claims,
        "rest": measure_idle_cpu,
    }
    parser = argparse.ArgumentParser(prog="python -m benchmarks.cost")
    parser.add_argument("names", nargs="*", choices=[*measurements, []])
    for name in parser.parse_args().names or measurements:
        measurements[name]()
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
