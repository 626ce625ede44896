"""The agent: one small process beside each upstream."""

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
