"""Stateful fuzz test of two link sessions whose connections fail at any time."""

import collections

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from hawthornbarrow.links import CancelJobs, Hello, LinkSession, MessageReceived


class LinkMachine(RuleBasedStateMachine):
    """Checks that messages arrive once and in order unless the receiver restarts.

    A sender may drop messages that it queued before it learned of the receiver's
    restart. The received messages are therefore a suffix of the sent ones without
    gaps, and include at least those sent to the receiver's current incarnation.
    """

    steps = 0

    @initialize()
    def initialize_sessions(self):
        self.now_s = 0.0
        self.incarnation = 0
        self.sessions = {}
        self.sent = {"a": [], "b": []}
        self.received = {"a": [], "b": []}
        self.in_transit = {"a": collections.deque(), "b": collections.deque()}
        self.message_number = 0
        self.min_received = {"a": 0, "b": 0}
        for side in "ab":
            self.start_session(side)

    def start_session(self, side):
        self.incarnation += 1
        self.sessions[side] = LinkSession(
            process=side, role="entry", incarnation=self.incarnation
        )
        self.sent[side] = []
        self.min_received = {"a": 0, "b": 0}
        self.received[side] = []

    def peer_of(self, side):
        return "b" if side == "a" else "a"

    @rule(side=st.sampled_from("ab"), count=st.integers(1, 300))
    def send(self, side, count):
        type(self).steps += 1
        for _ in range(count):
            self.message_number += 1
            self.sessions[side].send(CancelJobs(jobs=[str(self.message_number)]))
            self.sent[side].append(str(self.message_number))
        peer = self.sessions[self.peer_of(side)]
        if self.sessions[side]._peer_incarnation == peer._incarnation:
            self.min_received[side] += count

    @rule(side=st.sampled_from("ab"), dt_ms=st.integers(1, 700))
    def flush(self, side, dt_ms):
        type(self).steps += 1
        self.now_s += dt_ms / 1000
        self.in_transit[side].extend(self.sessions[side].frames_due(self.now_s))

    @rule(side=st.sampled_from("ab"), count=st.integers(1, 5))
    def deliver(self, side, count):
        type(self).steps += 1
        for _ in range(min(count, len(self.in_transit[side]))):
            self.receive(self.peer_of(side), self.in_transit[side].popleft())

    def receive(self, side, frame):
        for event in self.sessions[side].receive(frame, self.now_s):
            if isinstance(event, MessageReceived):
                self.received[side] += event.message.jobs

    @rule()
    def reconnect(self):
        """Closes the connection, loses all frames in transit and opens a new one."""
        type(self).steps += 1
        for side in "ab":
            self.in_transit[side].clear()
            self.sessions[side].disconnect()
        hellos = {side: self.sessions[side].connect(self.now_s) for side in "ab"}
        for side in "ab":
            self.in_transit[side].append(hellos[side])

    @rule(side=st.sampled_from("ab"))
    def restart(self, side):
        type(self).steps += 1
        peer = self.peer_of(side)
        self.in_transit[side].clear()
        self.in_transit[peer].clear()
        self.sessions[peer].disconnect()
        self.start_session(side)
        self.received[peer] = []

    @rule(side=st.sampled_from("ab"))
    def reconnect_during_handshake(self, side):
        """Loses the Hello of one side, as in a broken handshake, and reconnects."""
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
            sent = self.sent[self.peer_of(side)]
            received = self.received[side]
            assert received == sent[len(sent) - len(received) :]
            assert len(received) >= self.min_received[self.peer_of(side)]
