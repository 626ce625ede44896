import unittest

import msgspec
from hypothesis import Phase, settings

from hawthornbarrow.links import (
    CancelJobs,
    Codec,
    Frame,
    LinkAuthenticationError,
    LinkProtocolError,
    LinkSession,
    MessageReceived,
)
from hawthornbarrow.links.tests._machine import LinkMachine

LinkFuzzTest = LinkMachine.TestCase
LinkFuzzTest.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
)


def new_codec(key=b"k", is_dialer=True, nonce=b"n"):
    return Codec(
        cluster_key=key, dialer_nonce=nonce, acceptor_nonce=b"m", is_dialer=is_dialer
    )


class SilenceTimeoutTest(unittest.TestCase):
    def test_connection_is_silent_after_the_silence_timeout(self):
        session = LinkSession(process="a", role="entry", incarnation=1)
        session.connect(10.0)
        self.assertFalse(session.is_silent(12.9))
        self.assertTrue(session.is_silent(13.1))


class SlowFrameTest(unittest.TestCase):
    def test_connection_on_which_a_frame_is_arriving_is_not_silent(self):
        session = LinkSession(process="a", role="entry", incarnation=1)
        session.connect(10.0)
        for at_s in (11.0, 12.0, 13.0, 14.0):
            session.record_bytes(at_s)
            self.assertFalse(session.is_silent(at_s + 0.9))
        self.assertTrue(session.is_silent(17.1))

    def test_bytes_of_a_former_connection_do_not_count(self):
        session = LinkSession(process="a", role="entry", incarnation=1)
        session.connect(10.0)
        session.disconnect()
        session.record_bytes(15.0)
        session.connect(11.0)
        self.assertTrue(session.is_silent(14.1))


class IdleLinkTest(unittest.TestCase):
    """Tests of two sessions that slow down while their link carries no messages."""

    def setUp(self):
        self.first = self.make_session("a", idle_interval_s=2.0)
        self.second = self.make_session("b", idle_interval_s=2.0)

    def make_session(self, name, *, idle_interval_s):
        return LinkSession(
            process=name,
            role="entry",
            incarnation=ord(name),
            heartbeat_interval_s=0.5,
            silence_timeout_s=1.5,
            idle_interval_s=idle_interval_s,
        )

    def connect(self):
        hellos = self.first.connect(0.0), self.second.connect(0.0)
        self.first.receive(hellos[1], 0.0)
        self.second.receive(hellos[0], 0.0)

    def play(self, from_s, until_s, *, frozen=None):
        """Returns how many frames each side sends, in steps of 0.1 s."""
        counts = {"a": 0, "b": 0}
        pairs = ((self.first, self.second, "a"), (self.second, self.first, "b"))
        for step in range(round(from_s * 10), round(until_s * 10)):
            now_s = step / 10
            for sender, receiver, name in pairs:
                self.assertFalse(receiver.is_silent(now_s) and name != frozen)
                if name == frozen:
                    continue
                for frame in sender.frames_due(now_s):
                    receiver.receive(frame, now_s)
                    counts[name] += 1
        return counts

    def test_idle_link_sends_a_heartbeat_every_two_seconds(self):
        self.connect()
        self.play(0.0, 4.0)
        self.assertEqual({"a": 10, "b": 10}, self.play(4.0, 24.0))

    def test_message_makes_the_link_active_again(self):
        self.connect()
        self.play(0.0, 10.0)
        self.first.send(CancelJobs(jobs=["j"]))
        counts = self.play(10.0, 12.0)
        self.assertGreaterEqual(counts["a"], 4)
        self.assertGreaterEqual(counts["b"], 4)

    def test_peer_that_stops_is_noticed_within_three_announced_intervals(self):
        self.connect()
        self.play(0.0, 1.0, frozen=None)
        self.play(1.0, 4.0, frozen="b")
        self.assertTrue(self.first.is_silent(3.0))
        self.setUp()
        self.connect()
        self.play(0.0, 10.0)
        self.play(10.0, 17.0, frozen="b")
        self.assertTrue(self.first.is_silent(16.1))
        self.assertFalse(self.first.is_silent(13.0))

    def test_peer_of_a_version_without_announcements_gets_all_heartbeats(self):
        self.connect()
        self.second.frames_due = lambda now_s: []
        old_frame = Frame(
            first=0, received=0, sent_at_s=0.0, heard_at_s=0.0, messages=[]
        )
        sent = 0
        for step in range(200):
            self.first.receive(old_frame, step / 10)
            sent += len(self.first.frames_due(step / 10))
        self.assertGreaterEqual(sent, 39)


class DropUnacknowledgedTest(unittest.TestCase):
    """Tests that dropped messages do not affect messages that are queued later."""

    def setUp(self):
        self.sender = LinkSession(process="a", role="entry", incarnation=1)
        self.receiver = LinkSession(process="b", role="agent", incarnation=2)
        self.connect()

    def connect(self):
        sender_hello = self.sender.connect(0.0)
        receiver_hello = self.receiver.connect(0.0)
        self.sender.receive(receiver_hello, 0.0)
        self.receiver.receive(sender_hello, 0.0)

    def deliver(self):
        """Returns the jobs of the cancellations that the receiver takes."""
        return [
            event.message.jobs[0]
            for frame in self.sender.frames_due(0.0)
            for event in self.receiver.receive(frame, 0.0)
            if isinstance(event, MessageReceived)
        ]

    def test_message_queued_after_drop_on_lost_link_arrives(self):
        for received_count in (0, 1, 2):
            with self.subTest(received_count=received_count):
                self.setUp()
                for number in range(received_count):
                    self.sender.send(CancelJobs(jobs=[f"received-{number}"]))
                    self.deliver()
                self.sender.disconnect()
                self.receiver.disconnect()
                self.sender.send(CancelJobs(jobs=["dropped"]))
                self.sender.drop_unacknowledged()
                self.sender.send(CancelJobs(jobs=["later"]))
                self.connect()
                self.assertEqual(["later"], self.deliver())

    def test_drop_on_connected_link_keeps_the_order_of_later_messages(self):
        self.sender.send(CancelJobs(jobs=["sent"]))
        self.assertEqual(["sent"], self.deliver())
        self.sender.send(CancelJobs(jobs=["dropped"]))
        self.sender.drop_unacknowledged()
        self.sender.send(CancelJobs(jobs=["later"]))
        self.assertEqual(["later"], self.deliver())


class _FrameBefore(msgspec.Struct, array_like=True, tag="Frame"):
    """Frame of the version before, without the time of the next frame."""

    first: int
    received: int
    sent_at_s: float
    heard_at_s: float
    messages: list


class MixedVersionTest(unittest.TestCase):
    """Tests that frames are read by processes of the version before, and theirs."""

    def test_frame_is_read_by_the_version_before(self):
        frame = Frame(
            first=3,
            received=2,
            sent_at_s=1.0,
            heard_at_s=0.5,
            messages=[],
            next_within_s=2.0,
        )
        data = msgspec.msgpack.encode(frame)
        before = msgspec.msgpack.decode(data, type=_FrameBefore)
        self.assertEqual((3, 2), (before.first, before.received))

    def test_frame_of_the_version_before_announces_nothing(self):
        before = _FrameBefore(
            first=3, received=2, sent_at_s=1.0, heard_at_s=0.5, messages=[]
        )
        data = msgspec.msgpack.encode(before)
        self.assertEqual(0.0, msgspec.msgpack.decode(data, type=Frame).next_within_s)


class CodecTest(unittest.TestCase):
    frame = Frame(
        first=1,
        received=0,
        sent_at_s=1.0,
        heard_at_s=0.5,
        messages=[CancelJobs(jobs=["j"])],
    )

    def test_decode_returns_the_encoded_frame(self):
        data = new_codec().encode(self.frame)
        self.assertEqual(new_codec(is_dialer=False).decode(data), self.frame)

    def test_frame_with_another_key_nonce_or_direction_is_refused(self):
        data = new_codec().encode(self.frame)
        for other in (
            new_codec(key=b"x", is_dialer=False),
            new_codec(nonce=b"other", is_dialer=False),
            new_codec(is_dialer=True),
        ):
            with self.assertRaises(LinkAuthenticationError):
                other.decode(data)

    def test_frame_with_another_protocol_version_is_refused(self):
        data = new_codec().encode(self.frame)
        with self.assertRaises(LinkProtocolError):
            new_codec(is_dialer=False).decode(b"\x09" + data[1:])


if __name__ == "__main__":
    unittest.main()
