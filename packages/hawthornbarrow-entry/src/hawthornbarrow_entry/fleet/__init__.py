"""Entries that find one another, and serve jobs measured in cores and memory."""

from hawthornbarrow_entry.fleet._intake import (
    CallerOutcome,
    Intake,
    OutcomeKind,
)
from hawthornbarrow_entry.fleet._membership import Membership, choose_founders
from hawthornbarrow_entry.fleet._process import FleetEntry
from hawthornbarrow_entry.fleet._questions import LeaderUnavailableError
from hawthornbarrow_entry.fleet._settings import FleetEntrySettings

__all__ = [
    "CallerOutcome",
    "FleetEntry",
    "FleetEntrySettings",
    "Intake",
    "Membership",
    "LeaderUnavailableError",
    "OutcomeKind",
    "choose_founders",
]
