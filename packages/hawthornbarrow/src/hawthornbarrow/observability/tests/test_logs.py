"""Tests of log timelines and of the log writer, which must never block."""

import os
import unittest

from hawthornbarrow.observability import build_timeline, parse_log_line
from hawthornbarrow.observability._logs import BoundedWriter


def format_line(timestamp, process, event, **fields):
    pairs = " ".join(f"{name}={value!r}" for name, value in fields.items())
    head = f"timestamp='{timestamp}' level='info' process='{process}'"
    return f"{head} event='{event}' {pairs}"


class TimelineTest(unittest.TestCase):
    def test_lines_of_all_processes_are_sorted_by_time(self):
        lines = [
            format_line("3", "a1", "run_ended", task="j1.0.0.2", end="done", run_s=0.2),
            format_line("1", "e1", "tasks_placed", job="j1", tasks="0.2@a1"),
            format_line("4", "e2", "job_answered", job="j1", outcome="complete"),
            format_line("2", "e1", "tasks_placed", job="j2", tasks="0.1@a1"),
        ]
        timeline = build_timeline("j1", lines)
        self.assertEqual(
            ["tasks_placed", "run_ended", "job_answered"],
            [line.event for line in timeline],
        )
        self.assertEqual("0.2", timeline[1].fields["run_s"])

    def test_fleet_events_during_the_job_are_included(self):
        lines = [
            format_line("1", "e1", "tasks_placed", job="j1"),
            format_line("2", "e1", "worker_lost", agent="a1", reason="silent"),
            format_line("3", "e1", "job_ended", job="j1"),
            format_line("4", "e1", "worker_lost", agent="a2", reason="silent"),
        ]
        events = [line.event for line in build_timeline("j1", lines)]
        self.assertEqual(["tasks_placed", "worker_lost", "job_ended"], events)

    def test_unknown_job_has_an_empty_timeline(self):
        self.assertEqual(
            [], build_timeline("j9", [format_line("1", "e1", "worker_lost")])
        )

    def test_values_with_spaces_are_parsed(self):
        parsed = parse_log_line(
            format_line("1", "e1", "job_ended", reason="all tasks done")
        )
        self.assertEqual("all tasks done", parsed.fields["reason"])


class BoundedWriterTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer)

    def test_lines_for_a_full_pipe_are_dropped_and_counted(self):
        writer = BoundedWriter(
            descriptor=self.writer, lines_per_s=1e9, max_burst_lines=1e9
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

    def test_partially_written_line_is_completed_first(self):
        writer = BoundedWriter(descriptor=self.writer, max_burst_lines=1e9)
        while not writer.dropped:
            writer.write_line("y" * 999)
        text = os.read(self.reader, 1 << 20).decode()
        writer.write_line("z")
        text += os.read(self.reader, 1 << 20).decode()
        lengths = {len(line) for line in text.splitlines()[:-1]}
        self.assertEqual({999}, lengths)

    def test_lines_for_a_file_on_a_full_disk_are_dropped_and_counted(self):
        """Guards against processes that end with the first line on a full disk."""
        descriptor = os.open("/dev/full", os.O_WRONLY)
        self.addCleanup(os.close, descriptor)
        writer = BoundedWriter(descriptor=descriptor)
        writer.write_line("x")
        writer.write_line("x")
        self.assertEqual(2, writer.dropped)

    def test_lines_beyond_the_budget_are_dropped(self):
        writer = BoundedWriter(
            descriptor=self.writer, lines_per_s=0.0, max_burst_lines=3
        )
        for _ in range(5):
            writer.write_line("x")
        self.assertEqual(2, writer.dropped)
