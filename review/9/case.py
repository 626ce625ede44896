"""A configuration that was proposed to no leader is acknowledged."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins_2.deployment import main  # noqa: E402

DOWN_S = 2.0  # for which the killed processes of the core are down
FRONT_LIVES_S = 0.4  # after the two changes were sent
FRONT_DOWN_S = 0.3
CONFIG_APPLY_S = 2.0  # configApplyMs
READ_FOR_S = 16.0  # longer than recoverS


async def bring_back(deployment, lost, killed_at_s, trouble):
    """Starts the killed processes of the core again."""
    await asyncio.sleep(max(0.0, killed_at_s + DOWN_S - deployment.record.now_s()))
    if trouble:
        for core in lost:
            core.start(deployment.seeds)


async def case(deployment, trouble):
    """Returns whether reads give the newest acknowledged version."""
    record = deployment.record
    await deployment.put_until_accepted(7, deployment.configuration(7))
    await deployment.wait_ready(deployment.entries)
    await deployment.wait_serving(deployment.entries)
    await asyncio.sleep(3.0)
    leader = await deployment.leader()
    lost = [core for core in deployment.cores if core is not leader][:2]
    front, other = deployment.fronts
    record.note(f"{leader.name} leads")

    # Two operators change the configuration while two of the three core processes die.
    killed_at_s = record.now_s()
    if trouble:
        for core in lost:
            core.kill()
    early = asyncio.gather(
        deployment.put(front, 8, deployment.configuration(8, routes=2)),
        deployment.put(front, 9, deployment.configuration(9, routes=3)),
    )
    await asyncio.sleep(FRONT_LIVES_S)
    if trouble:
        front.kill()
        await asyncio.sleep(FRONT_DOWN_S)
        front.start(deployment.seeds)
    acknowledged = max(
        [7]
        + [v for v, status in zip((8, 9), await early, strict=True) if status == 200]
    )
    restart = asyncio.create_task(bring_back(deployment, lost, killed_at_s, trouble))
    await asyncio.sleep(max(0.0, killed_at_s + DOWN_S - 0.1 - record.now_s()))

    # The operator's next change; after a failure it moves on to another node.
    nodes = [other, *deployment.cores]
    body = deployment.configuration(10, routes=4)
    for attempt in range(20):
        node = nodes[attempt // 2 % len(nodes)] if attempt % 2 else front
        if await deployment.put(node, 10, body) == 200:
            acknowledged = 10
            break
        await asyncio.sleep(min(0.1 * 1.5**attempt, 1.0))
    await restart
    if acknowledged < 10:
        record.note("version 10 was not acknowledged")
        return True
    await asyncio.sleep(CONFIG_APPLY_S + 0.1)
    until_s = record.now_s() + READ_FOR_S
    older = []
    while record.now_s() < until_s:
        for machine in deployment.entries:
            version = await deployment.read(machine)
            record.note(f"operator: GET at {machine.name}: version {version}")
            if version is not None and version < acknowledged:
                older.append((machine.name, version))
        await asyncio.sleep(0.7)
    if older:
        record.note(
            f"version {acknowledged} was acknowledged; {len(older)} later reads gave "
            f"older versions, the last {older[-1]}"
        )
    return not older


if __name__ == "__main__":
    sys.exit(main(case, cores=3, fronts=2, agents=3))
