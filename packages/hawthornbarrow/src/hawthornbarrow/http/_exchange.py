"""Requests, responses and RFC 9457 problem details."""

import collections.abc
import dataclasses

import msgspec

PROBLEM_TYPE = "application/problem+json"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """One received request.

    Attributes:
        method: HTTP method, in upper case.
        path: Path of the target, without the query.
        headers: Header values by lower-case name.
        body: The complete body.
        is_abandoned: Tells whether the caller has closed its connection since the
            request arrived.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    is_abandoned: collections.abc.Callable[[], bool] = lambda: False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """One response with its complete body.

    Attributes:
        status: HTTP status code.
        body: The complete body.
        content_type: Media type of the body.
        headers: Additional header values by name.
        closes_connection: Whether the caller must send its next request on another
            connection, which may lead to another server.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    closes_connection: bool = False


def problem(
    status: int,
    title: str,
    *,
    detail: str = "",
    not_run: bool = False,
    retry_after_s: float = 0.0,
) -> Response:
    """Returns an RFC 9457 problem details response.

    Args:
        status: HTTP status code.
        title: Short name of the kind of problem.
        detail: What was received and what was expected.
        not_run: Whether no task of the request has run or ever will.
        retry_after_s: Time after which to retry; zero for no advice.
    """
    document = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        "not_run": not_run,
    }
    headers = {}
    if retry_after_s > 0:
        headers["Retry-After"] = str(max(1, round(retry_after_s)))
        document["retry_after_s"] = round(retry_after_s, 3)
    return Response(
        status=status,
        body=msgspec.json.encode(document),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )
