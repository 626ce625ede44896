"""Tests of a leader and a standby that dispatch on either side of a partition."""

import math
import unittest

from hawthornbarrow.cells import HandoverComplete

from hawthornbarrow_entry.fleet.tests._split_simulation import VOTERS, SplitSimulation

WARM_UP_S = 3.0
CUT_S = 5.5
# With these, a link delivers a submission after a partition, to another term.
LATE_SUBMISSION_SEEDS = (33, 99, 140)
MIN_SERVED_SHARE = 0.25  # of either side, while it has a part of the agents


def _start(seed):
    simulation = SplitSimulation(seed=seed)
    simulation.run(WARM_UP_S)
    simulation.arrives_at_s = simulation.now_s
    simulation.run(2.0)
    return simulation


def cut_at_random(simulation):
    """Cuts some machines off for a while; entries may be killed beside that."""
    generator = simulation.generator
    far_voters = generator.choices([0, 1, 2], weights=[2, 3, 1])[0]
    others = [name for name in simulation.entries if name not in VOTERS]
    far = generator.sample(VOTERS, far_voters)
    far += generator.sample(others, generator.randint(1, len(others)))
    far += generator.sample(list(simulation.agents), generator.randint(2, 6))
    names = [*simulation.entries, *simulation.agents]
    near = [name for name in names if name not in far]
    if generator.random() < 0.6:
        near = [name for name in near if name in VOTERS]
    for_s = generator.uniform(0.5, 6.0)
    for name in far:
        simulation.cut([name], near, for_s + generator.choice([0.0, 0.0, 0.5, 1.5]))
    if generator.random() < 0.3:
        simulation.run(generator.uniform(0.0, 2.0))
        name = generator.choice(list(simulation.entries))
        simulation.kill_entry(name, generator.uniform(0.2, 2.0))
    simulation.run(generator.uniform(2.0, 8.0))


class SplitDispatchTest(unittest.TestCase):
    """Tests with seven agents and five entries, three of them voters."""

    def test_no_task_runs_twice_while_two_dispatchers_are_at_work(self):
        """Guards against a standby that starts what the leader has at work."""
        for seed in range(6):
            with self.subTest(seed=seed):
                simulation = _start(seed)
                near, far = ["e0", "e1"], ["e2", "e3", "e4"]
                for name in [*far, "a0", "a1", "a2", "a3"]:
                    for_s = CUT_S + simulation.generator.choice([0.0, 0.5])
                    simulation.cut([name], near, for_s)
                cut_at_s = simulation.now_s
                simulation.run(CUT_S)
                # Agents that serve the standby are not retired by the leader.
                self.assertEqual(
                    set(simulation.agents), set(simulation.ledger_state.agents)
                )
                simulation.run(12.0)
                simulation.check_refusals()
                for entries in (near, far):
                    share = simulation.served_share(
                        cut_at_s + 2.0, cut_at_s + CUT_S - 1.0, entries
                    )
                    self.assertGreater(share, MIN_SERVED_SHARE)

    def test_released_job_resumes_once_its_entry_tells_whom_it_follows(self):
        """Guards against a run that resumes beside that of a standby after a cut."""
        simulation = _start(3)
        near, far = ["e0", "e1"], ["e2", "e3", "e4"]
        for name in [*far, "a0", "a1", "a2", "a3"]:
            simulation.cut([name], near, CUT_S)
        simulation.arrives_at_s = math.inf
        simulation.run(2.5)
        leader = simulation.entries[simulation.leader]
        dispatcher = leader.role.dispatcher
        released = [
            record
            for record in dispatcher.jobs.values()
            if record.entries & set(far) and not record.state.is_final
        ]
        self.assertTrue(released)
        now_s = simulation.now_s

        def is_resumed(*, heartbeat_age_s=None):
            """Returns whether jobs run again after frames of their entries."""
            nonlocal now_s
            # The leader's lease is not renewed meanwhile.
            for _ in range(2):
                now_s += 0.055
                for agent in ("a4", "a5", "a6"):
                    leader.receive(agent, None, now_s, now_s)
                for name in far:
                    told = None
                    if heartbeat_age_s is not None:
                        told = HandoverComplete(
                            term=dispatcher.term, heartbeat_at_s=now_s - heartbeat_age_s
                        )
                    leader.receive(name, told, now_s, now_s)
                leader.step(now_s)
            return any(record.running_count for record in released)

        self.assertFalse(any(record.running_count for record in released))
        self.assertFalse(is_resumed())
        self.assertFalse(is_resumed(heartbeat_age_s=1.0))
        self.assertTrue(is_resumed(heartbeat_age_s=0.0))

    def test_jobs_of_a_former_process_of_an_entry_have_no_entry(self):
        """Guards against runs that go on for callers whose connections broke."""
        simulation = _start(0)
        leader = simulation.entries[simulation.leader]
        name = next(name for name in simulation.entries if name != leader.name)

        def count_jobs():
            jobs = leader.role.dispatcher.jobs.values()
            return sum(name in record.entries for record in jobs)

        def link(process):
            now_s = simulation.now_s
            leader.role.on_peer_up(name, is_restarted=True, process=process)
            leader.role.on_entry_up(name, is_restarted=True, now_s=now_s)

        before = count_jobs()
        self.assertGreater(before, 0)
        link(simulation.entries[name].process)
        self.assertEqual(before, count_jobs())
        link(99)
        self.assertEqual(0, count_jobs())

    def test_no_task_runs_twice_under_random_cuts(self):
        """Guards against any overlap of two dispatchers, whatever links are cut."""
        for seed in (*LATE_SUBMISSION_SEEDS, *range(100, 105)):
            with self.subTest(seed=seed):
                simulation = _start(seed)
                for _ in range(3):
                    cut_at_random(simulation)
                simulation.run(12.0)
                simulation.check_refusals()


if __name__ == "__main__":
    unittest.main()
