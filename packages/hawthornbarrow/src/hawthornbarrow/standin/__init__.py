"""Stand-in upstream, which computes the users' tasks and keeps a journal of runs."""

from hawthornbarrow.standin._bearings import (
    Bearing,
    BearingCheck,
    BearingLife,
    check_bearing,
)
from hawthornbarrow.standin._fairs import (
    FairEntry,
    FairEntryResult,
    process_entry,
)
from hawthornbarrow.standin._upstream import StandInSettings, StandInUpstream

__all__ = [
    "Bearing",
    "BearingCheck",
    "BearingLife",
    "FairEntry",
    "FairEntryResult",
    "StandInSettings",
    "StandInUpstream",
    "check_bearing",
    "process_entry",
]
