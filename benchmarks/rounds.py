"""Stores results of the users' bench in one table, compares rounds and plots them.

python -m benchmarks.rounds add --label NAME FILE...  add outputs of score or hunt
python -m benchmarks.rounds compare NAME NAME         worth by day in two rounds
python -m benchmarks.rounds plot --out worth.svg      worth by day and round
"""

import argparse
import csv
import dataclasses
import pathlib
import re
import sys

TABLE_PATH = pathlib.Path("docs/measurements/rounds.csv")
_DAY_PATTERN = re.compile(
    r"^(?P<day>\S+(?: --vary)?(?: --seed \d+)?) +\d+/\d+ +(?P<score>[\d.]+)? *"
    r"(?P<worth>-?[\d.]+) +(?P<served>[\d.]+) +(?P<refused>[\d.]+) +(?P<failed>[\d.]+)"
    r" +(?P<rest>.*)$"
)
_BROKEN_RULES_PATTERN = re.compile(r"BROKEN: (?P<rules>.*?)(?: \(else|$)")
_PRICES_PATTERN = re.compile(r"prices (?P<prices>[\d.]+)")


@dataclasses.dataclass(frozen=True, kw_only=True)
class DayRow:
    """Results of one day of a round.

    Attributes:
        label: Name of the round.
        site: Name of the site's file.
        day: Name of the day, with its seed if the day was generated.
        score: Score between the day's reference marks; empty if the day has none.
        worth: Credit less prices, as a share of what was owed.
        served: Share of requests that were answered successfully.
        refused: Share of requests that were refused.
        failed: Share of requests that failed.
        prices: Prices, as a share of what was owed.
        broken: Broken rules with their counts.
    """

    label: str
    site: str
    day: str
    score: str
    worth: str
    served: str
    refused: str
    failed: str
    prices: str
    broken: str


def parse_output(label: str, site: str, text: str) -> list[DayRow]:
    """Returns the rows of all days in one output of the bench.

    Examples:
        >>> row = "quiet-1    20/0   0.67  0.863  0.998   0.000  0.000  prices 0.133"
        >>> parse_output("r1", "calc", row)[0].worth
        '0.863'
    """
    rows = []
    for line in text.splitlines():
        match = _DAY_PATTERN.match(line)
        if match is None:
            continue
        broken = _BROKEN_RULES_PATTERN.search(match["rest"])
        prices = _PRICES_PATTERN.search(match["rest"])
        rows.append(
            DayRow(
                label=label,
                site=site,
                day=match["day"],
                score=match["score"] or "",
                worth=match["worth"],
                served=match["served"],
                refused=match["refused"],
                failed=match["failed"],
                prices=prices["prices"] if prices else "",
                broken=broken["rules"] if broken else "",
            )
        )
    return rows


def read_table(path: pathlib.Path) -> list[DayRow]:
    """Returns the rows of the table, or no rows if it does not exist."""
    if not path.exists():
        return []
    with path.open(newline="") as file:
        return [DayRow(**row) for row in csv.DictReader(file)]


def write_table(path: pathlib.Path, rows: list[DayRow]) -> None:
    """Writes the rows to the table, replacing its contents."""
    path.parent.mkdir(parents=True, exist_ok=True)
    names = [field.name for field in dataclasses.fields(DayRow)]
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, names, lineterminator="\n")
        writer.writeheader()
        writer.writerows(dataclasses.asdict(row) for row in rows)


def compare_rounds(rows: list[DayRow], before: str, after: str) -> list[str]:
    """Returns a line for each day that is in both rounds."""
    before_rows = {(row.site, row.day): row for row in rows if row.label == before}
    lines = []
    for row in rows:
        before_row = (
            before_rows.get((row.site, row.day)) if row.label == after else None
        )
        if before_row is None:
            continue
        change = float(row.worth) - float(before_row.worth)
        broken = f"  broken {before_row.broken or '-'} -> {row.broken or '-'}"
        lines.append(
            f"{row.site:24} {row.day:12} {before_row.worth} -> {row.worth} "
            f"({change:+.3f}){broken if before_row.broken or row.broken else ''}"
        )
    return lines


def plot_rounds(rows: list[DayRow], path: pathlib.Path) -> None:
    """Plots the worth of each day by round."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    labels = list(dict.fromkeys(row.label for row in rows))
    sites = list(dict.fromkeys(row.site for row in rows))
    figure, axes = pyplot.subplots(
        len(sites), 1, figsize=(9, 3.2 * len(sites)), squeeze=False
    )
    for site, axis in zip(sites, axes[:, 0], strict=True):
        days = list(dict.fromkeys(r.day for r in rows if r.site == site))
        for offset, label in enumerate(labels):
            worth = {
                row.day: float(row.worth)
                for row in rows
                if row.site == site and row.label == label
            }
            width = 0.8 / len(labels)
            positions = [index + offset * width for index in range(len(days))]
            axis.bar(
                positions, [worth.get(day, 0.0) for day in days], width, label=label
            )
        axis.set_xticks(range(len(days)), days, rotation=20, ha="right", fontsize=7)
        axis.set_ylabel("worth")
        axis.set_title(site)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)


def main(arguments: list[str] | None = None) -> int:
    """Runs the given command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--table", type=pathlib.Path, default=TABLE_PATH)
    commands = parser.add_subparsers(dest="command", required=True)
    add_parser = commands.add_parser("add")
    add_parser.add_argument("--label", required=True)
    add_parser.add_argument("files", nargs="+", type=pathlib.Path)
    compare_parser = commands.add_parser("compare")
    compare_parser.add_argument("before")
    compare_parser.add_argument("after")
    plot_parser = commands.add_parser("plot")
    plot_parser.add_argument("--out", type=pathlib.Path, required=True)
    parsed = parser.parse_args(arguments)
    rows = read_table(parsed.table)
    if parsed.command == "add":
        rows = [row for row in rows if row.label != parsed.label]
        for file in parsed.files:
            rows += parse_output(parsed.label, file.stem, file.read_text("utf-8"))
        write_table(parsed.table, rows)
    elif parsed.command == "compare":
        print("\n".join(compare_rounds(rows, parsed.before, parsed.after)))
    else:
        plot_rounds(rows, parsed.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
