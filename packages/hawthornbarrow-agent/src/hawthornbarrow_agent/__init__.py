"""The agent: one small process beside each upstream."""

from hawthornbarrow_agent._core import AgentCore, AgentTiming
from hawthornbarrow_agent._effects import (
    AgentEffect,
    SendMessage,
    StartCall,
    StopCall,
)
from hawthornbarrow_agent._process import AgentProcess, AgentSettings

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
