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


STARTED_S = -100.0  # when the process of the repair started
CATCH_UP_S = 4.0
# From the start of a successor until it is linked here, and from the replacement until
# it votes.
LINKED_AFTER_S = 1.0
CATCHES_UP_IN_S = 1.0
LOOK_INTERVAL_S = 0.5
LINK_SILENCE_S = 1.5


class VoterRepairTest(unittest.TestCase):
    def setUp(self):
        self.repair = self.make_repair(STARTED_S)

    def make_repair(self, now_s):
        return VoterRepair(tolerated_losses=1, catch_up_s=CATCH_UP_S, now_s=now_s)

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

    def replaced_at_s(self, lost_at_s, successor_at_s, *, repair=None, leads_from_s=0):
        """Returns when a voter is replaced by its successor, and by which replica.

        Args:
            lost_at_s: When the machine of the voter b.1 is lost; its link is noticed
                to be silent later.
            successor_at_s: When the machine of the replica z.1 starts.
            repair: The repair, or None for that of a process that runs for long.
            leads_from_s: When the replica of its process begins to lead.
        """
        repair = repair or self.repair
        voters = {"a": "a.1", "b": "b.1", "c": "c.1"}
        members = Members(voters=VOTERS)
        for look in range(40):
            now_s = look * LOOK_INTERVAL_S
            replicas = dict(voters)
            if now_s >= lost_at_s + LINK_SILENCE_S:
                del replicas["b"]
            if now_s >= successor_at_s + LINKED_AFTER_S:
                replicas["z"] = "z.1"
            repair.observe(members, replicas, now_s)
            change = None
            if now_s >= leads_from_s:
                change = repair.next_change(members, replicas, now_s)
            if change is not None:
                self.assertEqual(ReplaceVoter(old="b.1", new="z.1"), change)
                return now_s
        return None

    def test_successor_votes_before_the_next_disk_may_be_lost(self):
        """Guards against the loss of a second disk while a lost voter still counts."""
        for lost_at_s in (0.1, 0.3, 0.5):
            for delay_s in (0.2, 1.0, 2.0, 5.0):
                with self.subTest(lost_at_s=lost_at_s, delay_s=delay_s):
                    self.setUp()
                    started_at_s = lost_at_s + delay_s
                    replaced_at_s = self.replaced_at_s(lost_at_s, started_at_s)
                    votes_at_s = replaced_at_s + CATCHES_UP_IN_S
                    self.assertLessEqual(votes_at_s, started_at_s + CATCH_UP_S)

    def test_new_leader_counts_from_when_it_saw_the_loss(self):
        """Guards against a wait that begins anew with each leader."""
        replaced_at_s = self.replaced_at_s(0.1, 1.1, leads_from_s=2.5)
        self.assertLessEqual(replaced_at_s + CATCHES_UP_IN_S, 1.1 + CATCH_UP_S)

    def test_voter_that_returns_soon_is_not_replaced(self):
        """Guards against voters that are thrown out as they are slow or cut off."""
        members = Members(voters=VOTERS)
        without_b = {"a": "a.1", "c": "c.1", "d": "d.1"}
        self.assertIsNone(self.change(members, ALL_REPLICAS, -20.0))
        for look in range(11):
            self.assertIsNone(self.change(members, without_b, look * LOOK_INTERVAL_S))
        self.assertIsNone(self.change(members, ALL_REPLICAS, 5.5))
        self.assertIsNone(self.change(members, without_b, 6.0))

    def test_spare_that_appeared_long_before_a_loss_is_no_successor(self):
        replaced_at_s = self.replaced_at_s(10.0, 0.0)
        self.assertGreaterEqual(replaced_at_s, 10.0 + REPLICA_TIMEOUT_S)

    def test_successor_replaces_a_voter_that_is_stopping(self):
        """Guards against a planned successor that votes only after the next loss."""
        members = Members(voters=VOTERS)
        voters = {"a": "a.1", "b": "b.1", "c": "c.1"}
        with_successor = voters | {"z": "z.1"}
        self.assertIsNone(self.change(members, voters, 0.0))
        self.assertIsNone(self.change(members, with_successor, 1.0))
        self.assertIsNone(self.change(members, with_successor, 5.0))
        change = self.repair.next_change(members, with_successor, 5.5, stopping={"b"})
        expected = ReplaceVoter(old="b.1", new="z.1", is_stopping=True)
        self.assertEqual(expected, change)
        # Its process has ended before the change began.
        del with_successor["b"]
        change = self.change(members, with_successor, 12.0)
        self.assertEqual(ReplaceVoter(old="b.1", new="z.1"), change)

    def test_voter_that_restarts_keeps_its_place_beside_other_spares(self):
        members = Members(voters=VOTERS)
        self.assertIsNone(self.change(members, ALL_REPLICAS, -50.0))
        change = self.repair.next_change(members, ALL_REPLICAS, 0.0, stopping={"b"})
        self.assertIsNone(change)
        without_b = {"a": "a.1", "c": "c.1", "d": "d.1"}
        self.assertIsNone(self.change(members, without_b, 1.0))
        self.assertIsNone(self.change(members, ALL_REPLICAS, 4.0))
        newcomers = without_b | {"z": "z.1"}
        self.assertIsNone(self.change(members, newcomers, 60.0))

    def test_replicas_that_a_new_process_finds_are_no_successors(self):
        repair = self.make_repair(0.0)
        replaced_at_s = self.replaced_at_s(0.1, 0.2, repair=repair)
        self.assertGreaterEqual(replaced_at_s, REPLICA_TIMEOUT_S)

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
