"""RelayRoutes: relays on which a dispatcher hears processes it is cut off from."""

import dataclasses

from hawthornbarrow.cells._timing import RunLeaseTiming


@dataclasses.dataclass(kw_only=True)
class _Route:
    relay: str
    heard_at_s: float
    sent_at_s: float


class RelayRoutes:
    """Knows the relay of each agent or entry whose frames arrive through one.

    A process that is cut off asks all entries at once. The dispatcher keeps the first
    relay that brings a frame and changes it only when that one falls silent.

    Args:
        timing: Durations of the leases of runs.
    """

    def __init__(self, *, timing: RunLeaseTiming) -> None:
        """Initializes routes to no agent."""
        self._silent_after_s = timing.suspect_after_s
        self._lost_after_s = timing.lost_after_s
        self._routes: dict[str, _Route] = {}
        self._attached: set[str] = set()

    def on_frame(self, agent: str, relay: str, sent_at_s: float, now_s: float) -> bool:
        """Processes a forwarded frame; returns whether its relay is used from now on.

        Args:
            agent: Agent that sent it.
            relay: Entry that forwarded it.
            sent_at_s: When the agent sent it, on the agent's clock.
            now_s: Current time.
        """
        route = self._routes.get(agent)
        if route is not None and now_s - route.heard_at_s > self._lost_after_s:
            # The agent may have restarted with an earlier clock.
            route = None
        if route is not None and route.relay == relay:
            route.heard_at_s = now_s
            route.sent_at_s = max(route.sent_at_s, sent_at_s)
            return False
        if route is not None and now_s - route.heard_at_s <= self._silent_after_s:
            return False
        self._routes[agent] = _Route(relay=relay, heard_at_s=now_s, sent_at_s=sent_at_s)
        return True

    def on_attach(self, agent: str, *, is_relayed: bool) -> None:
        """Records whether messages for an agent or entry go through its relay.

        That is the path on which an agent attached, or an entry submitted jobs, last.
        """
        if is_relayed:
            self._attached.add(agent)
        else:
            self._attached.discard(agent)

    def is_attached(self, agent: str) -> bool:
        """Returns whether messages for an agent or entry go through its relay."""
        return agent in self._attached

    def relay_of(self, agent: str) -> str:
        """Returns the relay of an agent, empty for none."""
        route = self._routes.get(agent)
        return route.relay if route else ""

    def sent_at_s(self, agent: str) -> float:
        """Returns when, on its own clock, an agent sent its newest forwarded frame."""
        return self._routes[agent].sent_at_s

    def agents(self, now_s: float) -> list[str]:
        """Returns the agents that are heard through relays, and drops silent ones."""
        for agent, route in list(self._routes.items()):
            if now_s - route.heard_at_s > self._lost_after_s:
                del self._routes[agent]
        return list(self._routes)
