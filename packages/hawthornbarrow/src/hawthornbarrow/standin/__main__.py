"""Runs a stand-in upstream: `python -m hawthornbarrow.standin --help`."""

import argparse
import os
import pathlib

import curio

from hawthornbarrow.shutdown import serve_until_signalled
from hawthornbarrow.standin._upstream import StandInSettings, StandInUpstream


def main() -> None:
    """Runs the upstream until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="python -m hawthornbarrow.standin")
    parser.add_argument("--name", required=True)
    parser.add_argument(
        "--listen", default="127.0.0.1:0", help="IP:PORT at which tasks are accepted"
    )
    parser.add_argument("--agent", required=True, help="IP:PORT of the agent")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--journal", type=pathlib.Path)
    parser.add_argument("--data-centre", default="")
    parser.add_argument("--rack", default="")
    arguments = parser.parse_args()
    settings = StandInSettings(
        name=arguments.name,
        listen=arguments.listen,
        agent=arguments.agent,
        announce_token=os.environ.get("HAWTHORNBARROW_ANNOUNCE_TOKEN", ""),
        slots=arguments.slots,
        connections=arguments.connections,
        journal=arguments.journal,
        rack=arguments.rack,
        data_centre=arguments.data_centre,
    )
    curio.run(_run, settings)


async def _run(settings: StandInSettings) -> None:
    upstream = StandInUpstream(settings=settings)
    await serve_until_signalled(upstream.run, upstream.withdraw)


if __name__ == "__main__":
    main()
