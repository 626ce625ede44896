"""Graceful shutdown of a process on SIGTERM or SIGINT, and the tasks it runs."""

from hawthornbarrow.shutdown._signals import SignalEvent, serve_until_signalled
from hawthornbarrow.shutdown._tasks import TaskFunction, run_all

__all__ = ["SignalEvent", "TaskFunction", "run_all", "serve_until_signalled"]
