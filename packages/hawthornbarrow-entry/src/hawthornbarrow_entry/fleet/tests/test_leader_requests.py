"""Tests of which reply an entry takes for that of a request."""

import random
import unittest
from unittest import mock

import curio
from hawthornbarrow.cells import (
    ConfigurationOutcome,
    ConfigurationReply,
    EvacuationOutcome,
    GetConfiguration,
    GetJobState,
    JobState,
    JobStateReply,
    ProposeConfiguration,
    RunLeaseTiming,
)
from hawthornbarrow.ledger import Applied, Outcome, PutConfiguration

from hawthornbarrow_entry.fleet import (
    FleetEntry,
    FleetEntrySettings,
    LeaderUnavailableError,
)
from hawthornbarrow_entry.fleet._leader_requests import LeaderRequests
from hawthornbarrow_entry.fleet.tests._split_simulation import SplitSimulation

TIMEOUT_S = 0.05


def propose(number):
    return ProposeConfiguration(number=number, version=10, document=b"10")


class ProposalTest(unittest.TestCase):
    """Tests of a leader that has a change of an entry under way."""

    def setUp(self):
        self.simulation = SplitSimulation(seed=1, agents=3)
        self.simulation.run(2.0)
        self.leader = self.simulation.entries[self.simulation.leader]
        request = ProposeConfiguration(number=7, version=2, document=b"2")
        curio.run(self.leader.role.on_request, "e4", request, self.simulation.now_s)

    def outcomes(self):
        """Returns the outcomes that the leader sends once the change is committed."""
        applied = Applied(
            index=9,
            command=PutConfiguration(version=2, document=b"2"),
            number=self.simulation.proposal_count,
            outcome=Outcome(accepted=True, version=2),
        )
        curio.run(self.leader.role.on_applied, applied, self.simulation.now_s)
        frames = self.simulation.links[self.leader.name, "e4"]
        messages = [frame.message for frame in frames]
        return [
            message for message in messages if isinstance(message, ConfigurationOutcome)
        ]

    def test_entry_gets_the_outcome_of_its_change(self):
        self.assertEqual([ConfigurationOutcome(number=7, version=2)], self.outcomes())

    def test_new_process_of_an_entry_gets_no_outcome_of_its_former_one(self):
        """Guards against an ack of another change that has the same number."""
        self.leader.role.on_peer_up("e4", is_restarted=True, process=2)
        self.assertEqual([], self.outcomes())


class LeaderRequestsTest(unittest.TestCase):
    """Tests with a leader that answers with the given replies."""

    def setUp(self):
        self.sent = []
        self.leader = "leader"

    def make_requests(self, replies=(), seed=1):
        """Returns requests whose leader answers with these replies.

        Args:
            replies: For each reply its sender, its kind and its other fields.
            seed: Seed of the first number.
        """

        async def send(receiver, message):
            self.sent.append((receiver, message))
            for sender, kind, fields in replies:
                reply = kind(**{"number": message.number, **fields})
                await requests.on_reply(sender, reply)

        requests = LeaderRequests(
            send=send, dispatcher=lambda: self.leader, generator=random.Random(seed)
        )
        return requests

    def request(self, make_request, *replies, seed=1):
        requests = self.make_requests(replies, seed)
        return curio.run(requests.request, make_request, TIMEOUT_S)

    def assert_unanswered(self, make_request, *replies):
        with self.assertRaises(LeaderUnavailableError):
            self.request(make_request, *replies)

    def test_reply_of_the_leader_is_taken(self):
        outcome = ("leader", ConfigurationOutcome, {"version": 10})
        self.assertEqual(10, self.request(propose, outcome).version)
        self.assertEqual("leader", self.sent[0][0])

    def test_reply_to_a_former_process_is_not_taken(self):
        """Guards against an ack by the outcome of a former process's change."""
        self.assert_unanswered(propose)
        former = self.sent[0][1].number
        outcome = ("leader", ConfigurationOutcome, {"number": former, "version": 9})
        with self.assertRaises(LeaderUnavailableError):
            self.request(propose, outcome, seed=2)
        self.assertEqual(9, self.request(propose, outcome, seed=1).version)

    def test_older_version_than_the_proposed_one_is_no_ack(self):
        """Guards against an ack of a change that the leader does not hold."""
        settings = FleetEntrySettings(
            name="e",
            address="127.0.0.1:1",
            data_centre="d",
            data_dir=None,
            is_first_start=False,
            seeds=(),
            tolerated_losses=1,
            timing=RunLeaseTiming(run_lease_s=1.0, stop_s=0.05),
            cluster_key=b"",
        )
        entry = FleetEntry(settings=settings, configuration_format=mock.Mock())
        for held, is_acknowledged in ((9, False), (10, True), (11, True)):
            reply = ConfigurationOutcome(number=1, version=held)
            request = mock.AsyncMock(return_value=reply)
            with mock.patch.object(entry._leader_requests, "request", request):
                if is_acknowledged:
                    answer = curio.run(entry.propose_configuration, 10, b"10")
                    self.assertEqual(held, answer)
                else:
                    with self.assertRaises(LeaderUnavailableError):
                        curio.run(entry.propose_configuration, 10, b"10")

    def test_reply_of_another_sender_is_not_taken(self):
        """Guards against an ack by an entry that the change was not sent to."""
        outcome = ("other", ConfigurationOutcome, {"version": 10})
        self.assert_unanswered(propose, outcome)

    def test_reply_of_another_kind_is_not_taken(self):
        """Guards against an ack by the outcome of another request."""
        evacuation = ("leader", EvacuationOutcome, {"is_accepted": True, "revision": 3})
        state = ("leader", JobStateReply, {"state": JobState.QUEUED})
        read = ("leader", ConfigurationReply, {"version": 10, "document": b"10"})
        outcome = ("leader", ConfigurationOutcome, {"version": 10})
        self.assert_unanswered(propose, evacuation, state, read)
        self.assert_unanswered(
            lambda number: GetJobState(number=number, job="j"), outcome, read
        )
        self.assert_unanswered(
            lambda number: GetConfiguration(number=number), outcome, state
        )

    def test_request_without_a_leader_fails_at_once(self):
        self.leader = ""
        self.assert_unanswered(propose)
        self.assertEqual([], self.sent)


if __name__ == "__main__":
    unittest.main()
