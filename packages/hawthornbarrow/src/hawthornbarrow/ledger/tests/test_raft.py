import unittest

from hawthornbarrow.ledger import (
    ApplyConfiguration,
    Claim,
    Members,
    RegisterEntry,
    Role,
)
from hawthornbarrow.ledger.tests._cluster import Cluster, MemoryStorage


def claim(key: str) -> Claim:
    return Claim(
        member="m",
        key=key,
        digest=b"d",
        owner="e",
        incarnation=1,
        repeatable=False,
        task_count=1,
        body=b"",
        time_s=1.0,
    )


def configuration(request: str, expect: int, operator: str) -> ApplyConfiguration:
    return ApplyConfiguration(
        request=request,
        expect_version=expect,
        document=b"{}",
        operator=operator,
        time_s=1.0,
    )


def started_cluster(size: int = 3, seed: int = 7) -> Cluster:
    cluster = Cluster(size, seed)
    cluster.run(2.0)
    entry = RegisterEntry(name="e", incarnation=1, address="")
    cluster.propose(cluster.leader().name, entry)
    cluster.run(0.5)
    return cluster


class ElectionTest(unittest.TestCase):
    def test_one_leader_is_elected(self):
        for size in (1, 3, 5):
            cluster = started_cluster(size)
            roles = [node.raft.role for node in cluster.nodes.values()]
            self.assertEqual(roles.count(Role.LEADER), 1)

    def test_isolated_leader_steps_down_and_the_others_elect_another(self):
        cluster = started_cluster()
        old = cluster.leader()
        for other in cluster.names:
            cluster.cut |= {(old.name, other), (other, old.name)}
        cluster.run(2.0)
        self.assertIsNot(old.raft.role, Role.LEADER)
        self.assertFalse(old.raft.has_quorum_contact(cluster.now_s, 1.0))
        self.assertTrue(cluster.propose(cluster.leader().name, claim("k")))
        cluster.cut.clear()
        term = cluster.leader().raft.term
        cluster.run(2.0)
        self.assertEqual(
            cluster.leader().raft.term, term, "the returning replica starts no election"
        )
        cluster.check_nothing_lost()


class ReplicationTest(unittest.TestCase):
    def test_restart_after_hundreds_of_changes_catches_up_by_snapshot(self):
        cluster = started_cluster()
        leader = cluster.leader()
        crashed = next(name for name in cluster.names if name != leader.name)
        cluster.crash(crashed)
        for number in range(400):
            cluster.propose(leader.name, configuration(f"q{number}", number, "op"))
            cluster.run(0.05)
        cluster.snapshot(leader.name)
        self.assertGreater(leader.raft.log.base_index, 400)
        cluster.start(crashed)
        cluster.run(3.0)
        self.assertEqual(cluster.nodes[crashed].state.configuration.version, 400)
        cluster.check_nothing_lost()

    def test_restart_of_all_replicas_keeps_applied_commands(self):
        cluster = started_cluster()
        for number in range(20):
            cluster.propose(cluster.leader().name, claim(f"k{number}"))
            cluster.run(0.1)
        for name in cluster.names:
            cluster.crash(name, before_sync=True)
        for name in cluster.names:
            cluster.start(name)
        cluster.run(3.0)
        cluster.check_nothing_lost()
        self.assertEqual(cluster.leader().state.claim_count, 20)


class ReplacementTest(unittest.TestCase):
    def cluster_with_wiped_disk(self):
        cluster = started_cluster()
        lost = next(n for n in cluster.names if n != cluster.leader().name)
        cluster.propose(cluster.leader().name, claim("before"))
        cluster.run(0.5)
        fresh = cluster.wipe(lost)
        cluster.run(2.0)
        return cluster, lost, fresh

    def test_second_disk_loss_after_a_replacement_loses_no_claims(self):
        cluster, lost, fresh = self.cluster_with_wiped_disk()
        self.assertEqual(cluster.replace(lost, fresh), "")
        cluster.run(2.0)
        members = cluster.leader().raft.log.members
        self.assertIn(fresh, members.voters)
        self.assertNotIn(lost, members.voters)
        second = next(n for n in members.voters if n != fresh)
        cluster.wipe(second)
        cluster.run(3.0)
        self.assertEqual(cluster.leader().state.claim_count, 1)
        self.assertTrue(cluster.propose(cluster.leader().name, claim("after")))

    def test_replica_with_a_wiped_disk_neither_votes_nor_counts(self):
        cluster, lost, fresh = self.cluster_with_wiped_disk()
        leader = cluster.leader().name
        other = next(n for n in cluster.names if n not in (leader, lost))
        cluster.crash(other)
        cluster.run(3.0)
        self.assertIsNone(cluster.leader(), "one of three voters is not a quorum")
        self.assertIs(cluster.nodes[fresh].raft.role, Role.FOLLOWER)

    def test_lagging_learner_does_not_become_a_voter(self):
        cluster, lost, fresh = self.cluster_with_wiped_disk()
        leader = cluster.leader().name
        cluster.cut |= {(leader, fresh), (fresh, leader)}
        self.assertEqual(cluster.replace(lost, fresh), "")
        cluster.run(2.0)
        self.assertNotIn(fresh, cluster.leader().raft.log.members.voters)

    def test_learner_does_not_count_towards_a_quorum(self):
        cluster, lost, fresh = self.cluster_with_wiped_disk()
        leader = cluster.leader()
        other = next(n for n in cluster.names if n not in (leader.name, lost))
        self.assertEqual(cluster.replace(lost, fresh), "")
        cluster.cut |= {(leader.name, other), (other, leader.name)}
        claims = leader.state.claim_count
        self.assertTrue(cluster.propose(leader.name, claim("k")))
        cluster.run(0.4)
        self.assertGreaterEqual(
            leader.raft.replication.match_index_of(fresh), leader.raft.log.last_index
        )
        self.assertEqual(leader.state.claim_count, claims)

    def test_new_replica_catches_up_by_snapshot_at_short_ticks(self):
        cluster, lost, fresh = self.cluster_with_wiped_disk()
        cluster.snapshot(cluster.leader().name)
        self.assertEqual(cluster.replace(lost, fresh), "")
        cluster.run(2.0, step_s=0.02)
        self.assertIn(fresh, cluster.leader().raft.log.members.voters)

    def test_single_voter_ledger_grows_and_survives_the_loss_of_the_first_voter(self):
        cluster = Cluster(size=1, seed=11)
        cluster.run(1.0)
        first = cluster.leader().name
        entry = RegisterEntry(name="e", incarnation=1, address="")
        cluster.propose(first, entry)
        cluster.propose(first, claim("before"))
        for name in ("x.1", "y.1"):
            cluster.disks[name] = MemoryStorage(Members(voters=()))
            cluster.names.append(name)
            cluster.start(name)
            self.assertEqual(cluster.leader().raft.add(name, cluster.now_s), "")
            cluster.run(1.0)
        self.assertEqual(
            (first, "x.1", "y.1"), cluster.leader().raft.log.members.voters
        )
        cluster.wipe(first)
        cluster.run(3.0)
        self.assertEqual(cluster.leader().state.claim_count, 1)
        self.assertTrue(cluster.propose(cluster.leader().name, claim("after")))

    def test_change_whose_learner_is_lost_is_aborted(self):
        cluster, lost, fresh = self.cluster_with_wiped_disk()
        cluster.crash(fresh)
        self.assertEqual(cluster.replace(lost, fresh), "")
        cluster.run(1.0)
        leader = cluster.leader().raft
        self.assertEqual((fresh,), leader.log.members.learners)
        self.assertEqual("", leader.drop_learner())
        cluster.run(0.5)
        self.assertEqual((), leader.log.members.learners)
        second_fresh = cluster.wipe(fresh)
        cluster.run(1.0)
        old = next(n for n in leader.log.members.voters if n not in cluster.nodes)
        self.assertEqual("", cluster.replace(old, second_fresh))

    def test_voter_that_is_stopping_is_replaced_while_it_is_alive(self):
        """Guards against a second loss before a stopped voter has a successor."""
        cluster = started_cluster()
        cluster.propose(cluster.leader().name, claim("before"))
        leader = cluster.leader().name
        old, second = [name for name in cluster.names if name != leader]
        cluster.add_spare("z.1")
        self.assertEqual("", cluster.replace(old, "z.1", is_stopping=True))
        cluster.run(1.0)
        members = cluster.leader().raft.log.members
        self.assertEqual({leader, second, "z.1"}, set(members.voters))
        cluster.crash(old)
        cluster.wipe(second)
        cluster.run(3.0)
        self.assertEqual(cluster.leader().state.claim_count, 1)
        self.assertTrue(cluster.propose(cluster.leader().name, claim("after")))

    def test_unsafe_replacements_are_refused_with_a_reason(self):
        cluster = started_cluster()
        leader = cluster.leader().name
        other = next(n for n in cluster.names if n != leader)
        self.assertIn("alive", cluster.replace(other, "x.1"))
        self.assertIn("not a voter", cluster.replace("y.1", "x.1"))
        self.assertIn("voter already", cluster.replace(other, leader))


class ConcurrentOperatorsTest(unittest.TestCase):
    def test_concurrent_operators_have_one_winner_and_resends_have_no_effect(self):
        cluster = started_cluster()
        for round_number in range(5):
            version = round_number
            leader = cluster.leader()
            for operator in range(50):
                request = f"{round_number}-{operator}"
                command = configuration(request, version, f"op{operator}")
                cluster.propose(leader.name, command)
                cluster.propose(leader.name, command)
            cluster.run(0.5)
            self.assertEqual(leader.state.configuration.version, version + 1)
        histories = {
            tuple((v.version, v.operator) for v in node.state.versions)
            for node in cluster.nodes.values()
        }
        self.assertEqual(len(histories), 1)


if __name__ == "__main__":
    unittest.main()
