"""Fault soak: runs the real programs on loopback, injects faults, checks invariants."""
