"""Evacuations of data centres: the newest known state, and the return of workers."""

import collections.abc
import dataclasses

from hawthornbarrow.cells._messages import DispatcherHeartbeat, KnownEvacuation
from hawthornbarrow.cells._slow_start import RETURN_S, SlowStart
from hawthornbarrow.cells._standby import is_standby_term

MAX_NAME_LENGTH = 64  # characters in the name of a data centre


class InvalidEvacuationError(Exception):
    """An order names no possible data centre, or too many are evacuated."""


def check_data_centre_name(name: str) -> None:
    """Checks that a data centre may have the given name.

    Raises:
        InvalidEvacuationError: The name is empty or too long.
    """
    if not 1 <= len(name) <= MAX_NAME_LENGTH:
        raise InvalidEvacuationError(
            f"name of {len(name)} characters, expected 1 to {MAX_NAME_LENGTH}"
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class EvacuationState:
    """A committed state of the evacuations.

    Attributes:
        revision: Revision of the state.
        data_centres: Names of the evacuated data centres.
    """

    revision: int = 0
    data_centres: tuple[str, ...] = ()


class EvacuationView:
    """Keeps the state with the highest revision that a process has seen."""

    def __init__(self) -> None:
        """Initializes a view in which no data centre is evacuated."""
        self._state = EvacuationState()
        self._withdrawn_at_s: dict[str, float] = {}

    @property
    def state(self) -> EvacuationState:
        """The state with the highest revision so far."""
        return self._state

    def observe(self, state: EvacuationState, now_s: float) -> bool:
        """Takes a state over if its revision is the highest so far.

        Returns:
            Whether it was taken over.
        """
        if state.revision <= self._state.revision:
            return False
        for data_centre in set(self._state.data_centres) - set(state.data_centres):
            self._withdrawn_at_s[data_centre] = now_s
        self._state = state
        return True

    def on_heartbeat(
        self, heartbeat: DispatcherHeartbeat, now_s: float
    ) -> KnownEvacuation | None:
        """Takes a newer state from a heartbeat, of whatever term.

        A standby may not have heard of the last orders. A leader has them in its
        ledger.

        Returns:
            A message that informs the sender, a standby with an older state, or None.
        """
        revision = heartbeat.evacuation_revision
        self.observe(
            EvacuationState(revision=revision, data_centres=heartbeat.evacuated), now_s
        )
        if revision >= self._state.revision or not is_standby_term(heartbeat.term):
            return None
        return KnownEvacuation(
            revision=self._state.revision, evacuated=self._state.data_centres
        )

    def withdrawn_at_s(self, now_s: float) -> dict[str, float]:
        """Returns when recent withdrawals were seen, by data centre.

        The workers of these data centres may still be cold.
        """
        self._withdrawn_at_s = {
            data_centre: at_s
            for data_centre, at_s in self._withdrawn_at_s.items()
            if now_s - at_s < RETURN_S
        }
        return dict(self._withdrawn_at_s)


class EvacuatedWorkers:
    """Decides which workers get no tasks, and which ones return slowly."""

    def __init__(self) -> None:
        """Initializes it without evacuated data centres."""
        self._state = EvacuationState()
        self._data_centres: frozenset[str] = frozenset()
        self._withdrawn_at_s: dict[str, float] = {}

    @property
    def state(self) -> EvacuationState:
        """The state in force."""
        return self._state

    def set_state(
        self,
        state: EvacuationState,
        withdrawn_at_s: collections.abc.Mapping[str, float],
    ) -> None:
        """Puts a state in force.

        Args:
            state: The state.
            withdrawn_at_s: When recent withdrawals were seen, by data centre.
        """
        self._state = state
        self._data_centres = frozenset(state.data_centres)
        self._withdrawn_at_s = {
            data_centre: at_s
            for data_centre, at_s in withdrawn_at_s.items()
            if data_centre not in self._data_centres
        }

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether the workers of a data centre get no tasks."""
        return data_centre in self._data_centres

    def slow_start(
        self, data_centre: str, slowness: float, now_s: float
    ) -> SlowStart | None:
        """Returns the slow start of a worker, None when its data centre is warm.

        Args:
            data_centre: Data centre of the worker.
            slowness: Ratio of its run times to the expected ones.
            now_s: Current time.
        """
        at_s = self._withdrawn_at_s.get(data_centre)
        if at_s is None or now_s - at_s >= RETURN_S:
            return None
        return SlowStart(until_s=at_s + RETURN_S, slowness=slowness)
