"""Graceful shutdown of a process on SIGTERM or SIGINT."""

from hawthornbarrow.shutdown._signals import serve_until_signalled

__all__ = ["serve_until_signalled"]
