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
from hawthornbarrow.limits._handshake_budget import HANDSHAKE_CONNECTION_BYTES

MIB = 1024 * 1024
POOL_BYTES = 1000


def held(charged_bytes):
    return INCLUDED_BYTES + charged_bytes


class PortBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = PortBudget(max_connections=4, request_bytes=POOL_BYTES)

    def open(self, count=1):
        return [self.budget.open().account for _ in range(count)]

    def receive(self, account):
        """Lets a whole request arrive."""
        self.budget.begin(account)
        self.assertTrue(self.budget.complete(account))

    def test_connections_over_the_limit_are_refused_until_one_is_answered(self):
        accounts = self.open(4)
        for account in accounts:
            self.receive(account)
        self.assertIsNone(self.budget.open().account)
        self.assertEqual(1, self.budget.counts["connection_refused"])
        self.budget.wait(accounts[2])
        admission = self.budget.open()
        self.assertIsNotNone(admission.account)
        self.assertIs(accounts[2], admission.replaced)
        self.assertEqual(4, self.budget.connection_count)

    def test_connection_idle_longest_is_replaced_first(self):
        first, second, third, fourth = self.open(4)
        self.receive(first)
        self.budget.wait(first)
        replaced = [self.budget.open().replaced for _ in range(4)]
        self.assertEqual([second, third, fourth, first], replaced)

    def test_idle_connections_are_replaced_before_requests_that_arrive(self):
        accounts = self.open(4)
        for account in accounts[:3]:
            self.budget.begin(account)
            self.budget.grow(account, held(0))
        replaced = []
        for _ in range(4):
            admission = self.budget.open()
            replaced.append(admission.replaced)
            self.receive(admission.account)
        self.assertEqual([accounts[3], *accounts[:3]], replaced)
        self.assertIsNone(self.budget.open().account)

    def test_refused_request_leaves_its_connection_first_to_go(self):
        accounts = self.open(4)
        self.budget.begin(accounts[3])
        self.budget.grow(accounts[3], held(POOL_BYTES + 1))
        self.budget.dismiss(accounts[3])
        self.assertIs(accounts[3], self.budget.open().replaced)

    def test_replaced_connection_neither_grows_nor_counts_any_more(self):
        accounts = self.open(4)
        self.budget.open()
        self.budget.begin(accounts[0])
        self.assertFalse(self.budget.grow(accounts[0], held(0)).is_granted)
        self.assertFalse(self.budget.complete(accounts[0]))
        self.budget.dismiss(accounts[0])
        self.budget.close(accounts[0])
        self.assertEqual(4, self.budget.connection_count)

    def test_small_request_needs_nothing_of_what_others_have_used_up(self):
        large, small = self.open(2)
        self.assertTrue(self.budget.grow(large, held(POOL_BYTES)).is_granted)
        growth = self.budget.grow(small, held(0))
        self.assertTrue(growth.is_granted)
        self.assertEqual((), growth.evicted)

    def test_request_that_has_been_arriving_longest_is_evicted_first(self):
        first, second, third = self.open(3)
        self.budget.grow(first, held(400))
        self.budget.grow(second, held(400))
        self.budget.grow(first, held(500))
        growth = self.budget.grow(third, held(400))
        self.assertTrue(growth.is_granted)
        self.assertEqual((first,), growth.evicted)
        self.assertEqual(800, self.budget.charged_bytes)

    def test_request_that_is_evicted_can_neither_grow_nor_complete(self):
        first, second = self.open(2)
        self.budget.grow(first, held(900))
        self.budget.grow(second, held(900))
        self.assertFalse(self.budget.grow(first, held(901)).is_granted)
        self.assertFalse(self.budget.complete(first))
        self.assertTrue(self.budget.complete(second))

    def test_complete_request_is_not_evicted(self):
        """Guards against an accepted job whose caller is refused for another one."""
        complete, other = self.open(2)
        self.budget.grow(complete, held(900))
        self.assertTrue(self.budget.complete(complete))
        growth = self.budget.grow(other, held(900))
        self.assertFalse(growth.is_granted)
        self.assertEqual((), growth.evicted)
        self.budget.release(complete)
        self.assertTrue(self.budget.grow(other, held(900)).is_granted)

    def test_response_is_charged_beyond_the_budget(self):
        sending, other = self.open(2)
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
            event = generator.choice(
                ("open", "grow", "grow", "complete", "wait", "end")
            )
            account = generator.choice(list(held_bytes)) if held_bytes else None
            if event == "open" or account is None:
                admission = budget.open()
                self.assertNotIn(admission.replaced, complete)
                held_bytes.pop(admission.replaced, None)
                if admission.account is None:
                    self.assertEqual(8, len(complete))
                else:
                    held_bytes[admission.account] = 0
            elif event == "grow" and account not in complete:
                budget.begin(account)
                size = held_bytes[account] + generator.randrange(300)
                growth = budget.grow(account, held(size))
                self.assertFalse(complete & set(growth.evicted))
                for evicted in growth.evicted:
                    held_bytes[evicted] = 0
                held_bytes[account] = size if growth.is_granted else 0
            elif event == "complete" and budget.complete(account):
                budget.begin(account)
                complete.add(account)
            elif event == "wait":
                budget.wait(account)
                complete.discard(account)
                held_bytes[account] = 0
            elif event == "end":
                budget.close(account)
                complete.discard(account)
                del held_bytes[account]
            self.assertEqual(len(held_bytes), budget.connection_count)
            self.assertLessEqual(budget.connection_count, 8)
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
            total += machine.handshakes * HANDSHAKE_CONNECTION_BYTES
            self.assertLessEqual(total, machine.memory_bytes * 2 / 3)
            connections = sum(port.max_connections for port in ports)
            connections += machine.handshakes
            self.assertLess(connections, machine.descriptors)

    def test_port_keeps_to_the_connections_that_it_is_set_to(self):
        budget = ProcessBudget(machine=MachineLimits())
        port = budget.add_port("http", PortKind.CALLERS, max_connections=7)
        self.assertEqual(7, port.max_connections)

    def test_machine_of_the_platform_takes_the_largest_bodies(self):
        machine = MachineLimits(memory_bytes=168 * MIB, descriptors=4096)
        port = ProcessBudget(machine=machine).add_port("control", PortKind.OPERATORS)
        account = port.open().account
        self.assertTrue(port.grow(account, 4 * MIB).is_granted)

    def test_counts_and_states_name_the_port(self):
        budget = ProcessBudget(machine=MachineLimits())
        budget.add_port("http", PortKind.CALLERS, max_connections=1).open()
        self.assertEqual(1, budget.states["http_connections"])
        self.assertEqual(0, budget.counts["http_connection_refused"])
        self.assertEqual(1, budget.limits["http_connections"])


if __name__ == "__main__":
    unittest.main()
