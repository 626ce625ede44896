"""Simulated clients and operator, which check the answers that they receive."""

import random

import curio
import msgspec
from hawthornbarrow.clock import steady_s
from hawthornbarrow.http import HttpClientError, PooledClient

from tools.soak._deployment import CONTROL_PORT, FRONTEND_PORT, Node
from tools.soak._executor import CRASHING_SUFFIX, Oracle

RESUBMIT_INTERVAL_S = 1.3
_JOB_TIMEOUT_S = 12.0
_MAX_SUBMISSIONS = 4
_CRASHING_SHARE = 0.05  # of the jobs
_PUT_TIMEOUT_S = 40.0
_RETRY_INTERVAL_S = 0.2
_HOST = "soak.example"


async def send_request(
    host: str, port: int, method: str, path: str, body: bytes, timeout_s: float
) -> tuple[int, bytes]:
    """Sends one request and returns status and body; status 0 means no response."""
    client = PooledClient(host=host, port=port, connections=1, connect_timeout_s=0.5)
    headers = {"Content-Type": "application/json"}
    try:
        async with curio.timeout_after(timeout_s):
            response = await client.request(method, path, headers, body)
            return response.status, response.body
    except (HttpClientError, curio.TaskTimeout):
        return 0, b""
    finally:
        await client.close()


class Operator:
    """Puts configurations with increasing versions and reads them from any entry.

    Args:
        entries: Entries to call.
        oracle: Collects violations of the invariants.
        generator: Source of random choices.
    """

    def __init__(
        self, *, entries: list[Node], oracle: Oracle, generator: random.Random
    ) -> None:
        """Initializes the operator before the first version."""
        self._entries = entries
        self._oracle = oracle
        self._generator = generator
        self._next_version = 1
        self.acknowledged_version = 0
        self.read_count = 0

    def encode_configuration(self, version: int) -> bytes:
        """Returns the configuration of a version, encoded as JSON."""
        hosts = sorted({entry.bind_address for entry in self._entries} | {_HOST})
        routes = [
            {
                "name": f"q{index}",
                "host": host,
                "pathPrefix": "/q/",
                "service": "s",
                "timeoutMs": 8000,
                "targetDurationMs": 4000,
                "maxAttempts": 6,
                "slackFactor": 3.0,
            }
            for index, host in enumerate(hosts)
        ]
        return msgspec.json.encode(
            {"version": version, "routes": routes, "services": [{"name": "s"}]}
        )

    async def run(self) -> None:
        """Updates and reads the configuration until cancelled."""
        while True:
            await self.put_configuration()
            for _ in range(4):
                await self.read_configuration()
                await curio.sleep(self._generator.uniform(0.05, 0.4))

    async def put_configuration(self) -> None:
        """Sends the next version to random entries until one acknowledges it.

        Returns without an acknowledgement after ``_PUT_TIMEOUT_S``. A refusal of the
        version is recorded as a violation.
        """
        version = self._next_version
        self._next_version += self._generator.randint(1, 3)
        body = self.encode_configuration(version)
        deadline_s = steady_s() + _PUT_TIMEOUT_S
        while steady_s() < deadline_s:
            entry = self._generator.choice(self._entries)
            status, _ = await send_request(
                entry.bind_address, CONTROL_PORT, "PUT", "/api/config", body, 1.2
            )
            if status == 200:
                self.acknowledged_version = max(self.acknowledged_version, version)
                return
            if 400 <= status < 500:
                self._oracle.record_violation(
                    f"valid version {version} was refused with status {status}"
                )
                return
            await curio.sleep(_RETRY_INTERVAL_S)

    async def read_configuration(self) -> int:
        """Reads the configuration at a random entry and checks it.

        A version older than the last acknowledged one, or a content that differs from
        what was sent, is recorded as a violation.

        Returns:
            The version read, or 0 if the read failed.
        """
        expected = self.acknowledged_version
        entry = self._generator.choice(self._entries)
        status, body = await send_request(
            entry.bind_address, CONTROL_PORT, "GET", "/api/config", b"", 1.2
        )
        if status != 200:
            return 0
        version = msgspec.json.decode(body)["version"]
        self.read_count += 1
        if version < expected:
            self._oracle.record_violation(
                f"{entry.name} returned version {version}, but version {expected} "
                "was acknowledged"
            )
        if body != self.encode_configuration(version):
            self._oracle.record_violation(
                f"the content of version {version} differs from what was sent"
            )
        return version


class Clients:
    """Submits jobs and resubmits them as the platform's clients do.

    Args:
        entries: Entries to call.
        oracle: Collects violations of the invariants.
        generator: Source of random choices.
    """

    def __init__(
        self, *, entries: list[Node], oracle: Oracle, generator: random.Random
    ) -> None:
        """Initializes the clients without jobs."""
        self._entries = entries
        self._oracle = oracle
        self._generator = generator
        self._crashing_share = 0.0
        self.answer_counts: dict[str, int] = {}
        self.refused_jobs: set[str] = set()

    async def run(self, jobs_per_s: float) -> None:
        """Submits ``jobs_per_s`` jobs per second on average until cancelled.

        Some of them crash the executors that start their tasks.
        """
        self._crashing_share = _CRASHING_SHARE
        async with curio.TaskGroup(wait=None) as group:
            while True:
                await group.spawn(self.submit)
                await curio.sleep(self._generator.expovariate(jobs_per_s))

    async def submit(self) -> bool:
        """Submits one job and returns whether it completed."""
        job = f"{self._generator.getrandbits(64):016x}"
        millicores = self._generator.choice((300, 700, 1200))
        phase = {
            "count": self._generator.randint(1, 6),
            "cpu": millicores,
            "memMb": 10,
            "estimatedMs": 250,
        }
        spec = str(millicores)
        if self._generator.random() < self._crashing_share:
            spec += CRASHING_SUFFIX
        body = msgspec.json.encode(
            {"spec": spec, "bestEffort": True, "phases": [phase]}
        )
        was_only_refused = True
        for _ in range(_MAX_SUBMISSIONS):
            entry = self._generator.choice(self._entries)
            status, answer = await send_request(
                entry.bind_address,
                FRONTEND_PORT,
                "POST",
                f"/q/{job}",
                body,
                _JOB_TIMEOUT_S,
            )
            self.answer_counts[str(status)] = self.answer_counts.get(str(status), 0) + 1
            if status == 200:
                state = msgspec.json.decode(answer)["state"]
                if state not in ("complete", "failed"):
                    self._oracle.record_violation(
                        f"job {job} was answered with state {state}"
                    )
                return state == "complete"
            if status in (503, 429, 404):
                if was_only_refused:
                    self.refused_jobs.add(job)
                return False
            was_only_refused = False
            await curio.sleep(RESUBMIT_INTERVAL_S)
        return False

    def check_refusals(self) -> None:
        """Records a violation for each job that ran although it was only refused."""
        for job in self.refused_jobs & self._oracle.started_jobs:
            self._oracle.record_violation(f"job {job} ran although it was refused")

    async def wait_until_recovered(self, timeout_s: float) -> bool:
        """Submits three jobs one after the other until all three of them complete.

        Returns:
            Whether that happened; no new round begins after ``timeout_s``.
        """
        self._crashing_share = 0.0
        deadline_s = steady_s() + timeout_s
        while steady_s() < deadline_s:
            results = [await self.submit() for _ in range(3)]
            if all(results):
                return True
            await curio.sleep(_RETRY_INTERVAL_S)
        return False
