"""Tests of queue lookup and of the validation of queue tables."""

import unittest

from hawthornbarrow.queues import InvalidConfigurationError, Queue, QueueTable, Service


def make_queue(name, prefix="/a/", host="h", service="s", timeout_s=1.0):
    return Queue(
        name=name, host=host, prefix=prefix, service=service, timeout_s=timeout_s
    )


def make_table(*queues):
    return QueueTable(version=1, queues=list(queues), services=[Service(name="s")])


class QueueTableTest(unittest.TestCase):
    def test_longest_matching_prefix_of_the_host_is_found(self):
        table = make_table(make_queue("short", "/a/"), make_queue("long", "/a/b/"))
        self.assertEqual("long", table.find("h", "/a/b/1").name)
        self.assertEqual("short", table.find("h", "/a/c/1").name)
        self.assertIsNone(table.find("h", "/b/1"))
        self.assertIsNone(table.find("other", "/a/1"))

    def test_several_hosts_may_use_the_same_prefix(self):
        table = make_table(make_queue("x", host="x"), make_queue("y", host="y"))
        self.assertEqual("y", table.find("y", "/a/1").name)

    def test_two_queues_with_the_same_host_and_prefix_are_refused(self):
        with self.assertRaisesRegex(InvalidConfigurationError, "share the host"):
            make_table(make_queue("x"), make_queue("y"))

    def test_unknown_service_is_refused(self):
        with self.assertRaisesRegex(InvalidConfigurationError, "unknown service"):
            make_table(make_queue("x", service="t"))

    def test_zero_timeout_is_refused(self):
        with self.assertRaisesRegex(InvalidConfigurationError, "timeout"):
            make_table(make_queue("x", timeout_s=0.0))
