"""A small deployment: entries, agents with their executors, operator and clients."""

import asyncio
import contextlib
import json
import pathlib
import re
import secrets
import sys
import tempfile

from stand_ins_2.executor import Executor, Runs
from stand_ins_2.platform import (
    CONTROL_PORT,
    FRONTEND_PORT,
    METRICS_PORT,
    READY_PORT,
    SERVICE,
    Machine,
    Record,
    free_network,
)
from stand_ins_2.wire import call

HOST = "desk.example"
PREFIX = "/entries/"


class CannotRunError(Exception):
    """The case could not run, for a reason other than the rule."""


class Deployment:
    """The processes of a small deployment, its executors, operator and clients."""

    def __init__(self, folder, record, *, cores, fronts, agents, spares=0):
        """Creates the machines and executors; nothing runs yet."""
        network = free_network()
        self.record = record
        self.unused_address = f"127.{network}.9.9"  # nothing listens there
        self.runs = Runs(record)
        self.cores = [
            Machine(f"core-{i}", "entry", i, network, folder, record, disk=True)
            for i in range(1, cores + 1)
        ]
        # Machines with a disk that are started by the case.
        self.spares = [
            Machine(f"core-{i}", "entry", i, network, folder, record, disk=True)
            for i in range(cores + 1, cores + 1 + spares)
        ]
        self.fronts = [
            Machine(f"front-{i}", "entry", 20 + i, network, folder, record)
            for i in range(1, fronts + 1)
        ]
        self.agents = [
            Machine(f"side-{i}", "agent", 50 + i, network, folder, record)
            for i in range(1, agents + 1)
        ]
        self._all = self.cores + self.spares + self.fronts + self.agents
        self.executors = [Executor(agent, self.runs, record) for agent in self.agents]

    @property
    def entries(self):
        """All entries, those with a disk first."""
        return self.cores + self.fronts

    @property
    def seeds(self):
        """The entries that the settings files name."""
        return self.cores[:3]

    async def start(self):
        """Starts the executors and all processes, for the first time."""
        for executor in self.executors:
            await executor.start()
        for machine in self.entries + self.agents:
            machine.start(self.seeds, bootstrap=True)

    def kill_all(self):
        """Ends all processes that were started."""
        for machine in self._all:
            machine.kill()

    async def wait_ready(self, machines, limit_s=25.0):
        """Waits until the balancer's probe of each machine gets 200."""
        async with asyncio.timeout(limit_s):
            for machine in machines:
                while True:
                    status, _ = await call(
                        machine.ip, READY_PORT, "GET", "/api/readyz", timeout_s=0.5
                    )
                    if status == 200:
                        break
                    await asyncio.sleep(0.05)

    async def dispatching(self, machine):
        """Returns whether a machine's metrics say that it dispatches."""
        status, body = await call(
            machine.ip, METRICS_PORT, "GET", "/metrics", timeout_s=0.5
        )
        pattern = rb"^\S*dispatching\S*(?:\{[^}]*\})? 1(?:\.0)?$"
        return status == 200 and re.search(pattern, body, re.MULTILINE) is not None

    async def leader(self):
        """Returns the entry that dispatches."""
        for machine in self.entries:
            if await self.dispatching(machine):
                return machine
        raise CannotRunError("no entry dispatches")

    # Operator

    def configuration(self, version, *, timeout_ms=1500, routes=1):
        """Returns a configuration with one route in use and idle ones."""
        return json.dumps(
            {
                "version": version,
                "routes": [
                    {
                        "name": f"r-{number}",
                        "host": HOST,
                        "pathPrefix": PREFIX if not number else f"/idle{number}/",
                        "kind": "non_idempotent",
                        "timeoutMs": timeout_ms,
                        "targetDurationMs": 60,
                        "priority": 0,
                        "service": SERVICE,
                        "maxAttempts": 3,
                        "slackFactor": 1.6,
                    }
                    for number in range(routes)
                ],
                "services": [
                    {
                        "name": SERVICE,
                        "healthPath": "/healthz",
                        "maxConnections": 64,
                        "protocol": "h1",
                        "tls": False,
                        "admissionCheck": False,
                        "standby": False,
                    }
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            }
        ).encode()

    async def put(self, machine, version, body, timeout_s=1.0):
        """Sends a configuration once; returns the status, 0 for no response."""
        self.record.note(f"operator: PUT version {version} to {machine.name}")
        status, _ = await call(
            machine.ip,
            CONTROL_PORT,
            "PUT",
            "/api/config",
            body=body,
            timeout_s=timeout_s,
        )
        self.record.note(
            f"operator: PUT version {version} to {machine.name}: "
            f"{status or 'no response'}"
        )
        return status

    async def read(self, machine):
        """Returns the version that a read of the configuration gives, None for none."""
        status, body = await call(machine.ip, CONTROL_PORT, "GET", "/api/config")
        return json.loads(body)["version"] if status == 200 else None

    async def put_until_accepted(self, version, body, limit_s=25.0):
        """Sends the first configuration until it is accepted."""
        async with asyncio.timeout(limit_s):
            while True:
                for machine in self.cores:
                    if await self.put(machine, version, body) == 200:
                        return
                    await asyncio.sleep(0.2)

    # Clients

    async def submit(self, machine, *, ms, count, job=None, timeout_ms=1500):
        """Hands in a job and returns its id and the response's status, 0 for none."""
        job = job or secrets.token_hex(8)
        body = {
            "spec": f"ms={ms}",
            "phases": [{"count": count, "cpu": 1000, "memMb": 64, "estimatedMs": ms}],
            "bestEffort": True,
        }
        self.record.note(
            f"client: POST {job} ({count} tasks of {ms} ms) {machine.name}"
        )
        status, answer = await call(
            machine.ip,
            FRONTEND_PORT,
            "POST",
            PREFIX + job,
            body=json.dumps(body).encode(),
            headers={"Host": HOST, "X-Deadline-Ms": str(timeout_ms)},
            timeout_s=timeout_ms / 1000,
        )
        self.record.note(f"client: POST {job}: {status or 'no response'} {answer[:60]}")
        return job, status

    async def wait_serving(self, machines, limit_s=25.0):
        """Waits until each machine answers a job with success."""
        async with asyncio.timeout(limit_s):
            for machine in machines:
                while True:
                    _, status = await self.submit(machine, ms=50, count=1)
                    if status == 200:
                        break
                    await asyncio.sleep(0.2)


def main(case, *, limit_s=115.0, **sizes):
    """Runs `case(deployment, trouble)`, which returns whether the rule held."""
    import os

    trouble = os.environ.get("TROUBLE", "1") != "0"
    home = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(home / "record.txt")

    async def run(folder):
        deployment = Deployment(pathlib.Path(folder), record, **sizes)
        try:
            async with asyncio.timeout(limit_s):
                await deployment.start()
                return 0 if await case(deployment, trouble) else 1
        except (CannotRunError, TimeoutError, OSError) as error:
            record.note(f"the case could not run: {error!r}")
            return 2
        finally:
            deployment.kill_all()
            if keep := os.environ.get("KEEP_LOGS"):
                with contextlib.suppress(OSError):
                    for path in pathlib.Path(folder).glob("*.log"):
                        (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())

    with tempfile.TemporaryDirectory() as folder:
        status = asyncio.run(run(folder))
    word = {0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}[status]
    record.note(word)
    print(word)
    return status
