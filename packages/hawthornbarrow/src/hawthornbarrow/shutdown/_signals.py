"""Runs a process's tasks until a signal asks for a graceful end."""

import collections.abc
import signal

import curio

_Coroutine = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def serve_until_signalled(serve: _Coroutine, drain: _Coroutine) -> None:
    """Serves until SIGTERM or SIGINT, then drains and returns.

    Args:
        serve: Runs until cancelled; when it ends by itself, its error is raised.
        drain: Finishes what is in flight while `serve` still runs.
    """
    signalled = curio.UniversalEvent()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: signalled.set())
    async with curio.TaskGroup(wait=any) as group:
        serving = await group.spawn(serve)
        await group.spawn(_drain_on_signal, signalled, drain)
        await group.join()
    if serving.exception is not None and not isinstance(
        serving.exception, curio.TaskCancelled
    ):
        raise serving.exception


async def _drain_on_signal(signalled: curio.UniversalEvent, drain: _Coroutine) -> None:
    await signalled.wait()
    await drain()
