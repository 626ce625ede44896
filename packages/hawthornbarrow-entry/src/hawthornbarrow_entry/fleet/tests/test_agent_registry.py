"""Tests of the agents that the ledger lists, which a takeover waits for."""

import unittest

from hawthornbarrow.cells import (
    TRACE_RETENTION_S,
    AttachWorker,
    Resources,
    RunLeaseTiming,
    WorkerRecord,
)
from hawthornbarrow.ledger import AgentRecord, RegisterAgent, RetireAgent

from hawthornbarrow_entry.fleet._agent_registry import AgentRegistry

TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)


def record(name):
    return AgentRecord(name=name, incarnation=0, first_index=1, index=1)


def attach_request(session=1):
    worker = WorkerRecord(
        upstream="u",
        service="s",
        data_centre="d",
        labels=(),
        capacity=Resources(cpu=1000),
    )
    return AttachWorker(
        term=1,
        session=session,
        worker=worker,
        is_leaving=False,
        running=[],
        ended=[],
    )


class AgentRegistryTest(unittest.TestCase):
    """Tests that agents are registered before and retired after they can have runs."""

    def setUp(self):
        self.registry = AgentRegistry(timing=TIMING)

    def retirements(self, agents, attached, *, seconds):
        """Returns the retirements within some seconds."""
        retirements = []
        for tenth in range(round(seconds * 10)):
            retirements += self.registry.take_retirements(agents, attached, tenth / 10)
        return retirements

    def test_agent_is_registered_before_it_is_attached(self):
        self.registry.on_attach_request("a", attach_request(), 0.0)
        self.assertEqual(self.registry.take_attachable({}, 0.0), [])
        expected = [RegisterAgent(name="a", incarnation=0)]
        self.assertEqual(self.registry.take_registrations({}), expected)
        self.assertEqual(self.registry.take_registrations({}), [])
        registered = {"a": record("a")}
        self.assertEqual(
            self.registry.take_attachable(registered, 0.02), [("a", attach_request())]
        )
        self.assertEqual(self.registry.take_attachable(registered, 0.03), [])

    def test_newer_attach_request_replaces_older_one(self):
        self.registry.on_attach_request("a", attach_request(session=1), 0.0)
        self.registry.on_attach_request("a", attach_request(session=2), 0.1)
        attachable = self.registry.take_attachable({"a": record("a")}, 0.1)
        self.assertEqual(attachable, [("a", attach_request(session=2))])

    def test_old_attach_request_is_dropped(self):
        self.registry.on_attach_request("a", attach_request(), 0.0)
        attachable = self.registry.take_attachable({"a": record("a")}, 1.0)
        self.assertEqual(attachable, [])

    def test_absent_agent_is_retired_after_trace_retention(self):
        agents = {"a": record("a"), "b": record("b")}
        self.assertEqual(self.retirements(agents, {"b"}, seconds=TRACE_RETENTION_S), [])
        retirements = self.retirements(agents, {"b"}, seconds=2 * TRACE_RETENTION_S)
        self.assertEqual(retirements, [RetireAgent(name="a", incarnation=0)])

    def test_retiring_agent_is_registered_again_before_it_is_attached(self):
        agents = {"a": record("a")}
        self.assertEqual(len(self.retirements(agents, set(), seconds=6)), 1)
        self.registry.on_attach_request("a", attach_request(), 6.0)
        self.assertEqual(self.registry.take_attachable(agents, 6.0), [])
        self.assertEqual(self.registry.take_registrations(agents), [])
        self.assertEqual(len(self.registry.take_registrations({})), 1)
        self.assertEqual(len(self.registry.take_attachable(agents, 6.1)), 1)

    def test_attached_agent_is_never_retired(self):
        self.assertEqual(self.retirements({"a": record("a")}, {"a"}, seconds=60), [])

    def test_agent_that_requests_attachment_is_never_retired(self):
        for second in range(60):
            self.registry.on_attach_request("a", attach_request(), float(second))
            retirements = self.registry.take_retirements(
                {"a": record("a")}, set(), second
            )
            self.assertEqual(retirements, [])


if __name__ == "__main__":
    unittest.main()
