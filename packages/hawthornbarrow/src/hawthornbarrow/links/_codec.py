"""Encoding and authentication of frames.

An encoded frame is one version byte, a 16-byte keyed digest and the MessagePack
payload. The digest's key is derived from the cluster key and one random nonce of
each side, so a frame recorded on one connection is refused on any other.
"""

import hashlib
import hmac

import msgspec

from hawthornbarrow.links._frames import Frame, Hello

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
_DIGEST_BYTES = 16
_HEADER_BYTES = 1 + _DIGEST_BYTES


class LinkError(Exception):
    """Base of the errors of the link layer."""


class LinkProtocolError(LinkError):
    """A frame could not be decoded."""


class LinkAuthenticationError(LinkError):
    """A frame was not encoded with the expected cluster key and nonces."""


class Codec:
    """Encodes and decodes the frames of one connection.

    Args:
        cluster_key: Secret shared by all processes of the deployment.
        dialer_nonce: Nonce of the side that opened the connection.
        acceptor_nonce: Nonce of the other side.
        is_dialer: Whether this side opened the connection.
    """

    def __init__(
        self,
        *,
        cluster_key: bytes,
        dialer_nonce: bytes,
        acceptor_nonce: bytes,
        is_dialer: bool,
    ) -> None:
        """Derives the key of each direction."""
        secret = hashlib.blake2b(cluster_key).digest()
        nonces = dialer_nonce + acceptor_nonce
        dialer = hashlib.blake2b(nonces, key=secret, person=b"dialer").digest()
        acceptor = hashlib.blake2b(nonces, key=secret, person=b"acceptor").digest()
        self._send_key = dialer if is_dialer else acceptor
        self._receive_key = acceptor if is_dialer else dialer
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Frame | Hello)

    def encode(self, frame: Frame | Hello) -> bytes:
        """Returns the frame as authenticated bytes."""
        payload = self._encoder.encode(frame)
        digest = _keyed_digest(self._send_key, payload)
        return bytes([PROTOCOL_VERSION]) + digest + payload

    def decode(self, data: bytes) -> Frame | Hello:
        """Returns the frame in the given bytes.

        Raises:
            LinkProtocolError: The frame is too short, its version is not supported or
                its payload cannot be decoded.
            LinkAuthenticationError: The digest does not match.
        """
        if len(data) < _HEADER_BYTES:
            raise LinkProtocolError(
                f"frame of {len(data)} bytes, expected at least {_HEADER_BYTES}"
            )
        if data[0] != PROTOCOL_VERSION:
            raise LinkProtocolError(
                f"frame has protocol version {data[0]}, expected {PROTOCOL_VERSION}"
            )
        payload = data[_HEADER_BYTES:]
        expected = _keyed_digest(self._receive_key, payload)
        if not hmac.compare_digest(data[1:_HEADER_BYTES], expected):
            raise LinkAuthenticationError(
                "frame digest does not match the cluster key and nonces"
            )
        try:
            return self._decoder.decode(payload)
        except msgspec.DecodeError as error:
            raise LinkProtocolError(
                f"frame payload cannot be decoded: {error}"
            ) from error


def _keyed_digest(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=_DIGEST_BYTES).digest()
