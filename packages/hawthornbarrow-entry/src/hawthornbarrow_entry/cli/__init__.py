"""Command line of the entry and of its operators."""

from hawthornbarrow_entry.cli._main import build_parser, main

__all__ = ["build_parser", "main"]
