"""The story of one request, and logs that never wait."""

import os
import unittest

from hawthornbarrow.observability import build_timeline, parse_line
from hawthornbarrow.observability._logs import BoundedWriter


def line(timestamp, process, event, **fields):
    pairs = " ".join(f"{name}={value!r}" for name, value in fields.items())
    head = f"timestamp='{timestamp}' level='info' process='{process}'"
    return f"{head} event='{event}' {pairs}"


class StoryTest(unittest.TestCase):
    def test_lines_of_all_processes_in_order_of_time(self):
        lines = [
            line("3", "a1", "run_ended", task="j1.0.0.2", end="done", run_s=0.2),
            line("1", "e1", "tasks_placed", job="j1", tasks="0.2@a1"),
            line("4", "e2", "job_answered", job="j1", outcome="complete"),
            line("2", "e1", "tasks_placed", job="j2", tasks="0.1@a1"),
        ]
        story = build_timeline("j1", lines)
        self.assertEqual(
            ["tasks_placed", "run_ended", "job_answered"],
            [one.event for one in story],
        )
        self.assertEqual("0.2", story[1].fields["run_s"])

    def test_what_befell_the_fleet_meanwhile_is_told(self):
        lines = [
            line("1", "e1", "tasks_placed", job="j1"),
            line("2", "e1", "worker_lost", agent="a1", reason="silent"),
            line("3", "e1", "job_ended", job="j1"),
            line("4", "e1", "worker_lost", agent="a2", reason="silent"),
        ]
        events = [one.event for one in build_timeline("j1", lines)]
        self.assertEqual(["tasks_placed", "worker_lost", "job_ended"], events)

    def test_an_unknown_job_has_no_story(self):
        self.assertEqual([], build_timeline("j9", [line("1", "e1", "worker_lost")]))

    def test_values_with_spaces(self):
        parsed = parse_line(line("1", "e1", "job_ended", reason="all tasks done"))
        self.assertEqual("all tasks done", parsed.fields["reason"])


class BoundedWriterTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer)

    def test_a_full_pipe_drops_lines_and_counts_them(self):
        writer = BoundedWriter(
            descriptor=self.writer, lines_a_second=1e9, lines_at_once=1e9
        )
        for _ in range(10_000):
            writer.write_line("x" * 100)
        self.assertGreater(writer.dropped, 1000)
        os.read(self.reader, 1 << 20)
        writer.write_line("after")
        writer.write_line("after")
        text = os.read(self.reader, 1 << 20).decode()
        self.assertIn("after dropped_lines=", text)
        self.assertEqual(0, writer.dropped)

    def test_a_line_that_was_cut_is_completed_first(self):
        writer = BoundedWriter(descriptor=self.writer, lines_at_once=1e9)
        while not writer.dropped:
            writer.write_line("y" * 999)
        text = os.read(self.reader, 1 << 20).decode()
        writer.write_line("z")
        text += os.read(self.reader, 1 << 20).decode()
        lengths = {len(one) for one in text.splitlines()[:-1]}
        self.assertEqual({999}, lengths)

    def test_lines_beyond_the_budget_are_dropped(self):
        writer = BoundedWriter(
            descriptor=self.writer, lines_a_second=0.0, lines_at_once=3
        )
        for _ in range(5):
            writer.write_line("x")
        self.assertEqual(2, writer.dropped)
