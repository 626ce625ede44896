"""Simulated operator who evacuates data centres, and the checks on its orders."""

import random

import curio
from hawthornbarrow.clock import steady_s

from tools.soak._callers import send_request
from tools.soak._deployment import CONTROL_PORT, Node
from tools.soak._executor import Oracle

EVACUATE_WITHIN_S = 5.0  # of the acknowledgement, the order is in force everywhere
_ACKNOWLEDGE_WITHIN_S = 5.0  # after which the operator gives an order up
_ATTEMPT_TIMEOUT_S = 1.0
_RETRY_INTERVAL_S = 0.1
_MAX_HOLD_S = 8.0


class EvacuationOperator:
    """Evacuates one data centre at a time and withdraws the order later.

    Args:
        entries: Entries to call.
        data_centres: Data centres of the executors.
        oracle: Checks the starts, and is told which ones are violations.
        generator: Source of random choices.

    Attributes:
        acknowledged_count: Number of orders that were acknowledged.
        given_up_count: Number of orders that were not acknowledged in time.
        slowest_s: Longest time from an order to its acknowledgement.
    """

    def __init__(
        self,
        *,
        entries: list[Node],
        data_centres: list[str],
        oracle: Oracle,
        generator: random.Random,
    ) -> None:
        """Initializes the operator without orders."""
        self._entries = entries
        self._data_centres = data_centres
        self._oracle = oracle
        self._generator = generator
        self.acknowledged_count = 0
        self.given_up_count = 0
        self.slowest_s = 0.0

    async def run(self, stop_event: curio.Event) -> None:
        """Orders and withdraws evacuations until the event."""
        while not stop_event.is_set():
            data_centre = self._generator.choice(self._data_centres)
            await self._order("POST", data_centre, _ACKNOWLEDGE_WITHIN_S)
            await curio.sleep(self._generator.uniform(0.5, _MAX_HOLD_S))
            # Only one at a time is evacuated, so that jobs can still complete.
            while not await self._order("DELETE", data_centre, _ACKNOWLEDGE_WITHIN_S):
                await curio.sleep(_RETRY_INTERVAL_S)

    async def evacuate_at_end(self, timeout_s: float) -> str:
        """Orders an evacuation that lasts; returns the data centre.

        Failure to acknowledge it is recorded as a violation.
        """
        data_centre = self._generator.choice(self._data_centres)
        if not await self._order("POST", data_centre, timeout_s):
            self._oracle.record_violation("no evacuation is acknowledged at the end")
        return data_centre

    async def check_withdrawal(self, data_centre: str, timeout_s: float) -> None:
        """Withdraws an evacuation and checks that tasks start there again."""
        if not await self._order("DELETE", data_centre, timeout_s):
            self._oracle.record_violation("no withdrawal is acknowledged at the end")
            return
        withdrawn_at_s = steady_s()
        while steady_s() - withdrawn_at_s < timeout_s:
            if self._oracle.last_start_s(data_centre) > withdrawn_at_s:
                return
            await curio.sleep(_RETRY_INTERVAL_S)
        self._oracle.record_violation(
            f"nothing starts in {data_centre} after the withdrawal of its evacuation"
        )

    async def _order(self, method: str, data_centre: str, timeout_s: float) -> bool:
        """Sends an order to random entries until one acknowledges it.

        From the first attempt on it is unknown whether the former order holds. A
        response other than 2xx and 503 is recorded as a violation.

        Returns:
            Whether it was acknowledged in time.
        """
        self._oracle.end_evacuation(data_centre)
        ordered_at_s = steady_s()
        deadline_s = ordered_at_s + timeout_s
        while steady_s() < deadline_s:
            entry = self._generator.choice(self._entries)
            status, _ = await send_request(
                entry.bind_address,
                CONTROL_PORT,
                method,
                f"/api/evacuation/{data_centre}",
                b"",
                _ATTEMPT_TIMEOUT_S,
            )
            if 200 <= status < 300:
                self.acknowledged_count += 1
                self.slowest_s = max(self.slowest_s, steady_s() - ordered_at_s)
                if method == "POST":
                    self._oracle.begin_evacuation(
                        data_centre, steady_s() + EVACUATE_WITHIN_S
                    )
                return True
            if status not in (0, 503):
                self._oracle.record_violation(
                    f"{method} of evacuation {data_centre} got status {status}"
                )
            await curio.sleep(_RETRY_INTERVAL_S)
        self.given_up_count += 1
        return False
