"""ProcessBudget: the budgets of all ports of one process."""

from hawthornbarrow.limits._machine import MachineLimits, PortKind
from hawthornbarrow.limits._port_budget import CONNECTION_BYTES, PortBudget


class ProcessBudget:
    """Divides what a machine gives a process among the process's ports.

    Each port has a part of its own. The parts of all ports together leave the rest of
    the memory to the jobs, the links and the ledger.

    Args:
        machine: Limits of the machine.

    Examples:
        >>> machine = MachineLimits(memory_bytes=300 * 2**20, descriptors=4100)
        >>> budget = ProcessBudget(machine=machine)
        >>> budget.add_port("frontend", PortKind.CALLERS).max_connections
        1371
    """

    def __init__(self, *, machine: MachineLimits) -> None:
        """Initializes a budget without ports."""
        self._machine = machine
        self._ports: dict[str, PortBudget] = {}

    def add_port(
        self, name: str, kind: PortKind, *, max_connections: int | None = None
    ) -> PortBudget:
        """Returns the budget of a new port.

        Args:
            name: Name of the port in metrics and logs.
            kind: Who connects to the port.
            max_connections: Connections that the port is set to, or None to go by the
                machine alone.
        """
        count = min(
            self._machine.connection_bytes(kind) // CONNECTION_BYTES,
            self._machine.connection_descriptors(kind),
        )
        if max_connections is not None:
            count = min(count, max_connections)
        port = PortBudget(
            max_connections=max(1, count),
            request_bytes=self._machine.request_bytes(kind),
        )
        self._ports[name] = port
        return port

    @property
    def counts(self) -> dict[str, int]:
        """Number of refusals by port and cause."""
        return {
            f"{name}_{cause}": count
            for name, port in self._ports.items()
            for cause, count in port.counts.items()
        }

    @property
    def states(self) -> dict[str, int]:
        """Open connections and charged bytes, by port."""
        states = {}
        for name, port in self._ports.items():
            states[f"{name}_connections"] = port.connection_count
            states[f"{name}_request_bytes"] = port.charged_bytes
        return states

    @property
    def limits(self) -> dict[str, int]:
        """Limits in force, by port, as they are logged at the start."""
        limits = {
            "memory_bytes": self._machine.memory_bytes,
            "descriptors": self._machine.descriptors,
        }
        for name, port in self._ports.items():
            limits[f"{name}_connections"] = port.max_connections
            limits[f"{name}_request_bytes"] = port.request_bytes
        return limits
