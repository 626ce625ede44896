"""Commands `hawthornbarrow config check|apply|show|history|hash-token`."""

import argparse
import getpass
import pathlib
import sys
import uuid

import msgspec
from hawthornbarrow.configuration import (
    Configuration,
    hash_token,
    read_configuration,
)
from returns.pipeline import is_successful

from hawthornbarrow_entry.cli._client import add_connection_flags, call, finish


def add_parsers(commands: argparse._SubParsersAction) -> None:
    """Adds the parsers of the subcommands."""
    group = commands.add_parser("config", help="check, apply and show configurations")
    config = group.add_subparsers(dest="config_command", required=True)
    check = config.add_parser("check", help="check files without sending them")
    _add_file_flags(check)
    check.set_defaults(run=_check)
    apply = config.add_parser("apply", help="put a configuration in force")
    _add_file_flags(apply)
    add_connection_flags(apply, token="operator")
    apply.add_argument("--expect-version", type=int, required=True)
    apply.add_argument(
        "--request-id", default="", help="id of the request; repeat it to resend"
    )
    apply.add_argument("--operator", default=getpass.getuser())
    apply.set_defaults(run=_apply)
    show = config.add_parser("show", help="show the configuration in force")
    add_connection_flags(show, token="operator")
    show.set_defaults(run=lambda arguments: _get(arguments, "/v1/configuration"))
    history = config.add_parser("history", help="list accepted versions")
    add_connection_flags(history, token="operator")
    history.set_defaults(
        run=lambda arguments: _get(arguments, "/v1/configuration/history")
    )
    hash_token_parser = config.add_parser(
        "hash-token", help="hash a token for a configuration file"
    )
    hash_token_parser.add_argument("token")
    hash_token_parser.set_defaults(run=_hash)


def _add_file_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--base", required=True, type=pathlib.Path)
    parser.add_argument("--overlay", type=pathlib.Path)


def _read(arguments: argparse.Namespace) -> Configuration | None:
    result = read_configuration(arguments.base, arguments.overlay)
    if is_successful(result):
        return result.unwrap()
    for problem in result.failure():
        print(problem, file=sys.stderr)
    return None


def _check(arguments: argparse.Namespace) -> int:
    configuration = _read(arguments)
    if configuration is None:
        return 1
    print(
        f"ok: {len(configuration.members)} members, "
        f"{len(configuration.services)} services, "
        f"{len(configuration.objectives)} objectives"
    )
    return 0


def _apply(arguments: argparse.Namespace) -> int:
    configuration = _read(arguments)
    if configuration is None:
        return 1
    request = arguments.request_id or uuid.uuid4().hex
    document = {
        "request": request,
        "expect_version": arguments.expect_version,
        "operator": arguments.operator,
        "configuration": configuration,
    }
    body = msgspec.json.encode(document)
    response = call(arguments, "POST", "/v1/configuration", body=body)
    if response is None or response.status == 503:
        print(f"outcome unknown; resend with --request-id {request}", file=sys.stderr)
    return finish(arguments, response)


def _get(arguments: argparse.Namespace, path: str) -> int:
    return finish(arguments, call(arguments, "GET", path))


def _hash(arguments: argparse.Namespace) -> int:
    print(hash_token(arguments.token))
    return 0
