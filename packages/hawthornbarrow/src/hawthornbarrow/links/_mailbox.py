"""Mailbox through which the curio tasks of one process pass items to another."""

import collections

import curio


class Mailbox:
    """Unbounded queue whose items are all taken at once, so a tick sees all of them."""

    def __init__(self) -> None:
        """Initializes an empty mailbox."""
        self._items: collections.deque = collections.deque()
        self._has_items = curio.Event()

    def __len__(self) -> int:
        """Returns the number of waiting items."""
        return len(self._items)

    async def post(self, item: object) -> None:
        """Adds an item and wakes the receiver."""
        self._items.append(item)
        if not self._has_items.is_set():
            await self._has_items.set()

    async def drain(self, *, timeout_s: float) -> list:
        """Removes and returns all waiting items, or an empty list after the timeout."""
        await curio.ignore_after(timeout_s, self._has_items.wait)
        items = list(self._items)
        self._items.clear()
        self._has_items.clear()
        return items
