"""ReplicaManager: bootstraps, opens and runs this entry's replica of the ledger."""

import dataclasses
import random

import curio
import structlog
from hawthornbarrow.cells import LoadFeature
from hawthornbarrow.ledger import (
    FAST_TAKEOVER_SETTINGS,
    FileStorage,
    LinkReplicaTransport,
    RaftSettings,
    ReplicatedLedger,
    holds_ledger,
    load_identity,
    store_initial_voters,
)
from hawthornbarrow.links import LinkPort, Mailbox, ReplicaPayload

from hawthornbarrow_entry.fleet._settings import FleetEntrySettings

_log = structlog.get_logger()


def _raft_settings(features: frozenset[LoadFeature]) -> RaftSettings:
    is_fast = LoadFeature.FAST_TAKEOVER in features
    return dataclasses.replace(
        FAST_TAKEOVER_SETTINGS if is_fast else RaftSettings(),
        has_restart_elections=LoadFeature.FAST_RESTART in features,
    )


class ReplicaManager:
    """Manages the replica of an entry; an entry without a disk has none.

    At the first start of a deployment, one entry announces the initial voters, which
    `Founding` chooses. A replica that is not among them, or whose disk is empty later,
    waits with an empty log until a leader makes it a member.

    Args:
        settings: Settings of the process.
        port: Links of the process.
        events: Mailbox of the entry.
        generator: Random generator for election timeouts.
    """

    def __init__(
        self,
        *,
        settings: FleetEntrySettings,
        port: LinkPort,
        events: Mailbox,
        generator: random.Random,
    ) -> None:
        """Initializes the manager and loads the replica's identity from the disk."""
        self._settings = settings
        self._port = port
        self._events = events
        self._generator = generator
        self._ledger: ReplicatedLedger | None = None
        self._transport: LinkReplicaTransport | None = None
        self._opened = curio.Event()
        self._identity = ""
        if settings.data_dir is not None:
            self._identity = str(load_identity(settings.data_dir, settings.name))

    @property
    def identity(self) -> str:
        """Identity of the replica, empty without a disk."""
        return self._identity

    @property
    def ledger(self) -> ReplicatedLedger | None:
        """The replica, while it is open."""
        if self._ledger is None or self._ledger.is_stopped:
            return None
        return self._ledger

    async def run(self) -> None:
        """Runs the replica until cancelled."""
        folder = self._settings.data_dir
        if folder is None:
            await curio.Event().wait()
        elif not self._settings.is_first_start or holds_ledger(folder):
            await self._open()
        await self._opened.wait()
        assert self._ledger is not None
        await self._ledger.run()

    async def deliver(self, payload: ReplicaPayload) -> None:
        """Delivers a message of another replica to this one.

        A replica that was never opened is opened as a learner first.
        """
        if self._ledger is None:
            await self._open_as_learner()
        if self._transport is not None:
            await self._transport.deliver(payload)

    async def bootstrap(self, voters: tuple[str, ...]) -> None:
        """Creates and opens the replica of an initial voter at the first start."""
        if self._identity not in voters or self._ledger is not None:
            return
        assert self._settings.data_dir is not None
        if store_initial_voters(self._settings.data_dir, voters):
            _log.info("ledger_founded", voters=",".join(voters))
        await self._open()

    async def resign(self) -> None:
        """Transfers leadership to another replica, if this replica leads."""
        if self._ledger is not None:
            await self._ledger.resign()

    async def _open_as_learner(self) -> None:
        if self._settings.data_dir is not None:
            await self._open()

    async def _open(self) -> None:
        if self._ledger is not None:
            return
        assert self._settings.data_dir is not None
        transport = LinkReplicaTransport(identity=self._identity, port=self._port)
        self._ledger = ReplicatedLedger(
            identity=self._identity,
            storage=FileStorage(folder=self._settings.data_dir),
            transport=transport,
            events=self._events,
            generator=self._generator,
            settings=_raft_settings(self._settings.features),
            inactive_since_s=self._settings.started_at_s,
        )
        self._transport = transport
        _log.info("replica_opened", replica=self._identity)
        await self._opened.set()
