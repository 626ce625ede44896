"""Command line of the agent."""

import argparse
import os
import sys

import curio
from hawthornbarrow.limits import add_machine_options, machine_from_options
from hawthornbarrow.observability import configure_logs
from hawthornbarrow.shutdown import serve_until_signalled

from hawthornbarrow_agent._process import AgentProcess, AgentSettings

_EXAMPLE = """example:
  HAWTHORNBARROW_CLUSTER_KEY=secret hawthornbarrow-agent --name agent-1 \\
      --listen 127.0.0.1:7101 --entry 127.0.0.1:7001 --entry 127.0.0.1:7002
"""


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser; each option defaults to a HAWTHORNBARROW_* variable."""
    parser = argparse.ArgumentParser(
        prog="hawthornbarrow-agent",
        description="Manages the slots of upstreams and starts tasks on them.",
        epilog=_EXAMPLE,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    environ = os.environ
    parser.add_argument(
        "--name",
        default=environ.get("HAWTHORNBARROW_NAME"),
        help="name of this agent, unique in the deployment",
    )
    parser.add_argument(
        "--listen",
        default=environ.get("HAWTHORNBARROW_LISTEN", "127.0.0.1:7101"),
        help="IP:PORT for announcements (default %(default)s)",
    )
    parser.add_argument(
        "--entry",
        action="append",
        default=environ.get("HAWTHORNBARROW_ENTRIES", "").split(),
        help="link address of an entry; repeat the option for each entry",
    )
    parser.add_argument(
        "--drain-limit-s",
        type=float,
        default=float(environ.get("HAWTHORNBARROW_DRAIN_LIMIT_S", "60")),
        help="longest time that a graceful shutdown waits, in seconds "
        "(default %(default)s)",
    )
    add_machine_options(parser)
    return parser


def main() -> int:
    """Runs the agent until SIGTERM or SIGINT."""
    parser = build_parser()
    arguments = parser.parse_args()
    cluster_key = os.environ.get("HAWTHORNBARROW_CLUSTER_KEY", "")
    if not arguments.name or not arguments.entry or not cluster_key:
        parser.error(
            "--name, --entry and the variable HAWTHORNBARROW_CLUSTER_KEY are required"
        )
    configure_logs(process=arguments.name)
    settings = AgentSettings(
        name=arguments.name,
        listen=arguments.listen,
        entries=arguments.entry,
        cluster_key=cluster_key.encode(),
        announce_token=os.environ.get("HAWTHORNBARROW_ANNOUNCE_TOKEN", ""),
        drain_limit_s=arguments.drain_limit_s,
        machine=machine_from_options(arguments),
    )
    curio.run(_run, settings)
    return 0


async def _run(settings: AgentSettings) -> None:
    agent = AgentProcess(settings=settings)
    await serve_until_signalled(agent.run, agent.drain)


if __name__ == "__main__":
    sys.exit(main())
