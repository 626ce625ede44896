import tracemalloc
import unittest

from hawthornbarrow.jobs import JobSpecError, parse_job_spec

MAX_TASKS = 10_000
MAX_FACTOR = 4  # of the body's size


class JobSpecTest(unittest.TestCase):
    def test_body_of_many_small_tasks_takes_few_times_its_size(self):
        """Guards against a body that takes many times its size once it is decoded."""
        body = b'{"service":"s","tasks":[' + b"0," * 1_000_000 + b"0]}"
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(JobSpecError):
            parse_job_spec(body, max_tasks=MAX_TASKS)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLessEqual(peak_bytes, MAX_FACTOR * len(body))


if __name__ == "__main__":
    unittest.main()
