"""Agents that discover their entries from seeds and each supervise one upstream."""

from hawthornbarrow_agent.fleet._process import (
    FleetAgent,
    FleetAgentSettings,
    UpstreamBrokeOffError,
    UpstreamClient,
    UpstreamGoneError,
    UpstreamSilentError,
)

__all__ = [
    "FleetAgent",
    "FleetAgentSettings",
    "UpstreamBrokeOffError",
    "UpstreamClient",
    "UpstreamGoneError",
    "UpstreamSilentError",
]
