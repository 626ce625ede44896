"""Tests of how entries fetch a large configuration over slow links."""

import json
import unittest

import msgspec
from hawthornbarrow.cells import (
    ConfigurationReply,
    ConfigurationSender,
    GetConfiguration,
    with_document,
)
from hawthornbarrow.queues import ConfigurationFormat, QueueTable

from hawthornbarrow_entry.fleet._configuration_fetch import (
    MAX_RETRY_INTERVAL_S,
    MIN_RETRY_INTERVAL_S,
    ConfigurationFetch,
)
from hawthornbarrow_entry.fleet._entry_configuration import EntryConfiguration

HEARTBEAT_INTERVAL_S = 0.15
INFORMATION_LEASE_S = 1.2
LINK_BYTES_PER_S = 250_000  # 2 Mbit/s


def large_document(route_count=2000):
    routes = [
        {"name": f"route-{n}", "host": f"h{n}.example", "prefix": f"/p/{n}/", "w": n}
        for n in range(route_count)
    ]
    return json.dumps(routes).encode()


class ConfigurationFetchTest(unittest.TestCase):
    def setUp(self):
        self.fetch = ConfigurationFetch()

    def is_due(self, now_s, *, known=2, current=1, term=1):
        return self.fetch.is_due(
            known_version=known, current_version=current, term=term, now_s=now_s
        )

    def test_new_term_is_asked_at_once(self):
        self.assertTrue(self.is_due(0.0))
        self.assertFalse(self.is_due(0.01))
        self.assertTrue(self.is_due(0.02, term=2))
        self.assertFalse(self.is_due(0.03, term=2, current=2))

    def test_newer_version_is_asked_for_once_the_open_request_is_answered(self):
        self.assertTrue(self.is_due(0.0))
        self.assertFalse(self.is_due(0.1, known=3))
        self.fetch.on_reply()
        self.assertTrue(self.is_due(0.2, known=3, current=2))

    def test_unanswered_request_is_repeated_ever_more_rarely(self):
        times = [n / 100 for n in range(1000) if self.is_due(n / 100)]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertAlmostEqual(MIN_RETRY_INTERVAL_S, gaps[0])
        self.assertEqual(gaps, sorted(gaps))
        self.assertAlmostEqual(MAX_RETRY_INTERVAL_S, gaps[-1])

    def test_many_versions_in_a_row_do_not_delay_heartbeats(self):
        """Plays 12 versions in 1.5 s on a link where heartbeats queue behind them."""
        sender = ConfigurationSender()
        busy_until_s, latest_delay_s, current = 0.0, 0.0, 1
        arrivals = []
        for tick in range(round(6.0 / HEARTBEAT_INTERVAL_S)):
            now_s = tick * HEARTBEAT_INTERVAL_S
            busy_until_s = max(busy_until_s, now_s)
            latest_delay_s = max(latest_delay_s, busy_until_s - now_s)
            while arrivals and arrivals[0][0] <= now_s:
                current = max(current, arrivals.pop(0)[1])
                self.fetch.on_reply()
            newest = min(13, 2 + round(now_s * 8))
            if self.is_due(now_s, known=newest, current=current):
                request = GetConfiguration(number=0, accepts_compressed=True)
                document = large_document(2000 + newest)
                reply = sender.reply(request, newest, document)
                busy_until_s += len(msgspec.msgpack.encode(reply)) / LINK_BYTES_PER_S
                arrivals.append((busy_until_s, newest))
        self.assertEqual(13, current)
        self.assertLess(latest_delay_s, INFORMATION_LEASE_S / 2)

    def test_entry_on_a_slow_link_gets_a_large_configuration_in_time(self):
        """Plays a link on which heartbeats queue behind what was sent before."""
        document = large_document()
        sender = ConfigurationSender()
        busy_until_s, arrives_at_s, latest_delay_s = 0.0, None, 0.0
        for tick in range(round(3.0 / HEARTBEAT_INTERVAL_S)):
            now_s = tick * HEARTBEAT_INTERVAL_S
            busy_until_s = max(busy_until_s, now_s)
            latest_delay_s = max(latest_delay_s, busy_until_s - now_s)
            has_arrived = arrives_at_s is not None and arrives_at_s <= now_s
            if self.is_due(now_s, current=2 if has_arrived else 1):
                request = GetConfiguration(number=0, accepts_compressed=True)
                reply = sender.reply(request, 2, document)
                busy_until_s += len(msgspec.msgpack.encode(reply)) / LINK_BYTES_PER_S
                arrives_at_s = arrives_at_s or busy_until_s
        self.assertLess(arrives_at_s, 1.0)
        self.assertLess(latest_delay_s, INFORMATION_LEASE_S / 2)


class VersionFormat(ConfigurationFormat):
    """Decodes a document that consists of its version."""

    def decode(self, document):
        return QueueTable(version=int(document), queues=[], services=[])


class EntryConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.configuration = EntryConfiguration(configuration_format=VersionFormat())

    def reply(self, version, number=0):
        return ConfigurationReply(
            number=number, version=version, document=str(version).encode()
        )

    def test_older_configuration_that_arrives_late_is_not_put_in_force(self):
        for version in (5, 3, 4):
            self.configuration.on_reply("e", self.reply(version))
            self.assertEqual(5, self.configuration.version)

    def test_read_that_a_paused_process_answers_late_is_refused(self):
        self.configuration.on_reply("e", self.reply(5))
        reply = self.reply(5, number=1)
        self.assertTrue(self.configuration.is_read_current(reply, 5, 0.1))
        self.assertFalse(self.configuration.is_read_current(reply, 5, 3.0))

    def test_read_that_is_older_than_what_the_entry_knows_is_refused(self):
        reply = self.reply(5, number=1)
        self.assertFalse(self.configuration.is_read_current(reply, 6, 0.1))
        self.configuration.on_reply("e", self.reply(7))
        self.assertFalse(self.configuration.is_read_current(reply, 0, 0.1))


class ConfigurationTransferTest(unittest.TestCase):
    def test_document_arrives_unchanged(self):
        sender = ConfigurationSender()
        for document in (b"", b"short", large_document()):
            for accepts in (False, True):
                request = GetConfiguration(number=7, accepts_compressed=accepts)
                reply = with_document(sender.reply(request, len(document), document))
                self.assertEqual(document, reply.document)
                self.assertEqual(7, reply.number)

    def test_process_of_the_version_before_gets_the_plain_document(self):
        document = large_document()
        reply = ConfigurationSender().reply(GetConfiguration(number=1), 1, document)
        self.assertEqual(document, reply.document)

    def test_next_version_is_not_answered_with_the_compressed_one_before(self):
        sender = ConfigurationSender()
        request = GetConfiguration(number=1, accepts_compressed=True)
        sender.reply(request, 1, large_document(100))
        reply = with_document(sender.reply(request, 2, large_document(200)))
        self.assertEqual(large_document(200), reply.document)

    def test_damaged_document_is_refused(self):
        compressed = ConfigurationSender().reply(
            GetConfiguration(number=1, accepts_compressed=True), 1, large_document()
        )
        cut = compressed.compressed[:-9]
        for damaged in (cut, b"x" + cut, b"not compressed"):
            reply = ConfigurationReply(
                number=1, version=1, document=b"", compressed=damaged
            )
            self.assertIsNone(with_document(reply))
