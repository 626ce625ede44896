"""UpstreamContact: whether an upstream answers, judged by all calls to it."""

import math

from hawthornbarrow.cells._response_times import ResponseTimes

LISTING_TIMEOUT_S = 0.7
# Listings in a row that are overdue, after which the upstream gets no new tasks.
MAX_OVERDUE_LISTINGS = 3


class UpstreamContact:
    """Tracks the response times of an upstream and the age of its newest listing.

    One lost response proves nothing. An upstream is suspect after several overdue
    listings in a row, and silent once its newest listing is too old to renew runs.
    """

    def __init__(self) -> None:
        """Initializes the contact to an upstream that has not answered yet."""
        self._response_times = ResponseTimes()
        self._listed_at_s = -math.inf
        self._alive_until_s = -math.inf
        self._broken_at_s: float | None = None
        self._overdue_count = 0

    @property
    def overdue_after_s(self) -> float:
        """Time after which an unanswered call is repeated."""
        return self._response_times.overdue_after_s

    @property
    def overdue_count(self) -> int:
        """Number of listings in a row that are overdue."""
        return self._overdue_count

    @property
    def alive_until_s(self) -> float:
        """Time until which the upstream is known to have run.

        That is when it broke off a call, or else its newest response.
        """
        return self._alive_until_s if self._broken_at_s is None else self._broken_at_s

    @property
    def broken_at_s(self) -> float | None:
        """When the upstream broke off a call after which it has not responded."""
        return self._broken_at_s

    def silent_s(self, now_s: float) -> float:
        """Returns the time since the newest listing was requested."""
        return now_s - self._listed_at_s

    def is_silent(self, now_s: float) -> bool:
        """Returns whether the newest listing is too old to renew runs."""
        return self.silent_s(now_s) > LISTING_TIMEOUT_S

    def is_suspect(self, now_s: float) -> bool:
        """Returns whether the upstream should get no new tasks."""
        return self._overdue_count >= MAX_OVERDUE_LISTINGS or self.is_silent(now_s)

    def is_unreachable(self, now_s: float) -> bool:
        """Returns whether it is silent although several listings were requested."""
        return self._overdue_count >= MAX_OVERDUE_LISTINGS and self.is_silent(now_s)

    def on_response(self, response_s: float, now_s: float) -> None:
        """Records the response time of an answered call."""
        self._response_times.record(response_s)
        self._on_sign_of_life(now_s)

    def on_call_broken(self, now_s: float) -> None:
        """Records that the upstream broke off a call without a response."""
        if self._broken_at_s is None:
            self._broken_at_s = now_s

    def on_listing_overdue(self) -> None:
        """Records that a requested listing has not arrived in time."""
        self._overdue_count += 1

    def on_listing(self, asked_at_s: float, now_s: float) -> bool:
        """Records a listing; returns whether none that was requested later is known."""
        self._on_sign_of_life(now_s)
        is_newest = asked_at_s >= self._listed_at_s
        self._listed_at_s = max(self._listed_at_s, asked_at_s)
        self._overdue_count = 0
        return is_newest

    def _on_sign_of_life(self, now_s: float) -> None:
        self._alive_until_s = max(self._alive_until_s, now_s)
        self._broken_at_s = None
