"""WorkerDirectory: keeps the upstream of each agent in the ledger, without I/O.

After a restart, an agent that is told its record can attach without waiting for an
announcement. No task is started on an incarnation before the ledger lists it, so
an agent that finds the listed one without runs knows that its predecessor left none.
"""

import collections.abc

import structlog
from hawthornbarrow.cells import (
    AttachWorker,
    WorkerRecord,
    decode_worker,
    encode_worker,
)
from hawthornbarrow.ledger import AgentRecord, RegisterAgent

_log = structlog.get_logger()


class WorkerDirectory:
    """Decides which records of upstreams the ledger lists in a dispatcher's term.

    Args:
        is_enabled: Whether the deployment has enabled the feature.
    """

    def __init__(self, *, is_enabled: bool) -> None:
        """Initializes a directory that has heard of no upstream."""
        self._is_enabled = is_enabled
        self._workers: dict[str, WorkerRecord | None] = {}
        self._changed: set[str] = set()
        self._pending: dict[str, bytes] = {}

    def record_of(self, agent: str) -> bytes:
        """Returns the record that the ledger is to list for an agent."""
        return encode_worker(self._workers.get(agent))

    def on_worker(
        self, agent: str, worker: WorkerRecord | None, *, is_leaving: bool
    ) -> None:
        """Records an agent's upstream; one that is leaving is not to be listed."""
        listed = None if is_leaving else worker
        if not self._is_enabled:
            return
        if agent in self._workers and self._workers[agent] == listed:
            return
        self._workers[agent] = listed
        self._changed.add(agent)

    def lists(
        self,
        agent: str,
        message: AttachWorker,
        records: collections.abc.Mapping[str, AgentRecord] | None,
    ) -> bool:
        """Returns whether an agent may be attached.

        Args:
            agent: Name of the agent.
            message: Its attach request.
            records: Records of the agents in the ledger, None for a standby.
        """
        if not self._is_enabled or records is None:
            return True
        if message.worker is None or message.is_leaving:
            return True
        listed = decode_worker(records[agent].worker)
        return listed is not None and listed.incarnation == message.worker.incarnation

    def take_changes(
        self, records: collections.abc.Mapping[str, AgentRecord]
    ) -> list[RegisterAgent]:
        """Returns the commands that write changed records, one per agent at a time.

        Args:
            records: Records of the agents in the ledger.
        """
        commands = []
        for agent in list(self._changed):
            listed = records.get(agent)
            if listed is None:
                # Its registration will contain the record.
                self._pending.pop(agent, None)
                continue
            if self._pending.get(agent, listed.worker) != listed.worker:
                continue
            self._pending.pop(agent, None)
            record = self.record_of(agent)
            if record == listed.worker:
                self._changed.discard(agent)
                continue
            self._pending[agent] = record
            commands.append(
                RegisterAgent(name=agent, incarnation=listed.incarnation, worker=record)
            )
            worker = self._workers[agent]
            _log.info(
                "directory_written",
                agent=agent,
                upstream=worker.incarnation if worker else "",
            )
        return commands

    def known_worker(self, record: AgentRecord | None) -> WorkerRecord | None:
        """Returns the worker that the ledger's record of an agent lists, or None."""
        if not self._is_enabled or record is None:
            return None
        return decode_worker(record.worker)
