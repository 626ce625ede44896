import datetime
import pathlib
import unittest

import msgspec

from hawthornbarrow.standin import (
    BearingCheck,
    FairEntry,
    check_bearing,
    process_entry,
)

EXAMPLES_DIR = pathlib.Path(__file__).parents[6] / "examples"


def load_example_tasks(file_name, task_type):
    document = msgspec.json.decode((EXAMPLES_DIR / file_name).read_bytes())
    return [msgspec.convert(task, task_type) for task in document["tasks"]]


class BearingTest(unittest.TestCase):
    """Expected values by hand: L10 = (C/P)^p, L10h = 1e6 L10/(60 n), s0 = C0/P0."""

    def test_bearing_examples_match_hand_calculation(self):
        ball, large, roller = map(
            check_bearing, load_example_tasks("bearings.json", BearingCheck)
        )
        self.assertAlmostEqual(ball.life_mrev, 1000.0, places=6)
        self.assertAlmostEqual(ball.life_h, 16666.667, places=2)
        self.assertAlmostEqual(ball.static_safety, 4.0)
        self.assertAlmostEqual(large.life_h, 11111.111, places=2)
        self.assertAlmostEqual(roller.life_mrev, 4.0 ** (10 / 3), places=6)
        self.assertAlmostEqual(roller.static_safety, 3.475)

    def test_life_factor_of_ball_bearing(self):
        """Bearing 6205, by hand: eC Cu/P = 0.5 x 335 / 1400 = 0.119643, kappa = 1.

        2.5671 - 1.9987 = 0.5684; 0.5684^0.83 = 0.62568; 0.119643^(1/3) = 0.49275;
        1 - 0.30830 = 0.69170; 0.1 x 0.69170^-9.3 = 3.082.
        """
        (check, *_) = load_example_tasks("bearings.json", BearingCheck)
        self.assertAlmostEqual(check_bearing(check).life_factor, 3.082, places=2)

    def test_life_factor_is_capped_for_clean_viscous_oil(self):
        (check, *_) = load_example_tasks("bearings.json", BearingCheck)
        clean = msgspec.structs.replace(
            check, contamination=1.0, viscosity_ratio=4.0, load_n=300.0
        )
        self.assertEqual(check_bearing(clean).life_factor, 50.0)


class FairTest(unittest.TestCase):
    def test_fair_entry_examples_get_class_stall_and_fee(self):
        results = [
            process_entry(entry)
            for entry in load_example_tasks("fair_entries.json", FairEntry)
        ]
        self.assertEqual(
            [(result.class_name, result.stall, result.fee_cents) for result in results],
            [
                ("Angus junior yearling", "North 1-1", 3500),
                ("Jersey senior yearling", "East 2-1", 6000),
                ("Suffolk aged", "South 3-6", 1600),
            ],
        )

    def test_unknown_breed_raises_value_error(self):
        entry = FairEntry(
            exhibitor="x",
            number=1,
            breed="Unicorn",
            born=datetime.date(2026, 1, 1),
            fair_day=datetime.date(2026, 8, 1),
        )
        with self.assertRaisesRegex(ValueError, "expected one of"):
            process_entry(entry)


if __name__ == "__main__":
    unittest.main()
