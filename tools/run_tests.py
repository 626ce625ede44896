"""Runs the tests of all packages with nose2 and prints a summary line.

Tests listed in KNOWN-RED.txt are run and their failures are printed, but do not fail
the run. A listed test that passes is printed too, so that its entry can be removed.
"""

import logging
import pathlib
import re
import sys

import nose2
import structlog
from nose2.events import TestOutcomeEvent

_SUBTEST_OUTCOME = "subtest"  # as nose2 names it, for subtests that failed
_KNOWN_RED_TEST = re.compile(r"^test: (\S+)", re.MULTILINE)


class OutcomeCollector:
    """Records the outcome of each test by test ID.

    Attributes:
        outcomes: Outcome of each finished test, as nose2 names it, by test ID.
    """

    def __init__(self) -> None:
        """Initializes an empty collector."""
        self.outcomes: dict[str, str] = {}

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Records one outcome; nose2 requires this method name for the hook.

        A failed subtest fails the test that contains it.
        """
        if event.outcome == _SUBTEST_OUTCOME:
            if event.exc_info:
                self.outcomes[event.test.test_case.id()] = "failed"
            return
        self.outcomes.setdefault(event.test.id(), event.outcome)


def main(packages: list[str]) -> int:
    """Runs the tests of the given package folders and returns the exit code."""
    root = pathlib.Path(__file__).resolve().parent.parent
    known_red = set(
        _KNOWN_RED_TEST.findall((root / "KNOWN-RED.txt").read_text("utf-8"))
    )
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    outcomes: dict[str, str] = {}
    for package in packages:
        folder = root / package
        source = str(
            (folder / "src" if (folder / "src").is_dir() else folder).resolve()
        )
        collector = OutcomeCollector()
        nose2.discover(
            argv=["nose2", "-s", source, "-t", source],
            exit=False,
            extraHooks=[("testOutcome", collector)],
        )
        outcomes |= collector.outcomes
    return _report(outcomes, known_red)


def _report(outcomes: dict[str, str], known_red: set[str]) -> int:
    failed = {
        name for name, outcome in outcomes.items() if outcome in ("failed", "error")
    }
    skipped = sum(outcome == "skipped" for outcome in outcomes.values())
    for name in sorted(failed & known_red):
        print(f"known red, failed as recorded: {name}")
    for name in sorted(known_red - failed):
        print(f"known red, but passed or not found: {name}")
    unexpected = failed - known_red
    for name in sorted(unexpected):
        print(f"failed: {name}")
    passed = len(outcomes) - len(failed) - skipped
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
