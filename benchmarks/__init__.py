"""Experiments, load tests, fuzzing and cost measurements."""
