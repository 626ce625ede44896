"""Tasks that make up a process."""

import collections.abc

import curio

Task = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def run_all(tasks: list[Task]) -> None:
    """Runs tasks until one of them ends; then all end."""
    async with curio.TaskGroup(wait=any) as group:
        for task in tasks:
            await group.spawn(task)
