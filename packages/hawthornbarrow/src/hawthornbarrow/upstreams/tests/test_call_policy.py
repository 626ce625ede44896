import unittest

from hawthornbarrow.upstreams import CallOutcome, classify_call


class CallPolicyTest(unittest.TestCase):
    def test_every_end_has_a_verdict(self):
        for end in CallOutcome:
            classify_call(end)

    def test_only_what_can_not_have_started_says_so(self):
        never_started = {end for end in CallOutcome if not classify_call(end).started}
        self.assertEqual(
            never_started,
            {CallOutcome.REFUSED, CallOutcome.RESET_BEFORE_SENT, CallOutcome.DECLINED},
        )

    def test_a_cut_answer_is_neither_complete_nor_known(self):
        for end in (
            CallOutcome.TRUNCATED,
            CallOutcome.MALFORMED_ANSWER,
            CallOutcome.RESET_AFTER_SENT,
        ):
            verdict = classify_call(end)
            self.assertFalse(verdict.completed or verdict.known)


if __name__ == "__main__":
    unittest.main()
