"""Runs a process until a signal asks for a graceful shutdown."""

import collections.abc
import signal

import curio

_CoroutineFunction = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def serve_until_signalled(
    serve: _CoroutineFunction, drain: _CoroutineFunction
) -> None:
    """Serves until SIGTERM or SIGINT, then drains and returns.

    Args:
        serve: Runs until cancelled; when it fails before that, its error is raised.
        drain: Finishes the work in progress while `serve` still runs.
    """
    signalled = curio.UniversalEvent()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: signalled.set())
    async with curio.TaskGroup(wait=any) as group:
        serve_task = await group.spawn(serve)
        await group.spawn(_drain_on_signal, signalled, drain)
        await group.join()
    if serve_task.exception is not None and not isinstance(
        serve_task.exception, curio.TaskCancelled
    ):
        raise serve_task.exception


async def _drain_on_signal(
    signalled: curio.UniversalEvent, drain: _CoroutineFunction
) -> None:
    await signalled.wait()
    await drain()
