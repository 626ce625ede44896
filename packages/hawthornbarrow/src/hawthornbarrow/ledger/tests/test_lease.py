"""Tests of the leader lease, leadership transfer and the highest put version."""

import random
import unittest

from hawthornbarrow.ledger import (
    FAST_TAKEOVER_SETTINGS,
    LedgerState,
    Members,
    PutConfiguration,
    RaftReplica,
    RaftSettings,
    Role,
)
from hawthornbarrow.ledger.tests._cluster import MemoryStorage

NAMES = ("a.1", "b.1", "c.1")


class Replicas:
    """Three replicas whose messages arrive at once, unless a replica is isolated."""

    def __init__(self, settings=None):
        self.now_s = 0.0
        self.settings = settings or RaftSettings()
        self.isolated = set()
        self.storages = {name: MemoryStorage(Members(voters=NAMES)) for name in NAMES}
        self.rafts = {}
        for index, name in enumerate(NAMES):
            self.start(name, index)

    def start(self, name, seed=0, inactive_s=0.0):
        self.rafts[name] = RaftReplica(
            replica=name,
            stored=self.storages[name].load(),
            settings=self.settings,
            generator=random.Random(seed),
            inactive_since_s=self.now_s - inactive_s,
        )

    def run(self, duration_s, *, tick=True):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s = round(self.now_s + 0.01, 4)
            for raft in self.rafts.values():
                if tick:
                    raft.tick(self.now_s)
            self.exchange_messages()

    def exchange_messages(self):
        for _ in range(20):
            for name, raft in self.rafts.items():
                ready = raft.take_ready()
                storage = self.storages[name]
                if ready.hard_state is not None:
                    storage.save_hard_state(ready.hard_state)
                if ready.entries or ready.truncate_from:
                    storage.append(ready.truncate_from, ready.entries)
                raft.on_persisted(self.now_s)
                for receiver, message in ready.immediate + ready.after_sync:
                    if name not in self.isolated and receiver not in self.isolated:
                        self.rafts[receiver].receive(name, message, self.now_s)

    def has_leader(self, names):
        return any(self.rafts[name].role is Role.LEADER for name in names)

    def leader(self):
        leaders = [r for r in self.rafts.values() if r.role is Role.LEADER]
        return max(leaders, key=lambda raft: raft.term)


class LeaseTest(unittest.TestCase):
    def test_isolated_leader_loses_its_lease_before_another_is_elected(self):
        for seed in range(5):
            replicas = Replicas()
            replicas.run(2.0 + seed / 10)
            old = replicas.leader()
            self.assertGreater(old.lease_until_s(replicas.now_s), replicas.now_s)
            replicas.isolated.add(old.replica)
            while True:
                replicas.run(0.01)
                others = [
                    raft
                    for raft in replicas.rafts.values()
                    if raft is not old and raft.role is Role.LEADER
                ]
                if others:
                    break
            self.assertLess(old.lease_until_s(replicas.now_s), replicas.now_s)

    def test_lease_ends_before_voters_with_shorter_timeouts_elect_another(self):
        for seed in range(20):
            replicas = Replicas()
            replicas.run(2.0)
            old = replicas.leader()
            replicas.settings = FAST_TAKEOVER_SETTINGS
            followers = [name for name in NAMES if name != old.replica]
            for name in followers:
                replicas.start(name, seed=seed)
                replicas.run(0.6)
            self.assertIs(old, replicas.leader())
            replicas.isolated.add(old.replica)
            while not replicas.has_leader(followers):
                replicas.run(0.01)
            self.assertLess(old.lease_until_s(replicas.now_s), replicas.now_s)

    def test_candidates_at_the_same_time_do_not_split_the_vote(self):
        settings = FAST_TAKEOVER_SETTINGS
        for seed in range(20):
            replicas = Replicas(settings)
            replicas.run(1.0)
            old = replicas.leader()
            followers = [name for name in NAMES if name != old.replica]
            for name in followers:
                # The same seed draws the same election timeouts.
                replicas.start(name, seed=seed)
            replicas.run(0.5)
            replicas.isolated.add(old.replica)
            replicas.run(settings.election_max_s + settings.rival_deferral_s)
            self.assertTrue(replicas.has_leader(followers), f"seed {seed}")

    def test_restarted_voter_grants_no_vote_while_the_lease_may_be_valid(self):
        replicas = Replicas()
        replicas.run(2.0)
        old = replicas.leader()
        followers = [n for n in NAMES if n != old.replica]
        lease_until_s = old.lease_until_s(replicas.now_s)
        replicas.isolated.add(old.replica)
        for name in followers:
            replicas.start(name, seed=9)
        while replicas.now_s < lease_until_s:
            replicas.run(0.01)
            for name in followers:
                self.assertIsNot(Role.LEADER, replicas.rafts[name].role)

    def test_two_staggered_restarts_elect_soon_after_the_second_may_vote(self):
        settings = RaftSettings()
        election_limit_s = settings.election_min_s + settings.prevote_max_s + 0.05
        late_seeds = []
        for seed in range(0, 60, 2):
            replicas = self.restart_two(seed)
            replicas.run(election_limit_s)
            if not replicas.has_leader(NAMES[:2]):
                late_seeds.append(seed)
            replicas.run(settings.retry_max_s + settings.prevote_max_s)
            self.assertTrue(replicas.has_leader(NAMES[:2]), f"seed {seed}")
        # Only seeds for which both become candidates at once and split the vote may
        # be late.
        self.assertLessEqual(len(late_seeds), 2, f"seeds {late_seeds}")

    def restart_two(self, seed):
        """Restarts two of three replicas, one 0.35 s after the other."""
        replicas = Replicas()
        replicas.run(2.0)
        replicas.isolated.update(NAMES)
        replicas.start(NAMES[0], seed=seed)
        replicas.run(0.35)
        replicas.start(NAMES[1], seed=seed + 1)
        replicas.isolated.difference_update(NAMES[:2])
        return replicas

    def test_inactive_time_before_a_restart_shortens_the_wait_to_vote(self):
        replicas = Replicas()
        replicas.run(2.0)
        for name in NAMES:
            replicas.start(name, seed=4, inactive_s=0.3)
        replicas.run(0.09)
        self.assertFalse(any(r.role is Role.LEADER for r in replicas.rafts.values()))
        replicas.run(0.55)
        self.assertTrue(any(r.role is Role.LEADER for r in replicas.rafts.values()))

    def test_leadership_is_transferred_at_once(self):
        replicas = Replicas()
        replicas.run(2.0)
        old = replicas.leader()
        self.assertTrue(old.transfer(replicas.now_s))
        self.assertLess(old.lease_until_s(replicas.now_s), replicas.now_s)
        replicas.run(0.05)
        new = replicas.leader()
        self.assertIsNot(old, new)
        self.assertGreater(new.lease_until_s(replicas.now_s), replicas.now_s)

    def test_leader_without_a_quorum_cannot_transfer_leadership(self):
        replicas = Replicas()
        replicas.run(2.0)
        old = replicas.leader()
        replicas.isolated.update(name for name in NAMES if name != old.replica)
        replicas.run(0.6)
        self.assertFalse(old.transfer(replicas.now_s))

    def test_resigning_leader_transfers_once_a_follower_is_heard_again(self):
        replicas = Replicas()
        replicas.run(2.0)
        old = replicas.leader()
        followers = [name for name in NAMES if name != old.replica]
        replicas.isolated.update(followers)
        replicas.run(0.5)
        old.resign(replicas.now_s)
        self.assertIs(Role.LEADER, old.role)
        replicas.isolated.clear()
        replicas.run(0.3)
        self.assertIn(replicas.leader().replica, followers)

    def test_resigning_leader_repeats_a_transfer_that_was_lost(self):
        replicas = Replicas()
        replicas.run(2.0)
        old = replicas.leader()
        replicas.isolated.add(old.replica)
        old.resign(replicas.now_s)
        replicas.exchange_messages()
        replicas.isolated.clear()
        replicas.run(0.35)
        self.assertIsNot(old, replicas.leader())


class PutConfigurationTest(unittest.TestCase):
    def test_highest_version_stays_in_force(self):
        state = LedgerState()
        state.apply(1, PutConfiguration(version=5, document=b"five"))
        outcome = state.apply(2, PutConfiguration(version=3, document=b"three"))
        self.assertEqual(5, outcome.version)
        self.assertEqual(b"five", state.put.document)

    def test_same_version_with_other_content_has_no_effect(self):
        state = LedgerState()
        state.apply(1, PutConfiguration(version=5, document=b"five"))
        state.apply(2, PutConfiguration(version=5, document=b"other"))
        self.assertEqual(b"five", state.put.document)

    def test_snapshot_contains_the_put_configuration(self):
        state = LedgerState()
        state.apply(1, PutConfiguration(version=5, document=b"five"))
        restored = LedgerState()
        restored.restore(state.encode())
        self.assertEqual(state.put, restored.put)
