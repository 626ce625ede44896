"""Tests of the choice of the ledger's initial voters at the first start."""

import itertools
import unittest

from hawthornbarrow.cells import Directory, FleetMember

from hawthornbarrow_entry.fleet import Membership, choose_initial_voters
from hawthornbarrow_entry.fleet._founding import (
    FOUNDING_TIMEOUT_S,
    MEMBERSHIP_QUIET_S,
    Founding,
)


def member(name, data_centre="x", replica=""):
    return FleetMember(
        name=name, address=f"{name}:1", data_centre=data_centre, replica=replica
    )


def with_disk(name, data_centre="x"):
    return member(name, data_centre, f"{name}.1")


class InitialVotersTest(unittest.TestCase):
    def test_initial_voters_are_spread_over_data_centres(self):
        members = [
            member("a1", "x", "a1.1"),
            member("a2", "x", "a2.1"),
            member("b1", "y", "b1.1"),
            member("c1", "z", "c1.1"),
            member("d1", "z"),
        ]
        self.assertEqual(("a1.1", "b1.1", "c1.1"), choose_initial_voters(members, 1))

    def test_no_majority_of_the_voters_can_be_lost_with_the_tolerated_losses(self):
        """Guards against an acknowledged change that only the lost disks have."""
        for losses, disks in itertools.product(range(4), range(10)):
            members = [with_disk(f"e{index}") for index in range(disks)]
            voters = choose_initial_voters(members, losses)
            with self.subTest(losses=losses, disks=disks):
                self.assertEqual(bool(voters), disks >= max(1, 2 * losses))
                if voters:
                    self.assertGreater(len(voters) // 2 + 1, losses)
                self.assertLessEqual(len(voters), 2 * losses + 1)


class FoundingTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.membership = Membership(own=with_disk("e0"), now_s=self.now_s)
        self.founding = Founding(is_founder=True, tolerated_losses=1)

    def link(self, *names):
        for name in names:
            directory = Directory(members=[with_disk(name)])
            self.membership.on_directory(name, directory, self.now_s)
            self.membership.on_link_change(name, True, self.now_s)

    def voters(self, *, term=0):
        return self.founding.voters_to_announce(self.membership, term, self.now_s)

    def test_voters_are_chosen_once_all_disks_are_linked_and_the_links_are_quiet(self):
        self.link("e1", "e2")
        self.assertEqual((), self.voters())
        self.now_s += MEMBERSHIP_QUIET_S
        self.assertEqual(("e0.1", "e1.1", "e2.1"), self.voters())

    def test_founder_that_is_cut_off_chooses_nobody(self):
        """Guards against a ledger on one disk that acknowledges changes alone."""
        for _ in range(600):
            self.assertEqual((), self.voters())
            self.now_s += 0.1
        self.link("e1", "e2")
        self.now_s += MEMBERSHIP_QUIET_S
        self.assertEqual(3, len(self.voters()))

    def test_fewest_safe_voters_suffice_after_a_while(self):
        self.link("e1")
        self.assertEqual((), self.voters())
        self.now_s += FOUNDING_TIMEOUT_S - 0.1
        self.assertEqual((), self.voters())
        self.now_s += 0.1
        self.assertEqual(("e0.1", "e1.1"), self.voters())

    def test_choice_does_not_change_with_the_membership(self):
        self.link("e1", "e2")
        self.voters()
        self.now_s += MEMBERSHIP_QUIET_S
        voters = self.voters()
        self.membership.on_link_change("e1", False, self.now_s)
        self.link("e3", "e4")
        self.now_s += 10.0
        self.assertEqual(voters, self.voters())

    def test_nobody_founds_where_a_dispatcher_is_known_or_another_entry_founds(self):
        self.link("e1", "e2")
        self.voters()
        self.now_s += MEMBERSHIP_QUIET_S
        self.assertEqual((), self.voters(term=1))
        other = Founding(is_founder=False, tolerated_losses=1)
        self.assertEqual(
            (), other.voters_to_announce(self.membership, 0, self.now_s + 60.0)
        )


if __name__ == "__main__":
    unittest.main()
