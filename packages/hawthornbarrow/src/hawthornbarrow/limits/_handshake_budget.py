"""HandshakeBudget: how many peers may be about to prove that they know a key."""

import collections

HANDSHAKE_BYTES = 4 * 1024  # of one block before the key is proved
# A connection with its task, and what the kernel holds unread for it at most.
HANDSHAKE_CONNECTION_BYTES = 144 * 1024
PATIENCE_S = 0.5  # a sound peer needs a few round trips


class HandshakeBudget:
    """Bounds the connections of peers that have not proved the key.

    This handles crowds of connections that send nothing, or no more than a part of
    their first block. When there are as many as may be, the one that has taken longest
    gives way to a new one, but only after PATIENCE_S: peers that all start at
    once wait for each other.

    Args:
        max_handshakes: Connections that may be in their handshake at once.

    Examples:
        >>> budget = HandshakeBudget(max_handshakes=1)
        >>> budget.begin("slow", now_s=0.0)
        >>> budget.delay_s(now_s=0.1)
        0.4
        >>> budget.begin("next", now_s=0.5)
        'slow'
    """

    def __init__(self, *, max_handshakes: int) -> None:
        """Initializes a budget without connections."""
        self._max_handshakes = max_handshakes
        self._began_at_s: collections.OrderedDict[object, float] = (
            collections.OrderedDict()
        )
        self._replaced_count = 0

    @property
    def max_handshakes(self) -> int:
        """Connections that may be in their handshake at once."""
        return self._max_handshakes

    @property
    def count(self) -> int:
        """Connections in their handshake."""
        return len(self._began_at_s)

    @property
    def replaced_count(self) -> int:
        """Connections that were closed for others."""
        return self._replaced_count

    def delay_s(self, now_s: float) -> float:
        """Returns the time until another handshake may begin."""
        if len(self._began_at_s) < self._max_handshakes:
            return 0.0
        oldest_at_s = next(iter(self._began_at_s.values()))
        return max(0.0, oldest_at_s + PATIENCE_S - now_s)

    def begin(self, owner: object, now_s: float) -> object | None:
        """Notes that a handshake begins, after the delay.

        Returns:
            The owner of a handshake that must be ended for it, or None.
        """
        replaced = None
        if len(self._began_at_s) >= self._max_handshakes:
            replaced, _ = self._began_at_s.popitem(last=False)
            self._replaced_count += 1
        self._began_at_s[owner] = now_s
        return replaced

    def end(self, owner: object) -> None:
        """Notes that a handshake has ended, in whichever way."""
        self._began_at_s.pop(owner, None)
