import unittest

from hawthornbarrow.limits import HandshakeBudget, MachineLimits


class HandshakeBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = HandshakeBudget(max_handshakes=2)
        self.budget.begin("a", now_s=0.0)
        self.budget.begin("b", now_s=0.25)

    def test_peers_that_start_at_once_wait_for_each_other(self):
        """Guards against a restart in which no handshake comes to its end."""
        self.assertEqual(0.25, self.budget.delay_s(now_s=0.25))
        self.budget.end("a")
        self.assertEqual(0.0, self.budget.delay_s(now_s=0.25))
        self.assertIsNone(self.budget.begin("c", now_s=0.25))

    def test_peer_that_proves_nothing_gives_way(self):
        self.assertEqual(0.0, self.budget.delay_s(now_s=0.5))
        self.assertEqual("a", self.budget.begin("c", now_s=0.5))
        self.assertEqual(0.25, self.budget.delay_s(now_s=0.5))
        self.assertEqual(2, self.budget.count)
        self.assertEqual(1, self.budget.replaced_count)

    def test_ending_a_handshake_that_gave_way_frees_no_other_place(self):
        self.budget.begin("c", now_s=0.5)
        self.budget.end("a")
        self.assertEqual(2, self.budget.count)

    def test_number_follows_from_the_machine(self):
        machine = MachineLimits(memory_bytes=300 * 2**20, descriptors=4100)
        self.assertEqual(133, machine.handshakes)
        machine = MachineLimits(memory_bytes=300 * 2**20, descriptors=300)
        self.assertEqual(9, machine.handshakes)


if __name__ == "__main__":
    unittest.main()
