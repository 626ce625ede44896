"""What the oracle of the fleet notes: starts, requests, broken promises."""

import dataclasses


class ViolationError(AssertionError):
    """A promise was broken."""


@dataclasses.dataclass
class Run:
    """One start of a task on an upstream."""

    job: str
    index: int
    attempt: int
    agent: str
    payload: bytes
    started_s: float
    ends_s: float | None = None


@dataclasses.dataclass
class Request:
    """One request of a caller, and its answer."""

    key: str
    entry: str
    starts_before: int
    answer: object = None
    lost: bool = False
