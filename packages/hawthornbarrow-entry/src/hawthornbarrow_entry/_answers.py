"""Answers that several parts of the entry give."""

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
    """Returns a refusal after which the caller should soon come back."""
    return refuse(503, reason, detail, not_run=not_run, retry_after_s=RETRY_AFTER_S)


def key_reused() -> Answer:
    """Returns the refusal of another body under a known key."""
    detail = "the idempotency key was used before with another body"
    return refuse(422, "key_reused", detail, not_run=False)


def key_expired() -> Answer:
    """Returns the refusal of a key from before the horizon."""
    detail = "the key is a UUIDv7 from before the horizon of the ledger"
    return refuse(422, "key_expired", detail, not_run=False)


def not_found() -> Answer:
    """Returns the answer for a job that the member does not have."""
    return refuse(404, "not_found", "no such job", not_run=False)
