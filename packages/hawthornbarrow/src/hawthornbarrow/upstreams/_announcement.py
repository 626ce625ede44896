"""Announcements by which upstreams register with their agent."""

import msgspec

ANNOUNCEMENT_LEASE_S = 3.0


class Resources(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Amounts of the resources that a worker provides or a task needs.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0

    def fits(self, capacity: "Resources") -> bool:
        """Returns whether these amounts fit into the given capacity."""
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
    """Properties of an upstream, valid for one lease unless renewed.

    Attributes:
        name: Name of the upstream, unique in the deployment.
        address: IP address and port at which it accepts tasks.
        services: Names of the services that it can run.
        slots: Maximum number of tasks that it runs concurrently.
        connections: Maximum number of connections that it accepts from its agent.
        resources: Maximum resources that one task may use.
        worker: Name of the worker that it runs on.
        rack: Name of the worker's rack.
        data_centre: Name of the worker's data centre.
        stops_on_disconnect: Whether it stops a task when its connection closes.
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
