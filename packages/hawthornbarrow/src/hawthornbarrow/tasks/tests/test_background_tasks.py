"""Tests of the tasks of loops that run as long as their process."""

import gc
import tracemalloc
import unittest

import curio

from hawthornbarrow.http import HttpServer, Response
from hawthornbarrow.links import LinkPort, Mailbox
from hawthornbarrow.tasks import BackgroundTasks

TASK_COUNT = 20_000
CONNECTION_COUNT = 2_000
MAX_GROWTH_BYTES = 200_000


async def measure_growth(work, count):
    """Returns by how many bytes the memory grows when work is done that often."""
    for _ in range(count // 10):
        await work()
    await curio.sleep(0.1)
    tracemalloc.start()
    try:
        gc.collect()
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(count):
            await work()
        await curio.sleep(0.1)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


class BackgroundTasksTest(unittest.TestCase):
    def test_memory_does_not_grow_with_tasks_that_have_ended(self):
        """Guards against loops that keep each task, until the process has no memory."""

        async def main():
            async with BackgroundTasks() as tasks:

                async def work():
                    task = await tasks.spawn(curio.sleep, 0)
                    await task.wait()

                return await measure_growth(work, TASK_COUNT)

        self.assertLess(curio.run(main), MAX_GROWTH_BYTES)

    def test_result_of_a_task_is_available(self):
        async def double(number):
            return 2 * number

        async def main():
            async with BackgroundTasks() as tasks:
                task = await tasks.spawn(double, 4)
                await task.wait()
                return task.result

        self.assertEqual(8, curio.run(main))

    def test_task_that_fails_leaves_the_others_running(self):
        async def fail():
            raise ValueError("expected")

        async def main():
            async with BackgroundTasks() as tasks:
                failing = await tasks.spawn(fail)
                await tasks.spawn(curio.sleep, 10)
                await failing.wait()
                return len(tasks)

        self.assertEqual(1, curio.run(main))

    def test_tasks_are_cancelled_at_the_end_of_the_context(self):
        cancelled = []

        async def work(number):
            try:
                await curio.sleep(10)
            finally:
                cancelled.append(number)

        async def main():
            async with BackgroundTasks() as tasks:
                for number in range(3):
                    await tasks.spawn(work, number)
                await curio.sleep(0)

        curio.run(main)
        self.assertEqual([0, 1, 2], sorted(cancelled))


class ServerGrowthTest(unittest.TestCase):
    """Tests the loops that accept connections."""

    def check_growth(self, serve, bound_port, data):
        async def connect(port):
            sock = await curio.open_connection("127.0.0.1", port)
            async with sock:
                await sock.sendall(data)
                while await sock.recv(1000):
                    pass

        async def main():
            task = await curio.spawn(serve, "127.0.0.1", 0, daemon=True)
            while not bound_port():
                await curio.sleep(0.01)

            async def work():
                await connect(bound_port())

            growth = await measure_growth(work, CONNECTION_COUNT)
            await task.cancel()
            return growth

        self.assertLess(curio.run(main), MAX_GROWTH_BYTES)

    def test_memory_of_an_http_server_does_not_grow_with_connections(self):
        async def handle(request):
            return Response(status=200)

        server = HttpServer(handler=handle)
        request = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        self.check_growth(server.serve, lambda: server.bound_port, request)

    def test_memory_of_a_link_port_does_not_grow_with_connections(self):
        port = LinkPort(
            process="p",
            role="entry",
            incarnation=1,
            cluster_key=b"k",
            mailbox=Mailbox(),
        )
        self.check_growth(port.listen, lambda: port.bound_port, b"not a frame" * 10)


if __name__ == "__main__":
    unittest.main()
