"""Runs the fault soak.

    python -m tools.soak --seeds 1-50 --seconds 25

Each seed is one deployment of four entries (three with disks) and four agents.
Promises: no task runs twice at once, no executor is filled over its room, a refused job
has not run, a read of the configuration is never older than what was acknowledged, jobs
complete again after the last fault. Logs of a seed that failed are kept; the exit code
tells.
"""

import argparse
import pathlib
import random
import shutil
import sys

import curio

from tools.soak._callers import Clients, Operator
from tools.soak._deployment import APP_PORT, CONTROL_PORT, Node
from tools.soak._executor import Executor, Oracle
from tools.soak._faults import Faults, make_folder, proxy_of

ENTRIES = 4
DISKS = 3


async def play(
    seed: int,
    seconds: float,
    root: pathlib.Path,
    *,
    agents: int,
    rate: float,
    base: int,
    patience_s: float,
) -> list[str]:
    """Plays one seed and returns the broken promises."""
    generator = random.Random(seed)
    folder = make_folder(root, seed)
    oracle = Oracle()
    entries = [
        Node(
            name=f"e{index}",
            role="entry",
            number=index + 1,
            base=base,
            folder=folder,
            has_disk=index < DISKS,
        )
        for index in range(ENTRIES)
    ]
    beside = [
        Node(
            name=f"a{index}",
            role="agent",
            number=100 + index,
            base=base,
            folder=folder,
        )
        for index in range(agents)
    ]
    executors = {
        node.name: Executor(
            name=node.name,
            app=(node.bound, APP_PORT),
            registry=(node.bound, CONTROL_PORT),
            oracle=oracle,
            generator=random.Random(generator.random()),
        )
        for node in beside
    }
    proxies = {entry.name: proxy_of(entry) for entry in entries}
    operator = Operator(
        entries=entries, oracle=oracle, generator=random.Random(generator.random())
    )
    clients = Clients(
        entries=entries, oracle=oracle, generator=random.Random(generator.random())
    )
    with open(folder / "faults.txt", "w") as notes:
        faults = Faults(
            entries=entries,
            agents=beside,
            proxies=proxies,
            executors=executors,
            generator=random.Random(generator.random()),
            core_generator=random.Random(generator.random()),
            note=lambda line: print(line, file=notes, flush=True),
        )
        try:
            async with curio.TaskGroup(wait=None) as group:
                for part in (*proxies.values(), *executors.values()):
                    await group.spawn(part.run)
                for node in entries + beside:
                    node.start(faults.seeds, is_first=True)
                await _play_parts(
                    seconds,
                    oracle,
                    operator,
                    clients,
                    faults,
                    rate=rate,
                    patience_s=patience_s,
                )
        finally:
            for node in entries + beside:
                node.kill()
    clients.check_refusals()
    print(
        f"seed {seed}: {oracle.starts} starts, answers {clients.outcomes}, "
        f"{operator.reads} reads up to version {operator.acknowledged}, "
        f"{len(oracle.violations)} violations"
    )
    return oracle.violations


async def _play_parts(
    seconds: float,
    oracle: Oracle,
    operator: Operator,
    clients: Clients,
    faults: Faults,
    *,
    rate: float,
    patience_s: float,
) -> None:
    await operator.put()
    if not await clients.recovers(patience_s):
        oracle.violate("no job completed after the first start")
        return
    until = curio.Event()
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(operator.run)
        await group.spawn(clients.run, rate)
        series = await group.spawn(faults.run, until)
        await curio.sleep(seconds)
        await until.set()
        await series.join()
        if not await clients.recovers(patience_s):
            oracle.violate("no jobs complete after the last fault")
        for _ in range(50):
            if await operator.read():
                return
            await curio.sleep(0.2)
        oracle.violate("the configuration can not be read back")


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Plays the seeds one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default=[1])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--agents", type=int, default=4)
    parser.add_argument("--rate", type=float, default=8.0, help="jobs a second")
    parser.add_argument(
        "--patience", type=float, default=30.0, help="seconds until jobs complete"
    )
    parser.add_argument("--base", type=int, default=77, help="second address byte")
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("out/soak"))
    arguments = parser.parse_args()
    failed = {}
    for seed in arguments.seeds:
        violations = curio.run(
            lambda seed=seed: play(
                seed,
                arguments.seconds,
                arguments.out.resolve(),
                agents=arguments.agents,
                rate=arguments.rate,
                base=arguments.base,
                patience_s=arguments.patience,
            )
        )
        if violations:
            failed[seed] = violations
            for line in violations[:10]:
                print(f"  {line}")
        else:
            shutil.rmtree(arguments.out / f"seed-{seed}", ignore_errors=True)
    print(f"{len(arguments.seeds) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
