"""Runs long stateful fuzz tests of ledger, fleet and links.

Prints the seed and the number of steps of each state machine.
"""

import argparse
import sys
import time

from hawthornbarrow.ledger.tests._machine import ClusterMachine
from hawthornbarrow.links.tests._machine import LinkMachine
from hawthornbarrow_entry.tests._machine import FleetMachine
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import get_state_machine_test

_STATE_MACHINES = {
    "ledger": ClusterMachine,
    "fleet": FleetMachine,
    "links": LinkMachine,
}
_STEP_COUNT_PER_RUN = 60


def main() -> int:
    """Runs the state machines and returns 1 if one finds a violation."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.fuzz")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--runs", type=int, default=900, help="runs of each machine")
    parser.add_argument("--machine", choices=list(_STATE_MACHINES), action="append")
    arguments = parser.parse_args()
    failed = False
    for name in arguments.machine or list(_STATE_MACHINES):
        failed |= not run_machine(name, arguments.seed, arguments.runs)
    return 1 if failed else 0


def run_machine(name: str, seed_value: int, runs: int) -> bool:
    """Runs one state machine and returns whether no invariant was violated."""
    machine = _STATE_MACHINES[name]
    machine.steps = 0
    machine_settings = settings(
        max_examples=runs,
        stateful_step_count=_STEP_COUNT_PER_RUN,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    test = seed(seed_value)(get_state_machine_test(machine, settings=machine_settings))
    started_s = time.monotonic()
    try:
        test()
    except BaseException as error:
        print(f"{name}: seed {seed_value}: VIOLATION: {error!r}")
        print(getattr(error, "__notes__", ""))
        return False
    took_s = time.monotonic() - started_s
    print(
        f"{name}: seed {seed_value}: {machine.steps} steps, "
        f"no violation, {took_s:.0f} s",
        flush=True,
    )
    return True


if __name__ == "__main__":
    sys.exit(main())
