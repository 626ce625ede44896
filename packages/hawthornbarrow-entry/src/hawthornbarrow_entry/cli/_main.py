"""Command `hawthornbarrow` with its subcommands."""

import argparse
import sys

from hawthornbarrow_entry.cli import _configuration, _demo, _jobs, _operate, _serve

EXIT_OK = 0
EXIT_USAGE = 2

_EPILOG = """examples:
  hawthornbarrow demo
  hawthornbarrow config check --base base.toml --overlay joinville.toml
  hawthornbarrow config apply --base base.toml --expect-version 3
  hawthornbarrow job submit --key order-17 job.json
  hawthornbarrow explain order-17
  hawthornbarrow report burn
  hawthornbarrow report unserved --logs entry-1.log entry-2.log agent-1.log
  hawthornbarrow report stages --logs entry-1.log entry-2.log --plot stages.png

exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 no entry reachable
"""


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of all subcommands."""
    parser = argparse.ArgumentParser(
        prog="hawthornbarrow",
        description="Dispatcher for sub-second tasks.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for module in (_serve, _demo, _configuration, _jobs, _operate):
        module.add_parsers(commands)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs the command line and returns its exit code."""
    arguments = build_parser().parse_args(argv)
    return arguments.run(arguments)


if __name__ == "__main__":
    sys.exit(main())
