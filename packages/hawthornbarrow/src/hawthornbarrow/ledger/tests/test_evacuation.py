"""Tests of the evacuated data centres in the ledger's state."""

import unittest

import msgspec

from hawthornbarrow.ledger import (
    EvacuationRecord,
    LedgerState,
    PutConfiguration,
    SetEvacuation,
    decode_command,
    encode_command,
)
from hawthornbarrow.ledger._state import MAX_EVACUATED


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.state = LedgerState()
        self.index = 0

    def order(self, data_centre, expected, *, is_evacuated=True):
        """Applies an order as replicas do, from its encoded command."""
        command = SetEvacuation(
            data_centre=data_centre,
            is_evacuated=is_evacuated,
            expected_revision=expected,
        )
        self.index += 1
        return self.state.apply(self.index, decode_command(encode_command(command)))

    def withdraw(self, data_centre, expected):
        return self.order(data_centre, expected, is_evacuated=False)

    def evacuated(self):
        return self.state.evacuation.data_centres

    def test_each_order_raises_the_revision_by_one(self):
        self.assertEqual(1, self.order("b", 0).evacuation.revision)
        self.assertEqual(2, self.order("a", 1).evacuation.revision)
        self.assertEqual(("a", "b"), self.evacuated())
        outcome = self.withdraw("b", 2)
        self.assertTrue(outcome.accepted)
        self.assertEqual(
            EvacuationRecord(revision=3, data_centres=("a",)), outcome.evacuation
        )

    def test_an_outdated_order_has_no_effect_and_returns_the_revision(self):
        self.order("a", 0)
        outcome = self.order("b", 0)
        self.assertFalse(outcome.accepted)
        self.assertEqual(1, outcome.evacuation.revision)
        self.assertEqual(("a",), self.evacuated())

    def test_a_repeated_order_is_accepted_after_its_response_was_lost(self):
        self.order("a", 0)
        self.assertTrue(self.order("a", 0).accepted)
        self.assertTrue(self.order("a", 7).accepted)
        self.assertEqual(("a",), self.evacuated())
        self.withdraw("a", self.state.evacuation.revision)
        self.assertTrue(self.withdraw("a", 0).accepted)
        self.assertEqual((), self.evacuated())

    def test_a_delayed_order_does_not_override_a_newer_one(self):
        self.order("a", 0)
        self.withdraw("a", 1)
        self.assertFalse(self.order("a", 0).accepted)
        self.assertEqual((), self.evacuated())

    def test_a_delayed_order_does_not_override_one_that_changed_nothing(self):
        # The order to evacuate is delayed and the operator withdraws it meanwhile.
        self.assertTrue(self.withdraw("a", 0).accepted)
        self.assertFalse(self.order("a", 0).accepted)
        self.assertEqual((), self.evacuated())

    def test_the_number_of_evacuated_data_centres_is_limited(self):
        for number in range(MAX_EVACUATED):
            self.assertTrue(self.order(f"d{number}", number).accepted)
        outcome = self.order("one more", MAX_EVACUATED)
        self.assertFalse(outcome.accepted)
        self.assertEqual(MAX_EVACUATED, outcome.evacuation.revision)
        self.assertTrue(self.order("d0", 0).accepted)
        self.assertTrue(self.withdraw("d0", MAX_EVACUATED + 1).accepted)
        self.assertTrue(self.order("one more", MAX_EVACUATED + 2).accepted)

    def test_evacuations_survive_a_snapshot(self):
        self.order("a", 0)
        restored = LedgerState()
        restored.restore(self.state.encode())
        self.assertEqual(self.state.evacuation, restored.evacuation)

    def test_a_snapshot_of_the_previous_version_is_restored(self):
        self.state.apply(1, PutConfiguration(version=7, document=b"x"))
        self.order("a", 0)
        fields = msgspec.msgpack.decode(self.state.encode())
        restored = LedgerState()
        restored.restore(msgspec.msgpack.encode(fields[:8]))
        self.assertEqual(7, restored.put.version)
        self.assertEqual(EvacuationRecord(), restored.evacuation)


if __name__ == "__main__":
    unittest.main()
