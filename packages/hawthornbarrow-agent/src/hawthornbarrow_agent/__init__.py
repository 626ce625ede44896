"""Agent process that runs beside an upstream and starts tasks on it."""

import typing

from hawthornbarrow.lazy import lazy_attributes

if typing.TYPE_CHECKING:
    from hawthornbarrow_agent._core import AgentCore
    from hawthornbarrow_agent._effects import (
        AgentEffect,
        SendMessage,
        StartCall,
        StopCall,
    )
    from hawthornbarrow_agent._process import AgentProcess, AgentSettings
    from hawthornbarrow_agent._timing import AgentTiming

__all__ = [
    "AgentCore",
    "AgentEffect",
    "AgentProcess",
    "AgentSettings",
    "AgentTiming",
    "SendMessage",
    "StartCall",
    "StopCall",
]

__getattr__ = lazy_attributes(
    __name__,
    {
        "AgentCore": "_core",
        "AgentEffect": "_effects",
        "AgentProcess": "_process",
        "AgentSettings": "_process",
        "AgentTiming": "_timing",
        "SendMessage": "_effects",
        "StartCall": "_effects",
        "StopCall": "_effects",
    },
)
