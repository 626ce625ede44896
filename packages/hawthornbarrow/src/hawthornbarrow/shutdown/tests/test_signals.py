"""Tests of signals that arrive while coroutines run."""

import signal
import unittest

import curio

from hawthornbarrow.shutdown import SignalEvent, serve_until_signalled

TIMEOUT_S = 2.0


class SignalEventTest(unittest.TestCase):
    def setUp(self):
        for number in (signal.SIGUSR1, signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def test_signal_that_interrupts_a_coroutine_is_not_lost(self):
        async def main():
            event = SignalEvent(signal.SIGUSR1)
            signal.raise_signal(signal.SIGUSR1)
            async with curio.timeout_after(TIMEOUT_S):
                await event.wait()
            signal.signal(signal.SIGUSR1, signal.SIG_IGN)
            await event.close()

        curio.run(main)

    def test_process_drains_when_the_signal_interrupts_a_coroutine(self):
        drained = []

        async def serve():
            signal.raise_signal(signal.SIGTERM)
            await curio.sleep(100.0)

        async def drain():
            drained.append(True)

        async def main():
            async with curio.timeout_after(TIMEOUT_S):
                await serve_until_signalled(serve, drain)

        curio.run(main)
        self.assertEqual([True], drained)

    def test_many_signals_wake_the_task_and_block_nothing(self):
        async def main():
            event = SignalEvent(signal.SIGUSR1)
            for _ in range(100_000):
                signal.raise_signal(signal.SIGUSR1)
            async with curio.timeout_after(TIMEOUT_S):
                await event.wait()
            signal.signal(signal.SIGUSR1, signal.SIG_IGN)
            await event.close()

        curio.run(main)
