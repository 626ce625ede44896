"""Tests of elections by voters that have all restarted."""

import dataclasses
import random
import unittest

from hawthornbarrow.ledger import FAST_TAKEOVER_SETTINGS, RaftSettings, Role
from hawthornbarrow.ledger.tests.test_lease import NAMES, Replicas

SETTINGS = RaftSettings(has_restart_elections=True)
FAST_SETTINGS = dataclasses.replace(FAST_TAKEOVER_SETTINGS, has_restart_elections=True)


def led_by_a_later_voter():
    """Returns replicas whose leader is not the voter that asks after a restart."""
    replicas = Replicas(SETTINGS)
    replicas.run(2.0)
    if replicas.leader().replica == min(NAMES):
        replicas.leader().transfer(replicas.now_s)
        replicas.run(0.1)
    return replicas


def restart_all(replicas, seed):
    for index, name in enumerate(NAMES):
        replicas.start(name, seed=seed + index)


class RestartElectionTest(unittest.TestCase):
    def test_restarted_voters_do_not_wait_for_a_lease_that_nobody_holds(self):
        for seed in range(20):
            replicas = Replicas(SETTINGS)
            replicas.run(2.0)
            restart_all(replicas, seed)
            replicas.run(2 * SETTINGS.restart_poll_s)
            self.assertTrue(replicas.has_leader(NAMES), f"seed {seed}")

    def test_live_leader_keeps_its_lease_while_the_other_voters_restart(self):
        for seed in range(20):
            replicas = led_by_a_later_voter()
            leader = replicas.leader()
            others = [name for name in NAMES if name != leader.replica]
            replicas.isolated.add(leader.replica)
            for name in others:
                replicas.start(name, seed=seed)
            while leader.lease_until_s(replicas.now_s) > replicas.now_s:
                self.assertFalse(replicas.has_leader(others), f"seed {seed}")
                replicas.run(0.01)

    def test_voter_that_restarts_alone_does_not_disturb_the_leader(self):
        replicas = Replicas(SETTINGS)
        replicas.run(2.0)
        leader = replicas.leader()
        name = min(name for name in NAMES if name != leader.replica)
        replicas.start(name, seed=7)
        replicas.run(1.0)
        self.assertIs(leader, replicas.leader())
        self.assertIs(Role.LEADER, leader.role)

    def test_without_one_voter_the_others_elect_after_the_lease(self):
        for missing in NAMES:
            replicas = Replicas(SETTINGS)
            replicas.run(2.0)
            replicas.isolated.add(missing)
            restart_all(replicas, seed=3)
            present = [name for name in NAMES if name != missing]
            replicas.run(0.3)
            self.assertFalse(replicas.has_leader(present))
            replicas.run(1.5)
            self.assertTrue(replicas.has_leader(present), missing)

    def test_no_two_replicas_hold_a_lease_under_restarts_and_partitions(self):
        for seed in range(60):
            generator = random.Random(seed)
            replicas = Replicas(FAST_SETTINGS if seed % 2 else SETTINGS)
            replicas.run(1.0)
            for _ in range(60):
                self.disturb(replicas, generator)
                for _ in range(generator.randrange(1, 20)):
                    replicas.run(0.01)
                    holders = [
                        raft.replica
                        for raft in replicas.rafts.values()
                        if raft.lease_until_s(replicas.now_s) > replicas.now_s
                    ]
                    self.assertLessEqual(len(holders), 1, f"seed {seed}")

    def disturb(self, replicas, generator):
        """Restarts or isolates replicas, ends isolation, or transfers leadership."""
        match generator.randrange(6):
            case 0:
                restart_all(replicas, generator.randrange(1000))
            case 1:
                name = generator.choice(NAMES)
                replicas.start(name, seed=generator.randrange(1000))
            case 2:
                replicas.isolated.add(generator.choice(NAMES))
            case 3 if replicas.has_leader(NAMES):
                replicas.leader().transfer(replicas.now_s)
            case 4 if replicas.has_leader(NAMES):
                leader = replicas.leader().replica
                replicas.isolated.add(leader)
                for name in sorted(set(NAMES) - {leader}):
                    replicas.start(name, seed=generator.randrange(1000))
            case _:
                replicas.isolated.clear()


if __name__ == "__main__":
    unittest.main()
