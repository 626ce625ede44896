"""Tests of when an entry leaves the load balancer's rotation."""

import dataclasses
import math
import unittest

from hawthornbarrow_entry.fleet._readiness import (
    READY_TIMEOUT_S,
    TAKEOVER_TIMEOUT_S,
    ReachableEntries,
    Readiness,
    ServingState,
)

SERVING = ServingState(
    hears_dispatcher=True,
    has_configuration=True,
    is_configuration_current=True,
    without_dispatcher_s=0.1,
    has_other_entries=True,
)
GAP = dataclasses.replace(
    SERVING, hears_dispatcher=False, without_dispatcher_s=READY_TIMEOUT_S + 0.1
)


class ReadinessTest(unittest.TestCase):
    def setUp(self):
        self.reachable = ReachableEntries(started_at_s=0.0)
        self.readiness = Readiness(waits_in_gaps=True, reachable=self.reachable)

    def lose_dispatcher(self, linked, now_s=10.0):
        self.reachable.on_dispatcher_heard()
        return self.reachable.begin_gap_if_due(
            is_dispatcher_heard=False, linked=linked, now_s=now_s
        )

    def is_ready(self, state, **changes):
        return self.readiness.is_ready(dataclasses.replace(state, **changes))

    def test_entry_stays_ready_while_all_are_without_dispatcher(self):
        asked = self.lose_dispatcher({"e1", "e2", "e3"})
        self.assertEqual({"e1", "e2", "e3"}, asked)
        for entry in asked:
            self.reachable.on_frame(entry, 10.01)
        self.assertTrue(self.is_ready(GAP))

    def test_entry_that_is_cut_off_alone_leaves_the_rotation(self):
        self.lose_dispatcher({"e1", "e2"})
        self.assertTrue(self.is_ready(GAP, without_dispatcher_s=READY_TIMEOUT_S))
        self.assertFalse(self.is_ready(GAP))

    def test_frames_from_before_the_gap_do_not_show_that_an_entry_is_reachable(self):
        self.lose_dispatcher({"e1", "e2"})
        self.reachable.on_frame("e1", 9.9)
        self.reachable.on_frame("e2", math.inf)
        self.assertFalse(self.is_ready(GAP))

    def test_entry_cut_off_with_a_minority_leaves_the_rotation(self):
        self.lose_dispatcher({"e1", "e2", "e3", "e4", "e5"})
        self.reachable.on_frame("e1", 10.1)
        self.reachable.on_frame("e2", 10.1)
        self.assertFalse(self.is_ready(GAP))
        self.reachable.on_frame("e3", 10.1)
        self.assertTrue(self.is_ready(GAP))

    def test_entry_leaves_the_rotation_when_no_takeover_came(self):
        for entry in self.lose_dispatcher({"e1"}):
            self.reachable.on_frame(entry, 10.1)
        self.assertFalse(
            self.is_ready(GAP, without_dispatcher_s=TAKEOVER_TIMEOUT_S + 0.1)
        )

    def test_entries_are_asked_once_in_a_gap(self):
        self.lose_dispatcher({"e1"})
        again = self.reachable.begin_gap_if_due(
            is_dispatcher_heard=False, linked={"e1"}, now_s=10.2
        )
        self.assertEqual(frozenset(), again)

    def test_restarted_entry_is_ready_once_it_is_linked(self):
        state = dataclasses.replace(
            GAP, has_configuration=False, is_configuration_current=False
        )
        self.assertTrue(self.is_ready(state, without_dispatcher_s=0.3))
        self.assertFalse(self.is_ready(state))
        self.reachable.on_link_up("e1", 0.7)
        self.assertTrue(self.is_ready(state))

    def test_entry_of_a_new_deployment_is_not_ready_before_the_first_configuration(
        self,
    ):
        self.readiness = Readiness(
            waits_in_gaps=True, reachable=self.reachable, is_first_start=True
        )
        state = dataclasses.replace(
            SERVING, has_configuration=False, is_configuration_current=False
        )
        self.assertFalse(self.is_ready(state))
        self.assertFalse(self.is_ready(state, hears_dispatcher=False))
        self.assertTrue(self.is_ready(SERVING))

    def test_single_entry_stays_ready_through_a_restart(self):
        self.assertTrue(self.is_ready(GAP, has_other_entries=False))

    def test_entry_with_an_outdated_configuration_is_not_ready(self):
        self.assertFalse(self.is_ready(SERVING, is_configuration_current=False))
        self.lose_dispatcher({"e1"})
        self.reachable.on_frame("e1", 10.1)
        self.assertFalse(self.is_ready(GAP, is_configuration_current=False))

    def test_without_the_feature_an_entry_without_dispatcher_is_not_ready(self):
        self.readiness = Readiness(waits_in_gaps=False, reachable=self.reachable)
        self.reachable.on_link_up("e1", 0.1)
        self.assertTrue(self.is_ready(SERVING))
        self.assertFalse(self.is_ready(GAP, without_dispatcher_s=0.3))
        self.assertFalse(self.is_ready(SERVING, has_configuration=False))
