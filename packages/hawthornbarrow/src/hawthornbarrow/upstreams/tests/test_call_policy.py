import unittest

from hawthornbarrow.upstreams import CallEnd, judge_call


class CallPolicyTest(unittest.TestCase):
    def test_every_end_has_a_verdict(self):
        for end in CallEnd:
            judge_call(end)

    def test_only_what_can_not_have_started_says_so(self):
        never_started = {end for end in CallEnd if not judge_call(end).started}
        self.assertEqual(
            never_started,
            {CallEnd.REFUSED, CallEnd.RESET_BEFORE_SENT, CallEnd.DECLINED},
        )

    def test_a_cut_answer_is_neither_complete_nor_known(self):
        for end in (CallEnd.TRUNCATED, CallEnd.GARBAGE, CallEnd.RESET_AFTER_SENT):
            verdict = judge_call(end)
            self.assertFalse(verdict.completed or verdict.known)


if __name__ == "__main__":
    unittest.main()
