"""The ledger keeps as many voters as the tolerated losses need."""

import unittest

from hawthornbarrow.ledger import Members

from hawthornbarrow_entry.fleet._voter_repair import (
    REPLACED_AFTER_S,
    AddVoter,
    DropLearner,
    ReplaceVoter,
    VoterRepair,
)

VOTERS = ("a.1", "b.1", "c.1")
ALL = {"a": "a.1", "b": "b.1", "c": "c.1", "d": "d.1", "e": ""}


class VoterRepairTest(unittest.TestCase):
    def setUp(self):
        self.repair = VoterRepair(tolerated_losses=1)

    def change(self, members, replicas, now_s=0.0):
        return self.repair.next_change(members, replicas, now_s)

    def test_a_whole_ledger_stays_as_it_is(self):
        self.assertIsNone(self.change(Members(voters=VOTERS), ALL))

    def test_an_entry_with_an_empty_disk_takes_its_own_place(self):
        change = self.change(Members(voters=VOTERS), ALL | {"b": "b.2"})
        self.assertEqual(ReplaceVoter(old="b.1", new="b.2"), change)

    def test_a_voter_that_is_gone_for_long_gives_its_place_to_a_spare(self):
        replicas = {name: one for name, one in ALL.items() if name != "b"}
        members = Members(voters=VOTERS)
        self.assertIsNone(self.change(members, replicas))
        change = self.change(members, replicas, REPLACED_AFTER_S)
        self.assertEqual(ReplaceVoter(old="b.1", new="d.1"), change)

    def test_a_ledger_that_was_founded_by_few_grows(self):
        change = self.change(Members(voters=("a.1",)), ALL)
        self.assertEqual(AddVoter(new="b.1"), change)
        change = self.change(Members(voters=("a.1", "b.1")), ALL)
        self.assertEqual(AddVoter(new="c.1"), change)

    def test_it_grows_no_further_than_the_disks_there_are(self):
        replicas = {"a": "a.1", "e": ""}
        self.assertIsNone(self.change(Members(voters=("a.1",)), replicas))

    def test_one_change_at_a_time(self):
        members = Members(voters=("a.1",), learners=("b.1",))
        self.assertIsNone(self.change(members, ALL))

    def test_a_learner_that_is_lost_is_given_up(self):
        members = Members(voters=VOTERS, learners=("d.0",), leaving="b.1")
        self.assertIsNone(self.change(members, ALL))
        self.assertEqual(DropLearner(), self.change(members, ALL, REPLACED_AFTER_S))


if __name__ == "__main__":
    unittest.main()
