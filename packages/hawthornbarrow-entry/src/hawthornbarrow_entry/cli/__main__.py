"""Runs the command line: `python -m hawthornbarrow_entry.cli`."""

import sys

from hawthornbarrow_entry.cli._main import main

sys.exit(main())
