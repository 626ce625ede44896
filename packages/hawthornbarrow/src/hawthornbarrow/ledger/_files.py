"""Small durable files with a checksum header that are replaced atomically."""

import os
import pathlib
import struct
import zlib

_HEADER = struct.Struct("!II")


class CorruptFileError(Exception):
    """A file's content does not match its checksum."""


def write_atomically(path: pathlib.Path, data: bytes) -> None:
    """Replaces a file so that a crash leaves either the old or the new content.

    The data is written to a temporary file, which is synced and renamed. Then the
    folder is synced.
    """
    temporary_path = path.with_name(path.name + ".new")
    with open(temporary_path, "wb") as file:
        file.write(_HEADER.pack(len(data), zlib.crc32(data)))
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    sync_folder(path.parent)


def read_checked(path: pathlib.Path) -> bytes:
    """Returns the content of a file written by `write_atomically`.

    Raises:
        CorruptFileError: The content does not match its checksum.
    """
    raw = path.read_bytes()
    if len(raw) < _HEADER.size:
        raise CorruptFileError(f"{path} is shorter than its header")
    size, checksum = _HEADER.unpack_from(raw)
    data = raw[_HEADER.size :]
    if len(data) != size or zlib.crc32(data) != checksum:
        raise CorruptFileError(f"{path} does not match its checksum")
    return data


def sync_folder(folder: pathlib.Path) -> None:
    """Makes renames and new files in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
