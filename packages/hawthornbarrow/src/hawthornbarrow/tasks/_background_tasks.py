"""BackgroundTasks: the tasks of a loop, each of which is forgotten when it ends."""

import collections.abc
import types
import typing

import curio

_Coroutine = collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]


class BackgroundTasks:
    """Spawns tasks within an asynchronous context and cancels the rest at its end.

    A curio task group keeps each task that has ended until somebody takes it, so a loop
    that runs as long as its process would grow with each task.

    Examples:
        >>> async def handle(number):
        ...     await curio.sleep(0)
        >>> async def main():
        ...     async with BackgroundTasks() as tasks:
        ...         for number in range(3):
        ...             await tasks.spawn(handle, number)
        ...         await curio.sleep(0.01)
        ...         return len(tasks)
        >>> curio.run(main)
        0
    """

    def __init__(self) -> None:
        """Initializes it without tasks."""
        self._tasks: dict[object, curio.Task] = {}

    def __len__(self) -> int:
        """Returns the number of tasks that have not ended."""
        return len(self._tasks)

    async def __aenter__(self) -> "BackgroundTasks":
        """Returns itself."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Cancels the tasks that have not ended, and waits for them."""
        tasks = list(self._tasks.values())
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()

    async def spawn(
        self,
        function: collections.abc.Callable[..., _Coroutine],
        *arguments: object,
    ) -> curio.Task:
        """Starts a task that calls a coroutine function with the given arguments."""
        key = object()
        task = await curio.spawn(self._run, key, function, arguments, daemon=True)
        if not task.terminated:
            self._tasks[key] = task
        return task

    async def _run(
        self,
        key: object,
        function: collections.abc.Callable[..., _Coroutine],
        arguments: tuple[object, ...],
    ) -> object:
        try:
            return await function(*arguments)
        finally:
            self._tasks.pop(key, None)
