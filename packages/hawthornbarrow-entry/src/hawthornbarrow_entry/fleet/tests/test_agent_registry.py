"""Which agents the ledger names, so that a takeover waits for those and no others."""

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


def offer(session=1):
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
    """The list changes before work is given and after it is lost."""

    def setUp(self):
        self.registry = AgentRegistry(timing=TIMING)

    def strikes(self, agents, attached, *, seconds):
        """Returns what is struck while time passes."""
        strikes = []
        for tenth in range(round(seconds * 10)):
            strikes += self.registry.take_strikes(agents, attached, tenth / 10)
        return strikes

    def test_an_agent_is_named_before_it_is_attached(self):
        self.registry.offer("a", offer(), 0.0)
        self.assertEqual(self.registry.take_attachable({}, 0.0), [])
        expected = [RegisterAgent(name="a", incarnation=0)]
        self.assertEqual(self.registry.take_registrations({}), expected)
        self.assertEqual(self.registry.take_registrations({}), [])
        named = {"a": record("a")}
        self.assertEqual(self.registry.take_attachable(named, 0.02), [("a", offer())])
        self.assertEqual(self.registry.take_attachable(named, 0.03), [])

    def test_the_newest_offer_counts(self):
        self.registry.offer("a", offer(session=1), 0.0)
        self.registry.offer("a", offer(session=2), 0.1)
        attachable = self.registry.take_attachable({"a": record("a")}, 0.1)
        self.assertEqual(attachable, [("a", offer(session=2))])

    def test_an_old_offer_is_dropped(self):
        self.registry.offer("a", offer(), 0.0)
        attachable = self.registry.take_attachable({"a": record("a")}, 1.0)
        self.assertEqual(attachable, [])

    def test_an_agent_that_left_is_struck_once_its_traces_are_old(self):
        agents = {"a": record("a"), "b": record("b")}
        self.assertEqual(self.strikes(agents, {"b"}, seconds=TRACE_RETENTION_S), [])
        strikes = self.strikes(agents, {"b"}, seconds=2 * TRACE_RETENTION_S)
        self.assertEqual(strikes, [RetireAgent(name="a", incarnation=0)])

    def test_an_agent_that_is_being_struck_is_named_anew_before_it_is_attached(self):
        agents = {"a": record("a")}
        self.assertEqual(len(self.strikes(agents, set(), seconds=6)), 1)
        self.registry.offer("a", offer(), 6.0)
        self.assertEqual(self.registry.take_attachable(agents, 6.0), [])
        self.assertEqual(self.registry.take_registrations(agents), [])
        self.assertEqual(len(self.registry.take_registrations({})), 1)
        self.assertEqual(len(self.registry.take_attachable(agents, 6.1)), 1)

    def test_an_agent_with_work_is_never_struck(self):
        self.assertEqual(self.strikes({"a": record("a")}, {"a"}, seconds=60), [])

    def test_an_agent_that_offers_itself_is_never_struck(self):
        for second in range(60):
            self.registry.offer("a", offer(), float(second))
            strikes = self.registry.take_strikes({"a": record("a")}, set(), second)
            self.assertEqual(strikes, [])


if __name__ == "__main__":
    unittest.main()
