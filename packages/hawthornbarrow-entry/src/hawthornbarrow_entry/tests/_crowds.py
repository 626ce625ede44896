"""Crowds of clients that send parts of requests, and the bounds of a process."""

import collections.abc
import contextlib
import itertools
import pathlib
import selectors
import socket
import time

MEMORY_MB = 128  # of the machine in the settings of these tests
DESCRIPTORS = 1024
MAX_BODY_BYTES = 262_144  # as the configuration says
MANY = 900
FEW = 64
OVERSIZED_BYTES = 16 * 1024 * 1024
ANNOUNCED_BYTES = 1024 * 1024 * 1024
STALL_S = 5.0  # without a byte sent, after which a crowd stops sending
_POLL_S = 0.05
_PIECE_BYTES = 4096
_SAMPLE_INTERVAL_S = 0.02
_ESTABLISHED = "01"  # state of a connection in /proc/net/tcp

Wire = collections.abc.Iterator[bytes]


# Requests on the wire. The head is everything up to the body's length.


def whole_body(head, size, *, missing=1):
    """Yields a body of a known length at once, without its last bytes."""
    yield head + b"Content-Length: %d\r\n\r\n" % size
    yield b" " * (size - missing)


def body_in_pieces(head, size, *, missing=1):
    """Yields a body of a known length in small pieces, without its last bytes."""
    yield head + b"Content-Length: %d\r\n\r\n" % size
    for start in range(0, size - missing, _PIECE_BYTES):
        yield b" " * min(_PIECE_BYTES, size - missing - start)


def chunked_body(head, size, chunk_size):
    """Yields a chunked body without its last chunk."""
    chunk = b"%x\r\n" % chunk_size + b" " * chunk_size + b"\r\n"
    per_write = max(1, _PIECE_BYTES // len(chunk))
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(0, size, chunk_size * per_write):
        yield chunk * per_write


def announced_body(head, announced, size):
    """Yields the first bytes of a body that announces more than is allowed."""
    yield head + b"Content-Length: %d\r\n\r\n" % announced
    for _ in range(0, size, 65536):
        yield b" " * 65536


def many_headers(head, count, size):
    """Yields a head of many small fields, then a body without its last byte."""
    yield head + b"a:b\r\n" * count + b"Content-Length: %d\r\n\r\n" % size
    yield b" " * (size - 1)


class UnfinishedRequests:
    """Tests with crowds of requests that are not finished, for either interface.

    A test case that has them provides `check`, which takes the wires of a crowd, and
    `submission`, which returns the head of a numbered submission but for its length.

    Attributes:
        oversized_count: Connections whose bodies are over the limit.
    """

    oversized_count = FEW

    def test_bodies_that_lack_their_last_byte(self):
        """Guards against a process that runs out of memory."""
        self.check(
            [whole_body(self.submission(n), MAX_BODY_BYTES) for n in range(MANY)]
        )

    def test_bodies_of_which_some_are_whole(self):
        """Guards against a process that runs out of memory."""
        self.check(
            [
                whole_body(self.submission(n), MAX_BODY_BYTES, missing=int(n % 4 > 0))
                for n in range(MANY)
            ]
        )

    def test_bodies_in_pieces_that_lack_their_last_byte(self):
        """Guards against a process that runs out of memory."""
        self.check(
            [body_in_pieces(self.submission(n), MAX_BODY_BYTES) for n in range(MANY)]
        )

    def test_large_chunks_without_the_last_one(self):
        """Guards against a process that runs out of memory."""
        self.check(
            [
                chunked_body(self.submission(n), MAX_BODY_BYTES - 65536, 65536)
                for n in range(MANY)
            ]
        )

    def test_small_chunks_without_the_last_one(self):
        """Guards against a process that is kept busy by tiny chunks."""
        self.check([chunked_body(self.submission(n), 65536, 4) for n in range(FEW)])

    def test_bodies_that_announce_more_than_the_limit(self):
        """Guards against a process that reads what it will not take."""
        self.check(
            [
                announced_body(self.submission(n), ANNOUNCED_BYTES, OVERSIZED_BYTES)
                for n in range(self.oversized_count)
            ]
        )

    def test_bodies_that_grow_over_the_limit(self):
        """Guards against a process that runs out of memory."""
        self.check(
            [
                chunked_body(self.submission(n), OVERSIZED_BYTES, 65536)
                for n in range(self.oversized_count)
            ]
        )

    def test_many_small_header_fields(self):
        """Guards against heads that take many times their size."""
        self.check(
            [many_headers(self.submission(n), 2_000, 1_000) for n in range(MANY)]
        )


class Crowd:
    """Connections to one address, each of which sends one wire as far as it gets.

    Args:
        address: Host and port to connect to.
        wires: The bytes that each connection sends, in the order of the connections.
        meter: Samples the bounds while the crowd sends.
    """

    def __init__(self, address, wires, meter):
        self._address = address
        self._wires = [iter(wire) for wire in wires]
        self._meter = meter
        self._sockets = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for sock in self._sockets:
            sock.close()

    def send(self):
        """Sends in turn until all wires are sent or no connection takes a byte."""
        selector = selectors.DefaultSelector()
        pending = {}
        for wire in self._wires:
            sock = self._connect()
            if sock is not None:
                pending[sock] = (wire, memoryview(b""))
                selector.register(sock, selectors.EVENT_WRITE)
        progress_at_s = time.monotonic()
        while pending and time.monotonic() - progress_at_s < STALL_S:
            self._meter.sample()
            for key, _ in selector.select(_POLL_S):
                sock = key.fileobj
                wire, rest = pending[sock]
                rest = rest or memoryview(next(wire, b""))
                sent = self._send_some(sock, rest) if rest else None
                if sent is None:
                    selector.unregister(sock)
                    del pending[sock]
                    continue
                progress_at_s = time.monotonic()
                pending[sock] = (wire, rest[sent:])
        selector.close()
        self._wait_until_read()

    def statuses(self):
        """Returns the status lines of all answers that have arrived."""
        lines = set()
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                lines.add(sock.recv(65536).split(b"\r\n", 1)[0])
        return lines - {b""}

    def _wait_until_read(self):
        """Waits until the process has read what has arrived, or reads no more."""
        progress_at_s = time.monotonic()
        last_bytes = -1
        while time.monotonic() - progress_at_s < STALL_S:
            unread_bytes = self._meter.sample()
            if not unread_bytes:
                return
            if unread_bytes != last_bytes:
                progress_at_s = time.monotonic()
            last_bytes = unread_bytes
            time.sleep(_POLL_S)

    def _connect(self):
        try:
            sock = socket.create_connection(self._address, timeout=STALL_S)
        except OSError:
            return None
        sock.setblocking(False)
        self._sockets.append(sock)
        return sock

    @staticmethod
    def _send_some(sock, data):
        """Returns the number of bytes sent, or None once the connection has ended."""
        try:
            return sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            return None


class Meter:
    """Highest memory and number of descriptors of one process.

    The memory is the highest resident size that the kernel has seen, and the most
    bytes that had arrived at the address of the process and were not read.

    Args:
        pid: Process id.
        host: IP address that only this process listens at.
    """

    def __init__(self, pid, host):
        self._folder = pathlib.Path(f"/proc/{pid}")
        first, second, third, fourth = (int(part) for part in host.split("."))
        self._address = f"{fourth:02X}{third:02X}{second:02X}{first:02X}:"
        self._sampled_at_s = 0.0
        self._last_unread_bytes = 0
        self.unread_bytes = 0
        self.descriptors = 0

    @property
    def memory_bytes(self):
        """Highest memory so far."""
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024 + self.unread_bytes
        raise ProcessLookupError(f"{self._folder} has no memory")

    def sample(self):
        """Reads the open descriptors and the unread bytes; returns the latter."""
        if time.monotonic() - self._sampled_at_s < _SAMPLE_INTERVAL_S:
            return self._last_unread_bytes
        self._sampled_at_s = time.monotonic()
        with contextlib.suppress(OSError):
            count = sum(1 for _ in (self._folder / "fd").iterdir())
            self.descriptors = max(self.descriptors, count)
        unread_bytes = 0
        with open("/proc/net/tcp") as table:
            for line in itertools.islice(table, 1, None):
                fields = line.split()
                is_established = fields[3] == _ESTABLISHED
                if is_established and fields[1].startswith(self._address):
                    unread_bytes += int(fields[4].partition(":")[2], 16)
        self.unread_bytes = max(self.unread_bytes, unread_bytes)
        self._last_unread_bytes = unread_bytes
        return unread_bytes
