"""Commands `hawthornbarrow job submit|show|cancel` and `hawthornbarrow explain`."""

import argparse
import itertools
import pathlib
import sys
import urllib.parse
import uuid

import msgspec
from hawthornbarrow.observability import build_timeline

from hawthornbarrow_entry.cli._client import add_connection_flags, call, finish


def add_parsers(commands: argparse._SubParsersAction) -> None:
    """Adds the parsers of the subcommands."""
    group = commands.add_parser("job", help="submit, show and cancel jobs")
    jobs = group.add_subparsers(dest="job_command", required=True)
    submit = jobs.add_parser("submit", help="submit a job and wait for its answer")
    submit.add_argument("file", type=pathlib.Path, help="the job as JSON")
    submit.add_argument("--key", default="", help="idempotency key (default: random)")
    submit.add_argument("--no-wait", action="store_true", help="return at once")
    add_connection_flags(submit, token="member")
    submit.set_defaults(run=_submit)
    for name, method, text in (
        ("show", "GET", "show a job's state or answer"),
        ("cancel", "DELETE", "cancel a job"),
    ):
        parser = jobs.add_parser(name, help=text)
        parser.add_argument("key")
        add_connection_flags(parser, token="member")
        parser.set_defaults(run=_call_job, method=method)
    explain = commands.add_parser("explain", help="show the timeline of a job")
    explain.add_argument("key")
    explain.add_argument(
        "--logs",
        nargs="+",
        type=pathlib.Path,
        default=[],
        metavar="FILE",
        help="build the timeline from logs of the processes instead of an entry",
    )
    add_connection_flags(explain, token="member")
    explain.set_defaults(run=_explain)


def _submit(arguments: argparse.Namespace) -> int:
    headers = {"Idempotency-Key": arguments.key or str(uuid.uuid4())}
    if arguments.no_wait:
        headers["Prefer"] = "respond-async"
    body = arguments.file.read_bytes()
    response = call(arguments, "POST", "/v1/jobs", body=body, headers=headers)
    return finish(arguments, response)


def _path(arguments: argparse.Namespace) -> str:
    return "/v1/jobs/" + urllib.parse.quote(arguments.key, safe="")


def _call_job(arguments: argparse.Namespace) -> int:
    return finish(arguments, call(arguments, arguments.method, _path(arguments)))


def _explain_from_logs(key: str, files: list[pathlib.Path]) -> int:
    lines = itertools.chain.from_iterable(
        file.read_text("utf-8", "replace").splitlines() for file in files
    )
    timeline = build_timeline(key, lines)
    for line in timeline:
        print(f"{line.timestamp}  {line.process:<16} {line.event:<18} {line.text}")
    if not timeline:
        print(f"{key}: not mentioned in the logs", file=sys.stderr)
    return 0 if timeline else 1


def _explain(arguments: argparse.Namespace) -> int:
    if arguments.logs:
        return _explain_from_logs(arguments.key, arguments.logs)
    response = call(arguments, "GET", _path(arguments) + "/explain")
    if response is None or response.status != 200 or arguments.json:
        return finish(arguments, response)
    document = msgspec.json.decode(response.body)
    print(f"{document['key']}: {document['status']} {document['reason']}".rstrip())
    for step in document["steps"]:
        print(f"{step['at_ms']:>10.1f} ms  {step['event']:<12} {step['detail']}")
    if document["omitted_steps"]:
        print(f"({document['omitted_steps']} more steps are not stored)")
    return 0
