"""What an upstream says of itself when it announces."""

import msgspec

ANNOUNCEMENT_LEASE_S = 3.0


class Resources(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """An amount of what workers provide.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0

    def fits(self, capacity: "Resources") -> bool:
        """Tells whether this amount fits into the given capacity."""
        return (
            self.cores <= capacity.cores
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )


class Announcement(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """An upstream's offer, valid for one lease unless renewed.

    Attributes:
        name: Name of the upstream, unique in the deployment.
        address: IP number and port at which it takes tasks.
        services: Names of the services that it can run.
        slots: Tasks that it runs at once.
        connections: Most connections that it accepts from its agent.
        resources: What one task may use at most.
        worker: Name of the worker that it runs on.
        rack: Name of the worker's rack.
        data_centre: Name of the worker's data centre.
        stops_on_disconnect: Whether it stops a task whose connection closes.
    """

    name: str
    address: str
    services: list[str]
    slots: int
    connections: int
    resources: Resources = Resources()
    worker: str = ""
    rack: str = ""
    data_centre: str = ""
    stops_on_disconnect: bool = False
