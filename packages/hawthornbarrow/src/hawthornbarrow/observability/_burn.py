"""Burn rates of service-level objectives over several time windows.

The burn rate is the share of bad jobs divided by the share that the objective allows.
At a rate of one, the error budget is used up exactly at the end of its period.
"""

import io
import os
import pathlib

import msgspec
import structlog

from hawthornbarrow.configuration import Configuration, Objective

WINDOWS_S = (300, 3600, 6 * 3600, 24 * 3600)
_BUCKET_S = 60
_RETAINED_BUCKET_COUNT = WINDOWS_S[-1] // _BUCKET_S

_log = structlog.get_logger()


class BurnRow(msgspec.Struct, frozen=True, kw_only=True):
    """Burn rates of one objective.

    Attributes:
        objective: Name of the objective.
        member: Member to which the objective applies; empty for all.
        service: Service to which the objective applies; empty for all.
        share: Target share of good jobs.
        jobs: Number of jobs, by window in seconds.
        burn: Burn rate, by window in seconds.
    """

    objective: str
    member: str
    service: str
    share: float
    jobs: dict[int, int]
    burn: dict[int, float]


class _JobCounts(msgspec.Struct, kw_only=True, array_like=True):
    good: int = 0
    bad: int = 0


class BurnRateTracker:
    """Counts good and bad jobs by objective and minute, and stores them in a file.

    Args:
        path: File that stores the counts, or None to keep them only in memory.
    """

    def __init__(self, *, path: pathlib.Path | None) -> None:
        """Loads the counts that a previous process stored."""
        self._path = path
        self._counts: dict[str, dict[int, _JobCounts]] = {}
        self._has_unsaved_counts = False
        if path is not None and path.exists():
            self._counts = msgspec.json.decode(
                path.read_bytes(), type=dict[str, dict[int, _JobCounts]]
            )

    def record(
        self,
        configuration: Configuration,
        *,
        member: str,
        service: str,
        response_s: float,
        completed: bool,
        time_s: float,
    ) -> None:
        """Counts one closed job for every objective that applies to it."""
        for name, objective in configuration.objectives.items():
            if not _applies_to(objective, member, service):
                continue
            bucket = int(time_s) // _BUCKET_S
            count = self._counts.setdefault(name, {}).setdefault(bucket, _JobCounts())
            if completed and response_s <= objective.response_s:
                count.good += 1
            else:
                count.bad += 1
            self._has_unsaved_counts = True

    def rows(self, configuration: Configuration, time_s: float) -> list[BurnRow]:
        """Returns the burn rates of each objective."""
        return [
            self._row(name, objective, time_s)
            for name, objective in configuration.objectives.items()
        ]

    def save(self, time_s: float) -> None:
        """Writes changed counts to the file and syncs it to disk.

        If that fails, the former file stays, and the next call tries again.
        """
        if self._path is None or not self._has_unsaved_counts:
            return
        self._delete_expired_buckets(time_s)
        try:
            self._write(self._path)
        except OSError as error:
            _log.warning("burn_rates_not_saved", reason=str(error))
            return
        self._has_unsaved_counts = False

    def _write(self, path: pathlib.Path) -> None:
        temporary_path = path.with_name(path.name + ".new")
        with open(temporary_path, "wb") as file:
            file.write(msgspec.json.encode(self._counts))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, path)

    def _row(self, name: str, objective: Objective, time_s: float) -> BurnRow:
        jobs = {}
        burn = {}
        for window_s in WINDOWS_S:
            oldest_bucket = (int(time_s) - window_s) // _BUCKET_S
            good = bad = 0
            for bucket, count in self._counts.get(name, {}).items():
                if bucket > oldest_bucket:
                    good += count.good
                    bad += count.bad
            jobs[window_s] = good + bad
            bad_share = bad / max(1, good + bad)
            burn[window_s] = round(bad_share / (1 - objective.share), 3)
        return BurnRow(
            objective=name,
            member=objective.member,
            service=objective.service,
            share=objective.share,
            jobs=jobs,
            burn=burn,
        )

    def _delete_expired_buckets(self, time_s: float) -> None:
        oldest_bucket = int(time_s) // _BUCKET_S - _RETAINED_BUCKET_COUNT
        for counts in self._counts.values():
            for bucket in [bucket for bucket in counts if bucket < oldest_bucket]:
                del counts[bucket]


def render_burn_text(rows: list[BurnRow]) -> str:
    """Returns the burn rates as an aligned text table."""
    windows = "".join(f"{_window_name(window):>12}" for window in WINDOWS_S)
    lines = [f"{'objective':<24}{'member':<20}{'service':<24}{windows}"]
    for row in rows:
        cells = "".join(
            f"{row.burn[window]:>7.2f} ({row.jobs[window]})".rjust(12)
            for window in WINDOWS_S
        )
        member = row.member or "all"
        service = row.service or "all"
        lines.append(f"{row.objective:<24}{member:<20}{service:<24}{cells}")
    return "\n".join(lines)


def render_burn_plot(rows: list[BurnRow], format_name: str) -> bytes:
    """Returns a plot of the burn rates as a "png" or "svg" image."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    labels = [_window_name(window) for window in WINDOWS_S]
    for row in rows:
        axes.plot(
            labels, [row.burn[w] for w in WINDOWS_S], marker="o", label=row.objective
        )
    axes.axhline(1.0, color="grey", linestyle="--", linewidth=1)
    axes.set_xlabel("window")
    axes.set_ylabel("burn rate (1 uses the budget up in its period)")
    axes.set_title("Burn of service-level objectives")
    if rows:
        axes.legend()
    buffer = io.BytesIO()
    figure.savefig(buffer, format=format_name)
    pyplot.close(figure)
    return buffer.getvalue()


def _applies_to(objective: Objective, member: str, service: str) -> bool:
    member_matches = objective.member in ("", member)
    service_matches = objective.service in ("", service)
    return member_matches and service_matches


def _window_name(window_s: int) -> str:
    return f"{window_s // 3600}h" if window_s >= 3600 else f"{window_s // 60}m"
