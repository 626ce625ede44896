"""Runs a fault matrix: every fault, and pairs of the most severe ones, at every step.

Rows are steps and columns are faults. Each case is run with several seeds. Cases of the
fleet are also run with jobs that are repeatable and jobs that are not, and with
upstreams that stop a task when its connection is lost and upstreams that do not. A case
passes if no invariant of the oracle is violated and every job ends afterwards. The
cores are the product's; their interfaces are simulated.
"""

import argparse
import collections.abc
import itertools
import sys

from hawthornbarrow.ledger import ApplyConfiguration, Claim, RegisterEntry
from hawthornbarrow.ledger.tests._cluster import Cluster
from hawthornbarrow.upstreams import CallOutcome
from hawthornbarrow_entry.tests._fleet import Fleet

_SEED_COUNT = 4
_TASK_COUNT = 6

FleetAction = collections.abc.Callable[[Fleet], None]
ClusterAction = collections.abc.Callable[[Cluster], None]


# Steps of the fleet


def _deliver_all(fleet: Fleet) -> None:
    while fleet.deliver(0):
        pass


def _apply_all(fleet: Fleet) -> None:
    while fleet.apply_one(0):
        pass


def _submit(fleet: Fleet) -> None:
    fleet.submit("e0", "k", _TASK_COUNT, fleet.repeatable)


def _claim(fleet: Fleet) -> None:
    _submit(fleet)
    fleet.tick(0.01)


def _dispatch(fleet: Fleet) -> None:
    _claim(fleet)
    _apply_all(fleet)
    fleet.tick(0.01)


def _deliver_dispatch(fleet: Fleet) -> None:
    _dispatch(fleet)
    _deliver_all(fleet)


def _finish_one_task(fleet: Fleet) -> None:
    _deliver_dispatch(fleet)
    fleet.finish(0)
    fleet.tick(0.05)
    _deliver_all(fleet)


def _finish_all_tasks(fleet: Fleet) -> None:
    _deliver_dispatch(fleet)
    for _ in range(_TASK_COUNT):
        fleet.finish(0)
    fleet.tick(0.05)


def _answer_job(fleet: Fleet) -> None:
    _deliver_dispatch(fleet)
    for _ in range(20):
        fleet.finish(0)
        fleet.tick(0.05)
        _deliver_all(fleet)


def _cancel_job(fleet: Fleet) -> None:
    _finish_one_task(fleet)
    fleet.cancel("e0", "k")
    fleet.tick(0.01)


def _restart_agent_and_submit(fleet: Fleet) -> None:
    fleet.crash_agent("a1")
    fleet.start_agent("a1")
    _submit(fleet)


def _drain(fleet: Fleet) -> None:
    _finish_one_task(fleet)
    fleet.entries["e0"].core.drain()
    for agent in fleet.agents.values():
        agent.withdraw(next(iter(agent.upstreams)), fleet.now_s)
        break


def _reset_run(fleet: Fleet) -> None:
    _deliver_dispatch(fleet)
    fleet.finish(0, CallOutcome.RESET_AFTER_SENT)


FLEET_STEPS: dict[str, FleetAction] = {
    "announce": _restart_agent_and_submit,
    "submit": _submit,
    "claim": _claim,
    "dispatch": _dispatch,
    "start": _deliver_dispatch,
    "run": _finish_one_task,
    "uncertain end": _reset_run,
    "result": _finish_all_tasks,
    "answer": _answer_job,
    "cancel": _cancel_job,
    "drain": _drain,
}


# Faults of the fleet


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


def _cut_agent_link(fleet: Fleet) -> None:
    fleet.cut_link("e0", "a0")
    fleet.quiesce(7.0, finish=False)


def _cut_agent_link_briefly(fleet: Fleet) -> None:
    fleet.cut_link("e0", "a0")
    fleet.quiesce(1.0, finish=False)
    fleet.heal()


def _isolate_owner(fleet: Fleet) -> None:
    fleet.isolate("e0")
    fleet.quiesce(4.0, finish=False)


def _isolate_other(fleet: Fleet) -> None:
    fleet.isolate("e1")
    fleet.quiesce(4.0, finish=False)


def _stall_link(fleet: Fleet) -> None:
    """Delivers no messages for the silence timeout, then reconnects the link."""
    for _ in range(60):
        fleet.tick(0.05)
    fleet.cut_link("e0", "a0")
    fleet.heal()


def _delay_messages(fleet: Fleet) -> None:
    for _ in range(20):
        fleet.tick(0.1)
        fleet.apply_one(1)


def _crash_owner_and_restart_agent(fleet: Fleet) -> None:
    _crash_owner(fleet)
    _restart_agent(fleet)


def _isolate_owner_and_restart_agent(fleet: Fleet) -> None:
    fleet.isolate("e0")
    _restart_agent(fleet)
    fleet.quiesce(4.0, finish=False)


FLEET_FAULTS: dict[str, FleetAction] = {
    "owner crash": _crash_owner,
    "owner restart": _restart_owner,
    "agent crash": _crash_agent,
    "agent restart": _restart_agent,
    "cut": _cut_agent_link,
    "short cut": _cut_agent_link_briefly,
    "owner isolated": _isolate_owner,
    "other isolated": _isolate_other,
    "silent link": _stall_link,
    "delay": _delay_messages,
    "owner+agent": _crash_owner_and_restart_agent,
    "isolated+agent": _isolate_owner_and_restart_agent,
}


def run_fleet_case(step: FleetAction, fault: FleetAction, seed: int) -> None:
    """Runs one case and raises an error if an invariant is violated."""
    for repeatable, stops in itertools.product((False, True), repeat=2):
        fleet = Fleet(entries=3, agents=2, seed=seed, stops_on_disconnect=stops)
        fleet.repeatable = repeatable
        fleet.home = ("", "e0", "e1", "e2")[seed % 4]
        step(fleet)
        fault(fleet)
        if "e1" in fleet.entries:
            fleet.submit("e1", "k", _TASK_COUNT, repeatable)
        fleet.quiesce(0.5, finish=False)
        fleet.recover(3, 2)
        fleet.check_not_run()
        fleet.check_all_answered()


# Steps and faults of the ledger


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


def _replace_replica(cluster: Cluster) -> None:
    lost_replica = _follower(cluster)
    new_replica = cluster.wipe(lost_replica)
    cluster.run(2.0)
    cluster.replace(lost_replica, new_replica)
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
    "replace": _replace_replica,
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


def _fill_disks(cluster: Cluster) -> None:
    """Lets writes fail at each replica in turn, at the leader first."""
    leader = _leader(cluster)
    for name in sorted(cluster.nodes, key=lambda name: name != leader):
        for keeps_term in (False, True):
            cluster.fail_write(name, keeps_term=keeps_term)
            cluster.run(0.5)


def _crash_all(cluster: Cluster) -> None:
    for name in sorted(cluster.nodes):
        cluster.crash(name, before_sync=True)


def _lose_disk(cluster: Cluster) -> None:
    """Wipes a disk and replaces its replica.

    Waits first, so that no other repair is under way.
    """
    cluster.run(3.0)
    lost_replica = _follower(cluster)
    new_replica = cluster.wipe(lost_replica)
    cluster.run(2.5)
    reason = cluster.replace(lost_replica, new_replica)
    if reason:
        raise AssertionError(f"replacement refused: {reason}")
    cluster.run(2.5)


def _cut_leader_links(cluster: Cluster, *, can_send: bool, can_receive: bool) -> None:
    leader = _leader(cluster)
    for other in list(cluster.nodes):
        if not can_send:
            cluster.cut.add((leader, other))
        if not can_receive:
            cluster.cut.add((other, leader))
    cluster.run(3.0)


def _isolate_leader(cluster: Cluster) -> None:
    _cut_leader_links(cluster, can_send=False, can_receive=False)


def _block_leader_receiving(cluster: Cluster) -> None:
    _cut_leader_links(cluster, can_send=True, can_receive=False)


def _block_leader_sending(cluster: Cluster) -> None:
    _cut_leader_links(cluster, can_send=False, can_receive=True)


def _delay_and_duplicate(cluster: Cluster) -> None:
    for turn in range(200):
        cluster.deliver(turn * 7, duplicate=turn % 3 == 0)
        if turn % 10 == 0:
            cluster.tick(0.05)


def _slow_disk(cluster: Cluster) -> None:
    """Suspends the leader for two seconds, as a write that does not return would."""
    leader = _leader(cluster)
    node = cluster.nodes.pop(leader)
    cluster.run(2.0)
    cluster.nodes[leader] = node


def _isolate_and_crash_leader(cluster: Cluster) -> None:
    _isolate_leader(cluster)
    _crash_leader(cluster)


LEDGER_FAULTS: dict[str, ClusterAction] = {
    "leader crash": _crash_leader,
    "torn write": _crash_before_sync,
    "full disks": _fill_disks,
    "all crash": _crash_all,
    "disk lost": _lose_disk,
    "cut": _isolate_leader,
    "leader deaf": _block_leader_receiving,
    "leader mute": _block_leader_sending,
    "delay, repeat": _delay_and_duplicate,
    "slow disk": _slow_disk,
    "cut+crash": _isolate_and_crash_leader,
}


def run_ledger_case(step: ClusterAction, fault: ClusterAction, seed: int) -> None:
    """Runs one case and raises an error if anything acknowledged is missing."""
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
    "store nothing on disk except the ledger, whose steps are run with these faults "
    "(see also test_full_disk)",
    "duplicated messages at fleet steps: links number messages and drop duplicates "
    "(see the fuzz test of links), so the cores never receive them",
)


def main() -> int:
    """Prints the matrix and returns 1 if a case failed."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.fault_matrix")
    parser.add_argument("--seed", type=int, default=20261203)
    parser.add_argument("--seeds", type=int, default=_SEED_COUNT)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    failures: list[str] = []
    case_count = 0
    for title, steps, faults, run in (
        ("fleet", FLEET_STEPS, FLEET_FAULTS, run_fleet_case),
        ("ledger", LEDGER_STEPS, LEDGER_FAULTS, run_ledger_case),
    ):
        width = max(map(len, faults)) + 2
        print(f"{title:<21}" + "".join(f"{name:>{width}}" for name in faults))
        for step_name, step in steps.items():
            outcomes = []
            for fault_name, fault in faults.items():
                case_count += 1
                error = _run_case(run, step, fault, seeds)
                outcomes.append("FAILED" if error else "passed")
                if error:
                    failures.append(f"{title}: {step_name} x {fault_name}: {error}")
            row = "".join(f"{outcome:>{width}}" for outcome in outcomes)
            print(f"{step_name:<21}{row}", flush=True)
    print(
        "invariants: no task that is not repeatable starts twice, no task runs twice "
        "at once, answers are complete and the caller's own, a job answered with "
        "not_run never starts, every job ends; no applied command is lost, one command "
        "per index, one leader per term, all replicas are equal"
    )
    for reason in _NOT_APPLICABLE:
        print(f"not applicable: {reason}")
    for failure in failures:
        print(f"failed: {failure}")
    print(f"{case_count - len(failures)} passed, {len(failures)} failed")
    return 1 if failures else 0


def _run_case(
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
