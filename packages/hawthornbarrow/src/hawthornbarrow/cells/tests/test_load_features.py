"""Tests of the setting that enables optional features."""

import unittest

from hawthornbarrow.cells import (
    NO_FEATURES,
    InvalidFeatureError,
    LoadFeature,
    parse_features,
)


class ParseFeaturesTest(unittest.TestCase):
    def test_all_features_are_off_by_default(self):
        self.assertEqual(parse_features(""), NO_FEATURES)

    def test_names_are_separated_by_commas(self):
        self.assertEqual(
            parse_features("shares, return-plan"),
            {LoadFeature.SHARES, LoadFeature.RETURN_PLAN},
        )

    def test_a_misspelled_feature_is_not_silently_off(self):
        with self.assertRaises(InvalidFeatureError):
            parse_features("share")
