"""Settings of an entry that discovers its fleet from seeds."""

import dataclasses
import pathlib

from hawthornbarrow.cells import NO_FEATURES, LoadFeature, RunLeaseTiming
from hawthornbarrow.limits import MachineLimits


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetEntrySettings:
    """Settings of one entry.

    Attributes:
        name: Name of the entry, unique in the deployment.
        address: IP address and port of its links, as other processes reach it.
        data_centre: Name of its data centre.
        data_dir: Data folder of its ledger replica, or None without a disk.
        is_first_start: Whether the whole deployment starts for the first time.
        seeds: Link addresses of entries to contact first, in an order that is the same
            at all entries at the first start.
        tolerated_losses: Disks that may be lost at once.
        timing: Durations of the leases.
        cluster_key: Secret shared by all processes of the deployment.
        grace_s: Time between the request to stop and the kill of the process.
        listen_host: IP address to listen at, or empty for that of ``address``.
        started_at_s: When the process started, on the steady clock, or None when
            unknown. The replica counts as inactive from then until it is opened.
        features: Optional features that the deployment has enabled.
        resend_s: Minimum time after which a caller whose connection broke submits its
            job again, or None when the platform does not say; nothing relies on it
            then.
        catch_up_s: Time from the start of a machine that replaces another, or from the
            return of one, after which the next disk may be lost.
        machine: Limits of the machine on the process.
    """

    name: str
    address: str
    data_centre: str
    data_dir: pathlib.Path | None
    is_first_start: bool
    seeds: tuple[str, ...]
    tolerated_losses: int
    timing: RunLeaseTiming
    cluster_key: bytes
    grace_s: float = 6.0
    listen_host: str = ""
    started_at_s: float | None = None
    features: frozenset[LoadFeature] = NO_FEATURES
    resend_s: float | None = None
    catch_up_s: float = 4.0
    machine: MachineLimits = MachineLimits()
