"""Bounds on what connections may make a process keep, derived from its machine."""

from hawthornbarrow.limits._handshake_budget import HANDSHAKE_BYTES, HandshakeBudget
from hawthornbarrow.limits._listener import Listener
from hawthornbarrow.limits._machine import MachineLimits, PortKind
from hawthornbarrow.limits._options import add_machine_options, machine_from_options
from hawthornbarrow.limits._port_budget import (
    CONNECTION_BYTES,
    INCLUDED_BYTES,
    RECEIVE_BUFFER_BYTES,
    Admission,
    ConnectionAccount,
    Growth,
    PortBudget,
)
from hawthornbarrow.limits._process_budget import ProcessBudget

__all__ = [
    "CONNECTION_BYTES",
    "HANDSHAKE_BYTES",
    "INCLUDED_BYTES",
    "RECEIVE_BUFFER_BYTES",
    "Admission",
    "ConnectionAccount",
    "Growth",
    "HandshakeBudget",
    "Listener",
    "MachineLimits",
    "PortBudget",
    "PortKind",
    "ProcessBudget",
    "add_machine_options",
    "machine_from_options",
]
