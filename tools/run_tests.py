"""Runs the tests of all packages with nose2 and prints a summary line.

The tests of a package are distributed over worker processes. The modules of
SERIAL_MODULES run afterwards, one test after the other in this process: they open
ports, handle signals or start processes and have bounds on real time, or Hypothesis
generates their test cases, which a worker process cannot import by name.

Tests listed in KNOWN-RED.txt are run and their failures are printed, but do not fail
the run. A listed test that passes is printed too, so that its entry can be removed.
"""

import logging
import os
import pathlib
import re
import sys

import nose2
import structlog
from nose2.events import MatchPathEvent, TestOutcomeEvent

_SUBTEST_OUTCOME = "subtest"  # as nose2 names it, for subtests that failed
SERIAL_MODULES = frozenset(
    {
        "hawthornbarrow.http.tests.test_http",
        "hawthornbarrow.http.tests.test_turns",
        "hawthornbarrow.ledger.tests.test_full_disk",
        "hawthornbarrow.ledger.tests.test_raft_fuzz",
        "hawthornbarrow.links.tests.test_port",
        "hawthornbarrow.links.tests.test_session",
        "hawthornbarrow.shutdown.tests.test_signals",
        "hawthornbarrow_entry.fleet.tests.test_entry_relays",
        "hawthornbarrow_entry.fleet.tests.test_evacuation",
        "hawthornbarrow_entry.fleet.tests.test_process",
        "hawthornbarrow_entry.tests.test_crowds",
        "hawthornbarrow_entry.tests.test_fleet_fuzz",
        "hawthornbarrow_entry.tests.test_full_disk",
        "hawthornbarrow_entry.tests.test_processes",
        "hawthornbarrow_platform.tests.test_crowds",
    }
)
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


class SerialModuleFilter:
    """Leaves serial modules out of the discovery of a package.

    Args:
        source: Folder from which the package's modules are imported.
    """

    def __init__(self, *, source: pathlib.Path) -> None:
        """Initializes a filter that has met no serial module."""
        self._source = source
        self.modules: list[str] = []

    def matchPath(self, event: MatchPathEvent) -> bool | None:  # noqa: N802
        """Rejects a serial module; nose2 requires this method name for the hook."""
        path = pathlib.Path(event.path).relative_to(self._source)
        module = ".".join(path.with_suffix("").parts)
        if module not in SERIAL_MODULES:
            return None
        self.modules.append(module)
        event.handled = True
        return False


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
        source = (folder / "src" if (folder / "src").is_dir() else folder).resolve()
        outcomes |= _run_package(source)
    return _report(outcomes, known_red)


def _run_package(source: pathlib.Path) -> dict[str, str]:
    """Runs the tests below a folder and returns their outcomes by test ID."""
    collector = OutcomeCollector()
    serial = SerialModuleFilter(source=source)
    folders = ["-s", str(source), "-t", str(source)]
    nose2.discover(
        argv=["nose2", *folders, "--processes", str(os.cpu_count() or 1)],
        plugins=["nose2.plugins.mp"],
        exit=False,
        extraHooks=[("testOutcome", collector), ("matchPath", serial)],
    )
    if serial.modules:
        nose2.discover(
            argv=["nose2", *folders, *sorted(serial.modules)],
            exit=False,
            extraHooks=[("testOutcome", collector)],
        )
    return collector.outcomes


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
