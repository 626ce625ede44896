"""Runs the experiments (`python -m benchmarks.run`) and prints results and targets.

Writes out/bench.json, out/bench.csv and, for each experiment, a plot of the lags.
"""

import argparse
import csv
import dataclasses
import json
import pathlib
import sys
import time

import matplotlib

from benchmarks.experiments import EXPERIMENTS, Report
from benchmarks.results import RunStatistics

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

_OUTPUT_DIR = pathlib.Path("out")


def main() -> int:
    """Runs the named experiments, or all of them.

    Returns 0 even if targets are missed.
    """
    parser = argparse.ArgumentParser(prog="hawthornbarrow-bench")
    parser.add_argument("names", nargs="*", help=f"of {', '.join(EXPERIMENTS)}")
    parser.add_argument("--seed", type=int, default=20261203)
    arguments = parser.parse_args()
    _OUTPUT_DIR.mkdir(exist_ok=True)
    reports = []
    for name in arguments.names or list(EXPERIMENTS):
        started_s = time.monotonic()
        report = EXPERIMENTS[name](arguments.seed)
        reports.append(report)
        _print_report(report, time.monotonic() - started_s)
        _plot_report(report, _OUTPUT_DIR / f"{name}.svg")
    _write_reports(reports)
    missed = [t.text for report in reports for t in report.targets if not t.is_met]
    print(f"targets missed: {'; '.join(missed) or 'none'}")
    return 0


def _print_report(report: Report, took_s: float) -> None:
    print(f"\n{report.name} ({took_s:.0f} s)")
    print(
        f"{'policy':<34}{'jobs':>7}{'p50 ms':>9}{'p99 ms':>10}{'mean ms':>9}"
        f"{'r/i p99':>9}{'slowdown':>10}{'Jain':>7}{'messages':>10}{'wasted':>8}"
    )
    for row in report.rows:
        print(
            f"{row.name:<34}{row.jobs:>7}{row.p50_ms:>9.1f}{row.p99_ms:>10.1f}"
            f"{row.mean_ms:>9.1f}{row.ratio_p99:>9.2f}{row.slowdown:>10.2f}"
            f"{row.jain:>7.3f}{sum(row.messages.values()):>10}"
            f"{sum(row.wasted.values()):>8}"
        )
    for note in report.notes:
        print(f"  {note}")
    for target in report.targets:
        status = "met   " if target.is_met else "MISSED"
        sign = ">=" if target.is_least else "<="
        print(
            f"  {status} {target.text}: {target.measured:.4g} ({sign} {target.bound})"
        )
    sys.stdout.flush()


def _plot_report(report: Report, path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(figsize=(9, 0.5 * len(report.rows) + 1.5))
    names = [row.name for row in report.rows]
    axes.barh(names, [max(row.p99_ms, 0.1) for row in report.rows], label="p99")
    axes.barh(names, [max(row.p50_ms, 0.1) for row in report.rows], label="p50")
    axes.set_xscale("log")
    axes.set_xlabel("lag against the ideal, ms")
    axes.set_title(report.name)
    axes.invert_yaxis()
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _write_reports(reports: list[Report]) -> None:
    document = [dataclasses.asdict(report) for report in reports]
    (_OUTPUT_DIR / "bench.json").write_text(json.dumps(document, indent=1), "utf-8")
    names = [field.name for field in dataclasses.fields(RunStatistics)]
    with open(_OUTPUT_DIR / "bench.csv", "w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(["experiment", *names])
        for report in reports:
            for row in report.rows:
                writer.writerow([report.name, *(getattr(row, name) for name in names)])


if __name__ == "__main__":
    sys.exit(main())
