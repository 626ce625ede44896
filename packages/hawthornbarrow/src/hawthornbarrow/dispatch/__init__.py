"""Dispatch policies: admission, ordering, placement, slot sharing and health."""

from hawthornbarrow.dispatch._admission import Admission, AdmissionLimits, Refusal
from hawthornbarrow.dispatch._estimates import (
    DEFAULT_RUN_S,
    RunTimeClass,
    RunTimeEstimator,
)
from hawthornbarrow.dispatch._fair_queue import FairQueue, SchedulingClass
from hawthornbarrow.dispatch._health import HealthPolicy, UpstreamHealth
from hawthornbarrow.dispatch._ordering import (
    AgedCount,
    DeclaredWork,
    FirstComeFirstServed,
    JobOrder,
    LeastRemainingWork,
    ShortTasksFirst,
)
from hawthornbarrow.dispatch._placement import (
    LeastExpectedStart,
    PlacementPolicy,
    RandomTwoChoices,
)
from hawthornbarrow.dispatch._retry import RetryBudget
from hawthornbarrow.dispatch._slots import SlotShare, SlotSplitter, UpstreamView

__all__ = [
    "DEFAULT_RUN_S",
    "Admission",
    "AdmissionLimits",
    "AgedCount",
    "DeclaredWork",
    "FairQueue",
    "FirstComeFirstServed",
    "HealthPolicy",
    "JobOrder",
    "SchedulingClass",
    "LeastExpectedStart",
    "LeastRemainingWork",
    "PlacementPolicy",
    "RandomTwoChoices",
    "Refusal",
    "RetryBudget",
    "RunTimeClass",
    "RunTimeEstimator",
    "ShortTasksFirst",
    "SlotSplitter",
    "SlotShare",
    "UpstreamHealth",
    "UpstreamView",
]
