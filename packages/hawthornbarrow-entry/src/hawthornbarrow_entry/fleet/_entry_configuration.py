"""EntryConfiguration: the configuration in force at an entry, and how it is renewed."""

import structlog
from hawthornbarrow.cells import (
    ConfigurationReply,
    GetConfiguration,
    with_document,
)
from hawthornbarrow.queues import (
    ConfigurationFormat,
    InvalidConfigurationError,
    QueueTable,
)

from hawthornbarrow_entry.fleet._configuration_fetch import ConfigurationFetch

READ_TIMEOUT_S = 0.8

_log = structlog.get_logger()


class EntryConfiguration:
    """Holds the newest configuration that arrived and never goes back to an older one.

    Args:
        configuration_format: Format of the operators' configurations.
    """

    def __init__(self, *, configuration_format: ConfigurationFormat) -> None:
        """Initializes an entry without a configuration."""
        self._format = configuration_format
        self._table: QueueTable | None = None
        self._fetch = ConfigurationFetch()

    @property
    def table(self) -> QueueTable | None:
        """The configuration in force, or None before the first."""
        return self._table

    @property
    def version(self) -> int:
        """Version in force, zero before the first."""
        return self._table.version if self._table else 0

    def request_if_due(
        self, known_version: int, term: int, now_s: float
    ) -> GetConfiguration | None:
        """Returns a request to send to the dispatcher, or None when none is due.

        Args:
            known_version: Newest version, by the dispatcher's heartbeats.
            term: Term of the dispatcher.
            now_s: Current time.
        """
        is_due = self._fetch.is_due(
            known_version=known_version,
            current_version=self.version,
            term=term,
            now_s=now_s,
        )
        if not is_due:
            return None
        return GetConfiguration(number=0, accepts_compressed=True)

    def on_reply(
        self, peer: str, message: ConfigurationReply
    ) -> ConfigurationReply | None:
        """Puts a newer configuration in force.

        Returns:
            The reply with its document, or None if it is damaged.
        """
        reply = with_document(message)
        if reply is None:
            _log.error("configuration_damaged", peer=peer, version=message.version)
            return None
        if not reply.number:
            self._fetch.on_reply()
        if reply.version > self.version and reply.document:
            self._put_in_force(reply)
        return reply

    def is_read_current(
        self, reply: ConfigurationReply, known_version: int, took_s: float
    ) -> bool:
        """Returns whether an operator may be given the document of a reply.

        A reply that waited in a process that was paused or busy may be out of date.

        Args:
            reply: Reply to the read.
            known_version: Newest version, by the dispatcher's heartbeats.
            took_s: Time since the read was requested.
        """
        is_newest = reply.version >= max(known_version, self.version)
        is_current = is_newest and took_s <= READ_TIMEOUT_S
        _log.info(
            "configuration_read" if is_current else "configuration_read_refused",
            version=reply.version,
            known_version=known_version,
            took_s=round(took_s, 3),
        )
        return is_current

    def _put_in_force(self, reply: ConfigurationReply) -> None:
        former_version = self.version
        try:
            self._table = self._format.decode(reply.document)
        except InvalidConfigurationError as error:
            _log.error("configuration_unreadable", reason=str(error))
            return
        _log.info(
            "configuration_in_force",
            version=reply.version,
            former=former_version,
            queues=len(self._table.queues),
        )
