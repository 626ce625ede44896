import unittest

from hypothesis import Phase, settings

from hawthornbarrow.ledger.tests._machine import ClusterMachine

ClusterFuzzTest = ClusterMachine.TestCase
ClusterFuzzTest.settings = settings(
    max_examples=40,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
)

if __name__ == "__main__":
    unittest.main()
