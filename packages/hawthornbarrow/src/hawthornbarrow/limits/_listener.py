"""Listener: accepts connections while the process has descriptors for them."""

import errno
import math

import curio
import structlog

from hawthornbarrow.clock import steady_s

_RETRY_S = 0.1
_LOG_INTERVAL_S = 10.0
# The listening socket itself is of no use.
_FATAL = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP})

_log = structlog.get_logger()


class Listener:
    """Accepts the connections of one listening socket.

    This handles errors of single connections, and a process that has no descriptor
    or buffer left: it goes on once there is room, and does not spin until then.

    Args:
        sock: The listening socket.
        name: Name of the port in the log.
    """

    def __init__(self, *, sock: curio.io.Socket, name: str) -> None:
        """Initializes a listener that has met no error."""
        self._sock = sock
        self._name = name
        self._logged_at_s = -math.inf
        self._failure_count = 0

    async def accept(self) -> curio.io.Socket:
        """Returns the next connection.

        Raises:
            OSError: The listening socket can not be used.
        """
        while True:
            try:
                client, _ = await self._sock.accept()
            except OSError as error:
                if error.errno in _FATAL:
                    raise
                self._record(error)
                await curio.sleep(_RETRY_S)
            else:
                return client

    def _record(self, error: OSError) -> None:
        self._failure_count += 1
        now_s = steady_s()
        if now_s - self._logged_at_s >= _LOG_INTERVAL_S:
            self._logged_at_s = now_s
            _log.warning(
                "accept_failed",
                port=self._name,
                reason=str(error),
                failures=self._failure_count,
            )
