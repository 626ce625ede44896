"""Tests that the ledger keeps as many voters as the tolerated losses require."""

import unittest

from hawthornbarrow.ledger import Members

from hawthornbarrow_entry.fleet._voter_repair import (
    REPLICA_TIMEOUT_S,
    AddVoter,
    DropLearner,
    ReplaceVoter,
    VoterRepair,
)

VOTERS = ("a.1", "b.1", "c.1")
ALL_REPLICAS = {"a": "a.1", "b": "b.1", "c": "c.1", "d": "d.1", "e": ""}


class VoterRepairTest(unittest.TestCase):
    def setUp(self):
        self.repair = VoterRepair(tolerated_losses=1)

    def change(self, members, replicas, now_s=0.0):
        return self.repair.next_change(members, replicas, now_s)

    def test_no_change_while_all_voters_are_alive(self):
        self.assertIsNone(self.change(Members(voters=VOTERS), ALL_REPLICAS))

    def test_new_replica_of_same_entry_replaces_its_previous_one(self):
        change = self.change(Members(voters=VOTERS), ALL_REPLICAS | {"b": "b.2"})
        self.assertEqual(ReplaceVoter(old="b.1", new="b.2"), change)

    def test_spare_replaces_voter_that_is_silent_too_long(self):
        replicas = {
            name: replica for name, replica in ALL_REPLICAS.items() if name != "b"
        }
        members = Members(voters=VOTERS)
        self.assertIsNone(self.change(members, replicas))
        change = self.change(members, replicas, REPLICA_TIMEOUT_S)
        self.assertEqual(ReplaceVoter(old="b.1", new="d.1"), change)

    def test_voters_are_added_up_to_required_count(self):
        change = self.change(Members(voters=("a.1",)), ALL_REPLICAS)
        self.assertEqual(AddVoter(new="b.1"), change)
        change = self.change(Members(voters=("a.1", "b.1")), ALL_REPLICAS)
        self.assertEqual(AddVoter(new="c.1"), change)

    def test_no_voter_is_added_without_spare_replica(self):
        replicas = {"a": "a.1", "e": ""}
        self.assertIsNone(self.change(Members(voters=("a.1",)), replicas))

    def test_no_change_while_learner_catches_up(self):
        members = Members(voters=("a.1",), learners=("b.1",))
        self.assertIsNone(self.change(members, ALL_REPLICAS))

    def test_lost_learner_is_dropped(self):
        members = Members(voters=VOTERS, learners=("d.0",), leaving="b.1")
        self.assertIsNone(self.change(members, ALL_REPLICAS))
        self.assertEqual(
            DropLearner(), self.change(members, ALL_REPLICAS, REPLICA_TIMEOUT_S)
        )


if __name__ == "__main__":
    unittest.main()
