"""Curio tasks that a loop starts and does not wait for."""

from hawthornbarrow.tasks._background_tasks import BackgroundTasks

__all__ = ["BackgroundTasks"]
