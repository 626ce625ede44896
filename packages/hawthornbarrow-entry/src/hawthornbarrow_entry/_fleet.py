"""FleetView: the state of agents and upstreams as known to one entry."""

import dataclasses
import math

from hawthornbarrow.dispatch import UpstreamHealth, UpstreamView
from hawthornbarrow.links import SlotGrant
from hawthornbarrow.upstreams import Announcement, Resources


@dataclasses.dataclass(kw_only=True)
class AgentView:
    """State of one agent as known to an entry.

    Attributes:
        name: Name of the agent.
        incarnation: Incarnation of its process.
        is_up: Whether its link is up.
        is_registered: Whether this incarnation is registered in the ledger.
        proposed_at_s: Time at which its registration was last proposed.
        down_since_s: Time at which its link went down.
        is_lost: Whether the agent counts as lost, with the tasks that it had.
    """

    name: str
    incarnation: int
    is_up: bool = True
    is_registered: bool = False
    proposed_at_s: float = -math.inf
    down_since_s: float = 0.0
    is_lost: bool = False


class FleetView:
    """Tracks agents and upstreams, and indexes upstreams by service.

    Args:
        health: Health tracker of the upstreams.
        data_centre: Data centre of the entry.
        remote_delay_s: One-way delay to another data centre.
    """

    def __init__(
        self,
        *,
        health: UpstreamHealth,
        data_centre: str = "",
        remote_delay_s: float = 0.0015,
    ) -> None:
        """Initializes the view without agents."""
        self._health = health
        self._data_centre = data_centre
        self._remote_delay_s = remote_delay_s
        self.agents: dict[str, AgentView] = {}
        self.upstreams: dict[str, UpstreamView] = {}
        self._by_service: dict[str, list[UpstreamView]] = {}

    def on_announcement(self, agent: str, announcement: Announcement) -> None:
        """Records an upstream that an agent announced."""
        view = self.upstreams.get(announcement.name)
        if view is None or view.agent != agent:
            view = UpstreamView(agent=agent, announcement=announcement)
            self.upstreams[announcement.name] = view
        view.announcement = announcement
        view.is_open = True
        is_local = announcement.data_centre == self._data_centre
        view.link_delay_s = 0.0 if is_local else self._remote_delay_s
        self._rebuild_index()

    def on_grant(self, agent: str, grant: SlotGrant) -> None:
        """Applies a slot grant of an agent."""
        view = self.upstreams.get(grant.upstream)
        if view is not None and view.agent == agent:
            view.grant(
                slots=grant.slots, limit=grant.limit, generation=grant.generation
            )

    def on_upstream_gone(self, agent: str, upstream: str) -> None:
        """Stops dispatching to an upstream that left."""
        view = self.upstreams.get(upstream)
        if view is not None and view.agent == agent:
            view.is_open = False
            self._health.forget(upstream)
            self._rebuild_index()

    def on_agent_down(self, agent: str) -> None:
        """Stops dispatching to all upstreams of an agent whose link went down."""
        for view in self.upstreams.values():
            if view.agent == agent:
                view.is_open = False
                view.generation = 0
        self._rebuild_index()

    def on_agent_restarted(self, agent: str) -> None:
        """Removes the upstreams of an agent that restarted without its state."""
        for name, view in list(self.upstreams.items()):
            if view.agent == agent:
                del self.upstreams[name]
        self._rebuild_index()

    def open_services(self) -> set[str]:
        """Returns the services that at least one open upstream runs."""
        return set(self._by_service)

    def services_with_credit(self) -> set[str]:
        """Returns the services for which an upstream has credit."""
        return {
            service
            for service, views in self._by_service.items()
            if any(view.credit > 0 for view in views)
        }

    def candidates(
        self, service: str, resources: Resources, now_s: float, *, repeatable: bool
    ) -> list[UpstreamView]:
        """Returns the upstreams to which a task may be sent now."""
        return [
            view
            for view in self._by_service.get(service, ())
            if view.credit > 0
            and resources.fits(view.announcement.resources)
            and self._health.may_send(view.name, now_s, repeatable=repeatable)
        ]

    def capacity(self, service: str) -> int:
        """Returns the number of slots of all open upstreams that run a service."""
        return sum(
            view.announcement.slots for view in self._by_service.get(service, ())
        )

    def ever_fits(self, service: str, resources: Resources) -> bool:
        """Returns whether any known upstream of the service fits the resources."""
        return any(
            service in view.announcement.services
            and resources.fits(view.announcement.resources)
            for view in self.upstreams.values()
        )

    def knows_service(self, service: str) -> bool:
        """Returns whether any upstream, open or not, runs the service."""
        return any(
            service in view.announcement.services for view in self.upstreams.values()
        )

    def _rebuild_index(self) -> None:
        self._by_service = {}
        for view in self.upstreams.values():
            agent = self.agents.get(view.agent)
            if not view.is_open or agent is None or not agent.is_registered:
                continue
            for service in view.announcement.services:
                self._by_service.setdefault(service, []).append(view)

    def reindex(self) -> None:
        """Rebuilds the index by service after a change of an agent."""
        self._rebuild_index()
