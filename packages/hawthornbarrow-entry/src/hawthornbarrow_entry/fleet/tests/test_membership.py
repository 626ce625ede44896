"""Tests of the membership."""

import unittest

from hawthornbarrow.cells import Directory, FleetMember

from hawthornbarrow_entry.fleet import Membership


def member(name, data_centre="x", replica=""):
    return FleetMember(
        name=name, address=f"{name}:1", data_centre=data_centre, replica=replica
    )


class MembershipTest(unittest.TestCase):
    def test_own_record_of_entry_takes_precedence_over_reports_of_others(self):
        membership = Membership(own=member("a"), now_s=0.0)
        own_record = member("b", replica="b.2")
        membership.on_directory("b", Directory(members=[own_record]), 1.0)
        reported = Directory(members=[member("b", replica="b.1")])
        self.assertFalse(membership.on_directory("c", reported, 2.0))
        self.assertEqual(own_record, membership.members["b"])

    def test_directory_lists_only_linked_entries(self):
        membership = Membership(own=member("a"), now_s=0.0)
        others = Directory(members=[member("b"), member("c")])
        membership.on_directory("b", others, 1.0)
        membership.on_link_change("b", True, 1.0)
        names = [entry.name for entry in membership.directory().members]
        self.assertEqual(["a", "b"], names)

    def test_entry_is_removed_after_long_absence(self):
        membership = Membership(own=member("a"), now_s=0.0)
        membership.on_directory("b", Directory(members=[member("b")]), 1.0)
        membership.remove_silent(50.0)
        self.assertIn("b", membership.members)
        membership.remove_silent(100.0)
        self.assertNotIn("b", membership.members)

    def test_recently_alive_and_recently_lost_entries(self):
        membership = Membership(own=member("a"), now_s=0.0)
        membership.on_directory("b", Directory(members=[member("b"), member("c")]), 1.0)
        membership.on_link_change("b", True, 1.0)
        self.assertEqual({"a", "b", "c"}, membership.recently_alive(2.0, 5.0))
        self.assertEqual({"a", "b"}, membership.recently_alive(20.0, 5.0))
        membership.on_link_change("b", False, 20.0)
        membership.on_link_change("b", True, 20.5)
        self.assertEqual({"b"}, membership.recently_lost(21.0, 5.0))
        self.assertEqual(set(), membership.recently_lost(26.0, 5.0))


if __name__ == "__main__":
    unittest.main()
