"""A stand-in upstream: computes the users' tasks and keeps a journal of starts."""

from hawthornbarrow.standin._bearings import (
    Bearing,
    BearingCheck,
    BearingLife,
    check_bearing,
)
from hawthornbarrow.standin._fairs import (
    FairAnswer,
    FairEntry,
    answer_entry,
)
from hawthornbarrow.standin._upstream import StandInSettings, StandInUpstream

__all__ = [
    "Bearing",
    "BearingCheck",
    "BearingLife",
    "FairAnswer",
    "FairEntry",
    "StandInSettings",
    "StandInUpstream",
    "answer_entry",
    "check_bearing",
]
