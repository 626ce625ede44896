import random
import unittest

from hawthornbarrow.limits import (
    CONNECTION_BYTES,
    INCLUDED_BYTES,
    MachineLimits,
    PortBudget,
    PortKind,
    ProcessBudget,
)

MIB = 1024 * 1024
POOL_BYTES = 1000


def held(charged_bytes):
    return INCLUDED_BYTES + charged_bytes


class PortBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = PortBudget(max_connections=4, request_bytes=POOL_BYTES)

    def test_connections_over_the_limit_are_refused_until_one_closes(self):
        accounts = [self.budget.open() for _ in range(4)]
        self.assertIsNone(self.budget.open())
        self.budget.close(accounts[0])
        self.assertIsNotNone(self.budget.open())
        self.assertEqual(1, self.budget.counts["connection_refused"])

    def test_small_request_needs_nothing_of_what_others_have_used_up(self):
        large, small = self.budget.open(), self.budget.open()
        self.assertTrue(self.budget.grow(large, held(POOL_BYTES)).is_granted)
        growth = self.budget.grow(small, held(0))
        self.assertTrue(growth.is_granted)
        self.assertEqual((), growth.evicted)

    def test_request_that_has_been_arriving_longest_is_evicted_first(self):
        first, second, third = (self.budget.open() for _ in range(3))
        self.budget.grow(first, held(400))
        self.budget.grow(second, held(400))
        self.budget.grow(first, held(500))
        growth = self.budget.grow(third, held(400))
        self.assertTrue(growth.is_granted)
        self.assertEqual((first,), growth.evicted)
        self.assertEqual(800, self.budget.charged_bytes)

    def test_request_that_is_evicted_can_neither_grow_nor_complete(self):
        first, second = self.budget.open(), self.budget.open()
        self.budget.grow(first, held(900))
        self.budget.grow(second, held(900))
        self.assertFalse(self.budget.grow(first, held(901)).is_granted)
        self.assertFalse(self.budget.complete(first))
        self.assertTrue(self.budget.complete(second))

    def test_complete_request_is_not_evicted(self):
        """Guards against an accepted job whose caller is refused for another one."""
        complete, other = self.budget.open(), self.budget.open()
        self.budget.grow(complete, held(900))
        self.assertTrue(self.budget.complete(complete))
        growth = self.budget.grow(other, held(900))
        self.assertFalse(growth.is_granted)
        self.assertEqual((), growth.evicted)
        self.budget.release(complete)
        self.assertTrue(self.budget.grow(other, held(900)).is_granted)

    def test_response_is_charged_beyond_the_budget(self):
        sending, other = self.budget.open(), self.budget.open()
        self.budget.hold_response(sending, held(5 * POOL_BYTES))
        self.assertFalse(self.budget.grow(other, held(1)).is_granted)
        self.budget.close(sending)
        self.assertEqual(0, self.budget.charged_bytes)

    def test_charges_stay_within_the_budget_in_any_order_of_events(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, generator):
        budget = PortBudget(max_connections=8, request_bytes=POOL_BYTES)
        held_bytes = {}
        complete = set()
        for _ in range(400):
            event = generator.choice(("open", "grow", "grow", "complete", "end"))
            account = generator.choice(list(held_bytes)) if held_bytes else None
            if event == "open" or account is None:
                account = budget.open()
                self.assertEqual(len(held_bytes) < 8, account is not None)
                if account is not None:
                    held_bytes[account] = 0
            elif event == "grow" and account not in complete:
                size = held_bytes[account] + generator.randrange(300)
                growth = budget.grow(account, held(size))
                self.assertFalse(complete & set(growth.evicted))
                for evicted in growth.evicted:
                    held_bytes[evicted] = 0
                held_bytes[account] = size if growth.is_granted else 0
            elif event == "complete" and budget.complete(account):
                complete.add(account)
            elif event == "end":
                budget.close(account)
                complete.discard(account)
                del held_bytes[account]
            self.assertEqual(sum(held_bytes.values()), budget.charged_bytes)
            self.assertLessEqual(budget.charged_bytes, POOL_BYTES)


class ProcessBudgetTest(unittest.TestCase):
    def test_ports_leave_a_third_of_the_memory_to_the_rest_of_the_process(self):
        for memory_mb in (96, 128, 168, 300, 512):
            machine = MachineLimits(memory_bytes=memory_mb * MIB, descriptors=4096)
            budget = ProcessBudget(machine=machine)
            ports = [
                budget.add_port("frontend", PortKind.CALLERS),
                budget.add_port("control", PortKind.OPERATORS),
                budget.add_port("ready", PortKind.PROBES),
                budget.add_port("metrics", PortKind.PROBES),
            ]
            total = sum(
                port.max_connections * CONNECTION_BYTES + port.request_bytes
                for port in ports
            )
            self.assertLessEqual(total, machine.memory_bytes * 2 / 3)
            connections = sum(port.max_connections for port in ports)
            self.assertLess(connections, machine.descriptors)

    def test_port_keeps_to_the_connections_that_it_is_set_to(self):
        budget = ProcessBudget(machine=MachineLimits())
        port = budget.add_port("http", PortKind.CALLERS, max_connections=7)
        self.assertEqual(7, port.max_connections)

    def test_machine_of_the_platform_takes_the_largest_bodies(self):
        machine = MachineLimits(memory_bytes=168 * MIB, descriptors=4096)
        port = ProcessBudget(machine=machine).add_port("control", PortKind.OPERATORS)
        account = port.open()
        self.assertTrue(port.grow(account, 4 * MIB).is_granted)

    def test_counts_and_states_name_the_port(self):
        budget = ProcessBudget(machine=MachineLimits())
        budget.add_port("http", PortKind.CALLERS, max_connections=1).open()
        self.assertEqual(1, budget.states["http_connections"])
        self.assertEqual(0, budget.counts["http_connection_refused"])
        self.assertEqual(1, budget.limits["http_connections"])


if __name__ == "__main__":
    unittest.main()
