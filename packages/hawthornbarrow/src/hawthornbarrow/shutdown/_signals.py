"""Runs a process until a signal asks for a graceful shutdown."""

import collections.abc
import signal
import socket
import types

import curio

_CoroutineFunction = collections.abc.Callable[[], collections.abc.Awaitable[None]]
_MAX_PENDING_SIGNALS = 64


class SignalEvent:
    """Wakes a task when one of the given signals arrives.

    The handler only writes a byte to a socket. `curio.UniversalEvent` cannot be set by
    a handler: where the signal interrupts a coroutine, `set` returns a coroutine that
    nobody awaits, and the signal is lost.

    Args:
        signal_numbers: Signals to wait for.
    """

    def __init__(self, *signal_numbers: signal.Signals) -> None:
        """Installs the handler."""
        receiver, self._sender = socket.socketpair()
        self._sender.setblocking(False)
        self._receiver = curio.io.Socket(receiver)
        for signal_number in signal_numbers:
            signal.signal(signal_number, self._on_signal)

    def _on_signal(self, number: int, frame: types.FrameType | None) -> None:
        try:
            self._sender.send(b"\0")
        except BlockingIOError:
            # Enough signals are pending already to wake the task.
            return

    async def wait(self) -> None:
        """Waits for a signal that arrived since the last wait."""
        await self._receiver.recv(_MAX_PENDING_SIGNALS)

    async def close(self) -> None:
        """Closes the sockets; the handler must have been replaced before."""
        await self._receiver.close()
        self._sender.close()


async def serve_until_signalled(
    serve: _CoroutineFunction, drain: _CoroutineFunction
) -> None:
    """Serves until SIGTERM or SIGINT, then drains and returns.

    Args:
        serve: Runs until cancelled; when it fails before that, its error is raised.
        drain: Finishes the work in progress while `serve` still runs.
    """
    signalled = SignalEvent(signal.SIGTERM, signal.SIGINT)
    async with curio.TaskGroup(wait=any) as group:
        serve_task = await group.spawn(serve)
        await group.spawn(_drain_on_signal, signalled, drain)
        await group.join()
    if serve_task.exception is not None and not isinstance(
        serve_task.exception, curio.TaskCancelled
    ):
        raise serve_task.exception


async def _drain_on_signal(signalled: SignalEvent, drain: _CoroutineFunction) -> None:
    await signalled.wait()
    await drain()
