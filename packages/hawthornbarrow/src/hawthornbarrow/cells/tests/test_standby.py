"""Who dispatches while the ledger has no leader."""

import random
import unittest

from hawthornbarrow.cells import (
    ClaimAgents,
    DispatcherHeartbeat,
    FleetMember,
    GrantClaim,
    RunLeaseTiming,
    RunSupervisor,
    Standby,
    choose_linked_entries,
    first_term,
    is_standby_term,
    rank_standbys,
)

TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
AGENTS = ("a", "b", "c", "d", "e")
LEADER_TERM = first_term(3)
SILENT_S = TIMING.lost_after_s + 0.2


class StandbyTest(unittest.TestCase):
    """The last pulse of a leader came at time zero."""

    def setUp(self):
        self.standby = Standby(timing=TIMING, now_s=-1.0)
        self.standby.on_known_agents(LEADER_TERM, AGENTS)
        self.standby.on_heartbeat(LEADER_TERM, 0.0)

    def claim(self, now_s, *, rank=0, agents=AGENTS):
        return self.standby.claim_if_due(agents, rank, now_s)

    def win(self, now_s=SILENT_S):
        term = self.claim(now_s).term
        for agent in AGENTS[:3]:
            self.standby.on_grant(agent, term, now_s)
        return term

    def test_it_claims_no_earlier_than_runs_have_lapsed(self):
        self.assertIsNone(self.claim(TIMING.lost_after_s))
        claim = self.claim(SILENT_S)
        self.assertGreater(claim.term, LEADER_TERM)
        self.assertLess(claim.term, first_term(4))
        self.assertTrue(is_standby_term(claim.term))

    def test_entries_claim_one_after_another(self):
        self.assertIsNone(self.claim(SILENT_S, rank=1))
        self.assertIsNotNone(self.claim(SILENT_S + 0.2, rank=1))

    def test_it_claims_only_where_a_majority_can_hear_it(self):
        self.assertIsNone(self.claim(SILENT_S, agents=AGENTS[:2]))
        self.assertIsNone(self.claim(SILENT_S, agents=("x", "y", "z")))

    def test_a_majority_makes_it_lead(self):
        term = self.claim(SILENT_S).term
        for agent in ("a", "b", "x"):
            self.standby.on_grant(agent, term, SILENT_S)
        self.assertFalse(self.standby.is_dispatching(SILENT_S))
        self.standby.on_grant("c", term, SILENT_S)
        self.assertTrue(self.standby.is_dispatching(SILENT_S))

    def test_grants_of_an_earlier_claim_do_not_count(self):
        first = self.claim(SILENT_S).term
        second = self.claim(SILENT_S + 0.5).term
        self.assertGreater(second, first)
        for agent in AGENTS:
            self.standby.on_grant(agent, first, SILENT_S + 0.5)
        self.assertFalse(self.standby.is_dispatching(SILENT_S + 0.5))

    def test_it_ends_when_it_hears_no_majority(self):
        self.win()
        now_s = SILENT_S + 0.4
        self.standby.on_frame("a", now_s)
        self.standby.on_frame("b", now_s)
        self.assertTrue(self.standby.is_dispatching(now_s))
        self.assertFalse(self.standby.is_dispatching(now_s + 0.4))

    def test_it_ends_when_a_leader_is_back(self):
        self.win()
        self.standby.on_heartbeat(first_term(4), SILENT_S + 0.1)
        self.assertFalse(self.standby.is_dispatching(SILENT_S + 0.1))

    def test_it_ends_when_another_has_a_higher_term(self):
        term = self.win()
        self.standby.on_superseded(term + 1)
        self.assertFalse(self.standby.is_dispatching(SILENT_S))

    def test_it_claims_no_more_while_it_leads(self):
        term = self.win()
        self.standby.on_heartbeat(term, SILENT_S + 0.1)
        self.assertIsNone(self.claim(SILENT_S + 0.45))

    def test_a_leader_that_was_out_of_sight_begins_above_the_standby(self):
        leader = Standby(timing=TIMING, now_s=0.0)
        term = leader.leader_term(3, 0)
        self.assertEqual(first_term(3), term)
        self.assertEqual(term, leader.leader_term(3, term))
        leader.on_superseded(term + 1)
        self.assertEqual(term + 2, leader.leader_term(3, term))
        self.assertEqual(term + 2, leader.leader_term(3, term + 2))
        self.assertEqual(first_term(4), leader.leader_term(4, term + 2))

    def test_names_of_an_older_leader_change_nothing(self):
        self.standby.on_known_agents(first_term(2), ("x",))
        self.assertEqual(frozenset(AGENTS), self.standby.agents)


def entry(name, *, replica=""):
    return FleetMember(name=name, address=name, data_centre="d", replica=replica)


class LinkedTest(unittest.TestCase):
    def test_agents_are_linked_to_those_that_may_lead_or_stand_by_first(self):
        members = [entry(f"e{index}") for index in range(6)]
        members += [entry("d1", replica="d1.1"), entry("d0", replica="d0.1")]
        linked = [member.name for member in choose_linked_entries(members)]
        self.assertEqual(["d0", "d1", "e0", "e1", "e2"], linked)
        ranked = [member.name for member in rank_standbys(members)]
        self.assertEqual("e0", ranked[0])
        self.assertEqual("d1", ranked[-1])


class PromiseTest(unittest.TestCase):
    """An agent that started at time zero and followed a leader until time one."""

    def setUp(self):
        self.agent = RunSupervisor(timing=TIMING, generator=random.Random(1), now_s=0.0)
        self.pulse("leader", LEADER_TERM, 1.0)

    def pulse(self, peer, term, now_s):
        pulse = DispatcherHeartbeat(term=term, heard_at_s=now_s, version=1)
        self.agent.on_heartbeat(peer, pulse, now_s)
        return self.agent.term

    def is_granted(self, peer, term, now_s):
        self.agent.take_messages()
        self.agent.on_claim(peer, ClaimAgents(term=term), now_s)
        return (peer, GrantClaim(term=term)) in self.agent.take_messages()

    def test_it_promises_nothing_while_runs_may_live(self):
        self.assertFalse(self.is_granted("s", LEADER_TERM + 1, 2.0))
        self.assertTrue(self.is_granted("s", LEADER_TERM + 1, 1.0 + SILENT_S))

    def test_it_promises_itself_to_one_at_a_time(self):
        now_s = 1.0 + SILENT_S
        self.assertTrue(self.is_granted("s", LEADER_TERM + 1, now_s))
        self.assertFalse(self.is_granted("t", LEADER_TERM + 1, now_s + 0.1))
        self.assertFalse(self.is_granted("t", LEADER_TERM + 3, now_s + 0.1))
        self.assertTrue(self.is_granted("t", LEADER_TERM + 3, now_s + SILENT_S))

    def test_after_a_restart_it_waits_as_long_as_a_promise(self):
        agent = RunSupervisor(timing=TIMING, generator=random.Random(1), now_s=5.0)
        agent.on_claim("s", ClaimAgents(term=7), 5.5)
        self.assertEqual([], agent.take_messages())
        agent.on_claim("s", ClaimAgents(term=7), 5.0 + SILENT_S)
        self.assertEqual([("s", GrantClaim(term=7))], agent.take_messages())

    def test_it_follows_a_standby_only_when_nobody_else_is_heard(self):
        self.assertEqual(LEADER_TERM, self.pulse("s", LEADER_TERM + 1, 1.5))
        self.assertEqual(LEADER_TERM + 1, self.pulse("s", LEADER_TERM + 1, 3.0))

    def test_a_promise_holds_against_the_former_leader(self):
        now_s = 1.0 + SILENT_S
        self.assertTrue(self.is_granted("s", LEADER_TERM + 1, now_s))
        self.pulse("leader", LEADER_TERM, now_s + 0.1)
        self.assertEqual(LEADER_TERM + 1, self.pulse("s", LEADER_TERM + 1, now_s + 0.2))

    def test_a_later_leader_is_followed_at_once(self):
        self.pulse("s", LEADER_TERM + 1, 3.0)
        self.assertEqual(LEADER_TERM + 2, self.pulse("leader", LEADER_TERM + 2, 3.1))
        self.assertEqual(LEADER_TERM + 2, self.pulse("s", LEADER_TERM + 1, 3.2))


if __name__ == "__main__":
    unittest.main()
