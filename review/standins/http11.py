"""A small HTTP/1.1 client and server for the stand-ins, on asyncio."""

import asyncio
import dataclasses
import json

_MAX_HEAD_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """A request or a response.

    Attributes:
        start: Words of the first line.
        headers: Header values by lower-case name.
        body: The complete body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start[1])

    def json(self) -> dict:
        """Returns the body as a JSON object, empty without a body."""
        return json.loads(self.body) if self.body else {}


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message, or None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start=first.split(" "), headers=headers, body=body)


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    if body:
        lines.append("Content-Type: application/json")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: dict | bytes | None = None,
    timeout_s: float = 1.0,
) -> Message | None:
    """Makes one call on a new channel.

    Returns:
        The response, or None if there was none within the time.
    """
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            all_headers = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
            writer.write(encode_request(method, path, all_headers, body or b""))
            await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Server:
    """Serves a coroutine function from request to (status, JSON object).

    Args:
        handle: The function; without a JSON object the body is empty.
    """

    def __init__(self, *, handle) -> None:
        """Initializes a server that does not listen."""
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: tuple[str, int]) -> None:
        """Begins to accept channels."""
        self._server = await asyncio.start_server(
            self._on_channel, *address, limit=_MAX_HEAD_BYTES, backlog=512
        )

    def close(self) -> None:
        """Stops listening and resets all channels."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _on_channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                status, document = await self._handle(request)
                body = json.dumps(document).encode() if document is not None else b""
                head = (
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()
