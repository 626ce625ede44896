"""Tests that what the last landed version wrote is read, and the other way round."""

import json
import pathlib
import unittest

import msgspec

from hawthornbarrow.links.tests._recorder import ROOTS, record

RECORDED = pathlib.Path(__file__).parent / "recorded_messages.json"


def is_prefix(former, current):
    """Returns whether current has the values of former, and perhaps more at ends.

    Structs are lists here: a field that was added last follows the former ones.
    """
    if isinstance(former, list) and isinstance(current, list):
        pairs = zip(former, current, strict=False)
        return len(former) <= len(current) and all(is_prefix(*pair) for pair in pairs)
    if isinstance(former, dict) and isinstance(current, dict):
        return former.keys() <= current.keys() and all(
            is_prefix(value, current[key]) for key, value in former.items()
        )
    return former == current


def tag_of(plain):
    """Returns the tag of a message, or what a record begins with."""
    return plain[0] if isinstance(plain, list) and plain else plain


class RecordedMessagesTest(unittest.TestCase):
    """Guards against fields and tags that one of two versions cannot read."""

    def setUp(self):
        self.recorded = json.loads(RECORDED.read_text("utf-8"))

    def test_recorded_messages_and_files_are_read_with_the_same_values(self):
        self.assertEqual(ROOTS.keys(), self.recorded["encoded"].keys())
        for root, encoded in self.recorded["encoded"].items():
            decoder = msgspec.msgpack.Decoder(ROOTS[root])
            for text in encoded:
                data = bytes.fromhex(text)
                former = msgspec.msgpack.decode(data)
                with self.subTest(root=root, tag=tag_of(former)):
                    current = msgspec.msgpack.encode(decoder.decode(data))
                    self.assertTrue(is_prefix(former, msgspec.msgpack.decode(current)))

    def test_fields_keep_their_names_and_order(self):
        current = record()["fields"]
        for name, former in self.recorded["fields"].items():
            with self.subTest(name=name):
                self.assertEqual(former, current.get(name, [])[: len(former)])

    def test_changed_layouts_are_noticed(self):
        self.assertTrue(is_prefix(["M", 1, [2]], ["M", 1, [2, 0], 0]))
        self.assertFalse(is_prefix(["M", 1, 2], ["M", 2, 1, 0]))
        self.assertFalse(is_prefix(["M", 1, 2], ["M", 1]))
        self.assertFalse(is_prefix(["M", {"a": 1}], ["M", {"b": 1}]))


if __name__ == "__main__":
    unittest.main()
