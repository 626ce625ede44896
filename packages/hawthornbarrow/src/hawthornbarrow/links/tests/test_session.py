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
