"""Answers that several components of the entry return."""

import msgspec

from hawthornbarrow_entry._effects import Answer, refuse

RETRY_AFTER_S = 1.0
PREVIOUS_SUBMISSION_UNKNOWN = (
    "this submission starts nothing, but an earlier one with the same key may have run"
)


def pending(key: str, status: str) -> Answer:
    """Returns the answer for a job that is still open."""
    document = {"key": key, "status": status}
    return Answer(status=202, body=msgspec.json.encode(document))


def unavailable(reason: str, detail: str, *, not_run: bool = True) -> Answer:
    """Returns a refusal that tells the caller to retry after ``RETRY_AFTER_S``."""
    return refuse(503, reason, detail, not_run=not_run, retry_after_s=RETRY_AFTER_S)


def key_reused() -> Answer:
    """Returns the refusal of a known key that was submitted with another body."""
    detail = "the idempotency key was used before with another body"
    return refuse(422, "key_reused", detail, not_run=False)


def key_expired() -> Answer:
    """Returns the refusal of a key that is older than the ledger's retention."""
    detail = "the key is a UUIDv7 from before the horizon of the ledger"
    return refuse(422, "key_expired", detail, not_run=False)


def not_found() -> Answer:
    """Returns the answer for a key under which the member has no job."""
    return refuse(404, "not_found", "no such job", not_run=False)
