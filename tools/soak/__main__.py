"""Runs the fault soak.

    python -m tools.soak --seeds 1-50 --seconds 25

Each seed runs one deployment of four entries (three with disks) and four agents.
Checked invariants: no task has two runs at the same time, no executor runs tasks beyond
its capacity, a task that crashes executors is started fewer than three times after
three crashes, a refused job has not run, a configuration read never returns a version
older than the last acknowledged one, no task starts in a data centre later than 5 s
after its evacuation was acknowledged, jobs complete again after the last fault. Logs of
a failed seed are kept, and the exit code is 1 if any seed failed.
"""

import argparse
import pathlib
import random
import shutil
import sys

import curio

from tools.soak._callers import Clients, Operator
from tools.soak._deployment import APP_PORT, CONTROL_PORT, Node
from tools.soak._evacuations import EVACUATE_WITHIN_S, EvacuationOperator
from tools.soak._executor import Executor, Oracle
from tools.soak._faults import FaultInjector, create_proxy, create_run_folder

ENTRY_COUNT = 4
PERSISTENT_ENTRY_COUNT = 3


async def run_seed(
    seed: int,
    duration_s: float,
    root: pathlib.Path,
    *,
    agent_count: int,
    jobs_per_s: float,
    address_byte: int,
    recovery_timeout_s: float,
) -> list[str]:
    """Runs one seed and returns the violations of the invariants."""
    generator = random.Random(seed)
    folder = create_run_folder(root, seed)
    oracle = Oracle()
    entries = [
        Node(
            name=f"e{index}",
            role="entry",
            number=index + 1,
            address_byte=address_byte,
            folder=folder,
            has_disk=index < PERSISTENT_ENTRY_COUNT,
        )
        for index in range(ENTRY_COUNT)
    ]
    agents = [
        Node(
            name=f"a{index}",
            role="agent",
            number=100 + index,
            address_byte=address_byte,
            folder=folder,
        )
        for index in range(agent_count)
    ]
    executors = {
        node.name: Executor(
            name=node.name,
            data_centre=node.data_centre,
            app=(node.bind_address, APP_PORT),
            registry=(node.bind_address, CONTROL_PORT),
            oracle=oracle,
            generator=random.Random(generator.random()),
        )
        for node in agents
    }
    proxies = {entry.name: create_proxy(entry) for entry in entries}
    operator = Operator(
        entries=entries, oracle=oracle, generator=random.Random(generator.random())
    )
    clients = Clients(
        entries=entries, oracle=oracle, generator=random.Random(generator.random())
    )
    evacuations = EvacuationOperator(
        entries=entries,
        data_centres=sorted({node.data_centre for node in agents}),
        oracle=oracle,
        generator=random.Random(generator.random()),
    )
    with open(folder / "faults.txt", "w") as fault_log:
        fault_injector = FaultInjector(
            entries=entries,
            agents=agents,
            proxies=proxies,
            executors=executors,
            generator=random.Random(generator.random()),
            outage_generator=random.Random(generator.random()),
            log_fault=lambda line: print(line, file=fault_log, flush=True),
        )
        try:
            async with curio.TaskGroup(wait=None) as group:
                for server in (*proxies.values(), *executors.values()):
                    await group.spawn(server.run)
                for node in entries + agents:
                    node.start(fault_injector.seeds, is_bootstrap=True)
                await _run_workload(
                    duration_s,
                    oracle,
                    operator,
                    clients,
                    evacuations,
                    fault_injector,
                    jobs_per_s=jobs_per_s,
                    recovery_timeout_s=recovery_timeout_s,
                )
        finally:
            for node in entries + agents:
                node.kill()
    clients.check_refusals()
    print(
        f"seed {seed}: {oracle.start_count} starts, {oracle.crash_count} crashes, "
        f"answers {clients.answer_counts}, "
        f"{operator.read_count} reads up to version {operator.acknowledged_version}, "
        f"{evacuations.acknowledged_count} evacuation orders acknowledged, "
        f"within {evacuations.slowest_s:.1f} s, {evacuations.given_up_count} given up, "
        f"{len(oracle.violations)} violations"
    )
    return oracle.violations


async def _run_workload(
    duration_s: float,
    oracle: Oracle,
    operator: Operator,
    clients: Clients,
    evacuations: EvacuationOperator,
    fault_injector: FaultInjector,
    *,
    jobs_per_s: float,
    recovery_timeout_s: float,
) -> None:
    await operator.put_configuration()
    if not await clients.wait_until_recovered(recovery_timeout_s):
        oracle.record_violation("no job completed after the first start")
        return
    stop_event = curio.Event()
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(operator.run)
        await group.spawn(clients.run, jobs_per_s)
        fault_task = await group.spawn(fault_injector.run, stop_event)
        evacuation_task = await group.spawn(evacuations.run, stop_event)
        await curio.sleep(duration_s)
        await stop_event.set()
        await fault_task.join()
        if not await clients.wait_until_recovered(recovery_timeout_s):
            oracle.record_violation("no jobs complete after the last fault")
        await curio.ignore_after(recovery_timeout_s, evacuation_task.join)
        if not evacuation_task.terminated:
            oracle.record_violation("the last withdrawal is not acknowledged")
            return
        await _check_evacuations(
            oracle, clients, evacuations, fault_injector, recovery_timeout_s
        )
        for _ in range(50):
            if await operator.read_configuration():
                return
            await curio.sleep(0.2)
        oracle.record_violation("the configuration could not be read back")


async def _check_evacuations(
    oracle: Oracle,
    clients: Clients,
    evacuations: EvacuationOperator,
    fault_injector: FaultInjector,
    recovery_timeout_s: float,
) -> None:
    """Checks that an acknowledged evacuation survives a kill of all processes."""
    data_centre = await evacuations.evacuate_at_end(recovery_timeout_s)
    fault_injector.restart_all()
    await curio.sleep(EVACUATE_WITHIN_S)
    if not await clients.wait_until_recovered(recovery_timeout_s):
        oracle.record_violation("no jobs complete during an evacuation")
    await evacuations.check_withdrawal(data_centre, recovery_timeout_s)


def _parse_seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Runs the seeds one after the other and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_parse_seeds, default=[1])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--agents", type=int, default=4)
    parser.add_argument(
        "--rate", type=float, default=8.0, help="jobs submitted per second"
    )
    parser.add_argument(
        "--patience",
        type=float,
        default=30.0,
        help="seconds to wait until jobs complete again",
    )
    parser.add_argument(
        "--base", type=int, default=77, help="second byte of the loopback addresses"
    )
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("out/soak"))
    arguments = parser.parse_args()
    failed = {}
    for seed in arguments.seeds:
        violations = curio.run(
            lambda seed=seed: run_seed(
                seed,
                arguments.seconds,
                arguments.out.resolve(),
                agent_count=arguments.agents,
                jobs_per_s=arguments.rate,
                address_byte=arguments.base,
                recovery_timeout_s=arguments.patience,
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
