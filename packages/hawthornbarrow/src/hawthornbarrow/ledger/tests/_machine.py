"""Stateful fuzzing of the replicated log against the oracle in Cluster.

Hypothesis seeds the derandomized test with a digest of the source of ClusterMachine
without its comments, and orders the rules by name. Renaming something in the class or
changing a string in it therefore replaces the tested examples.
"""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from hawthornbarrow.ledger import ApplyConfiguration, Claim, RegisterEntry
from hawthornbarrow.ledger.tests._cluster import Cluster, ViolationError

_PICK = st.integers(0, 10_000)


class ClusterMachine(RuleBasedStateMachine):
    """Faults of network, processes, disks and operators in any order."""

    skip_sync = False
    steps = 0

    @initialize(size=st.sampled_from([1, 3, 5]), seed=st.integers(0, 2**32))
    def begin(self, size, seed):
        self.cluster = Cluster(size, seed, skip_sync=self.skip_sync)
        self.cluster.run(1.5)
        self.operators = 0
        self.keys = 0
        register = RegisterEntry(name="e", incarnation=1, address="")
        self.cluster.propose(self.cluster.leader().name, register)

    def node(self, pick):
        names = sorted(self.cluster.nodes)
        return names[pick % len(names)]

    @rule(dt_ms=st.integers(1, 400))
    def tick(self, dt_ms):
        type(self).steps += 1
        self.cluster.tick(dt_ms / 1000)

    @rule(pick=_PICK, count=st.integers(1, 20))
    def deliver(self, pick, count):
        type(self).steps += 1
        for _ in range(count):
            self.cluster.deliver(pick)

    @rule(pick=_PICK)
    def duplicate(self, pick):
        type(self).steps += 1
        self.cluster.deliver(pick, duplicate=True)

    @rule(pick=_PICK)
    def lose_message(self, pick):
        type(self).steps += 1
        if self.cluster.messages:
            del self.cluster.messages[pick % len(self.cluster.messages)]

    @rule(duration_ms=st.integers(50, 1500))
    def run_without_faults(self, duration_ms):
        type(self).steps += 1
        self.cluster.run(duration_ms / 1000)

    @rule(a=_PICK, b=_PICK, both=st.booleans())
    def cut(self, a, b, both):
        type(self).steps += 1
        names = sorted(self.cluster.disks)
        first, second = names[a % len(names)], names[b % len(names)]
        self.cluster.cut.add((first, second))
        if both:
            self.cluster.cut.add((second, first))

    @rule()
    def heal(self):
        type(self).steps += 1
        self.cluster.cut.clear()

    @precondition(lambda self: len(self.cluster.nodes) > 0)
    @rule(pick=_PICK, before_sync=st.booleans())
    def crash(self, pick, before_sync):
        type(self).steps += 1
        self.cluster.crash(self.node(pick), before_sync=before_sync)

    @precondition(lambda self: len(self.cluster.nodes) > 0)
    @rule(pick=_PICK, keeps_term=st.booleans())
    def fail_write(self, pick, keeps_term):
        type(self).steps += 1
        self.cluster.fail_write(self.node(pick), keeps_term=keeps_term)

    @rule()
    def restart_all(self):
        type(self).steps += 1
        for name in sorted(self.cluster.disks):
            if name not in self.cluster.nodes:
                self.cluster.start(name)

    @precondition(lambda self: self.cluster.nodes)
    @rule(pick=_PICK)
    def claim(self, pick):
        type(self).steps += 1
        self.keys += 1
        command = Claim(
            member="m",
            key=f"k{self.keys}",
            digest=b"d",
            owner="e",
            incarnation=1,
            repeatable=False,
            task_count=1,
            body=b"",
            time_s=self.cluster.now_s,
        )
        self.cluster.propose(self.node(pick), command)

    @precondition(lambda self: self.cluster.nodes)
    @rule(pick=_PICK, lag=st.integers(0, 1), resend=st.booleans())
    def operate(self, pick, lag, resend):
        type(self).steps += 1
        node = self.cluster.nodes[self.node(pick)]
        current = node.state.configuration
        self.operators += 0 if resend else 1
        command = ApplyConfiguration(
            request=f"q{self.operators}",
            expect_version=(current.version if current else 0) - lag,
            document=b"{}",
            operator=f"o{self.operators}",
            time_s=self.cluster.now_s,
        )
        self.cluster.propose(node.name, command)

    @precondition(lambda self: self.cluster.nodes)
    @rule(pick=_PICK)
    def snapshot(self, pick):
        type(self).steps += 1
        self.cluster.snapshot(self.node(pick))

    @precondition(lambda self: len(self.cluster.names) > 1)
    @rule(pick=_PICK, settle=st.booleans())
    def lose_disk_and_replace(self, pick, settle):
        """Loses one voter's disk; the repair must end before the next loss.

        Without settling, the faults of the next rules fall into the repair.
        """
        type(self).steps += 1
        self.recover()
        leader = self.cluster.leader()
        members = leader.raft.log.members
        if members.learners:
            raise ViolationError("a replacement never ended")
        lost = members.voters[pick % len(members.voters)]
        fresh = self.cluster.wipe(lost)
        self.cluster.run(2.5)
        self.cluster.run_until_led()
        reason = self.cluster.replace(lost, fresh)
        if "alive" in reason:
            # A new leader counts every replica as heard for one election timeout, so
            # it still considers the lost replica alive.
            self.cluster.run(1.0)
            reason = self.cluster.replace(lost, fresh)
        if reason:
            raise ViolationError(f"replacement refused without need: {reason}")
        if settle:
            self.cluster.run(2.5)

    def recover(self):
        self.cluster.cut.clear()
        self.restart_all()
        self.cluster.run(4.0)
        self.cluster.run_until_led()
        if self.cluster.leader() is None:
            raise ViolationError("no leader without faults")
        if self.cluster.leader().raft.log.members.learners:
            self.cluster.run(4.0)
        self.cluster.repair_voters()

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.recover()
        self.cluster.check_nothing_lost()
        versions = self.cluster.leader().state.versions
        if [v.version for v in versions] != list(range(1, len(versions) + 1)):
            raise ViolationError("configuration versions have gaps or repeats")
