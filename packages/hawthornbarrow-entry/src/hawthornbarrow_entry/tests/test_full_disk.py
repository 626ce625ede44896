"""Tests a deployment of real processes whose disks are full in turn."""

import contextlib
import time
import unittest

import curio
import msgspec
from hawthornbarrow.http import HttpClientError

from hawthornbarrow_entry.tests._deployment import (
    MEMBER_TOKEN,
    Caller,
    Deployment,
    echo_job,
    has_expected_results,
)

FULL_S = 4.0
RECOVERY_S = 5.0  # after the last disk has room again
ACKNOWLEDGEMENT_S = 2.0
CHANGE_INTERVAL_S = 0.25


class FullDiskTest(unittest.TestCase):
    """Fills each disk in turn while configurations change and jobs run."""

    def test_changes_and_jobs_go_on_after_each_disk_was_full_in_turn(self):
        """Guards against entries whose replica stops for good with a failed write."""
        with Deployment(entries=3, agents=2, slots=4) as deployment:
            self.deployment = deployment
            self.acknowledged = []
            self.number = 0
            for name in deployment.entry_names:
                deployment.set_disk_full(name, True)
                curio.run(self.change_everywhere, FULL_S)
                deployment.set_disk_full(name, False)
            curio.run(self.change_everywhere, RECOVERY_S)
            for name in deployment.entry_names:
                self.check_change(name)
            curio.run(self.check_jobs)
            for name, process in deployment.processes.items():
                self.assertIsNone(process.poll(), name)

    async def change_everywhere(self, seconds):
        """Changes the configuration at all entries, one after the other."""
        until_s = time.monotonic() + seconds
        async with curio.TaskGroup() as group:
            while time.monotonic() < until_s:
                for name in self.deployment.entry_names:
                    await group.spawn(self.change, name)
                await group.spawn(self.submit, f"during-{self.number}")
                await curio.sleep(CHANGE_INTERVAL_S)
            await group.cancel_remaining()

    async def change(self, entry):
        self.number += 1
        request = f"r{self.number}"
        version = await self.version(entry)
        if version is None:
            return None
        body = self.deployment.configuration_body(version, request)
        try:
            response = await self.deployment.request(
                entry, "POST", "/v1/configuration", body
            )
        except HttpClientError:
            return None
        document = msgspec.json.decode(response.body)
        if response.status == 200 and document["accepted"]:
            self.acknowledged.append((document["version"], request))
        return response.status

    async def version(self, entry):
        try:
            response = await self.deployment.request(
                entry, "GET", "/v1/configuration/history"
            )
        except HttpClientError:
            return None
        versions = msgspec.json.decode(response.body)
        return max(row["version"] for row in versions)

    async def submit(self, key):
        entry = self.deployment.entry_names[self.number % 3]
        headers = {"Idempotency-Key": key}
        body = echo_job(key, 2, 20, repeatable=False)
        with contextlib.suppress(HttpClientError):
            await self.deployment.request(
                entry, "POST", "/v1/jobs", body, headers, MEMBER_TOKEN
            )

    def check_change(self, entry):
        before_s = time.monotonic()
        statuses = []
        while 200 not in statuses:
            statuses.append(curio.run(self.change, entry))
            late_s = time.monotonic() - before_s - ACKNOWLEDGEMENT_S
            self.assertLess(late_s, 0.0, statuses[-5:])
        requests = self.requests_by_version(entry)
        for version, request in self.acknowledged:
            self.assertEqual(request, requests.get(version))

    def requests_by_version(self, entry):
        response = self.deployment.call(entry, "GET", "/v1/configuration/history")
        rows = msgspec.json.decode(response.body)
        return {row["version"]: row["request"] for row in rows}

    async def check_jobs(self):
        caller = Caller(self.deployment)
        for index, name in enumerate(self.deployment.entry_names):
            key = f"after-{name}"
            body = echo_job(key, 6, 30, repeatable=False)
            response = await caller.submit_until_final(key, body, index)
            self.assertTrue(has_expected_results(response, key, 6))
        self.assertEqual(self.deployment.tasks_started_twice(), {})


if __name__ == "__main__":
    unittest.main()
