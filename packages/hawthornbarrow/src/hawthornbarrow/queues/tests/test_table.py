"""Finding queues, and what can not be put in force."""

import unittest

from hawthornbarrow.queues import InvalidConfigurationError, Queue, QueueTable, Service


def queue(name, prefix="/a/", host="h", service="s", timeout_s=1.0):
    return Queue(
        name=name, host=host, prefix=prefix, service=service, timeout_s=timeout_s
    )


def table(*queues):
    return QueueTable(version=1, queues=list(queues), services=[Service(name="s")])


class QueueTableTest(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self):
        found = table(queue("short", "/a/"), queue("long", "/a/b/"))
        self.assertEqual("long", found.find("h", "/a/b/1").name)
        self.assertEqual("short", found.find("h", "/a/c/1").name)
        self.assertIsNone(found.find("h", "/b/1"))
        self.assertIsNone(found.find("other", "/a/1"))

    def test_one_prefix_may_serve_several_hosts(self):
        found = table(queue("x", host="x"), queue("y", host="y"))
        self.assertEqual("y", found.find("y", "/a/1").name)

    def test_two_queues_of_one_host_and_prefix_are_refused(self):
        with self.assertRaisesRegex(InvalidConfigurationError, "share the host"):
            table(queue("x"), queue("y"))

    def test_an_unknown_service_is_refused(self):
        with self.assertRaisesRegex(InvalidConfigurationError, "unknown service"):
            table(queue("x", service="t"))

    def test_a_timeout_of_zero_is_refused(self):
        with self.assertRaisesRegex(InvalidConfigurationError, "timeout"):
            table(queue("x", timeout_s=0.0))
