"""Tests of the agents that the ledger lists, which a takeover waits for."""

import unittest

import msgspec
from hawthornbarrow.cells import (
    TRACE_RETENTION_S,
    AttachWorker,
    LoadFeature,
    Resources,
    RunLeaseTiming,
    WorkerRecord,
    encode_worker,
)
from hawthornbarrow.ledger import AgentRecord, RegisterAgent, RetireAgent

from hawthornbarrow_entry.fleet._agent_registry import (
    RETIREMENT_MARGIN_S,
    AgentRegistry,
)

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

    def idle_then_absent(self, *, recorded_s, features, ended_after_s=3.0):
        """Returns when an agent is retired that had no upstream before it left."""
        registry = AgentRegistry(timing=TIMING, features=features)
        request = msgspec.structs.replace(
            attach_request(), worker=None, recorded_s=recorded_s
        )
        agents = {"a": record("a")}
        for tenth in range(100):
            now_s = tenth / 10
            if now_s <= ended_after_s:
                registry.on_attach_request("a", request, now_s)
                registry.take_attachable(agents, now_s)
            if registry.take_retirements(agents, (), now_s):
                return now_s
        return None

    def test_agent_that_had_no_upstream_before_it_left_delays_no_takeover(self):
        features = frozenset({LoadFeature.FAST_RESTART})
        retired_s = self.idle_then_absent(recorded_s=60.0, features=features)
        gone_s = 3.0 + TIMING.lost_after_s + RETIREMENT_MARGIN_S
        self.assertAlmostEqual(gone_s, retired_s, delta=0.2)
        retired_s = self.idle_then_absent(recorded_s=60.0, features=frozenset())
        usual_s = 3.0 + TRACE_RETENTION_S + RETIREMENT_MARGIN_S
        self.assertAlmostEqual(usual_s, retired_s, delta=0.2)

    def test_traces_of_runs_before_the_loss_of_the_upstream_are_kept(self):
        features = frozenset({LoadFeature.FAST_RESTART})
        retired_s = self.idle_then_absent(
            recorded_s=60.0, features=features, ended_after_s=0.5
        )
        self.assertGreater(retired_s, TRACE_RETENTION_S + RETIREMENT_MARGIN_S)

    def test_agent_that_has_just_restarted_is_retired_as_usual(self):
        features = frozenset({LoadFeature.FAST_RESTART})
        retired_s = self.idle_then_absent(recorded_s=0.5, features=features)
        usual_s = 3.0 + TRACE_RETENTION_S + RETIREMENT_MARGIN_S
        self.assertAlmostEqual(usual_s, retired_s, delta=0.2)

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


WORKER = attach_request().worker


def worker_of(**changes):
    return msgspec.structs.replace(WORKER, born_ms=1000, **changes)


class WorkerDirectoryTest(unittest.TestCase):
    """Tests when the worker of an agent is written to the ledger."""

    def setUp(self):
        self.registry = AgentRegistry(
            timing=TIMING, features=frozenset({LoadFeature.UPSTREAM_DIRECTORY})
        )
        self.directory = self.registry.directory
        self.records = {"a": record("a")}

    def request(self, worker, now_s=0.0, *, is_leaving=False):
        message = msgspec.structs.replace(
            attach_request(), worker=worker, is_leaving=is_leaving
        )
        self.registry.on_attach_request("a", message, now_s)

    def attachable_count(self, now_s=0.0):
        return len(
            self.registry.take_attachable(self.records, now_s, records=self.records)
        )

    def commit(self, commands):
        for command in commands:
            self.records["a"] = msgspec.structs.replace(
                self.records["a"], worker=command.worker
            )

    def test_no_agent_is_attached_before_the_ledger_lists_its_incarnation(self):
        """Guards against runs that a restarted agent would not look for."""
        self.request(worker_of())
        self.assertEqual(0, self.attachable_count())
        commands = self.directory.take_changes(self.records)
        expected = RegisterAgent(
            name="a", incarnation=0, worker=encode_worker(worker_of())
        )
        self.assertEqual([expected], commands)
        self.assertEqual(0, self.attachable_count(0.01))
        self.commit(commands)
        self.assertEqual(1, self.attachable_count(0.02))

    def test_registration_contains_the_worker(self):
        self.request(worker_of())
        (command,) = self.registry.take_registrations({})
        self.assertEqual(encode_worker(worker_of()), command.worker)

    def test_known_incarnation_is_attached_without_a_write(self):
        self.commit(
            [RegisterAgent(name="a", incarnation=0, worker=encode_worker(worker_of()))]
        )
        self.request(worker_of())
        self.assertEqual(1, self.attachable_count())
        self.assertEqual([], self.directory.take_changes(self.records))

    def test_one_command_per_agent_is_pending(self):
        self.request(worker_of())
        first = self.directory.take_changes(self.records)
        self.assertEqual([], self.directory.take_changes(self.records))
        self.request(worker_of(upstream="v"), 0.1)
        self.assertEqual([], self.directory.take_changes(self.records))
        self.commit(first)
        (second,) = self.directory.take_changes(self.records)
        self.assertEqual(encode_worker(worker_of(upstream="v")), second.worker)
        self.commit([second])
        self.assertEqual([], self.directory.take_changes(self.records))
        self.assertEqual(1, self.attachable_count(0.1))

    def test_changed_capacity_is_written_and_does_not_delay_the_attachment(self):
        self.commit(
            [RegisterAgent(name="a", incarnation=0, worker=encode_worker(worker_of()))]
        )
        smaller = worker_of(capacity=Resources(cpu=500))
        self.request(smaller)
        self.assertEqual(1, self.attachable_count())
        (command,) = self.directory.take_changes(self.records)
        self.assertEqual(encode_worker(smaller), command.worker)

    def test_report_of_a_smaller_capacity_is_written(self):
        self.commit(
            [RegisterAgent(name="a", incarnation=0, worker=encode_worker(worker_of()))]
        )
        smaller = worker_of(capacity=Resources(cpu=500))
        self.registry.on_report("a", smaller, is_leaving=False)
        self.registry.on_report("a", smaller, is_leaving=False)
        self.assertEqual(1, len(self.directory.take_changes(self.records)))

    def test_upstream_that_left_or_is_leaving_is_removed(self):
        for worker, is_leaving in ((None, False), (worker_of(), True)):
            self.setUp()
            self.commit([RegisterAgent(name="a", incarnation=0, worker=b"x")])
            self.request(worker, is_leaving=is_leaving)
            self.assertEqual(1, self.attachable_count())
            (command,) = self.directory.take_changes(self.records)
            self.assertEqual(b"", command.worker)

    def test_agent_that_was_retired_meanwhile_is_written_again(self):
        self.request(worker_of())
        self.directory.take_changes(self.records)
        self.assertEqual([], self.directory.take_changes({}))
        self.assertEqual(1, len(self.directory.take_changes(self.records)))

    def test_standby_attaches_without_the_ledger(self):
        self.request(worker_of())
        self.assertEqual(1, len(self.registry.take_attachable(self.records, 0.0)))

    def test_unreadable_record_counts_as_none(self):
        unreadable = msgspec.structs.replace(record("a"), worker=b"\xff")
        self.assertIsNone(self.directory.known_worker(unreadable))

    def test_nothing_is_written_or_known_without_the_feature(self):
        registry = AgentRegistry(timing=TIMING)
        listed = msgspec.structs.replace(record("a"), worker=encode_worker(worker_of()))
        self.assertIsNone(registry.directory.known_worker(listed))
        registry.on_attach_request("a", attach_request(), 0.0)
        self.assertEqual([], registry.directory.take_changes(self.records))
        attachable = registry.take_attachable(self.records, 0.0, records=self.records)
        self.assertEqual(1, len(attachable))


if __name__ == "__main__":
    unittest.main()
