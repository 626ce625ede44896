"""Stateful fuzzing of two link sessions over connections that fail at any moment."""

import collections

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from hawthornbarrow.links import CancelJobs, Hello, LinkSession, MessageReceived


class LinkMachine(RuleBasedStateMachine):
    """Each message arrives once and in order, unless its receiver restarted.

    A sender may drop what it queued before it learnt of the receiver's restart, so
    what arrives is an unbroken end of all that was sent, and holds at least what
    was sent to the receiver's present incarnation.
    """

    steps = 0

    @initialize()
    def begin(self):
        self.now_s = 0.0
        self.incarnation = 0
        self.sessions = {}
        self.sent = {"a": [], "b": []}
        self.received = {"a": [], "b": []}
        self.wire = {"a": collections.deque(), "b": collections.deque()}
        self.number = 0
        self.sure = {"a": 0, "b": 0}
        for side in "ab":
            self.start(side)

    def start(self, side):
        self.incarnation += 1
        self.sessions[side] = LinkSession(
            process=side, role="entry", incarnation=self.incarnation
        )
        self.sent[side] = []
        self.sure = {"a": 0, "b": 0}
        self.received[side] = []

    def other(self, side):
        return "b" if side == "a" else "a"

    @rule(side=st.sampled_from("ab"), count=st.integers(1, 300))
    def send(self, side, count):
        type(self).steps += 1
        for _ in range(count):
            self.number += 1
            self.sessions[side].send(CancelJobs(jobs=[str(self.number)]))
            self.sent[side].append(str(self.number))
        peer = self.sessions[self.other(side)]
        if self.sessions[side]._peer_incarnation == peer._incarnation:
            self.sure[side] += count

    @rule(side=st.sampled_from("ab"), dt_ms=st.integers(1, 700))
    def flush(self, side, dt_ms):
        type(self).steps += 1
        self.now_s += dt_ms / 1000
        self.wire[side].extend(self.sessions[side].frames_due(self.now_s))

    @rule(side=st.sampled_from("ab"), count=st.integers(1, 5))
    def deliver(self, side, count):
        type(self).steps += 1
        for _ in range(min(count, len(self.wire[side]))):
            self.take(self.other(side), self.wire[side].popleft())

    def take(self, side, frame):
        for event in self.sessions[side].receive(frame, self.now_s):
            if isinstance(event, MessageReceived):
                self.received[side] += event.message.jobs

    @rule()
    def reconnect(self):
        """Ends the connection with all that is on it, and opens a new one."""
        type(self).steps += 1
        for side in "ab":
            self.wire[side].clear()
            self.sessions[side].disconnect()
        hellos = {side: self.sessions[side].connect(self.now_s) for side in "ab"}
        for side in "ab":
            self.wire[side].append(hellos[side])

    @rule(side=st.sampled_from("ab"))
    def restart(self, side):
        type(self).steps += 1
        other = self.other(side)
        self.wire[side].clear()
        self.wire[other].clear()
        self.sessions[other].disconnect()
        self.start(side)
        self.received[other] = []

    @rule(side=st.sampled_from("ab"))
    def repeat_hello(self, side):
        """Loses a greeting half way: one side knows the other, not vice versa."""
        type(self).steps += 1
        hello = self.sessions[side].connect(self.now_s)
        assert isinstance(hello, Hello)
        self.reconnect()

    def teardown(self):
        if not hasattr(self, "sessions"):
            return
        steps = self.steps
        self.reconnect()
        for _ in range(200):
            for side in "ab":
                self.flush(side, 10)
                self.deliver(side, 5)
        type(self).steps = steps
        for side in "ab":
            sent = self.sent[self.other(side)]
            received = self.received[side]
            assert received == sent[len(sent) - len(received) :]
            assert len(received) >= self.sure[self.other(side)]
