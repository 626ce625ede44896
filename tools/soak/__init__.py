"""Fault soak: the real programs on loopback, faults from outside, promises checked."""
