"""The directory: records of upstreams in the ledger, and what an agent makes of one.

The dispatcher tells an agent without a session which upstream the ledger lists for it.
The agent may attach with that record, before the upstream announces itself, once the
same incarnation has answered with a listing under the dispatcher's term.
"""

import collections

import msgspec
import structlog

from hawthornbarrow.cells._parts import WorkerRecord
from hawthornbarrow.cells._upstream_calls import Listing

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(WorkerRecord)

_log = structlog.get_logger()


def encode_worker(worker: WorkerRecord | None) -> bytes:
    """Returns a record as the ledger keeps it, empty for none."""
    return _ENCODER.encode(worker) if worker is not None else b""


def decode_worker(data: bytes) -> WorkerRecord | None:
    """Returns a record that the ledger keeps, or None if there is no readable one."""
    if not data:
        return None
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None


class KnownUpstream:
    """The upstream that the directory lists for an agent which has had none yet.

    Args:
        counts: Where to count recognized and rejected records.
    """

    def __init__(self, *, counts: collections.Counter[str]) -> None:
        """Initializes it without a record."""
        self._counts = counts
        self._worker: WorkerRecord | None = None
        self._rejected = ""
        self._asked_from_s = 0.0

    @property
    def worker(self) -> WorkerRecord | None:
        """The record that a listing has yet to confirm, or None."""
        return self._worker

    def on_known_worker(self, worker: WorkerRecord | None) -> None:
        """Takes the record of a heartbeat, unless its upstream was found to be gone."""
        is_rejected = worker is not None and worker.incarnation == self._rejected
        self._worker = None if is_rejected else worker

    def on_term(self, now_s: float) -> None:
        """Drops the record and ignores the listings of an earlier term."""
        self._worker = None
        self._asked_from_s = now_s

    def confirm(self, listing: Listing) -> WorkerRecord | None:
        """Returns the record if a listing shows that its incarnation is running.

        Another incarnation has other attributes, so its record is dropped.
        """
        worker = self._worker
        if worker is None or listing.upstream != worker.upstream:
            return None
        if listing.asked_at_s < self._asked_from_s:
            return None
        if listing.born_ms != worker.born_ms:
            self._reject(worker, "another incarnation answered")
            return None
        self._worker = None
        self._counts["upstream_recognized"] += 1
        _log.info(
            "upstream_recognized",
            upstream=worker.incarnation,
            running=len(listing.running),
        )
        return worker

    def on_gone(self, incarnation: str) -> None:
        """Drops the record if nothing listens, or another incarnation answers."""
        if self._worker is not None and self._worker.incarnation == incarnation:
            self._reject(self._worker, "the upstream is gone")

    def _reject(self, worker: WorkerRecord, reason: str) -> None:
        self._rejected = worker.incarnation
        self._worker = None
        self._counts["known_upstream_rejected"] += 1
        _log.info("known_upstream_rejected", upstream=worker.incarnation, reason=reason)
