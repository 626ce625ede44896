"""Harness that runs entries, agents and stand-in upstreams as real processes."""

import collections
import os
import pathlib
import resource
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import curio
import msgspec
from hawthornbarrow.configuration import hash_token
from hawthornbarrow.http import HttpClientError, PooledClient, Response
from hawthornbarrow.ledger import initialise_folder

MEMBER_TOKEN = "member-token"
OTHER_TOKEN = "other-token"
OPERATOR_TOKEN = "operator-token"
SERVICES = ("echo", "bearing-check", "fair-entry")


def unused_host():
    """Returns a loopback address of this deployment alone.

    Ports are chosen before the processes that use them start. On an address that no
    other process uses, no port is taken in between.
    """
    first, second = secrets.randbelow(254) + 1, secrets.randbelow(254) + 1
    return f"127.{secrets.randbelow(127) + 128}.{first}.{second}"


def free_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Deployment:
    """Starts, kills and restarts the processes of one deployment on loopback."""

    def __init__(self, entries=3, agents=4, slots=8):
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="hawthornbarrow-")
        self.folder = pathlib.Path(self._temporary_folder.name)
        self.host = unused_host()
        self.processes = {}
        self.slots = slots
        self.entry_names = [f"entry-{n + 1}" for n in range(entries)]
        self.agent_names = [f"agent-{n + 1}" for n in range(agents)]
        ports = iter(free_ports(self.host, entries * 3 + agents * 2))
        self.ports = {
            name: {"http": next(ports), "link": next(ports), "ledger": next(ports)}
            for name in self.entry_names
        }
        self.agent_ports = {name: next(ports) for name in self.agent_names}
        self.upstream_ports = {name: next(ports) for name in self.agent_names}
        self.environment = {
            **os.environ,
            "HAWTHORNBARROW_CLUSTER_KEY": "test-cluster-key",
            "HAWTHORNBARROW_OPERATOR_TOKEN_HASHES": hash_token(OPERATOR_TOKEN),
        }

    def __enter__(self):
        for name in self.entry_names:
            self.initialise(name)
            self.start_entry(name)
        for name in self.agent_names:
            self.start_agent(name)
            self.start_upstream(name)
        try:
            self.wait_until_ready()
        except TimeoutError as error:
            self.__exit__(type(error))
            raise
        return self

    def __exit__(self, error_type, *_):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        if error_type is not None:
            self._keep_logs()
        self._temporary_folder.cleanup()

    def _keep_logs(self):
        """Copies the logs of a failed run to a folder that outlives the test."""
        kept = pathlib.Path("out") / "deployments" / self.folder.name
        kept.mkdir(parents=True)
        for path in [*self.folder.glob("*.log"), *self.folder.glob("*.journal")]:
            shutil.copy(path, kept)
        print(f"the logs of the failed deployment are in {kept.resolve()}")

    # Processes

    def _spawn(self, name, *arguments):
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            env=self.environment,
            stderr=log,
            stdout=log,
        )
        log.close()

    def initialise(self, name):
        initialise_folder(self.folder / name, name, self.entry_names)

    def start_entry(self, name):
        ports = self.ports[name]
        peers = []
        for other, other_ports in self.ports.items():
            if other != name:
                link = f"{self.host}:{other_ports['link']}"
                ledger = f"{self.host}:{other_ports['ledger']}"
                peers += ["--peer", f"{other}={link},{ledger}"]
        self._spawn(
            name,
            "hawthornbarrow_entry.cli",
            "serve",
            "--name",
            name,
            "--data-dir",
            str(self.folder / name),
            "--listen",
            f"{self.host}:{ports['http']}",
            "--link-listen",
            f"{self.host}:{ports['link']}",
            "--ledger-listen",
            f"{self.host}:{ports['ledger']}",
            *peers,
        )

    def start_agent(self, name):
        entries = []
        for ports in self.ports.values():
            entries += ["--entry", f"{self.host}:{ports['link']}"]
        listen = f"{self.host}:{self.agent_ports[name]}"
        self._spawn(
            name,
            "hawthornbarrow_agent.cli",
            "--name",
            name,
            "--listen",
            listen,
            *entries,
        )

    def start_upstream(self, agent):
        name = agent.replace("agent", "upstream")
        self._spawn(
            name,
            "hawthornbarrow.standin",
            "--name",
            name,
            "--listen",
            f"{self.host}:{self.upstream_ports[agent]}",
            "--agent",
            f"{self.host}:{self.agent_ports[agent]}",
            "--slots",
            str(self.slots),
            "--journal",
            str(self.folder / f"{name}.journal"),
        )

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process

    def set_disk_full(self, name, is_full):
        """Lets a process write no byte to its files, as on a disk without room."""
        pid = self.processes[name].pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        soft = 0 if is_full else hard
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (soft, hard))

    # Requests

    async def request(
        self, entry, method, path, body=b"", headers=None, token=OPERATOR_TOKEN
    ):
        client = PooledClient(
            host=self.host, port=self.ports[entry]["http"], connections=1
        )
        all_headers = {"Authorization": f"Bearer {token}", **(headers or {})}
        try:
            return await client.request(method, path, all_headers, body)
        finally:
            await client.close()

    async def agent_status(self, agent):
        client = PooledClient(
            host=self.host, port=self.agent_ports[agent], connections=1
        )
        try:
            return (await client.request("GET", "/v1/status", {}, b"")).body
        finally:
            await client.close()

    def call(self, entry, method, path, body=b"", token=OPERATOR_TOKEN):
        return curio.run(self.request, entry, method, path, body, None, token)

    def call_with_key(self, entry, key, body, token):
        """Submits a job and returns its answer."""
        headers = {"Idempotency-Key": key}
        return curio.run(self.request, entry, "POST", "/v1/jobs", body, headers, token)

    def configure(self, expect_version=0, request="first", entry=None):
        body = self.configuration_body(expect_version, request)
        return self.call(
            entry or self.entry_names[0], "POST", "/v1/configuration", body
        )

    def configuration_body(self, expect_version, request):
        document = {
            "request": request,
            "expect_version": expect_version,
            "operator": "test",
            "configuration": {
                "members": {
                    "m": {"token_hashes": [hash_token(MEMBER_TOKEN)]},
                    "other": {"token_hashes": [hash_token(OTHER_TOKEN)]},
                },
                "services": {name: {"run_limit_s": 5.0} for name in SERVICES},
                "objectives": {"all": {"response_s": 1.0}},
            },
        }
        return msgspec.json.encode(document)

    def wait_until_ready(self, timeout_s=20.0):
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            try:
                if self.configure().status in (200, 409) and self.is_ready():
                    return
            except HttpClientError:
                pass
            time.sleep(0.1)
        raise TimeoutError("the deployment did not become ready")

    def is_ready(self):
        for name in self.entry_names:
            if name not in self.processes:
                continue
            status = msgspec.json.decode(self.call(name, "GET", "/v1/status").body)
            is_open = [u["open"] for u in status["upstreams"].values()]
            agents = [a["registered"] for a in status["agents"].values()]
            if not status["ready"] or sum(is_open) < len(self.agent_names):
                return False
            if sum(agents) < len(self.agent_names):
                return False
        return True

    # Journals of the upstreams

    def task_events(self):
        """Returns the start and end events in all journals, by task."""
        tasks = collections.defaultdict(list)
        for path in sorted(self.folder.glob("*.journal")):
            for line in path.read_text("utf-8").splitlines():
                event, key, attempt, upstream, at_s = line.split()
                tasks[key].append((float(at_s), event, attempt, upstream))
        return {key: sorted(events) for key, events in tasks.items()}

    def tasks_started_twice(self):
        return {
            key: events
            for key, events in self.task_events().items()
            if sum(event == "start" for _, event, _, _ in events) > 1
        }

    def overlapping_tasks(self):
        """Returns the tasks of which two runs overlapped in time."""
        found = {}
        for key, events in self.task_events().items():
            running = 0
            for _, event, _, _ in events:
                running += 1 if event == "start" else -1
                if running > 1:
                    found[key] = events
        return found


class Caller:
    """Submits jobs and resubmits them at other entries until they are final."""

    def __init__(self, deployment, connections=64):
        self.deployment = deployment
        self.clients = {
            name: PooledClient(
                host=deployment.host, port=ports["http"], connections=connections
            )
            for name, ports in deployment.ports.items()
        }

    async def post(self, entry, key, body, token=MEMBER_TOKEN) -> Response | None:
        headers = {"Authorization": f"Bearer {token}", "Idempotency-Key": key}
        try:
            async with curio.timeout_after(30.0):
                return await self.clients[entry].request(
                    "POST", "/v1/jobs", headers, body
                )
        except (HttpClientError, curio.TaskTimeout):
            return None

    async def submit_until_final(self, key, body, first=0, timeout_s=40.0):
        """Returns the job's final answer, or None if there was none in time."""
        names = self.deployment.entry_names
        until_s = time.monotonic() + timeout_s
        attempt = first
        while time.monotonic() < until_s:
            response = await self.post(names[attempt % len(names)], key, body)
            if response is not None and response.status in (200, 409, 410):
                return response
            attempt += 1
            await curio.sleep(0.1)
        return None


def echo_job(key, tasks, run_ms, repeatable, deadline_s=30.0):
    document = {
        "service": "echo",
        "repeatable": repeatable,
        "deadline_s": deadline_s,
        "tasks": [{"nonce": f"{key}/{n}", "run_ms": run_ms} for n in range(tasks)],
    }
    return msgspec.json.encode(document)


def has_expected_results(response, key, tasks):
    """Returns whether an answer has the results of all tasks of the job, in order."""
    document = msgspec.json.decode(response.body)
    nonces = [result["nonce"] for result in document.get("results", [])]
    return nonces == [f"{key}/{n}" for n in range(tasks)]
