"""Runs a scenario within its time and turns its result into an exit status."""

import asyncio
import collections.abc
import os
import pathlib
import signal
import sys
import tempfile
import traceback

from standins.deployment import CannotRunError
from standins.record import Record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
_MAX_S = 115.0


def has_trouble() -> bool:
    """Returns whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    folder: pathlib.Path,
    scenario: collections.abc.Callable[
        [Record, pathlib.Path], collections.abc.Awaitable[list[str]]
    ],
) -> None:
    """Runs a scenario, which returns how the rule was broken, and exits.

    Args:
        folder: Folder of the case, where `record.txt` is written.
        scenario: Called with the record and a temporary folder.
    """
    record = Record(path=folder / "record.txt")
    record.write("scenario", trouble=has_trouble())

    async def run_in_time() -> list[str]:
        # So that the processes of the scenario end with it.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            keep = os.environ.get("KEEP_LOGS")
            path = pathlib.Path(keep or temporary)
            path.mkdir(exist_ok=True)
            async with asyncio.timeout(_MAX_S):
                return await scenario(record, path)

    try:
        violations = asyncio.run(run_in_time())
    except CannotRunError as error:
        record.write("cannot_run", reason=str(error))
        print(f"cannot run: {error}")
        sys.exit(CANNOT_RUN)
    except (Exception, asyncio.CancelledError) as error:
        record.write("cannot_run", reason=repr(error))
        traceback.print_exc()
        sys.exit(CANNOT_RUN)
    for violation in violations:
        record.write("broken", what=violation)
        print(f"broken: {violation}")
    record.write("result", broken=len(violations))
    print("the rule was broken" if violations else "the rule held")
    sys.exit(BROKEN if violations else HELD)
