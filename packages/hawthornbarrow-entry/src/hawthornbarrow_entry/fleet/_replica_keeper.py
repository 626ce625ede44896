"""ReplicaKeeper: founds, opens and runs this entry's replica of the ledger."""

import random

import curio
import structlog
from hawthornbarrow.ledger import (
    FileStorage,
    LedgerStorageError,
    LinkReplicaTransport,
    ReplicatedLedger,
    holds_ledger,
    load_identity,
    store_initial_voters,
)
from hawthornbarrow.links import LinkPort, Mailbox, ReplicaPayload

from hawthornbarrow_entry.fleet._membership import (
    Membership,
    choose_founders,
    founders_wanted,
)
from hawthornbarrow_entry.fleet._settings import FleetEntrySettings

SETTLED_AFTER_S = 1.0  # without news of other entries, all that start are known
FOUND_ANYWAY_AFTER_S = 5.0
REOPENED_AFTER_S = 1.0

_log = structlog.get_logger()


class ReplicaKeeper:
    """The replica of an entry with a disk; without one it has none.

    At the first start the entry at the first seed chooses the founders and tells them.
    A replica that is not among them, or whose disk is empty later, waits with an empty
    log until a leader makes it a member.

    Args:
        settings: Settings of the process.
        port: Links of the process.
        events: Mailbox of the entry.
        generator: Source of election timeouts.
    """

    def __init__(
        self,
        *,
        settings: FleetEntrySettings,
        port: LinkPort,
        events: Mailbox,
        generator: random.Random,
    ) -> None:
        """Opens what the disk holds."""
        self._settings = settings
        self._port = port
        self._events = events
        self._generator = generator
        self._ledger: ReplicatedLedger | None = None
        self._transport: LinkReplicaTransport | None = None
        self._storage: FileStorage | None = None
        self._opened = curio.Event()
        self._quiet_since_s = settings.started_at_s
        self._began_at_s = 0.0
        self._founders: tuple[str, ...] = ()
        self._identity = ""
        if settings.data_dir is not None:
            self._identity = str(load_identity(settings.data_dir, settings.name))

    @property
    def identity(self) -> str:
        """Identity of the replica, empty without a disk."""
        return self._identity

    @property
    def ledger(self) -> ReplicatedLedger | None:
        """The replica, once it is open."""
        return self._ledger

    async def run(self) -> None:
        """Runs the replica until cancelled."""
        folder = self._settings.data_dir
        if folder is None:
            await curio.Event().wait()
        elif not self._settings.is_first_start or holds_ledger(folder):
            await self._open()
        while True:
            await self._opened.wait()
            assert self._ledger is not None
            await self._ledger.run()
            await self._reopen()

    async def _reopen(self) -> None:
        """Opens the replica anew after its disk refused or failed a write.

        What was not synced is dropped, as at a restart of the process.
        """
        self._ledger = None
        self._transport = None
        self._quiet_since_s = None
        self._opened.clear()
        if self._storage is not None:
            self._storage.close()
        while self._ledger is None:
            await curio.sleep(REOPENED_AFTER_S)
            try:
                await self._open()
            except (LedgerStorageError, OSError) as error:
                _log.warning("replica_not_opened", reason=str(error))

    async def deliver(self, payload: ReplicaPayload) -> None:
        """Takes a message of another replica."""
        if self._ledger is None and self._storage is None:
            await self._open_as_learner()
        if self._transport is not None:
            await self._transport.deliver(payload)

    async def found(self, voters: tuple[str, ...]) -> None:
        """Takes the founders' names at the first start."""
        if self._identity not in voters or self._ledger is not None:
            return
        assert self._settings.data_dir is not None
        if store_initial_voters(self._settings.data_dir, voters):
            _log.info("ledger_founded", voters=",".join(voters))
        await self._open()

    async def resign(self) -> None:
        """Hands leadership on, if this replica leads."""
        if self._ledger is not None:
            await self._ledger.resign()

    def founders_to_announce(
        self, membership: Membership, term: int, now_s: float
    ) -> tuple[str, ...]:
        """Returns the founders, at the entry that chooses them and when it may.

        Args:
            membership: Entries that are alive.
            term: Newest term of a dispatcher, zero before the first.
            now_s: Current time.
        """
        is_chooser = self._settings.seeds[:1] == (self._settings.address,)
        if not self._settings.is_first_start or not is_chooser or term:
            return ()
        if self._founders:
            return self._founders
        self._began_at_s = self._began_at_s or now_s
        disks = [member for member in membership.alive if member.replica]
        is_settled = now_s - membership.changed_at_s >= SETTLED_AFTER_S
        has_enough = len(disks) >= founders_wanted(self._settings.tolerated_losses)
        has_waited = now_s - self._began_at_s >= FOUND_ANYWAY_AFTER_S
        if is_settled and (has_enough or has_waited):
            self._founders = choose_founders(disks, self._settings.tolerated_losses)
        return self._founders

    async def _open_as_learner(self) -> None:
        if self._settings.data_dir is not None:
            await self._open()

    async def _open(self) -> None:
        if self._ledger is not None:
            return
        assert self._settings.data_dir is not None
        transport = LinkReplicaTransport(identity=self._identity, port=self._port)
        self._storage = FileStorage(folder=self._settings.data_dir)
        self._ledger = ReplicatedLedger(
            identity=self._identity,
            storage=self._storage,
            transport=transport,
            events=self._events,
            generator=self._generator,
            inactive_since_s=self._quiet_since_s,
        )
        self._transport = transport
        _log.info("replica_opened", replica=self._identity)
        await self._opened.set()
