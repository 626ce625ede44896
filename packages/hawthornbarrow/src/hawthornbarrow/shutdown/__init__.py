"""Graceful shutdown of a process on SIGTERM or SIGINT, and the tasks it runs."""

from hawthornbarrow.shutdown._signals import serve_until_signalled
from hawthornbarrow.shutdown._tasks import Task, run_all

__all__ = ["Task", "run_all", "serve_until_signalled"]
