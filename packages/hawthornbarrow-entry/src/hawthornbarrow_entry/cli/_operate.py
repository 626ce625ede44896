"""Commands `hawthornbarrow status|ledger|report` for operators."""

import argparse
import collections.abc
import itertools
import pathlib

import msgspec
from hawthornbarrow.observability import (
    count_by_cause,
    find_unserved_jobs,
    measure_stages,
    render_stage_plot,
    render_stage_text,
)

from hawthornbarrow_entry.cli._client import add_connection_flags, call, finish
from hawthornbarrow_entry.cli._serve import add_init_parser


def add_parsers(commands: argparse._SubParsersAction) -> None:
    """Adds the parsers of the subcommands."""
    status = commands.add_parser("status", help="show an entry's view of the fleet")
    add_connection_flags(status, token="operator")
    status.set_defaults(run=lambda arguments: _get(arguments, "/v1/status"))
    group = commands.add_parser("ledger", help="manage the ledger's replicas")
    ledger = group.add_subparsers(dest="ledger_command", required=True)
    ledger_status = ledger.add_parser("status", help="show the state of a replica")
    add_connection_flags(ledger_status, token="operator")
    ledger_status.set_defaults(run=lambda arguments: _get(arguments, "/v1/ledger"))
    replace = ledger.add_parser("replace", help="replace a lost replica")
    replace.add_argument("--old", required=True, help="identity of the lost replica")
    replace.add_argument("--new", required=True, help="identity of the new replica")
    add_connection_flags(replace, token="operator")
    replace.set_defaults(run=_replace)
    add_init_parser(ledger)
    reports = commands.add_parser("report", help="print reports")
    report = reports.add_subparsers(dest="report_command", required=True)
    burn = report.add_parser(
        "burn", help="show the burn rates of the service-level objectives"
    )
    burn.add_argument(
        "--plot", type=pathlib.Path, help="write a plot to this .png or .svg file"
    )
    add_connection_flags(burn, token="operator")
    burn.set_defaults(run=_burn)
    unserved = report.add_parser(
        "unserved", help="show from logs why jobs were not served in time"
    )
    _add_logs_flag(unserved)
    unserved.set_defaults(run=_unserved)
    stages = report.add_parser(
        "stages", help="show from logs how long the stages of jobs took"
    )
    _add_logs_flag(stages)
    stages.add_argument(
        "--window", type=float, default=2.0, help="seconds of a row (default 2)"
    )
    stages.add_argument(
        "--plot", type=pathlib.Path, help="write a plot to this .png or .svg file"
    )
    stages.set_defaults(run=_stages)


def _add_logs_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--logs",
        nargs="+",
        type=pathlib.Path,
        required=True,
        metavar="FILE",
        help="logs of all processes",
    )


def _read_logs(arguments: argparse.Namespace) -> collections.abc.Iterator[str]:
    return itertools.chain.from_iterable(
        file.read_text("utf-8", "replace").splitlines() for file in arguments.logs
    )


def _get(arguments: argparse.Namespace, path: str) -> int:
    return finish(arguments, call(arguments, "GET", path))


def _replace(arguments: argparse.Namespace) -> int:
    body = msgspec.json.encode({"old": arguments.old, "new": arguments.new})
    response = call(arguments, "POST", "/v1/ledger/replace", body=body)
    return finish(arguments, response)


def _unserved(arguments: argparse.Namespace) -> int:
    jobs = find_unserved_jobs(_read_logs(arguments))
    print(f"{'cause':<45} {'jobs':>6} {'run time s':>11}  first job")
    for cause, count, run_s, first_job in count_by_cause(jobs):
        print(f"{cause.value:<45} {count:>6} {run_s:>11.1f}  {first_job}")
    return 0


def _stages(arguments: argparse.Namespace) -> int:
    rows = measure_stages(_read_logs(arguments), window_s=arguments.window)
    print(render_stage_text(rows))
    if arguments.plot is not None:
        image = render_stage_plot(rows, arguments.plot.suffix.removeprefix("."))
        arguments.plot.write_bytes(image)
        print(arguments.plot)
    return 0


def _burn(arguments: argparse.Namespace) -> int:
    if arguments.plot is None:
        suffix = "" if arguments.json else ".txt"
        return finish(arguments, call(arguments, "GET", f"/v1/burn{suffix}"))
    suffix = arguments.plot.suffix
    response = call(arguments, "GET", f"/v1/burn{suffix}")
    if response is None or response.status != 200:
        return finish(arguments, response)
    arguments.plot.write_bytes(response.body)
    print(arguments.plot)
    return 0
