import pathlib
import tempfile
import unittest

from returns.pipeline import is_successful

from hawthornbarrow.configuration import (
    decode_configuration,
    encode_configuration,
    hash_token,
    read_configuration,
)

BASE = f"""
[tuning]
result_hold_ms = 10.0

[members.ana]
token_hashes = ["{hash_token("a")}"]

[members.ben]
token_hashes = ["{hash_token("b")}"]
weight = 2.0

[services.check]
run_limit_s = 5.0
"""


class FilesTest(unittest.TestCase):
    def read(self, base, overlay=None):
        with tempfile.TemporaryDirectory() as holder:
            folder = pathlib.Path(holder)
            (folder / "base.toml").write_text(base, "utf-8")
            path = None
            if overlay is not None:
                path = folder / "site.toml"
                path.write_text(overlay, "utf-8")
            return read_configuration(folder / "base.toml", path)

    def problems(self, base, overlay=None):
        result = self.read(base, overlay)
        self.assertFalse(is_successful(result))
        return result.failure()

    def test_an_overlay_states_only_what_differs(self):
        overlay = "[tuning]\nresult_hold_ms = 60.0\n[members.ben]\nweight = 3.0\n"
        configuration = self.read(BASE, overlay).unwrap()
        self.assertEqual(configuration.tuning.result_hold_ms, 60.0)
        self.assertEqual(configuration.members["ben"].weight, 3.0)
        self.assertEqual(configuration.members["ana"].weight, 1.0)
        self.assertEqual(configuration.services["check"].run_limit_s, 5.0)

    def test_the_document_survives_encoding(self):
        configuration = self.read(BASE).unwrap()
        document = encode_configuration(configuration)
        self.assertEqual(decode_configuration(document), configuration)

    def test_every_problem_names_file_key_value_and_what_was_expected(self):
        overlay = (
            "[tuning]\nresult_hold_ms = -1.0\n"
            "[members.ben]\nweight = 'heavy'\ncolour = 1\n[extra]\n"
        )
        problems = {problem.key: problem for problem in self.problems(BASE, overlay)}
        self.assertEqual(
            set(problems),
            {
                "tuning.result_hold_ms",
                "members.ben.weight",
                "members.ben.colour",
                "extra",
            },
        )
        wrong = problems["members.ben.weight"]
        self.assertTrue(wrong.file.endswith("site.toml"))
        self.assertEqual(wrong.value, "'heavy'")
        self.assertIn("float", wrong.expected)

    def test_a_shared_token_and_unknown_names_are_found(self):
        twice = BASE.replace(hash_token("b"), hash_token("a"))
        extra = (
            "[services.other]\nmembers = ['nobody']\n"
            "[objectives.o]\nresponse_s = 1.0\nservice = 'none'\n"
        )
        keys = {problem.key for problem in self.problems(twice + extra)}
        self.assertEqual(
            keys,
            {
                "members.ben.token_hashes",
                "services.other.members",
                "objectives.o.service",
            },
        )

    def test_a_broken_file_is_named(self):
        (problem,) = self.problems("[tuning\n")
        self.assertEqual(problem.expected, "a readable TOML file")


if __name__ == "__main__":
    unittest.main()
