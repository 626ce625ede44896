"""EvacuationOrders: operators' orders to evacuate data centres, at one entry."""

import collections.abc

import curio
import structlog
from hawthornbarrow.cells import (
    EvacuationOutcome,
    EvacuationState,
    EvacuationView,
    InvalidEvacuationError,
    ProposeEvacuation,
    check_data_centre_name,
)
from hawthornbarrow.clock import steady_s

from hawthornbarrow_entry.fleet._leader_requests import (
    LeaderRequests,
    LeaderUnavailableError,
)

ORDER_TIMEOUT_S = 0.9  # an operator waits one second for a response
# A leader that has just been elected drops proposals until it has applied all commands.
PROPOSAL_RETRY_INTERVAL_S = 0.3

_log = structlog.get_logger()


class EvacuationOrders:
    """Proposes orders to the leader until one outcome shows that they took effect.

    Args:
        requests: Requests to the leader.
        view: State of the evacuations that this process knows.
        hears_leader: Returns whether heartbeats of a leader arrive now.
    """

    def __init__(
        self,
        *,
        requests: LeaderRequests,
        view: EvacuationView,
        hears_leader: collections.abc.Callable[[], bool],
    ) -> None:
        """Stores the leader requests and the view."""
        self._requests = requests
        self._view = view
        self._hears_leader = hears_leader

    async def order(
        self,
        data_centre: str,
        is_evacuated: bool,
        is_abandoned: collections.abc.Callable[[], bool],
    ) -> int:
        """Orders or withdraws the evacuation of a data centre.

        Returns:
            Revision in which it is in force.

        Raises:
            InvalidEvacuationError: The name is not possible, or too many data centres
                are evacuated.
            LeaderUnavailableError: It is unknown whether it takes effect.
        """
        check_data_centre_name(data_centre)
        received_at_s = steady_s()
        expected_revision = self._view.state.revision
        while True:
            wait_s = received_at_s + ORDER_TIMEOUT_S - steady_s()
            self._check_may_propose(wait_s, is_abandoned)
            outcome = await self._propose(
                data_centre,
                is_evacuated,
                expected_revision,
                min(wait_s, PROPOSAL_RETRY_INTERVAL_S),
            )
            if outcome is None:
                continue
            self._observe(outcome)
            if outcome.is_accepted:
                _log.info(
                    "evacuation_acknowledged",
                    data_centre=data_centre,
                    is_evacuated=is_evacuated,
                    revision=outcome.revision,
                    took_s=round(steady_s() - received_at_s, 3),
                )
                return outcome.revision
            if outcome.revision == expected_revision:
                raise InvalidEvacuationError("too many data centres are evacuated")
            expected_revision = outcome.revision

    def _check_may_propose(
        self, wait_s: float, is_abandoned: collections.abc.Callable[[], bool]
    ) -> None:
        """Checks that the operator still waits and that there is a leader.

        Raises:
            LeaderUnavailableError: One of the two is not the case.
        """
        if wait_s <= 0:
            raise LeaderUnavailableError("the leader did not answer in time")
        if is_abandoned():
            raise LeaderUnavailableError("the operator has closed the connection")
        if not self._hears_leader():
            raise LeaderUnavailableError("no leader is known")

    async def _propose(
        self,
        data_centre: str,
        is_evacuated: bool,
        expected_revision: int,
        timeout_s: float,
    ) -> EvacuationOutcome | None:
        """Sends one proposal; returns None if no reply arrives in time."""
        sent_at_s = steady_s()
        try:
            return await self._requests.request(
                lambda number: ProposeEvacuation(
                    number=number,
                    data_centre=data_centre,
                    is_evacuated=is_evacuated,
                    expected_revision=expected_revision,
                ),
                timeout_s,
            )
        except LeaderUnavailableError:
            await curio.sleep(max(0.0, sent_at_s + timeout_s - steady_s()))
            return None

    def _observe(self, outcome: EvacuationOutcome) -> None:
        state = EvacuationState(
            revision=outcome.revision, data_centres=outcome.evacuated
        )
        self._view.observe(state, steady_s())
