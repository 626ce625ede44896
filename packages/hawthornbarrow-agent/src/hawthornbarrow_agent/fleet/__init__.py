"""Agents that discover their entries from seeds and each supervise one upstream."""

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
