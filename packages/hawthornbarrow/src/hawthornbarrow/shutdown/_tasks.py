"""Runs the concurrent tasks of a process."""

import collections.abc

import curio

TaskFunction = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def run_all(tasks: list[TaskFunction]) -> None:
    """Runs tasks concurrently until one of them ends, then cancels the others."""
    async with curio.TaskGroup(wait=any) as group:
        for task in tasks:
            await group.spawn(task)
