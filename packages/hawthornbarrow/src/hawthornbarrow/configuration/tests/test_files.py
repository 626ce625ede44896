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


class ReadConfigurationTest(unittest.TestCase):
    def read(self, base, overlay=None):
        with tempfile.TemporaryDirectory() as directory:
            folder = pathlib.Path(directory)
            (folder / "base.toml").write_text(base, "utf-8")
            overlay_path = None
            if overlay is not None:
                overlay_path = folder / "site.toml"
                overlay_path.write_text(overlay, "utf-8")
            return read_configuration(folder / "base.toml", overlay_path)

    def read_problems(self, base, overlay=None):
        result = self.read(base, overlay)
        self.assertFalse(is_successful(result))
        return result.failure()

    def test_overlay_replaces_only_the_keys_it_contains(self):
        overlay = "[tuning]\nresult_hold_ms = 60.0\n[members.ben]\nweight = 3.0\n"
        configuration = self.read(BASE, overlay).unwrap()
        self.assertEqual(configuration.tuning.result_hold_ms, 60.0)
        self.assertEqual(configuration.members["ben"].weight, 3.0)
        self.assertEqual(configuration.members["ana"].weight, 1.0)
        self.assertEqual(configuration.services["check"].run_limit_s, 5.0)

    def test_encoding_and_decoding_preserves_the_configuration(self):
        configuration = self.read(BASE).unwrap()
        document = encode_configuration(configuration)
        self.assertEqual(decode_configuration(document), configuration)

    def test_every_problem_has_file_key_value_and_expectation(self):
        overlay = (
            "[tuning]\nresult_hold_ms = -1.0\n"
            "[members.ben]\nweight = 'heavy'\ncolour = 1\n[extra]\n"
        )
        problems = {
            problem.key: problem for problem in self.read_problems(BASE, overlay)
        }
        self.assertEqual(
            set(problems),
            {
                "tuning.result_hold_ms",
                "members.ben.weight",
                "members.ben.colour",
                "extra",
            },
        )
        problem = problems["members.ben.weight"]
        self.assertTrue(problem.file.endswith("site.toml"))
        self.assertEqual(problem.value, "'heavy'")
        self.assertIn("float", problem.expected)

    def test_shared_tokens_and_unknown_names_are_reported(self):
        shared_token = BASE.replace(hash_token("b"), hash_token("a"))
        unknown_names = (
            "[services.other]\nmembers = ['nobody']\n"
            "[objectives.o]\nresponse_s = 1.0\nservice = 'none'\n"
        )
        keys = {
            problem.key for problem in self.read_problems(shared_token + unknown_names)
        }
        self.assertEqual(
            keys,
            {
                "members.ben.token_hashes",
                "services.other.members",
                "objectives.o.service",
            },
        )

    def test_malformed_file_is_reported(self):
        (problem,) = self.read_problems("[tuning\n")
        self.assertEqual(problem.expected, "a readable TOML file")


if __name__ == "__main__":
    unittest.main()
