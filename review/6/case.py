"""A machine of the core is replaced; 6 s later another one loses its disk."""

import asyncio
import pathlib
import shutil
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins_2.deployment import main  # noqa: E402

SUCCESSOR_AFTER_S = 1.0
CATCH_UP_S = 4.0  # catchUpS, from the start of the successor
MARGIN_S = 1.0
DOWN_S = 1.0  # of the machine that loses its disk
READ_FOR_S = 40.0  # far longer than recoverS (12 s)


async def case(deployment, trouble):
    """Returns whether the acknowledged configuration can be read back."""
    record = deployment.record
    successor = deployment.spares[0]
    await deployment.put_until_accepted(7, deployment.configuration(7))
    await deployment.wait_ready(deployment.entries)
    await deployment.wait_serving(deployment.entries)
    await asyncio.sleep(4.0)
    removed, wiped = deployment.cores[2], deployment.cores[1]
    if trouble:
        record.note(f"{removed.name} is gone for good")
        # A machine without power does not respond, and channels to it hang.
        removed.signal(signal.SIGSTOP)
        deployment.cores.remove(removed)
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        deployment.cores.append(successor)
        successor.start(deployment.cores)
        await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    if await deployment.put(deployment.cores[0], 8, deployment.configuration(8)) != 200:
        record.note("version 8 was not acknowledged")
        return True
    await asyncio.sleep(0.3)
    if trouble:
        record.note(f"{wiped.name} loses its disk")
        wiped.kill()
        shutil.rmtree(wiped.data)
        await asyncio.sleep(DOWN_S)
        wiped.start(deployment.cores)
    # All machines are up again from here on.
    until_s = record.now_s() + READ_FOR_S
    versions = []
    while record.now_s() < until_s:
        for machine in deployment.entries:
            version = await deployment.read(machine)
            versions.append(version)
            record.note(f"operator: GET at {machine.name}: version {version}")
        if versions[-len(deployment.entries) :].count(8) == len(deployment.entries):
            return True
        await asyncio.sleep(1.0)
    record.note(
        f"{len(versions)} reads in {READ_FOR_S:.0f} s gave "
        f"{sorted({str(version) for version in versions})}"
    )
    return versions[-1] == 8


if __name__ == "__main__":
    sys.exit(main(case, cores=3, spares=1, fronts=2, agents=2))
