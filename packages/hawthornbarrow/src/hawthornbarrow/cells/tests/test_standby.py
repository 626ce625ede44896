"""Tests of dispatching without a ledger leader: standbys and agents' promises."""

import random
import unittest

from hawthornbarrow.cells import (
    ClaimAgents,
    DispatcherHeartbeat,
    GrantClaim,
    RunLeaseTiming,
    RunSupervisor,
    Standby,
    first_term,
    is_standby_term,
)

TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
AGENTS = ("a", "b", "c", "d", "e")
LEADER_TERM = first_term(3)
SILENT_S = TIMING.lost_after_s + 0.2


class StandbyTest(unittest.TestCase):
    """Tests of a standby that received a leader's last heartbeat at time zero."""

    def setUp(self):
        self.standby = Standby(timing=TIMING, now_s=-1.0)
        self.standby.on_known_agents(LEADER_TERM, AGENTS)
        self.standby.on_heartbeat(LEADER_TERM, 0.0)

    def claim(self, now_s, *, rank=0, agents=AGENTS):
        return self.standby.claim_if_due(agents, rank, now_s)

    def claim_and_win(self, now_s=SILENT_S):
        term = self.claim(now_s).term
        for agent in AGENTS[:3]:
            self.standby.on_grant(agent, term, now_s)
        return term

    def test_claims_only_after_the_leases_of_runs_have_expired(self):
        self.assertIsNone(self.claim(TIMING.lost_after_s))
        claim = self.claim(SILENT_S)
        self.assertGreater(claim.term, LEADER_TERM)
        self.assertLess(claim.term, first_term(4))
        self.assertTrue(is_standby_term(claim.term))

    def test_entries_claim_in_the_order_of_their_ranks(self):
        self.assertIsNone(self.claim(SILENT_S, rank=1))
        self.assertIsNotNone(self.claim(SILENT_S + 0.2, rank=1))

    def test_claims_only_when_a_majority_of_the_agents_is_reachable(self):
        self.assertIsNone(self.claim(SILENT_S, agents=AGENTS[:2]))
        self.assertIsNone(self.claim(SILENT_S, agents=("x", "y", "z")))

    def test_dispatches_once_a_majority_has_granted_the_claim(self):
        term = self.claim(SILENT_S).term
        for agent in ("a", "b", "x"):
            self.standby.on_grant(agent, term, SILENT_S)
        self.assertFalse(self.standby.is_dispatching(SILENT_S))
        self.standby.on_grant("c", term, SILENT_S)
        self.assertTrue(self.standby.is_dispatching(SILENT_S))

    def test_grants_of_a_previous_claim_do_not_count(self):
        first = self.claim(SILENT_S).term
        second = self.claim(SILENT_S + 0.5).term
        self.assertGreater(second, first)
        for agent in AGENTS:
            self.standby.on_grant(agent, first, SILENT_S + 0.5)
        self.assertFalse(self.standby.is_dispatching(SILENT_S + 0.5))

    def test_stops_dispatching_without_contact_to_a_majority(self):
        self.claim_and_win()
        now_s = SILENT_S + 0.4
        self.standby.on_frame("a", now_s)
        self.standby.on_frame("b", now_s)
        self.assertTrue(self.standby.is_dispatching(now_s))
        self.assertFalse(self.standby.is_dispatching(now_s + 0.4))

    def test_agents_that_do_not_hear_this_entry_do_not_count(self):
        """Guards against a standby that goes on although its agents have left it."""
        self.claim_and_win()
        for agent in AGENTS[:3]:
            self.standby.on_frame(agent, SILENT_S + 0.1)
        self.assertFalse(self.standby.is_dispatching(SILENT_S + 0.7))

    def test_needs_all_agents_beside_leaders_of_an_older_version(self):
        """Guards against a start beside a run of a leader that never releases it."""
        self.standby.set_needs_all_agents(True)
        self.assertIsNone(self.claim(SILENT_S, agents=AGENTS[:4]))
        term = self.claim(SILENT_S).term
        for agent in AGENTS[:4]:
            self.standby.on_grant(agent, term, SILENT_S)
        self.assertFalse(self.standby.is_dispatching(SILENT_S))
        self.standby.on_grant(AGENTS[4], term, SILENT_S)
        self.assertTrue(self.standby.is_dispatching(SILENT_S))

    def test_standby_that_lost_its_majority_does_not_begin_again_by_frames(self):
        """Guards against a standby whose agents may have promised to another one."""
        self.claim_and_win()
        later_s = SILENT_S + 2.0
        self.assertFalse(self.standby.is_dispatching(later_s))
        for agent in AGENTS[:3]:
            self.standby.on_frame(agent, later_s)
        self.assertFalse(self.standby.is_dispatching(later_s))

    def test_restart_of_an_agent_ends_its_promise(self):
        self.claim_and_win()
        self.standby.on_agent_restarted("a")
        self.assertFalse(self.standby.is_dispatching(SILENT_S))

    def test_stops_dispatching_when_a_leader_returns(self):
        self.claim_and_win()
        self.standby.on_heartbeat(first_term(4), SILENT_S + 0.1)
        self.assertFalse(self.standby.is_dispatching(SILENT_S + 0.1))

    def test_stops_dispatching_when_another_term_is_higher(self):
        term = self.claim_and_win()
        self.standby.on_superseded(term + 1)
        self.assertFalse(self.standby.is_dispatching(SILENT_S))

    def test_claims_nothing_while_it_dispatches(self):
        term = self.claim_and_win()
        self.standby.on_heartbeat(term, SILENT_S + 0.1)
        self.assertIsNone(self.claim(SILENT_S + 0.45))

    def test_leader_that_was_unreachable_starts_above_the_term_of_the_standby(self):
        leader = Standby(timing=TIMING, now_s=0.0)
        term = leader.leader_term(3, 0)
        self.assertEqual(first_term(3), term)
        self.assertEqual(term, leader.leader_term(3, term))
        leader.on_superseded(term + 1)
        self.assertEqual(term + 2, leader.leader_term(3, term))
        self.assertEqual(term + 2, leader.leader_term(3, term + 2))
        self.assertEqual(first_term(4), leader.leader_term(4, term + 2))

    def test_agents_reported_by_an_older_leader_are_ignored(self):
        self.standby.on_known_agents(first_term(2), ("x",))
        self.assertEqual(frozenset(AGENTS), self.standby.agents)


class PromiseTest(unittest.TestCase):
    """Tests of an agent that started at time 0 and followed a leader until time 1."""

    def setUp(self):
        self.agent = RunSupervisor(timing=TIMING, generator=random.Random(1), now_s=0.0)
        self.heartbeat("leader", LEADER_TERM, 1.0)

    def heartbeat(self, peer, term, now_s):
        heartbeat = DispatcherHeartbeat(term=term, heard_at_s=now_s, version=1)
        self.agent.on_heartbeat(peer, heartbeat, now_s)
        return self.agent.term

    def is_granted(self, peer, term, now_s):
        self.agent.take_messages()
        self.agent.on_claim(peer, ClaimAgents(term=term), now_s)
        return (peer, GrantClaim(term=term)) in self.agent.take_messages()

    def test_gives_no_promise_while_runs_may_live(self):
        self.assertFalse(self.is_granted("s", LEADER_TERM + 1, 2.0))
        self.assertTrue(self.is_granted("s", LEADER_TERM + 1, 1.0 + SILENT_S))

    def test_promises_to_one_standby_at_a_time(self):
        now_s = 1.0 + SILENT_S
        self.assertTrue(self.is_granted("s", LEADER_TERM + 1, now_s))
        self.assertFalse(self.is_granted("t", LEADER_TERM + 1, now_s + 0.1))
        self.assertFalse(self.is_granted("t", LEADER_TERM + 3, now_s + 0.1))
        self.assertTrue(self.is_granted("t", LEADER_TERM + 3, now_s + SILENT_S))

    def test_gives_no_promise_after_a_restart_until_old_ones_expired(self):
        agent = RunSupervisor(timing=TIMING, generator=random.Random(1), now_s=5.0)
        agent.on_claim("s", ClaimAgents(term=7), 5.5)
        self.assertEqual([], agent.take_messages())
        agent.on_claim("s", ClaimAgents(term=7), 5.0 + SILENT_S)
        self.assertEqual([("s", GrantClaim(term=7))], agent.take_messages())

    def test_follows_a_standby_only_without_other_heartbeats(self):
        self.assertEqual(LEADER_TERM, self.heartbeat("s", LEADER_TERM + 1, 1.5))
        self.assertEqual(LEADER_TERM + 1, self.heartbeat("s", LEADER_TERM + 1, 3.0))

    def test_promise_excludes_the_previous_leader(self):
        now_s = 1.0 + SILENT_S
        self.assertTrue(self.is_granted("s", LEADER_TERM + 1, now_s))
        self.heartbeat("leader", LEADER_TERM, now_s + 0.1)
        self.assertEqual(
            LEADER_TERM + 1, self.heartbeat("s", LEADER_TERM + 1, now_s + 0.2)
        )

    def test_later_leader_is_followed_at_once(self):
        self.heartbeat("s", LEADER_TERM + 1, 3.0)
        self.assertEqual(
            LEADER_TERM + 2, self.heartbeat("leader", LEADER_TERM + 2, 3.1)
        )
        self.assertEqual(LEADER_TERM + 2, self.heartbeat("s", LEADER_TERM + 1, 3.2))


if __name__ == "__main__":
    unittest.main()
