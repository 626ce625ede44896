import unittest

from hypothesis import Phase, settings

from hawthornbarrow_entry.tests._machine import FleetMachine

FleetFuzzTest = FleetMachine.TestCase
FleetFuzzTest.settings = settings(
    max_examples=60,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
)

if __name__ == "__main__":
    unittest.main()
