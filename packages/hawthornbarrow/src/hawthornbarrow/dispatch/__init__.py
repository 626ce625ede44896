"""Dispatch: which task goes where and when."""

from hawthornbarrow.dispatch._admission import Admission, AdmissionLimits, Refusal
from hawthornbarrow.dispatch._estimates import (
    DEFAULT_RUN_S,
    RunTimeClass,
    RunTimeEstimator,
)
from hawthornbarrow.dispatch._fair_queue import FairQueue, Lane
from hawthornbarrow.dispatch._health import HealthPolicy, UpstreamHealth
from hawthornbarrow.dispatch._ordering import (
    AgedCount,
    DeclaredWork,
    FirstComeFirstServed,
    JobOrder,
    LeastRemainingWork,
    ShortTaskReserve,
)
from hawthornbarrow.dispatch._placement import (
    LeastExpectedFinish,
    PlacementPolicy,
    RandomTwoChoices,
)
from hawthornbarrow.dispatch._retry import RetryBudget
from hawthornbarrow.dispatch._slots import SlotSplitter, SplitShare, UpstreamView

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
    "Lane",
    "LeastExpectedFinish",
    "LeastRemainingWork",
    "PlacementPolicy",
    "RandomTwoChoices",
    "Refusal",
    "RetryBudget",
    "RunTimeClass",
    "RunTimeEstimator",
    "ShortTaskReserve",
    "SlotSplitter",
    "SplitShare",
    "UpstreamHealth",
    "UpstreamView",
]
