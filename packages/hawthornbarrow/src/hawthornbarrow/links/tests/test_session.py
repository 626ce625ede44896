import unittest

from hypothesis import Phase, settings

from hawthornbarrow.links import (
    CancelJobs,
    Codec,
    Frame,
    LinkAuthenticationError,
    LinkProtocolError,
    LinkSession,
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


def codec(key=b"k", is_dialer=True, nonce=b"n"):
    return Codec(
        cluster_key=key, dialer_nonce=nonce, acceptor_nonce=b"m", is_dialer=is_dialer
    )


class SilenceTest(unittest.TestCase):
    def test_a_connection_that_goes_silent_is_closed_in_time(self):
        session = LinkSession(process="a", role="entry", incarnation=1)
        session.connect(10.0)
        self.assertFalse(session.is_silent(12.9))
        self.assertTrue(session.is_silent(13.1))


class CodecTest(unittest.TestCase):
    frame = Frame(
        first=1,
        received=0,
        sent_at_s=1.0,
        heard_at_s=0.5,
        messages=[CancelJobs(jobs=["j"])],
    )

    def test_round_trip(self):
        data = codec().encode(self.frame)
        self.assertEqual(codec(is_dialer=False).decode(data), self.frame)

    def test_another_key_or_connection_or_direction_is_refused(self):
        data = codec().encode(self.frame)
        for other in (
            codec(key=b"x", is_dialer=False),
            codec(nonce=b"other", is_dialer=False),
            codec(is_dialer=True),
        ):
            with self.assertRaises(LinkAuthenticationError):
                other.decode(data)

    def test_another_version_is_refused(self):
        data = codec().encode(self.frame)
        with self.assertRaises(LinkProtocolError):
            codec(is_dialer=False).decode(b"\x09" + data[1:])


if __name__ == "__main__":
    unittest.main()
