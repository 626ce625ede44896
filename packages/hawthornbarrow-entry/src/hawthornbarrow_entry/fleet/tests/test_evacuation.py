"""Tests of evacuations with three entries and two agents in one curio kernel."""

import pathlib
import tempfile
import unittest
from unittest import mock

import curio
from hawthornbarrow.cells import (
    DispatcherHeartbeat,
    EvacuationOutcome,
    EvacuationState,
    EvacuationView,
    InvalidEvacuationError,
    KnownEvacuation,
    is_standby_term,
)
from hawthornbarrow.clock import steady_s

from hawthornbarrow_entry.fleet import (
    FleetEntry,
    FleetEntrySettings,
    LeaderUnavailableError,
)
from hawthornbarrow_entry.fleet._evacuation_orders import (
    ORDER_TIMEOUT_S,
    EvacuationOrders,
)
from hawthornbarrow_entry.fleet.tests.test_process import (
    KEY,
    TIMING,
    WAIT_TIMEOUT_S,
    Fleet,
    NumberFormat,
)

ACKNOWLEDGEMENT_S = 0.3
ATTEMPT_S = 1.0  # for which an operator waits for a response
ACKNOWLEDGE_WITHIN_S = 5.0  # with all attempts
REPEAT_INTERVAL_S = 0.1


class FakeLeader:
    """Answers proposals as the ledger does, in place of LeaderRequests.

    The first replies can be replaced, and the first proposals can be dropped.
    """

    def __init__(self):
        self.revision = 0
        self.names = set()
        self.limit = 256
        self.dropped_count = 0
        self.proposals = []

    async def request(self, make_request, timeout_s):
        proposal = make_request(1)
        self.proposals.append(proposal)
        if self.dropped_count:
            self.dropped_count -= 1
            await curio.sleep(timeout_s)
            raise LeaderUnavailableError("the leader did not answer in time")
        is_accepted = proposal.expected_revision == self.revision
        if is_accepted and len(self.names) < self.limit:
            self.names.add(proposal.data_centre)
            self.revision += 1
        else:
            is_accepted = False
        return EvacuationOutcome(
            number=1,
            is_accepted=is_accepted,
            revision=self.revision,
            evacuated=tuple(sorted(self.names)),
        )


class EvacuationOrdersTest(unittest.TestCase):
    def setUp(self):
        self.leader = FakeLeader()
        self.view = EvacuationView()
        self.hears_leader = True
        self.is_abandoned = False
        self.orders = EvacuationOrders(
            requests=self.leader,
            view=self.view,
            hears_leader=lambda: self.hears_leader,
        )

    def order(self, name="z"):
        return curio.run(self.orders.order, name, True, lambda: self.is_abandoned)

    def expected_revisions(self):
        return [proposal.expected_revision for proposal in self.leader.proposals]

    def test_an_outdated_revision_is_replaced_by_the_returned_one(self):
        self.leader.revision = 5
        self.assertEqual(6, self.order())
        self.assertEqual([0, 5], self.expected_revisions())

    def test_nothing_is_proposed_for_an_operator_who_has_left(self):
        self.is_abandoned = True
        with self.assertRaises(LeaderUnavailableError):
            self.order()
        self.assertEqual([], self.leader.proposals)

    def test_an_outdated_order_is_not_repeated_for_an_operator_who_has_left(self):
        self.leader.revision = 5
        answers = iter((False, True))
        with self.assertRaises(LeaderUnavailableError):
            curio.run(self.orders.order, "z", True, lambda: next(answers))
        self.assertEqual([0], self.expected_revisions())

    def test_without_a_leader_the_operator_is_refused_at_once(self):
        self.hears_leader = False
        began_at_s = steady_s()
        with self.assertRaises(LeaderUnavailableError):
            self.order()
        self.assertLess(steady_s() - began_at_s, 0.1)

    def test_a_proposal_that_a_new_leader_dropped_is_repeated(self):
        self.leader.dropped_count = 1
        self.assertEqual(1, self.order())

    def test_the_operator_is_answered_before_it_gives_up(self):
        self.leader.dropped_count = 100
        began_at_s = steady_s()
        with self.assertRaises(LeaderUnavailableError):
            self.order()
        self.assertLess(steady_s() - began_at_s, 1.0)
        self.assertLessEqual(ORDER_TIMEOUT_S, steady_s() - began_at_s + 0.05)

    def test_impossible_names_are_not_proposed(self):
        for name in ("", "x" * 65):
            with self.assertRaises(InvalidEvacuationError):
                self.order(name)
        self.assertEqual([], self.leader.proposals)

    def test_too_many_data_centres_are_refused(self):
        self.leader.limit = 1
        self.order("a")
        with self.assertRaises(InvalidEvacuationError):
            self.order("b")

    def test_the_entry_knows_the_order_when_it_is_acknowledged(self):
        # It informs a standby that has not heard of it.
        self.order()
        self.assertEqual(
            EvacuationState(revision=1, data_centres=("z",)), self.view.state
        )


class FleetEvacuationTest(unittest.TestCase):
    """The agents a0 and a1 are in the data centres d0 and d1."""

    def run_scenario(self, scenario):
        async def main():
            with tempfile.TemporaryDirectory() as folder:
                fleet = Fleet(pathlib.Path(folder), agent_data_centres=("d0", "d1"))
                try:
                    await fleet.start()
                    await fleet.wait_until(
                        lambda: any(
                            entry.states["attached_workers"] == 2
                            for entry in fleet.entries.values()
                        )
                    )
                    await scenario(fleet)
                finally:
                    await fleet.stop()

        curio.run(main)

    async def order(self, fleet, index, data_centre, *, is_evacuated=True):
        """Orders until it is acknowledged, as an operator does."""
        async with curio.timeout_after(WAIT_TIMEOUT_S):
            while True:
                try:
                    return await fleet.entries[index].order_evacuation(
                        data_centre, is_evacuated, is_abandoned=lambda: False
                    )
                except LeaderUnavailableError:
                    await curio.sleep(REPEAT_INTERVAL_S)

    def evacuated_worker_count(self, fleet):
        dispatcher = fleet.entries[fleet.dispatching_index()]
        return dispatcher.states["evacuated_workers"]

    async def kill(self, fleet, *indexes):
        for index in indexes:
            await fleet.tasks.pop(index).cancel()
            del fleet.entries[index]

    async def check_nothing_starts_at(self, fleet, agent, entry, name):
        """Submits jobs that need both workers, and checks which one starts tasks."""
        before = len(fleet.upstreams[agent].started)
        for number in range(3):
            await fleet.submit(entry, f"{name}{number}")
        self.assertEqual(before, len(fleet.upstreams[agent].started))

    def test_an_order_at_any_entry_is_acknowledged_and_in_force_at_once(self):
        async def scenario(fleet):
            for index in range(3):
                began_at_s = steady_s()
                await self.order(fleet, index, f"d{index % 2}")
                self.assertLess(steady_s() - began_at_s, ACKNOWLEDGEMENT_S)
                self.assertEqual(1, self.evacuated_worker_count(fleet))
                await self.check_nothing_starts_at(fleet, index % 2, index, f"j{index}")
                await self.order(fleet, index, f"d{index % 2}", is_evacuated=False)
                self.assertEqual(0, self.evacuated_worker_count(fleet))

        self.run_scenario(scenario)

    def test_an_order_repeated_at_another_entry_changes_nothing(self):
        async def scenario(fleet):
            for index in range(3):
                await self.order(fleet, index, "d0")
            self.assertEqual(1, self.evacuated_worker_count(fleet))

        self.run_scenario(scenario)

    def test_an_entry_with_an_outdated_state_repeats_its_proposal(self):
        async def scenario(fleet):
            await self.order(fleet, 0, "d0")
            entry = fleet.entries[1]
            entry._evacuation._state = EvacuationState()
            await self.order(fleet, 1, "d1")
            self.assertEqual(2, self.evacuated_worker_count(fleet))

        self.run_scenario(scenario)

    def test_all_entries_know_an_order_and_pass_over_the_workers_once(self):
        async def scenario(fleet):
            dispatcher = fleet.entries[fleet.dispatching_index()]
            dispatcher = dispatcher._dispatcher_role.dispatcher
            with mock.patch.object(
                dispatcher, "set_evacuation", wraps=dispatcher.set_evacuation
            ) as set_evacuation:
                await self.order(fleet, 0, "d0")
                await fleet.wait_until(
                    lambda: all(
                        entry._evacuation.state.data_centres == ("d0",)
                        for entry in fleet.entries.values()
                    )
                )
                await curio.sleep(0.5)
            self.assertEqual(1, set_evacuation.call_count)

        self.run_scenario(scenario)

    def test_orders_at_all_entries_at_once_are_all_acknowledged_and_kept(self):
        async def scenario(fleet):
            async with curio.TaskGroup() as group:
                for number in range(9):
                    await group.spawn(self.order, fleet, number % 3, f"x{number}")
            entry = fleet.entries[fleet.dispatching_index()]
            evacuated = entry._dispatcher_role.dispatcher.evacuation.data_centres
            self.assertEqual({f"x{number}" for number in range(9)}, set(evacuated))

        self.run_scenario(scenario)

    def test_the_next_leader_has_an_order_whose_leader_was_lost(self):
        async def scenario(fleet):
            lost_index = fleet.dispatching_index()
            await self.order(fleet, (lost_index + 1) % 3, "d0")
            await self.kill(fleet, lost_index)
            await fleet.wait_until(
                lambda: any(entry.is_dispatching for entry in fleet.entries.values())
            )
            await self.check_nothing_starts_at(fleet, 0, min(fleet.entries), "j")
            await fleet.wait_until(lambda: self.evacuated_worker_count(fleet) == 1)

        self.run_scenario(scenario)

    def test_an_order_whose_leader_is_lost_before_the_commit_can_be_repeated(self):
        async def scenario(fleet):
            lost_index = fleet.dispatching_index()
            index = (lost_index + 1) % 3
            order = await curio.spawn(self.order, fleet, index, "d0")
            await self.kill(fleet, lost_index)
            began_at_s = steady_s()
            await order.join()
            self.assertLess(steady_s() - began_at_s, ACKNOWLEDGE_WITHIN_S)
            await self.check_nothing_starts_at(fleet, 0, index, "j")

        self.run_scenario(scenario)

    def test_orders_are_acknowledged_in_time_under_load(self):
        async def scenario(fleet):
            async with curio.TaskGroup() as group:
                for number in range(60):
                    await group.spawn(fleet.submit, number % 3, f"load{number}")
                for index in range(3):
                    began_at_s = steady_s()
                    await self.order(fleet, index, "d0", is_evacuated=index != 1)
                    self.assertLess(steady_s() - began_at_s, ATTEMPT_S)
            await self.check_nothing_starts_at(fleet, 0, 0, "j")

        self.run_scenario(scenario)

    def test_an_order_survives_a_kill_of_all_entries_right_after_its_response(self):
        async def scenario(fleet):
            await self.order(fleet, 1, "d0")
            await self.kill(fleet, 0, 1, 2)
            for index in range(3):
                await fleet.start_entry(index, is_first=False)
            await self.check_nothing_starts_at(fleet, 0, 2, "j")
            await self.order(fleet, 2, "d0", is_evacuated=False)
            await self.order(fleet, 2, "d1")
            await self.check_nothing_starts_at(fleet, 1, 2, "k")

        self.run_scenario(scenario)

    def test_a_standby_dispatches_by_the_order_and_answers_no_operator(self):
        async def scenario(fleet):
            await self.order(fleet, 2, "d0")
            await self.kill(fleet, 1, 2)
            survivor = fleet.entries[0]
            await fleet.wait_until(lambda: is_standby_term(survivor.states["term"]))
            await self.check_nothing_starts_at(fleet, 0, 0, "j")
            self.assertEqual(1, survivor.states["evacuated_workers"])
            with self.assertRaises(LeaderUnavailableError):
                await survivor.order_evacuation("d0", False, is_abandoned=lambda: False)
            await self.check_nothing_starts_at(fleet, 0, 0, "k")

        self.run_scenario(scenario)


class StandbyInformationTest(unittest.TestCase):
    """Tests that entries inform a standby that has not heard of the last order."""

    def setUp(self):
        self.sent = []
        settings = FleetEntrySettings(
            name="e0",
            address="127.0.0.1:1",
            data_centre="d0",
            data_dir=None,
            is_first_start=False,
            seeds=(),
            tolerated_losses=1,
            timing=TIMING,
            cluster_key=KEY,
        )
        self.entry = FleetEntry(settings=settings, configuration_format=NumberFormat())
        self.entry._send = self.record

    async def record(self, receiver, message):
        self.sent.append((receiver, message))

    def receive(self, message):
        curio.run(self.entry._on_message, "e1", message, steady_s())

    def heartbeat(self, term, revision, *evacuated):
        return DispatcherHeartbeat(
            term=term,
            heard_at_s=steady_s(),
            version=0,
            evacuation_revision=revision,
            evacuated=evacuated,
        )

    def sent_evacuations(self):
        return [sent for sent in self.sent if isinstance(sent[1], KnownEvacuation)]

    def test_an_entry_informs_a_standby_with_an_older_state(self):
        self.receive(self.heartbeat(1024, 3, "z"))
        self.receive(self.heartbeat(1025, 2))
        self.assertEqual(
            [("e1", KnownEvacuation(revision=3, evacuated=("z",)))],
            self.sent_evacuations(),
        )

    def test_a_leader_is_not_informed_as_its_ledger_decides(self):
        self.receive(self.heartbeat(1024, 3, "z"))
        self.receive(self.heartbeat(2048, 2))
        self.assertEqual([], self.sent_evacuations())

    def test_a_standby_takes_the_newer_state_and_no_older_one(self):
        self.receive(KnownEvacuation(revision=3, evacuated=("z",)))
        self.receive(KnownEvacuation(revision=2, evacuated=()))
        self.assertEqual(
            EvacuationState(revision=3, data_centres=("z",)),
            self.entry._evacuation.state,
        )

    def test_a_heartbeat_of_a_lower_term_still_carries_a_newer_state(self):
        self.receive(self.heartbeat(2048, 0))
        self.receive(self.heartbeat(1024, 1, "z"))
        self.assertEqual(("z",), self.entry._evacuation.state.data_centres)


if __name__ == "__main__":
    unittest.main()
