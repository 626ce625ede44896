"""Disks without room: writes to chosen folders fail, after a part of the data."""

import contextlib
import errno
import os
import pathlib
from unittest import mock

from hawthornbarrow.ledger import _storage


class FullDisks:
    """The folders whose disks have no room while the fault is active.

    Attributes:
        folders: The folders.
        failed_count: Number of writes that failed.
    """

    def __init__(self):
        self.folders = set()
        self.failed_count = 0

    @contextlib.contextmanager
    def active(self):
        """Replaces the writes of ledger storages within a context."""
        with (
            mock.patch.object(_storage, "_write_all", self._write_all),
            mock.patch.object(_storage, "write_atomically", self._write_atomically),
        ):
            yield self

    def _write_all(self, descriptor, data, write=_storage._write_all):
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.parent in self.folders:
            write(descriptor, data[: len(data) // 2])
            self._fail()
        write(descriptor, data)

    def _write_atomically(self, path, data, write=_storage.write_atomically):
        if path.parent in self.folders:
            path.with_name(path.name + ".new").write_bytes(data[: len(data) // 2])
            self._fail()
        write(path, data)

    def _fail(self):
        self.failed_count += 1
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
