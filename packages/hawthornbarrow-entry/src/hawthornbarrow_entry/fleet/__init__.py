"""Entries that discover one another and serve jobs measured in cores and memory."""

from hawthornbarrow_entry.fleet._caller_jobs import CallerJobs
from hawthornbarrow_entry.fleet._caller_outcome import CallerOutcome, OutcomeKind
from hawthornbarrow_entry.fleet._founding import choose_initial_voters
from hawthornbarrow_entry.fleet._gap_waits import CallerRequest
from hawthornbarrow_entry.fleet._leader_requests import LeaderUnavailableError
from hawthornbarrow_entry.fleet._membership import Membership
from hawthornbarrow_entry.fleet._process import FleetEntry
from hawthornbarrow_entry.fleet._settings import FleetEntrySettings

__all__ = [
    "CallerOutcome",
    "CallerRequest",
    "FleetEntry",
    "FleetEntrySettings",
    "CallerJobs",
    "Membership",
    "LeaderUnavailableError",
    "OutcomeKind",
    "choose_initial_voters",
]
