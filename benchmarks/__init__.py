"""Experiments and load on the project's own decisions and processes."""
