"""HTTP client of the command line."""

import argparse
import os
import sys

import curio
import msgspec
from hawthornbarrow.http import HttpClientError, PooledClient, Response

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3


def add_connection_flags(parser: argparse.ArgumentParser, *, token: str) -> None:
    """Adds the connection flags and sets the kind of the token.

    Args:
        parser: Parser of a subcommand.
        token: Kind of the token, "member" or "operator".
    """
    parser.add_argument(
        "--server",
        default=os.environ.get("HAWTHORNBARROW_SERVER", "127.0.0.1:8001"),
        help="IP:PORT of an entry (default %(default)s)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(token_kind=token)


def call(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Response | None:
    """Sends one request; prints an error and returns None if there is no answer."""
    variable = f"HAWTHORNBARROW_{arguments.token_kind.upper()}_TOKEN"
    token = os.environ.get(variable, "")
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    if token:
        all_headers["Authorization"] = f"Bearer {token}"
    host, _, port = arguments.server.rpartition(":")

    async def exchange() -> Response:
        client = PooledClient(host=host, port=int(port), connections=1)
        try:
            return await client.request(method, path, all_headers, body)
        finally:
            await client.close()

    try:
        return curio.run(exchange)
    except HttpClientError as error:
        print(f"{arguments.server}: {error}", file=sys.stderr)
        return None


def finish(arguments: argparse.Namespace, response: Response | None) -> int:
    """Prints a response and returns the exit code of the command."""
    if response is None:
        return EXIT_UNREACHABLE
    if response.status < 300:
        print(_render(response.body, compact=arguments.json))
        return 0
    print(_render(response.body, compact=arguments.json), file=sys.stderr)
    return EXIT_REFUSED


def _render(body: bytes, *, compact: bool) -> str:
    if compact or not body.startswith((b"{", b"[")):
        return body.decode("utf-8", "replace")
    return msgspec.json.format(body, indent=2).decode()
