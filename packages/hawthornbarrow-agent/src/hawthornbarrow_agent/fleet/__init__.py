"""Agents that find their entries by seeds and guard one upstream each."""

from hawthornbarrow_agent.fleet._process import (
    FleetAgent,
    FleetAgentSettings,
    UpstreamClient,
    UpstreamGoneError,
    UpstreamSilentError,
)

__all__ = [
    "FleetAgent",
    "FleetAgentSettings",
    "UpstreamClient",
    "UpstreamGoneError",
    "UpstreamSilentError",
]
