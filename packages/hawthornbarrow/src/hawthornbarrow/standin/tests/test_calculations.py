import datetime
import pathlib
import unittest

import msgspec

from hawthornbarrow.standin import (
    BearingCheck,
    FairEntry,
    answer_entry,
    check_bearing,
)

EXAMPLES = pathlib.Path(__file__).parents[6] / "examples"


def example(name, kind):
    document = msgspec.json.decode((EXAMPLES / name).read_bytes())
    return [msgspec.convert(task, kind) for task in document["tasks"]]


class BearingTest(unittest.TestCase):
    """Values worked by hand from L10 = (C/P)^p, L10h = 1e6 L10 / (60 n), s0 = C0/P0."""

    def test_the_examples(self):
        ball, large, roller = map(check_bearing, example("bearings.json", BearingCheck))
        self.assertAlmostEqual(ball.life_mrev, 1000.0, places=6)
        self.assertAlmostEqual(ball.life_h, 16666.667, places=2)
        self.assertAlmostEqual(ball.static_safety, 4.0)
        self.assertAlmostEqual(large.life_h, 11111.111, places=2)
        self.assertAlmostEqual(roller.life_mrev, 4.0 ** (10 / 3), places=6)
        self.assertAlmostEqual(roller.static_safety, 3.475)

    def test_the_life_factor(self):
        """6205: eC Cu/P = 0.5 x 335 / 1400 = 0.119643, kappa = 1.

        2.5671 - 1.9987 = 0.5684; 0.5684^0.83 = 0.62568; 0.119643^(1/3) = 0.49275;
        1 - 0.30830 = 0.69170; 0.1 x 0.69170^-9.3 = 3.082.
        """
        (check, *_) = example("bearings.json", BearingCheck)
        self.assertAlmostEqual(check_bearing(check).life_factor, 3.082, places=2)

    def test_clean_and_thick_oil_reaches_the_cap(self):
        (check, *_) = example("bearings.json", BearingCheck)
        clean = msgspec.structs.replace(
            check, contamination=1.0, viscosity_ratio=4.0, load_n=300.0
        )
        self.assertEqual(check_bearing(clean).life_factor, 50.0)


class FairTest(unittest.TestCase):
    def test_the_examples(self):
        answers = [answer_entry(e) for e in example("fair_entries.json", FairEntry)]
        self.assertEqual(
            [(a.class_name, a.stall, a.fee_cents) for a in answers],
            [
                ("Angus junior yearling", "North 1-1", 3500),
                ("Jersey senior yearling", "East 2-1", 6000),
                ("Suffolk aged", "South 3-6", 1600),
            ],
        )

    def test_an_unknown_breed_is_refused(self):
        entry = FairEntry(
            exhibitor="x",
            number=1,
            breed="Unicorn",
            born=datetime.date(2026, 1, 1),
            fair_day=datetime.date(2026, 8, 1),
        )
        with self.assertRaisesRegex(ValueError, "expected one of"):
            answer_entry(entry)


if __name__ == "__main__":
    unittest.main()
