"""Entries learn of one another, and founders are spread."""

import unittest

from hawthornbarrow.cells import Directory, FleetMember

from hawthornbarrow_entry.fleet import Membership, choose_founders


def member(name, centre="x", replica=""):
    return FleetMember(
        name=name, address=f"{name}:1", data_centre=centre, replica=replica
    )


class MembershipTest(unittest.TestCase):
    def test_hearsay_does_not_replace_what_the_entry_itself_said(self):
        membership = Membership(own=member("a"), now_s=0.0)
        own_words = member("b", replica="b.2")
        membership.take("b", Directory(members=[own_words]), 1.0)
        hearsay = Directory(members=[member("b", replica="b.1")])
        self.assertFalse(membership.take("c", hearsay, 2.0))
        self.assertEqual(own_words, membership.members["b"])

    def test_only_linked_entries_are_told_on(self):
        membership = Membership(own=member("a"), now_s=0.0)
        others = Directory(members=[member("b"), member("c")])
        membership.take("b", others, 1.0)
        membership.note_link("b", True, 1.0)
        names = [one.name for one in membership.directory().members]
        self.assertEqual(["a", "b"], names)

    def test_an_entry_that_is_gone_for_long_is_forgotten(self):
        membership = Membership(own=member("a"), now_s=0.0)
        membership.take("b", Directory(members=[member("b")]), 1.0)
        membership.forget_silent(50.0)
        self.assertIn("b", membership.members)
        membership.forget_silent(100.0)
        self.assertNotIn("b", membership.members)

    def test_entries_that_were_lost_or_alive_lately_are_known(self):
        membership = Membership(own=member("a"), now_s=0.0)
        membership.take("b", Directory(members=[member("b"), member("c")]), 1.0)
        membership.note_link("b", True, 1.0)
        self.assertEqual({"a", "b", "c"}, membership.recent(2.0, 5.0))
        self.assertEqual({"a", "b"}, membership.recent(20.0, 5.0))
        membership.note_link("b", False, 20.0)
        membership.note_link("b", True, 20.5)
        self.assertEqual({"b"}, membership.lost(21.0, 5.0))
        self.assertEqual(set(), membership.lost(26.0, 5.0))


class FoundersTest(unittest.TestCase):
    def test_founders_are_spread_over_data_centres(self):
        members = [
            member("a1", "x", "a1.1"),
            member("a2", "x", "a2.1"),
            member("b1", "y", "b1.1"),
            member("c1", "z", "c1.1"),
            member("d1", "z"),
        ]
        self.assertEqual(("a1.1", "b1.1", "c1.1"), choose_founders(members, 1))

    def test_too_few_disks_give_an_odd_number(self):
        members = [member("a", "x", "a.1"), member("b", "y", "b.1")]
        self.assertEqual(1, len(choose_founders(members, 1)))
