"""Tests of announcements that come from upstreams of another service."""

import itertools
import random
import unittest

from hawthornbarrow.cells import (
    AttachWorker,
    DispatcherHeartbeat,
    Listing,
    LoadFeature,
    Resources,
    RunLeaseTiming,
    RunSupervisor,
    WorkerRecord,
    first_term,
)

TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
TERM = first_term(1)
TICK_S = 0.05
FEATURES = frozenset({LoadFeature.UPSTREAM_DIRECTORY})


def record_of(upstream, service):
    return WorkerRecord(
        upstream=upstream,
        service=service,
        data_centre="d",
        labels=(),
        capacity=Resources(cpu=8000),
    )


OWN = record_of("own", "s")
FOREIGN = (record_of("foreign", "t"), record_of("stranger", "v"))


class ForeignAnnouncementTest(unittest.TestCase):
    """Plays an agent whose own upstream answers, and others that only announce."""

    def start_agent(self, service):
        self.now_s = 10.0
        self.session = 0
        self.attached = []
        self.agent = RunSupervisor(
            timing=TIMING,
            generator=random.Random(1),
            now_s=self.now_s,
            features=FEATURES,
            service=service,
        )

    def tick(self, seconds, known_worker=None):
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += TICK_S
            heartbeat = DispatcherHeartbeat(
                term=TERM,
                heard_at_s=self.now_s,
                version=1,
                session=self.session,
                known_worker=known_worker,
            )
            self.agent.on_heartbeat("d", heartbeat, self.now_s)
            worker = self.agent.listed_worker
            if worker is not None and worker.upstream == OWN.upstream:
                listing = Listing(
                    upstream=OWN.upstream,
                    asked_at_s=self.now_s,
                    running=[],
                    ended=[],
                )
                self.agent.on_listing(listing, self.now_s)
            elif worker is not None:
                self.agent.on_upstream_gone(worker.incarnation, self.now_s)
            self.agent.tick(self.now_s)
            for _, message in self.agent.take_messages():
                if isinstance(message, AttachWorker):
                    self.session = message.session
                    self.attached.append(message.worker)

    def check(self, order, service, known_worker):
        self.start_agent(service)
        for worker in order:
            self.agent.announce(worker, False, self.now_s)
            self.tick(0.1, known_worker)
        for worker in FOREIGN * 3:
            self.agent.announce(worker, False, self.now_s)
            self.tick(0.1)
        self.agent.announce(OWN, False, self.now_s)
        self.tick(0.3)
        self.assertEqual(OWN.upstream, self.agent.upstream)
        self.assertTrue(self.agent.is_attached)
        self.assertTrue(set(self.attached) <= {OWN, None})

    def test_own_upstream_is_attached_whatever_order_announcements_have(self):
        """Guards against an agent that takes another service for its own for good."""
        announcements = (*FOREIGN, FOREIGN[0], OWN)
        for order in itertools.permutations(announcements):
            for service in ("", "s"):
                for known_worker in (None, OWN, FOREIGN[0]):
                    with self.subTest(order=order, service=service):
                        self.check(order, service, known_worker)

    def test_agent_with_a_service_asks_no_other_upstream(self):
        self.start_agent("s")
        for worker in FOREIGN * 2:
            self.assertFalse(self.agent.announce(worker, False, self.now_s))
        self.assertIsNone(self.agent.listed_worker)
        self.assertEqual(4, self.agent.counts["foreign_announcement"])


if __name__ == "__main__":
    unittest.main()
