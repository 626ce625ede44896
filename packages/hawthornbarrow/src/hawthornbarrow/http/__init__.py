"""HTTP/1.1 server and pooled client over curio, with h11 as the parser."""

from hawthornbarrow.http._client import (
    HttpClientError,
    NotSentError,
    PooledClient,
    RefusedError,
    ResetAfterSendError,
    TruncatedError,
)
from hawthornbarrow.http._exchange import Request, Response, problem
from hawthornbarrow.http._server import HttpLimits, HttpServer

__all__ = [
    "HttpClientError",
    "HttpLimits",
    "HttpServer",
    "NotSentError",
    "PooledClient",
    "RefusedError",
    "Request",
    "ResetAfterSendError",
    "Response",
    "TruncatedError",
    "problem",
]
