"""Records of the fleet's oracle: runs, requests and violated invariants."""

import dataclasses


class ViolationError(AssertionError):
    """An invariant of the fleet was violated."""


@dataclasses.dataclass
class Run:
    """One run of a task at an upstream."""

    job: str
    index: int
    attempt: int
    agent: str
    payload: bytes
    started_s: float
    ends_s: float | None = None


@dataclasses.dataclass
class Request:
    """One request of a caller and its answer."""

    key: str
    entry: str
    starts_before: int
    answer: object = None
    lost: bool = False
