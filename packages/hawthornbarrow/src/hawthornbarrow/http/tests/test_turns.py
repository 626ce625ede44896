"""Tests how much a server reads before the other tasks of its process have a turn."""

import socket
import threading
import unittest
from unittest import mock

import curio
import h11

from hawthornbarrow.http import HttpLimits, HttpServer, Response

# A request may take longer to arrive than any machine needs for this crowd.
LIMITS = HttpLimits(body_bytes=1024 * 1024, request_timeout_s=600.0)
CONNECTIONS = 20
MAX_EVENTS = 512
MAX_BYTES = 256 * 1024
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"


class TurnCounter:
    """Counts what is parsed between two turns of another task."""

    def __init__(self):
        self.events = 0
        self.bytes = 0
        self.max_events = 0
        self.max_bytes = 0
        self._next_event = h11.Connection.next_event
        self._receive_data = h11.Connection.receive_data

    def next_event(self, connection):
        self.events += 1
        self.max_events = max(self.max_events, self.events)
        return self._next_event(connection)

    def receive_data(self, connection, data):
        self.bytes += len(data)
        self.max_bytes = max(self.max_bytes, self.bytes)
        return self._receive_data(connection, data)

    async def run(self):
        while True:
            self.events = self.bytes = 0
            await curio.sleep(0)


def request_once(port, data, replies):
    with socket.create_connection(("127.0.0.1", port), timeout=600) as sock:
        sock.sendall(data)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
        replies.append(received)


def request_at_once(port, data, replies):
    threads = [
        threading.Thread(target=request_once, args=(port, data, replies))
        for _ in range(CONNECTIONS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


async def serve_and_count(data, counter, replies):
    async def answer(request):
        return Response(status=200, body=str(len(request.body)).encode())

    server = HttpServer(handler=answer, limits=LIMITS)
    tasks = [
        await curio.spawn(server.serve, "127.0.0.1", 0),
        await curio.spawn(counter.run),
    ]
    while not server.bound_port:
        await curio.sleep(0.001)
    await curio.run_in_thread(request_at_once, server.bound_port, data, replies)
    for task in tasks:
        await task.cancel()


class TurnsTest(unittest.TestCase):
    """Connections that always have more to read must not keep the others waiting."""

    def count(self, data):
        counter = TurnCounter()
        replies = []
        with (
            mock.patch.object(
                h11.Connection, "next_event", lambda c: counter.next_event(c)
            ),
            mock.patch.object(
                h11.Connection, "receive_data", lambda c, d: counter.receive_data(c, d)
            ),
        ):
            curio.run(serve_and_count, data, counter, replies)
        self.assertEqual(CONNECTIONS, len(replies))
        for reply in replies:
            self.assertIn(b"200", reply.split(b"\r\n", 1)[0])
        return counter

    def test_small_chunks_leave_turns_to_others(self):
        """Guards against heartbeats that are late while tiny chunks are parsed."""
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        counter = self.count(data + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n")
        self.assertLessEqual(counter.max_events, MAX_EVENTS)

    def test_large_bodies_leave_turns_to_others(self):
        """Guards against heartbeats that are late while large bodies arrive."""
        size = LIMITS.body_bytes
        counter = self.count(HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size)
        self.assertLessEqual(counter.max_bytes, MAX_BYTES)


if __name__ == "__main__":
    unittest.main()
