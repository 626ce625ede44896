"""Command line options for the limits of the machine."""

import argparse
import os
import resource

from hawthornbarrow.limits._machine import MachineLimits

_MIB = 1024 * 1024


def add_machine_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options for the limits of the machine to a parser."""
    defaults = MachineLimits()
    parser.add_argument(
        "--memory-mb",
        type=int,
        default=int(
            os.environ.get("HAWTHORNBARROW_MEMORY_MB", defaults.memory_bytes // _MIB)
        ),
        help="memory of this process in MiB (default %(default)s)",
    )
    parser.add_argument(
        "--max-descriptors",
        type=int,
        default=int(
            os.environ.get("HAWTHORNBARROW_MAX_DESCRIPTORS", defaults.descriptors)
        ),
        help="open descriptors of this process, at most those that the system allows "
        "(default %(default)s)",
    )


def machine_from_options(arguments: argparse.Namespace) -> MachineLimits:
    """Returns the limits that the parsed options and the system set."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = arguments.max_descriptors
    if allowed != resource.RLIM_INFINITY:
        descriptors = min(descriptors, allowed)
    return MachineLimits(
        memory_bytes=arguments.memory_mb * _MIB, descriptors=descriptors
    )
