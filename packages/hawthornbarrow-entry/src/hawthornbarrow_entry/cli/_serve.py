"""Commands `hawthornbarrow serve` and `hawthornbarrow ledger init`."""

import argparse
import os
import pathlib
import sys

import curio
from hawthornbarrow.http import HttpLimits
from hawthornbarrow.ledger import LedgerStorageError, initialise_folder
from hawthornbarrow.limits import add_machine_options, machine_from_options
from hawthornbarrow.observability import configure_logs
from hawthornbarrow.shutdown import serve_until_signalled

from hawthornbarrow_entry._process import EntryProcess, EntrySettings


def add_parsers(commands: argparse._SubParsersAction) -> None:
    """Adds the parser of `serve`."""
    environ = os.environ
    serve = commands.add_parser("serve", help="run an entry with its ledger replica")
    serve.add_argument("--name", default=environ.get("HAWTHORNBARROW_NAME"))
    serve.add_argument(
        "--listen",
        default=environ.get("HAWTHORNBARROW_LISTEN", "127.0.0.1:8001"),
        help="IP:PORT for callers and operators (default %(default)s)",
    )
    serve.add_argument(
        "--link-listen",
        default=environ.get("HAWTHORNBARROW_LINK_LISTEN", "127.0.0.1:7001"),
        help="IP:PORT for links of agents and entries (default %(default)s)",
    )
    serve.add_argument(
        "--ledger-listen",
        default=environ.get("HAWTHORNBARROW_LEDGER_LISTEN", "127.0.0.1:6001"),
        help="IP:PORT for ledger replicas (default %(default)s)",
    )
    serve.add_argument(
        "--peer",
        action="append",
        default=environ.get("HAWTHORNBARROW_PEERS", "").split(),
        help="NAME=LINK_IP:PORT,LEDGER_IP:PORT of another entry; repeat it for each",
    )
    serve.add_argument(
        "--data-dir", default=environ.get("HAWTHORNBARROW_DATA_DIR"), type=pathlib.Path
    )
    serve.add_argument(
        "--data-centre", default=environ.get("HAWTHORNBARROW_DATA_CENTRE", "")
    )
    serve.add_argument(
        "--drain-limit-s",
        type=float,
        default=float(environ.get("HAWTHORNBARROW_DRAIN_LIMIT_S", "60")),
        help="timeout of a graceful shutdown in seconds (default %(default)s)",
    )
    serve.add_argument(
        "--max-body-bytes",
        type=int,
        default=int(environ.get("HAWTHORNBARROW_MAX_BODY_BYTES", 8 * 1024 * 1024)),
    )
    serve.add_argument(
        "--max-connections",
        type=int,
        default=int(environ.get("HAWTHORNBARROW_MAX_CONNECTIONS", "2048")),
    )
    add_machine_options(serve)
    serve.set_defaults(run=_serve)


def add_init_parser(ledger_commands: argparse._SubParsersAction) -> None:
    """Adds the parser of `ledger init`."""
    init = ledger_commands.add_parser(
        "init", help="create the data folder of an initial voter, once"
    )
    init.add_argument("--data-dir", required=True, type=pathlib.Path)
    init.add_argument("--name", required=True)
    init.add_argument(
        "--voters",
        required=True,
        help="names of all initial voters, separated by commas",
    )
    init.set_defaults(run=_initialise)


def _initialise(arguments: argparse.Namespace) -> int:
    try:
        initialise_folder(
            arguments.data_dir, arguments.name, arguments.voters.split(",")
        )
    except (ValueError, OSError) as error:
        print(f"ledger init: {error}", file=sys.stderr)
        return 1
    print(f"{arguments.name}: initial voter in {arguments.data_dir}")
    return 0


def _serve(arguments: argparse.Namespace) -> int:
    cluster_key = os.environ.get("HAWTHORNBARROW_CLUSTER_KEY", "")
    hashes = os.environ.get("HAWTHORNBARROW_OPERATOR_TOKEN_HASHES", "").split()
    if not arguments.name or not arguments.data_dir or not cluster_key:
        print(
            "serve: --name, --data-dir and the variable HAWTHORNBARROW_CLUSTER_KEY "
            "are required",
            file=sys.stderr,
        )
        return 2
    links, ledgers = _parse_peers(arguments.peer)
    configure_logs(process=arguments.name)
    settings = EntrySettings(
        name=arguments.name,
        listen=arguments.listen,
        link_listen=arguments.link_listen,
        ledger_listen=arguments.ledger_listen,
        peers=links,
        ledger_peers=ledgers,
        data_dir=arguments.data_dir,
        data_centre=arguments.data_centre,
        cluster_key=cluster_key.encode(),
        operator_token_hashes=hashes,
        drain_limit_s=arguments.drain_limit_s,
        limits=HttpLimits(
            body_bytes=arguments.max_body_bytes, connections=arguments.max_connections
        ),
        machine=machine_from_options(arguments),
    )
    try:
        entry = EntryProcess(settings=settings)
    except (LedgerStorageError, ValueError) as error:
        print(f"serve: {error}", file=sys.stderr)
        return 1
    return curio.run(_run, entry)


async def _run(entry: EntryProcess) -> int:
    await serve_until_signalled(entry.run, entry.drain)
    return 0


def _parse_peers(peers: list[str]) -> tuple[dict[str, str], dict[str, str]]:
    links = {}
    ledgers = {}
    for peer in peers:
        name, _, addresses = peer.partition("=")
        links[name], _, ledgers[name] = addresses.partition(",")
    return links, ledgers
