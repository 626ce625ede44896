"""Clients and the operator, and what they were promised."""

import random

import curio
import msgspec
from hawthornbarrow.clock import steady_s
from hawthornbarrow.http import HttpClientError, PooledClient

from tools.soak._deployment import CONTROL_PORT, FRONTEND_PORT, Node
from tools.soak._executor import Oracle

RESEND_S = 1.3
_JOB_LIMIT_S = 12.0
_TRIES = 4
_OPERATOR_LIMIT_S = 40.0
_PAUSE_S = 0.2
_HOST = "soak.example"


async def call(
    host: str, port: int, method: str, path: str, body: bytes, limit_s: float
) -> tuple[int, bytes]:
    """Returns status and body of one call; status zero when there is no answer."""
    client = PooledClient(host=host, port=port, connections=1, connect_timeout_s=0.5)
    headers = {"Content-Type": "application/json"}
    try:
        async with curio.timeout_after(limit_s):
            response = await client.request(method, path, headers, body)
            return response.status, response.body
    except (HttpClientError, curio.TaskTimeout):
        return 0, b""
    finally:
        await client.close()


class Operator:
    """Puts configurations of rising versions and reads them back anywhere.

    Args:
        entries: Entries to call.
        oracle: Where broken promises are noted.
        generator: Source of choices.
    """

    def __init__(
        self, *, entries: list[Node], oracle: Oracle, generator: random.Random
    ) -> None:
        """Starts before the first version."""
        self._entries = entries
        self._oracle = oracle
        self._generator = generator
        self._next_version = 1
        self.acknowledged = 0
        self.reads = 0

    def document(self, version: int) -> bytes:
        """Returns the configuration of a version."""
        hosts = sorted({entry.bound for entry in self._entries} | {_HOST})
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
        """Changes and reads the configuration until cancelled."""
        while True:
            await self.put()
            for _ in range(4):
                await self.read()
                await curio.sleep(self._generator.uniform(0.05, 0.4))

    async def put(self) -> None:
        """Sends the next version until it is acknowledged, to any entry."""
        version = self._next_version
        self._next_version += self._generator.randint(1, 3)
        body = self.document(version)
        until_s = steady_s() + _OPERATOR_LIMIT_S
        while steady_s() < until_s:
            entry = self._generator.choice(self._entries)
            status, _ = await call(
                entry.bound, CONTROL_PORT, "PUT", "/api/config", body, 1.2
            )
            if status == 200:
                self.acknowledged = max(self.acknowledged, version)
                return
            if 400 <= status < 500:
                self._oracle.violate(f"valid version {version} refused with {status}")
                return
            await curio.sleep(_PAUSE_S)

    async def read(self) -> int:
        """Reads at any entry; the answer is never older than what was acknowledged."""
        expected = self.acknowledged
        entry = self._generator.choice(self._entries)
        status, body = await call(
            entry.bound, CONTROL_PORT, "GET", "/api/config", b"", 1.2
        )
        if status != 200:
            return 0
        version = msgspec.json.decode(body)["version"]
        self.reads += 1
        if version < expected:
            self._oracle.violate(
                f"{entry.name} shows version {version}, acknowledged was {expected}"
            )
        if body != self.document(version):
            self._oracle.violate(f"version {version} is not what was sent")
        return version


class Clients:
    """Submit jobs and send them again as the platform's clients do.

    Args:
        entries: Entries to call.
        oracle: Where broken promises are noted.
        generator: Source of choices.
    """

    def __init__(
        self, *, entries: list[Node], oracle: Oracle, generator: random.Random
    ) -> None:
        """Starts without jobs."""
        self._entries = entries
        self._oracle = oracle
        self._generator = generator
        self.outcomes: dict[str, int] = {}
        self.refused: set[str] = set()

    async def run(self, rate: float) -> None:
        """Submits jobs at a rate a second until cancelled."""
        async with curio.TaskGroup(wait=None) as group:
            while True:
                await group.spawn(self.submit)
                await curio.sleep(self._generator.expovariate(rate))

    async def submit(self) -> bool:
        """Submits one job; returns whether it completed."""
        job = f"{self._generator.getrandbits(64):016x}"
        cpu = self._generator.choice((300, 700, 1200))
        phase = {
            "count": self._generator.randint(1, 6),
            "cpu": cpu,
            "memMb": 10,
            "estimatedMs": 250,
        }
        body = msgspec.json.encode(
            {"spec": str(cpu), "bestEffort": True, "phases": [phase]}
        )
        was_only_refused = True
        for _ in range(_TRIES):
            entry = self._generator.choice(self._entries)
            status, answer = await call(
                entry.bound, FRONTEND_PORT, "POST", f"/q/{job}", body, _JOB_LIMIT_S
            )
            self.outcomes[str(status)] = self.outcomes.get(str(status), 0) + 1
            if status == 200:
                state = msgspec.json.decode(answer)["state"]
                if state not in ("complete", "failed"):
                    self._oracle.violate(f"{job} is shown as {state}")
                return state == "complete"
            if status in (503, 429, 404):
                if was_only_refused:
                    self.refused.add(job)
                return False
            was_only_refused = False
            await curio.sleep(RESEND_S)
        return False

    def check_refusals(self) -> None:
        """A job whose only answers were refusals has not run."""
        for job in self.refused & self._oracle.started_jobs:
            self._oracle.violate(f"{job} was refused, and ran")

    async def recovers(self, limit_s: float) -> bool:
        """Returns whether jobs complete again within a time."""
        until_s = steady_s() + limit_s
        while steady_s() < until_s:
            results = [await self.submit() for _ in range(3)]
            if all(results):
                return True
            await curio.sleep(_PAUSE_S)
        return False
