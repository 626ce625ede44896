"""Mailbox: how the tasks of one process hand messages to one another."""

import collections

import curio


class Mailbox:
    """Unbounded queue that is drained whole, so a tick sees all that waits."""

    def __init__(self) -> None:
        """Starts empty."""
        self._items: collections.deque = collections.deque()
        self._filled = curio.Event()

    def __len__(self) -> int:
        """Returns the number of waiting items."""
        return len(self._items)

    async def post(self, item: object) -> None:
        """Adds an item and wakes the receiver."""
        self._items.append(item)
        if not self._filled.is_set():
            await self._filled.set()

    async def drain(self, *, timeout_s: float) -> list:
        """Returns all waiting items, or none after the timeout."""
        await curio.ignore_after(timeout_s, self._filled.wait)
        items = list(self._items)
        self._items.clear()
        self._filled.clear()
        return items
