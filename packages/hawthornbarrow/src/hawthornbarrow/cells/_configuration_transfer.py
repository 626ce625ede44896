"""Compressed transfer of configurations from the leader to the other entries.

All entries fetch a new configuration at the same time. A large one takes longer on a
slow link than a heartbeat may be late, and the heartbeats behind it wait.
"""

import zlib

import msgspec

from hawthornbarrow.cells._messages import ConfigurationReply, GetConfiguration

MAX_DOCUMENT_BYTES = 64 * 1024 * 1024  # as the largest block on a link
_COMPRESSION_LEVEL = 6
_MIN_COMPRESSED_BYTES = 1024  # shorter documents fit into one packet anyway


class ConfigurationSender:
    """Builds the replies of a leader, and compresses each version once."""

    def __init__(self) -> None:
        """Initializes a sender without a compressed version."""
        self._version = -1
        self._compressed = b""

    def reply(
        self, request: GetConfiguration, version: int, document: bytes
    ) -> ConfigurationReply:
        """Returns the reply to a request.

        Args:
            request: The request.
            version: Version of the newest configuration.
            document: Its document.
        """
        if not request.accepts_compressed or len(document) < _MIN_COMPRESSED_BYTES:
            return ConfigurationReply(
                number=request.number, version=version, document=document
            )
        if version != self._version:
            self._compressed = zlib.compress(document, _COMPRESSION_LEVEL)
            self._version = version
        return ConfigurationReply(
            number=request.number,
            version=version,
            document=b"",
            compressed=self._compressed,
        )


def with_document(reply: ConfigurationReply) -> ConfigurationReply | None:
    """Returns a reply with its document uncompressed, or None if it is damaged."""
    if not reply.compressed:
        return reply
    stream = zlib.decompressobj()
    try:
        document = stream.decompress(reply.compressed, MAX_DOCUMENT_BYTES)
    except zlib.error:
        return None
    if not stream.eof:
        return None
    return msgspec.structs.replace(reply, document=document, compressed=b"")
