"""Fault matrix: every fault at every step, and pairs of the two nastiest.

Rows are steps, columns are faults. A cell runs its scenario for repeatable and not
repeatable jobs, for upstreams that stop cut-off tasks and those that do not, and for
several seeds; it passes when no invariant of the oracle is broken and every job has
its end afterwards. The cores are the product's; fakes stand at their interfaces.
"""

import argparse
import collections.abc
import itertools
import sys

from hawthornbarrow.ledger import ApplyConfiguration, Claim, RegisterEntry
from hawthornbarrow.ledger.tests._cluster import Cluster
from hawthornbarrow.upstreams import CallOutcome
from hawthornbarrow_entry.tests._fleet import Fleet

_SEEDS = 4
_TASKS = 6

FleetAction = collections.abc.Callable[[Fleet], None]
ClusterAction = collections.abc.Callable[[Cluster], None]


# --- fleet: steps ------------------------------------------------------------


def _deliver_all(fleet: Fleet) -> None:
    while fleet.deliver(0):
        pass


def _apply_all(fleet: Fleet) -> None:
    while fleet.apply_one(0):
        pass


def _submit(fleet: Fleet) -> None:
    fleet.submit("e0", "k", _TASKS, fleet.repeatable)


def _claim(fleet: Fleet) -> None:
    _submit(fleet)
    fleet.tick(0.01)


def _dispatch(fleet: Fleet) -> None:
    _claim(fleet)
    _apply_all(fleet)
    fleet.tick(0.01)


def _start(fleet: Fleet) -> None:
    _dispatch(fleet)
    _deliver_all(fleet)


def _run(fleet: Fleet) -> None:
    _start(fleet)
    fleet.finish(0)
    fleet.tick(0.05)
    _deliver_all(fleet)


def _result(fleet: Fleet) -> None:
    _start(fleet)
    for _ in range(_TASKS):
        fleet.finish(0)
    fleet.tick(0.05)


def _answer(fleet: Fleet) -> None:
    _start(fleet)
    for _ in range(20):
        fleet.finish(0)
        fleet.tick(0.05)
        _deliver_all(fleet)


def _cancel(fleet: Fleet) -> None:
    _run(fleet)
    fleet.cancel("e0", "k")
    fleet.tick(0.01)


def _announce(fleet: Fleet) -> None:
    fleet.crash_agent("a1")
    fleet.start_agent("a1")
    _submit(fleet)


def _drain(fleet: Fleet) -> None:
    _run(fleet)
    fleet.entries["e0"].core.drain()
    for agent in fleet.agents.values():
        agent.withdraw(next(iter(agent.upstreams)), fleet.now_s)
        break


def _uncertain(fleet: Fleet) -> None:
    _start(fleet)
    fleet.finish(0, CallOutcome.RESET_AFTER_SENT)


FLEET_STEPS: dict[str, FleetAction] = {
    "announce": _announce,
    "submit": _submit,
    "claim": _claim,
    "dispatch": _dispatch,
    "start": _start,
    "run": _run,
    "uncertain end": _uncertain,
    "result": _result,
    "answer": _answer,
    "cancel": _cancel,
    "drain": _drain,
}


# --- fleet: faults -----------------------------------------------------------


def _crash_owner(fleet: Fleet) -> None:
    fleet.crash_entry("e0")


def _restart_owner(fleet: Fleet) -> None:
    fleet.crash_entry("e0")
    fleet.start_entry("e0")


def _crash_agent(fleet: Fleet) -> None:
    fleet.crash_agent("a0")


def _restart_agent(fleet: Fleet) -> None:
    fleet.crash_agent("a0")
    fleet.start_agent("a0")


def _cut_agent(fleet: Fleet) -> None:
    fleet.cut_link("e0", "a0")
    fleet.quiesce(7.0, finish=False)


def _cut_agent_briefly(fleet: Fleet) -> None:
    fleet.cut_link("e0", "a0")
    fleet.quiesce(1.0, finish=False)
    fleet.heal()


def _isolate_owner(fleet: Fleet) -> None:
    fleet.isolate("e0")
    fleet.quiesce(4.0, finish=False)


def _isolate_other(fleet: Fleet) -> None:
    fleet.isolate("e1")
    fleet.quiesce(4.0, finish=False)


def _go_silent(fleet: Fleet) -> None:
    """Messages stand still for the silence limit; then the link is dialled anew."""
    for _ in range(60):
        fleet.tick(0.05)
    fleet.cut_link("e0", "a0")
    fleet.heal()


def _delay(fleet: Fleet) -> None:
    for _ in range(20):
        fleet.tick(0.1)
        fleet.apply_one(1)


def _lose_owner_and_agent(fleet: Fleet) -> None:
    _crash_owner(fleet)
    _restart_agent(fleet)


def _isolate_owner_lose_agent(fleet: Fleet) -> None:
    fleet.isolate("e0")
    _restart_agent(fleet)
    fleet.quiesce(4.0, finish=False)


FLEET_FAULTS: dict[str, FleetAction] = {
    "owner crash": _crash_owner,
    "owner restart": _restart_owner,
    "agent crash": _crash_agent,
    "agent restart": _restart_agent,
    "cut": _cut_agent,
    "short cut": _cut_agent_briefly,
    "owner isolated": _isolate_owner,
    "other isolated": _isolate_other,
    "silent link": _go_silent,
    "delay": _delay,
    "owner+agent": _lose_owner_and_agent,
    "isolated+agent": _isolate_owner_lose_agent,
}


def run_fleet_cell(step: FleetAction, fault: FleetAction, seed: int) -> None:
    """Runs one cell; raises when a promise is broken."""
    for repeatable, stops_on_disconnect in itertools.product((False, True), repeat=2):
        fleet = Fleet(
            entries=3, agents=2, seed=seed, stops_on_disconnect=stops_on_disconnect
        )
        fleet.repeatable = repeatable
        fleet.home = ("", "e0", "e1", "e2")[seed % 4]
        step(fleet)
        fault(fleet)
        if "e1" in fleet.entries:
            fleet.submit("e1", "k", _TASKS, repeatable)
        fleet.quiesce(0.5, finish=False)
        fleet.recover(3, 2)
        fleet.check_not_run()
        fleet.check_all_answered()


# --- ledger ------------------------------------------------------------------


def _configuration(number: int) -> ApplyConfiguration:
    return ApplyConfiguration(
        request=f"q{number}",
        expect_version=number,
        document=b"{}",
        operator="o",
        time_s=1.0,
    )


def _propose_claims(cluster: Cluster) -> None:
    for number in range(5):
        claim = Claim(
            member="m",
            key=f"k{number}",
            digest=b"d",
            owner="e",
            incarnation=1,
            repeatable=False,
            task_count=1,
            body=b"",
            time_s=1.0,
        )
        cluster.propose(cluster.leader().name, claim)


def _propose_configuration(cluster: Cluster) -> None:
    cluster.propose(cluster.leader().name, _configuration(0))


def _take_snapshots(cluster: Cluster) -> None:
    _propose_claims(cluster)
    cluster.run(0.5)
    cluster.snapshot(cluster.leader().name)
    _propose_configuration(cluster)


def _replace(cluster: Cluster) -> None:
    lost = _follower(cluster)
    fresh = cluster.wipe(lost)
    cluster.run(2.0)
    cluster.replace(lost, fresh)
    cluster.run(0.06)


def _shut_down(cluster: Cluster) -> None:
    _propose_claims(cluster)
    for name in sorted(cluster.nodes):
        cluster.crash(name)
    for name in sorted(cluster.disks):
        cluster.start(name)
    cluster.run(0.3)


LEDGER_STEPS: dict[str, ClusterAction] = {
    "claim": _propose_claims,
    "configuration apply": _propose_configuration,
    "snapshot": _take_snapshots,
    "replace": _replace,
    "shutdown": _shut_down,
}


def _leader(cluster: Cluster) -> str:
    leader = cluster.leader()
    return leader.name if leader else sorted(cluster.nodes)[0]


def _follower(cluster: Cluster) -> str:
    leader = _leader(cluster)
    names = [name for name in sorted(cluster.nodes) if name != leader]
    return names[0]


def _crash_leader(cluster: Cluster) -> None:
    cluster.crash(_leader(cluster))
    cluster.run(2.0)


def _crash_before_sync(cluster: Cluster) -> None:
    cluster.crash(_leader(cluster), before_sync=True)
    cluster.run(2.0)


def _crash_all(cluster: Cluster) -> None:
    for name in sorted(cluster.nodes):
        cluster.crash(name, before_sync=True)


def _lose_disk(cluster: Cluster) -> None:
    """A disk is lost and its replica replaced, once no other repair is under way."""
    cluster.run(3.0)
    lost = _follower(cluster)
    fresh = cluster.wipe(lost)
    cluster.run(2.5)
    reason = cluster.replace(lost, fresh)
    if reason:
        raise AssertionError(f"replacement refused: {reason}")
    cluster.run(2.5)


def _partition(cluster: Cluster, *, sends: bool, hears: bool) -> None:
    leader = _leader(cluster)
    for other in list(cluster.nodes):
        if not sends:
            cluster.cut.add((leader, other))
        if not hears:
            cluster.cut.add((other, leader))
    cluster.run(3.0)


def _cut_leader(cluster: Cluster) -> None:
    _partition(cluster, sends=False, hears=False)


def _deafen_leader(cluster: Cluster) -> None:
    _partition(cluster, sends=True, hears=False)


def _mute_leader(cluster: Cluster) -> None:
    _partition(cluster, sends=False, hears=True)


def _delay_and_duplicate(cluster: Cluster) -> None:
    for turn in range(200):
        cluster.deliver(turn * 7, duplicate=turn % 3 == 0)
        if turn % 10 == 0:
            cluster.tick(0.05)


def _slow_disk(cluster: Cluster) -> None:
    """The leader does nothing for two seconds, as its write does not return."""
    leader = _leader(cluster)
    node = cluster.nodes.pop(leader)
    cluster.run(2.0)
    cluster.nodes[leader] = node


def _cut_and_crash(cluster: Cluster) -> None:
    _cut_leader(cluster)
    _crash_leader(cluster)


LEDGER_FAULTS: dict[str, ClusterAction] = {
    "leader crash": _crash_leader,
    "torn write": _crash_before_sync,
    "all crash": _crash_all,
    "disk lost": _lose_disk,
    "cut": _cut_leader,
    "leader deaf": _deafen_leader,
    "leader mute": _mute_leader,
    "delay, repeat": _delay_and_duplicate,
    "slow disk": _slow_disk,
    "cut+crash": _cut_and_crash,
}


def run_ledger_cell(step: ClusterAction, fault: ClusterAction, seed: int) -> None:
    """Runs one cell; raises when something acknowledged is missing."""
    cluster = Cluster(3, seed)
    cluster.run(2.0)
    register = RegisterEntry(name="e", incarnation=1, address="")
    cluster.propose(cluster.leader().name, register)
    cluster.run(0.3)
    step(cluster)
    fault(cluster)
    cluster.cut.clear()
    for name in sorted(cluster.disks):
        if name not in cluster.nodes:
            cluster.start(name)
    cluster.run(6.0)
    cluster.check_nothing_lost()


_NOT_APPLICABLE = (
    "full disk, torn write, slow disk and lost disk at fleet steps: entries and agents "
    "keep nothing on disk beside the ledger, whose rows have them; a full disk stops "
    "its replica for good, which is the row of its crash (and test_storage)",
    "duplicated messages at fleet steps: links number messages and drop repeats "
    "(links' fuzz); the cores never see them",
)


def main() -> int:
    """Prints the matrix; returns 1 when a cell failed."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.fault_matrix")
    parser.add_argument("--seed", type=int, default=20261203)
    parser.add_argument("--seeds", type=int, default=_SEEDS)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    failures: list[str] = []
    cells = 0
    for title, steps, faults, run in (
        ("fleet", FLEET_STEPS, FLEET_FAULTS, run_fleet_cell),
        ("ledger", LEDGER_STEPS, LEDGER_FAULTS, run_ledger_cell),
    ):
        width = max(map(len, faults)) + 2
        print(f"{title:<21}" + "".join(f"{name:>{width}}" for name in faults))
        for step_name, step in steps.items():
            words = []
            for fault_name, fault in faults.items():
                cells += 1
                error = _run_cell(run, step, fault, seeds)
                words.append("FAILED" if error else "passed")
                if error:
                    failures.append(f"{title}: {step_name} x {fault_name}: {error}")
            row = "".join(f"{word:>{width}}" for word in words)
            print(f"{step_name:<21}{row}", flush=True)
    print(
        "invariants: no not-repeatable task starts twice, no task runs twice at once, "
        "answers whole and own, not_run true, every job ends; nothing applied is lost, "
        "one command an index, one leader a term, replicas equal"
    )
    for reason in _NOT_APPLICABLE:
        print(f"not applicable: {reason}")
    for failure in failures:
        print(f"failed: {failure}")
    print(f"{cells - len(failures)} passed, {len(failures)} failed")
    return 1 if failures else 0


def _run_cell(
    run: collections.abc.Callable,
    step: collections.abc.Callable,
    fault: collections.abc.Callable,
    seeds: range,
) -> str:
    for seed in seeds:
        try:
            run(step, fault, seed)
        except Exception as error:
            return f"seed {seed}: {error!r}"
    return ""


if __name__ == "__main__":
    sys.exit(main())
