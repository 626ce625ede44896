import unittest

from hawthornbarrow.upstreams import CallOutcome, classify_call


class CallPolicyTest(unittest.TestCase):
    def test_every_outcome_is_classified(self):
        for outcome in CallOutcome:
            classify_call(outcome)

    def test_only_failures_before_sending_and_declined_calls_are_not_started(self):
        never_started = {
            outcome for outcome in CallOutcome if not classify_call(outcome).started
        }
        self.assertEqual(
            never_started,
            {CallOutcome.REFUSED, CallOutcome.RESET_BEFORE_SENT, CallOutcome.DECLINED},
        )

    def test_incomplete_answer_is_neither_completed_nor_known(self):
        for outcome in (
            CallOutcome.TRUNCATED,
            CallOutcome.MALFORMED_ANSWER,
            CallOutcome.RESET_AFTER_SENT,
        ):
            classification = classify_call(outcome)
            self.assertFalse(classification.completed or classification.known)


if __name__ == "__main__":
    unittest.main()
