"""Tests of the choice of entries that processes keep links to."""

import unittest

from hawthornbarrow.cells import FleetMember, LinkPlan, rank_standbys
from hawthornbarrow.cells._link_plan import ABSENT_AFTER_S

SEEDS = ("s0", "s1")


def make_entry(name, *, replica="", data_centre="d"):
    return FleetMember(
        name=name, address=name, data_centre=data_centre, replica=replica
    )


def make_members(*, replicas, others):
    members = [make_entry(f"e{index}") for index in range(others)]
    members += [
        make_entry(f"d{index}", replica=f"d{index}.1") for index in range(replicas)
    ]
    return {member.name: member for member in members}


class LinkPlanTest(unittest.TestCase):
    def make_plan(self, members, own=None):
        plan = LinkPlan(own=own)
        plan.set_seeds(SEEDS)
        plan.set_members(members)
        return plan

    def test_agents_link_to_replicas_and_the_first_standbys(self):
        members = make_members(replicas=6, others=34)
        plan = self.make_plan(members)
        linked = plan.choose(set(members), set(), 0.0)
        expected = {"d0", "d1", "d2", "d3", "d4", "d5", "e0", "e1", "e10"}
        self.assertEqual(expected, linked)
        ranked = [member.name for member in rank_standbys(members.values())]
        self.assertEqual("e0", ranked[0])
        self.assertEqual("d5", ranked[-1])

    def test_links_of_an_agent_do_not_grow_with_the_fleet(self):
        counts = set()
        for others in (13, 19, 40, 100):
            members = make_members(replicas=6, others=others)
            plan = self.make_plan(members)
            counts.add(len(plan.choose(set(members), set(), 0.0)))
        self.assertEqual({9}, counts)

    def test_small_fleet_is_linked_whole(self):
        members = make_members(replicas=3, others=4)
        plan = self.make_plan(members)
        self.assertEqual(set(members), plan.choose(set(members), set(), 0.0))

    def test_standby_that_cannot_be_reached_is_replaced_until_it_can_be(self):
        members = make_members(replicas=6, others=9)
        plan = self.make_plan(members)
        up = set(members)
        self.assertNotIn("e3", plan.choose(up, set(), 0.0))
        up.discard("e1")
        self.assertNotIn("e3", plan.choose(up, set(), ABSENT_AFTER_S / 2))
        replaced = plan.choose(up, set(), 2 * ABSENT_AFTER_S)
        self.assertLessEqual({"e1", "e3"}, replaced)
        up.add("e1")
        self.assertNotIn("e3", plan.choose(up, set(), 3 * ABSENT_AFTER_S))

    def test_all_standbys_lost_at_once_are_replaced(self):
        members = make_members(replicas=6, others=34)
        plan = self.make_plan(members)
        up = set(members)
        first = plan.choose(up, set(), 0.0)
        up -= {name for name in first if not members[name].replica}
        now_s = 0.0
        for _ in range(20):
            now_s += ABSENT_AFTER_S / 2
            chosen = plan.choose(up, set(), now_s)
        standbys = {name for name in chosen & up if not members[name].replica}
        self.assertEqual(3, len(standbys))

    def test_first_standbys_are_in_different_data_centres(self):
        members = {
            f"{place}-{index}": make_entry(f"{place}-{index}", data_centre=place)
            for place in ("x", "y", "z")
            for index in range(5)
        }
        for index in range(6):
            members[f"d{index}"] = make_entry(f"d{index}", replica=f"d{index}.1")
        plan = self.make_plan(members)
        chosen = plan.choose(set(members), set(), 0.0)
        places = {members[name].data_centre for name in chosen if "-" in name}
        self.assertEqual({"x", "y", "z"}, places)

    def test_link_in_use_is_kept(self):
        members = make_members(replicas=6, others=34)
        plan = self.make_plan(members)
        self.assertIn("e9", plan.choose(set(members), {"e9"}, 0.0))

    def test_seeds_are_used_until_half_of_the_chosen_entries_are_linked(self):
        plan = self.make_plan({})
        self.assertEqual(set(SEEDS), plan.choose(set(), set(), 0.0))
        members = make_members(replicas=3, others=0)
        plan.set_members(members)
        self.assertLessEqual(set(SEEDS), plan.choose({"d0"}, set(), 1.0))
        self.assertEqual(set(members), plan.choose({"d0", "d1"}, set(), 1.0))

    def test_seeds_are_used_until_a_dispatcher_is_known(self):
        """Guards against groups of entries that never meet at the first start."""
        members = make_members(replicas=3, others=4)
        plan = self.make_plan(members)
        searching = plan.choose(set(members), set(), 0.0, is_searching=True)
        self.assertEqual(set(members) | set(SEEDS), searching)
        self.assertEqual(set(members), plan.choose(set(members), set(), 1.0))

    def test_replaced_seeds_are_not_dialed_again(self):
        plan = self.make_plan({})
        plan.set_seeds(("s2",))
        self.assertEqual({"s2"}, plan.choose(set(), set(), 0.0))


class EntryLinkPlanTest(unittest.TestCase):
    """Tests of 6 entries with replicas and 34 without, each with a plan of its own."""

    def setUp(self):
        self.members = make_members(replicas=6, others=34)

    def links(self):
        """Returns the pairs of entries of which one dials the other."""
        pairs = set()
        for name, own in self.members.items():
            others = {key: m for key, m in self.members.items() if key != name}
            plan = LinkPlan(own=own)
            plan.set_members(others)
            for address in plan.choose(set(others), set(), 0.0):
                pairs.add(frozenset((name, address)))
        return pairs

    def test_every_entry_is_linked_to_all_that_may_dispatch(self):
        links = self.links()
        for core in ("d0", "d1", "d2", "d3", "d4", "d5", "e0", "e1", "e10"):
            for name in self.members.keys() - {core}:
                self.assertIn(frozenset((core, name)), links)

    def test_other_entries_are_not_linked_with_one_another(self):
        links = self.links()
        self.assertNotIn(frozenset(("e20", "e21")), links)
        per_entry = [sum("e20" in pair for pair in links)]
        self.assertEqual([9], per_entry)
