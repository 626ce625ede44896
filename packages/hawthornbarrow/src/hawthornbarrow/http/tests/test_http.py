import contextlib
import dataclasses
import select
import socket
import threading
import time
import unittest

import curio
import msgspec

from hawthornbarrow.http import (
    HttpLimits,
    HttpServer,
    PooledClient,
    RefusedError,
    Request,
    ResetAfterSendError,
    Response,
    TruncatedError,
)
from hawthornbarrow.limits import INCLUDED_BYTES, PortBudget

LIMITS = HttpLimits(
    header_bytes=2000,
    body_bytes=1000,
    connections=20,
    idle_timeout_s=1.0,
    request_timeout_s=0.5,
)


async def echo(request: Request) -> Response:
    if request.path == "/slow":
        await curio.sleep(0.2)
    if request.path == "/held":
        await curio.sleep(1.0)
    return Response(
        status=200,
        body=request.path.encode() + request.body,
        closes_connection=request.path == "/elsewhere",
    )


async def read_json(request: Request) -> Response:
    msgspec.json.decode(request.body)
    return Response(status=200)


def run_with_server(
    scenario, *, is_draining=False, handler=echo, limits=LIMITS, **options
):
    """Runs a scenario in a thread against a server and returns its result."""
    server = HttpServer(handler=handler, limits=limits, **options)
    if is_draining:
        server.drain()
    result = []

    async def main():
        task = await curio.spawn(server.serve, "127.0.0.1", 0)
        while not server.bound_port:
            await curio.sleep(0.001)
        result.append(await curio.run_in_thread(scenario, server.bound_port))
        await task.cancel()

    curio.run(main)
    return result[0]


def exchange(port, data, *, chunks=None):
    """Sends bytes and returns all bytes received until the connection ends."""
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        for chunk in chunks or [data]:
            sock.sendall(chunk)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
        return received


GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
CLOSING_POST = (
    b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
)
CLOSING_GET = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")


class ServerTest(unittest.TestCase):
    def test_pipelined_requests_are_answered_in_order(self):
        slow = b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n"
        last = b"GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        reply = run_with_server(lambda port: exchange(port, slow + GET + last))
        positions = [reply.index(body) for body in (b"/slow", b"/a", b"/b")]
        self.assertEqual(positions, sorted(positions))
        self.assertEqual(reply.count(b"200"), 3)

    def test_response_can_close_the_connection(self):
        request = b"GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n"
        reply = run_with_server(lambda port: exchange(port, request))
        self.assertIn(b"/elsewhere", reply)
        self.assertIn(b"connection: close", reply.lower())

    def test_invalid_requests_are_refused_without_affecting_others(self):
        cases = {
            b"NONSENSE\r\n\r\n": b"400",
            b"GET /a HTTP/1.1\r\n\r\n": b"400",
            b"GET /a HTTP/1.1\r\nHost: x\r\nBad Header: 1\r\n\r\n": b"400",
            b"GET /a HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 5000 + b"\r\n\r\n": b"431",
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n"
            + b"z" * 2000: b"413",
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd": b"400",
            b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"zz\r\n": b"400",
            b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n": b"501",
        }

        def scenario(port):
            replies = [exchange(port, data) for data in cases]
            valid_reply = exchange(
                port, GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
            )
            return replies, valid_reply

        replies, valid_reply = run_with_server(scenario)
        for (data, expected), reply in zip(cases.items(), replies, strict=True):
            head = reply.split(b"\r\n", 1)[0]
            self.assertIn(expected, head, data[:60])
            self.assertIn(b'"not_run":true', reply)
        self.assertIn(b"200", valid_reply)

    def test_connection_whose_peer_reads_no_answer_is_closed(self):
        """Guards against peers that keep a connection for good by not reading."""

        def scenario(port):
            with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
                requests = GET.replace(b"/a", b"/" + b"a" * 1000) * 50_000
                with self.assertRaises(ConnectionError):
                    while True:
                        sock.sendall(requests)

        limits = dataclasses.replace(LIMITS, send_timeout_s=0.2)
        run_with_server(scenario, limits=limits)

    def test_deeply_nested_body_is_answered_with_400(self):
        """Guards against requests that get no answer at all."""
        body = b"[" * 100_000
        head = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        data = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        reply = run_with_server(
            lambda port: exchange(port, data),
            handler=read_json,
            limits=HttpLimits(body_bytes=200_000),
        )
        self.assertIn(b"400", reply.split(b"\r\n", 1)[0])

    def test_whole_body_is_charged_until_its_request_is_answered(self):
        """Guards against requests that are kept by the hundred while they wait."""
        budget = PortBudget(max_connections=5, request_bytes=1_000_000)
        size = 200_000
        charged = []

        async def record(request):
            charged.append(budget.charged_bytes)
            return Response(status=200)

        limits = dataclasses.replace(LIMITS, body_bytes=size)
        run_with_server(
            lambda port: exchange(port, CLOSING_POST % size + b"z" * size),
            handler=record,
            limits=limits,
            budget=budget,
        )
        self.assertGreaterEqual(charged[0], size - INCLUDED_BYTES)
        self.assertEqual(0, budget.charged_bytes)

    def test_limit_in_force_holds_from_the_next_request_on(self):
        in_force = [10, None, 2_000]
        body = b"z" * 20

        def scenario(port):
            return [exchange(port, CLOSING_POST % len(body) + body) for _ in range(3)]

        replies = run_with_server(scenario, body_limit=lambda: in_force.pop(0))
        self.assertIn(b"413", replies[0])
        self.assertIn(b"larger than 10 bytes", replies[0])
        self.assertIn(b"200", replies[1])
        self.assertIn(b"200", replies[2])

    def test_content_length_with_chunked_encoding_does_not_smuggle_a_request(self):
        data = (
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n"
        )
        reply = run_with_server(lambda port: exchange(port, data))
        self.assertNotIn(b"/smuggled", reply)

    def test_slow_request_times_out_while_others_are_served(self):
        def scenario(port):
            slow = socket.create_connection(("127.0.0.1", port), timeout=5)
            slow.sendall(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab")
            closing = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
            valid_reply = exchange(port, closing)
            slow_reply = slow.recv(100)
            slow.close()
            return valid_reply, slow_reply

        valid_reply, slow_reply = run_with_server(scenario)
        self.assertIn(b"200", valid_reply)
        self.assertEqual(slow_reply, b"")

    def test_new_connection_is_answered_once_while_the_server_drains(self):
        def scenario(port):
            with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
                time.sleep(0.05)
                sock.sendall(GET + GET)
                received = b""
                while chunk := sock.recv(65536):
                    received += chunk
                return received

        received = run_with_server(scenario, is_draining=True)
        self.assertEqual(1, received.count(b"HTTP/1.1 200"))
        self.assertIn(b"Connection: close", received)

    def test_connections_over_the_limit_are_refused(self):
        """All others are being answered, so none of them may be closed instead."""

        def scenario(port):
            with self.connections(port) as socks:
                for sock in socks:
                    sock.sendall(GET.replace(b"/a", b"/held"))
                time.sleep(0.2)
                refusal = exchange(port, b"")
                return refusal, [sock.recv(1000) for sock in socks]

        refusal, replies = run_with_server(scenario)
        self.assertIn(b"503", refusal)
        self.assertIn(b'"not_run":false', refusal)
        for reply in replies:
            self.assertIn(b"200", reply)

    def test_connection_over_the_limit_replaces_the_one_idle_longest(self):
        """Guards against idle connections that keep callers out."""

        def scenario(port):
            with self.connections(port) as socks:
                for sock in socks:
                    sock.sendall(GET)
                    sock.recv(1000)
                reply = exchange(port, CLOSING_GET)
                for sock in socks[1:]:
                    sock.sendall(GET)
                return reply, [sock.recv(1000) for sock in socks]

        reply, others = run_with_server(scenario)
        self.assertIn(b"200", reply)
        self.assertEqual(b"", others[0])
        for other in others[1:]:
            self.assertIn(b"200", other)

    def test_connection_over_the_limit_replaces_a_request_that_is_arriving(self):
        """Guards against requests that never end and keep callers out.

        Which one has been arriving longest is up to the order in which they are read.
        """
        partial = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab"

        def scenario(port):
            with self.connections(port) as socks:
                for sock in socks:
                    sock.sendall(partial)
                time.sleep(0.1)
                reply = exchange(port, CLOSING_GET)
                replaced, _, _ = select.select(socks, [], [], 5.0)
                refusals = [sock.recv(1000) for sock in replaced]
                others = [sock for sock in socks if sock not in replaced]
                for sock in others:
                    sock.sendall(b"cdefghi")
                return reply, refusals, [sock.recv(1000) for sock in others]

        # A request may take longer to arrive than the test takes.
        limits = dataclasses.replace(LIMITS, request_timeout_s=60.0)
        reply, refusals, others = run_with_server(scenario, limits=limits)
        self.assertIn(b"200", reply)
        self.assertEqual(1, len(refusals))
        self.assertIn(b"503", refusals[0])
        self.assertIn(b'"not_run":false', refusals[0])
        for other in others:
            self.assertIn(b"200", other)

    @contextlib.contextmanager
    def connections(self, port):
        """Opens as many connections as the server allows."""
        with contextlib.ExitStack() as stack:
            yield [
                stack.enter_context(
                    socket.create_connection(("127.0.0.1", port), timeout=5)
                )
                for _ in range(LIMITS.connections)
            ]


class ClientTest(unittest.TestCase):
    """Checks the errors that distinguish how a request failed."""

    def request_against(self, response_bytes):
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]

        def serve():
            sock, _ = listener.accept()
            sock.recv(65536)
            sock.sendall(response_bytes)
            sock.close()

        thread = threading.Thread(target=serve)
        thread.start()

        async def main():
            client = PooledClient(host="127.0.0.1", port=port, connections=1)
            try:
                return await client.request("POST", "/", {}, b"x")
            finally:
                await client.close()

        try:
            return curio.run(main)
        finally:
            thread.join()
            listener.close()

    def test_complete_response_is_returned(self):
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.assertEqual(self.request_against(reply).body, b"ok")

    def test_response_shorter_than_its_content_length(self):
        with self.assertRaises(TruncatedError):
            self.request_against(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")

    def test_connection_closed_without_a_response(self):
        with self.assertRaises(ResetAfterSendError):
            self.request_against(b"")

    def test_response_that_is_not_http(self):
        with self.assertRaises((TruncatedError, ResetAfterSendError)):
            self.request_against(b"\x00\x01\x02 nonsense\r\n\r\n")

    def test_connection_refused(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]

        async def main():
            client = PooledClient(host="127.0.0.1", port=port, connections=1)
            await client.request("POST", "/", {}, b"x")

        with self.assertRaises(RefusedError):
            curio.run(main)


if __name__ == "__main__":
    unittest.main()
