import unittest

import curio
import msgspec

from hawthornbarrow_entry.tests._deployment import (
    Caller,
    Deployment,
    echo_job,
    has_expected_results,
)


class ProcessesTest(unittest.TestCase):
    """Tests a deployment of real processes that are killed and drained."""

    def test_jobs_survive_owner_failure_and_graceful_shutdowns(self):
        with Deployment(entries=3, agents=2, slots=4) as deployment:
            self.check_resubmission(deployment)
            self.check_entry_drain(deployment)
            self.check_agent_drain(deployment)
            self.check_owner_kill(deployment)

    def check_resubmission(self, deployment):
        async def scenario():
            caller = Caller(deployment)
            async with curio.TaskGroup() as group:
                for number in range(12):
                    key = f"join-{number // 2}"
                    body = echo_job(key, 6, 30, repeatable=False)
                    await group.spawn(caller.submit_until_final, key, body, number)
            return group.results

        responses = curio.run(scenario)
        for number, response in enumerate(responses):
            self.assertTrue(has_expected_results(response, f"join-{number // 2}", 6))
        self.assertEqual(deployment.tasks_started_twice(), {})

    def check_entry_drain(self, deployment):
        async def scenario():
            caller = Caller(deployment)
            key = "drain"
            body = echo_job(key, 16, 100, repeatable=False)
            task = await curio.spawn(caller.post, "entry-3", key, body)
            await curio.sleep(0.2)
            process = deployment.terminate("entry-3")
            return await task.join(), process

        response, process = curio.run(scenario)
        self.assertIsNotNone(
            response, "the drained entry did not answer its open request"
        )
        self.assertTrue(has_expected_results(response, "drain", 16))
        self.assertEqual(process.wait(timeout=10), 0)
        deployment.start_entry("entry-3")
        deployment.wait_until_ready()

    def check_agent_drain(self, deployment):
        async def scenario():
            caller = Caller(deployment)
            key = "agent-drain"
            body = echo_job(key, 16, 100, repeatable=False)
            task = await curio.spawn(caller.post, "entry-1", key, body)
            await curio.sleep(0.15)
            process = deployment.terminate("agent-2")
            return await task.join(), process

        response, process = curio.run(scenario)
        self.assertTrue(
            has_expected_results(response, "agent-drain", 16), response.body
        )
        self.assertEqual(process.wait(timeout=10), 0)
        self.assertEqual(deployment.tasks_started_twice(), {})
        deployment.start_agent("agent-2")
        deployment.wait_until_ready()

    def check_owner_kill(self, deployment):
        async def scenario():
            caller = Caller(deployment)
            key = "kill"
            body = echo_job(key, 20, 100, repeatable=False)
            await curio.spawn(caller.post, "entry-2", key, body, daemon=True)
            await curio.sleep(0.3)
            deployment.kill("entry-2")
            return await caller.submit_until_final(key, body, first=0)

        response = curio.run(scenario)
        status = msgspec.json.decode(response.body)["status"]
        self.assertEqual(status, "completed")
        self.assertTrue(has_expected_results(response, "kill", 20))
        self.assertEqual(deployment.tasks_started_twice(), {})


if __name__ == "__main__":
    unittest.main()
