"""Upstreams: their announcements and the outcomes of calls to them."""

from hawthornbarrow.upstreams._announcement import (
    ANNOUNCEMENT_LEASE_S,
    Announcement,
    Resources,
)
from hawthornbarrow.upstreams._call_policy import (
    CallClassification,
    CallOutcome,
    classify_call,
)

__all__ = [
    "ANNOUNCEMENT_LEASE_S",
    "Announcement",
    "CallOutcome",
    "CallClassification",
    "Resources",
    "classify_call",
]
