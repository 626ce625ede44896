"""Settings of an entry that finds its fleet by seeds."""

import dataclasses
import pathlib

from hawthornbarrow.cells import RunLeaseTiming


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetEntrySettings:
    """Settings of one entry.

    Attributes:
        name: Name of the entry, unique in the deployment.
        address: IP number and port of its links, as others reach it.
        data_centre: Name of its data centre.
        data_dir: Data folder of its ledger replica, None where there is no disk.
        is_first_start: Whether the whole deployment starts for the first time.
        seeds: Link addresses of entries to contact first, in an order that is the same
            everywhere at the first start.
        tolerated_losses: Disks that may be lost at once.
        timing: Lengths of the leases.
        cluster_key: Secret shared by all processes of the deployment.
        grace_s: Time from the request to stop until the process is killed.
        listen_host: IP number to listen at, where it is not that of the address.
        started_at_s: When the process started, on the steady clock; None when that is
            not known. Nothing of its replica has run just before.
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
