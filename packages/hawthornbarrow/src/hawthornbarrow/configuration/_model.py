"""The settings that operators share across all processes of a deployment."""

import hashlib
from typing import Annotated

import msgspec

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_Count = Annotated[int, msgspec.Meta(ge=1)]
_Share = Annotated[float, msgspec.Meta(gt=0, lt=1)]
_TokenHash = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class _Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all sections."""


class Tuning(_Section, kw_only=True):
    """Trade between lag and messages.

    Attributes:
        result_hold_ms: Longest time that an agent holds a result for a batch.
        ahead_ms: Work that an entry may queue ahead of its slots.
        contended_ahead_ms: The same while more than one job waits there.
    """

    result_hold_ms: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 25.0
    ahead_ms: Annotated[float, msgspec.Meta(ge=0, le=5000)] = 40.0
    contended_ahead_ms: Annotated[float, msgspec.Meta(ge=0, le=5000)] = 0.0


class Limits(_Section, kw_only=True):
    """Bounds of what callers may submit.

    Attributes:
        tasks_per_job: Most tasks in one job.
        waiting_tasks: Most tasks that may wait at one entry.
        member_waiting_tasks: Most tasks of one member that may wait there.
    """

    tasks_per_job: _Count = 1000
    waiting_tasks: _Count = 200_000
    member_waiting_tasks: _Count = 50_000


class Member(_Section, kw_only=True):
    """A member organisation.

    Attributes:
        token_hashes: SHA-256 of each bearer token, in hexadecimal.
        weight: Share of the slots relative to the other members.
        slot_quota: Most slots that the member may hold at one entry.
    """

    token_hashes: list[_TokenHash]
    weight: _Positive = 1.0
    slot_quota: _Count | None = None


class Service(_Section, kw_only=True):
    """A service that upstreams run.

    Attributes:
        run_limit_s: Longest time that one task may run.
        deadline_s: Deadline of a job that states none.
        attempts: Most attempts of a repeatable task.
        members: Members that may call it; empty for all.
    """

    run_limit_s: _Positive = 30.0
    deadline_s: _Positive = 60.0
    attempts: _Count = 3
    members: list[str] = []


class Objective(_Section, kw_only=True):
    """A service-level objective.

    Attributes:
        member: Member that it covers; empty for all.
        service: Service that it covers; empty for all.
        response_s: Response time that counts as good.
        share: Share of jobs that must be good.
    """

    member: str = ""
    service: str = ""
    response_s: _Positive
    share: _Share = 0.99


class Configuration(_Section, kw_only=True):
    """All shared settings.

    Attributes:
        tuning: Trade between lag and messages.
        limits: Bounds of what callers may submit.
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
    """Returns the configuration as JSON."""
    return msgspec.json.encode(configuration)


def decode_configuration(document: bytes) -> Configuration:
    """Returns the configuration in a JSON document.

    Raises:
        msgspec.DecodeError: The document is not a valid configuration.
    """
    return msgspec.json.decode(document, type=Configuration)


def hash_token(token: str) -> str:
    """Returns the hash of a bearer token as the configuration holds it.

    Tokens are random and long, so a plain SHA-256 needs no salt.
    """
    return hashlib.sha256(token.encode()).hexdigest()
