"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
import json
import socket


async def read_message(reader):
    """Returns (first line, headers, body) of one message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


async def serve(host, port, handler):
    """Serves `handler(method, path, headers, body) -> (status, body)` on one address.

    A handler that returns None gets its connection closed without a response.
    """

    async def connected(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                answer = await handler(method, path, headers, body)
                if answer is None:
                    return
                status, content = answer
                data = json.dumps(content).encode() if content is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port)


async def call(host, port, method, path, *, body=b"", headers=None, timeout_s=1.0):
    """Makes one call on a new connection; returns (status, body), 0 for no response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if not headers or "Host" not in headers:
                lines.append(f"Host: {host}:{port}")
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, b""
    return int(message[0].split(" ")[1]), message[2]
