"""Settings that all processes of a deployment share."""

import hashlib
from typing import Annotated

import msgspec

_PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
_PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
_Fraction = Annotated[float, msgspec.Meta(gt=0, lt=1)]
_TokenHash = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class _Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of all sections."""


class Tuning(_Section, kw_only=True):
    """Trade-off between latency and number of messages.

    Attributes:
        result_hold_ms: Maximum time that an agent delays a result to batch it.
        ahead_ms: Amount of work that an entry may queue beyond its slots, in
            milliseconds of run time.
        contended_ahead_ms: The same amount while more than one job waits at the entry.
    """

    result_hold_ms: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 25.0
    ahead_ms: Annotated[float, msgspec.Meta(ge=0, le=5000)] = 40.0
    contended_ahead_ms: Annotated[float, msgspec.Meta(ge=0, le=5000)] = 0.0


class Limits(_Section, kw_only=True):
    """Limits on the jobs that callers may submit.

    Attributes:
        tasks_per_job: Maximum number of tasks in one job.
        waiting_tasks: Maximum number of tasks that wait at one entry.
        member_waiting_tasks: Maximum number of waiting tasks of one member there.
    """

    tasks_per_job: _PositiveInt = 1000
    waiting_tasks: _PositiveInt = 200_000
    member_waiting_tasks: _PositiveInt = 50_000


class Member(_Section, kw_only=True):
    """A member organisation.

    Attributes:
        token_hashes: SHA-256 of each bearer token, in hexadecimal.
        weight: Share of the slots relative to the other members.
        slot_quota: Maximum number of slots that the member may hold at one entry.
    """

    token_hashes: list[_TokenHash]
    weight: _PositiveFloat = 1.0
    slot_quota: _PositiveInt | None = None


class Service(_Section, kw_only=True):
    """A service that upstreams run.

    Attributes:
        run_limit_s: Maximum run time of one task.
        deadline_s: Deadline of a job that specifies none.
        attempts: Maximum number of attempts of a repeatable task.
        members: Members that may call the service; empty for all.
    """

    run_limit_s: _PositiveFloat = 30.0
    deadline_s: _PositiveFloat = 60.0
    attempts: _PositiveInt = 3
    members: list[str] = []


class Objective(_Section, kw_only=True):
    """A service-level objective.

    Attributes:
        member: Member to which the objective applies; empty for all.
        service: Service to which the objective applies; empty for all.
        response_s: Maximum response time of a good job.
        share: Target share of good jobs.
    """

    member: str = ""
    service: str = ""
    response_s: _PositiveFloat
    share: _Fraction = 0.99


class Configuration(_Section, kw_only=True):
    """All shared settings.

    Attributes:
        tuning: Trade-off between latency and number of messages.
        limits: Limits on the jobs that callers may submit.
        members: Members by name.
        services: Services by name.
        objectives: Service-level objectives by name.
    """

    tuning: Tuning = Tuning()
    limits: Limits = Limits()
    members: dict[str, Member] = {}
    services: dict[str, Service] = {}
    objectives: dict[str, Objective] = {}


def encode_configuration(configuration: Configuration) -> bytes:
    """Returns the configuration as a JSON document."""
    return msgspec.json.encode(configuration)


def decode_configuration(document: bytes) -> Configuration:
    """Returns the configuration that a JSON document contains.

    Raises:
        msgspec.DecodeError: The document is not a valid configuration.
    """
    return msgspec.json.decode(document, type=Configuration)


def hash_token(token: str) -> str:
    """Returns the hash of a bearer token in the form that the configuration stores.

    Tokens are long and random, so SHA-256 without a salt is sufficient.
    """
    return hashlib.sha256(token.encode()).hexdigest()
