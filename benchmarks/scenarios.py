"""Scenarios with real processes on loopback; each prints what it saw.

`python -m benchmarks.scenarios resubmissions owner-kills total-stop operators`
"""

import argparse
import random
import shutil
import sys
import time
import uuid

import curio
import msgspec
from hawthornbarrow.http import HttpClientError
from hawthornbarrow_entry.tests._deployment import (
    OTHER_TOKEN,
    Caller,
    Deployment,
    echo_job,
    has_expected_results,
)

_TASKS = 4
_VICTIM_RUN_S = 0.3  # two waves of 150 ms
_TAKEOVER_LIMIT_S = 3.0 + _VICTIM_RUN_S


def resubmissions(seed: int) -> bool:
    """2,000 jobs over 3 entries and 4 agents, every tenth resubmitted elsewhere."""
    jobs = 2000
    wrong: list[str] = []

    async def submit(caller: Caller, number: int) -> None:
        key = f"job-{number}"
        body = echo_job(key, _TASKS, 20, repeatable=number % 2 == 0)
        response = await caller.submit_until_final(key, body, first=number)
        if response is None or not has_expected_results(response, key, _TASKS):
            wrong.append(key)

    async def resubmit(caller: Caller, number: int) -> None:
        await curio.sleep(0.01)
        key = f"job-{number}"
        body = echo_job(key, _TASKS, 20, repeatable=number % 2 == 0)
        response = await caller.submit_until_final(key, body, first=number + 1)
        if response is None or not has_expected_results(response, key, _TASKS):
            wrong.append(f"{key} (resubmitted)")

    async def scenario(caller: Caller) -> None:
        async with curio.TaskGroup() as group:
            for number in range(jobs):
                await group.spawn(submit, caller, number)
                if number % 10 == 0:
                    await group.spawn(resubmit, caller, number)
                await curio.sleep(0.004)

    with Deployment(entries=3, agents=4) as deployment:
        curio.run(scenario, Caller(deployment))
        started = len(deployment.task_events())
        twice = len(deployment.tasks_started_twice())
    print(
        f"resubmissions: {jobs} jobs, {jobs // 10} resubmitted at another entry; "
        f"{started} of {jobs * _TASKS} tasks started, {twice} started twice, "
        f"{len(wrong)} answers not whole or not the caller's own"
    )
    return twice == 0 and started == jobs * _TASKS and not wrong


def owner_kills(seed: int) -> bool:
    """Kill -9 of entries with running jobs, 20 times under load."""
    kills = 20
    generator = random.Random(seed)
    ends: dict[str, int] = {}
    wrong: list[str] = []
    takeovers: list[float] = []
    stop = curio.Event()

    async def load(caller: Caller, name: int) -> None:
        number = 0
        while not stop.is_set():
            key = f"load-{name}-{number}"
            number += 1
            repeatable = number % 2 == 0
            body = echo_job(key, 8, 60, repeatable=repeatable)
            response = await caller.submit_until_final(key, body, first=name + number)
            note(key, response)

    def note(key: str, response: object) -> None:
        if response is None:
            wrong.append(f"{key}: no end")
            return
        status = msgspec.json.decode(response.body).get("status", "gone")
        ends[status] = ends.get(status, 0) + 1
        if response.status == 200 and not has_expected_results(response, key, 8):
            wrong.append(f"{key}: not whole")

    async def kill_one(deployment: Deployment, caller: Caller, number: int) -> None:
        victim = generator.choice(deployment.entry_names)
        key = f"victim-{number}"
        body = echo_job(key, 16, 150, repeatable=False)
        waiting = await curio.spawn(
            caller.post, victim, key, body, OTHER_TOKEN, daemon=True
        )
        await curio.sleep(0.25)
        deployment.kill(victim)
        killed_s = time.monotonic()
        other = deployment.entry_names.index(victim) + 1
        while time.monotonic() - killed_s < 20:
            name = deployment.entry_names[other % 3]
            response = await caller.post(name, key, body, OTHER_TOKEN)
            if response is not None and response.status in (200, 409, 410):
                note_victim(key, response, time.monotonic() - killed_s)
                if takeovers[-1] > _TAKEOVER_LIMIT_S:
                    await _print_steps(deployment, key, takeovers[-1])
                break
            await curio.sleep(0.05)
        else:
            wrong.append(f"{key}: no end")
        await waiting.cancel(blocking=False)
        deployment.start_entry(victim)
        await curio.sleep(2.5)

    def note_victim(key: str, response: object, after_s: float) -> None:
        takeovers.append(after_s)
        status = msgspec.json.decode(response.body).get("status", "gone")
        ends[f"victim {status}"] = ends.get(f"victim {status}", 0) + 1
        if response.status == 200 and not has_expected_results(response, key, 16):
            wrong.append(f"{key}: not whole")

    async def scenario(deployment: Deployment) -> None:
        caller = Caller(deployment)
        async with curio.TaskGroup() as group:
            for name in range(12):
                await group.spawn(load, caller, name)
            for number in range(kills):
                await kill_one(deployment, caller, number)
            await stop.set()

    with Deployment(entries=3, agents=4) as deployment:
        curio.run(scenario, deployment)
        twice = deployment.tasks_started_twice()
        overlapping_tasks = deployment.overlapping_tasks()
    takeovers.sort()
    print(
        f"owner kills: {kills} kills; ends {ends}; answers that were not whole, or "
        f"never came: {wrong}; tasks started twice {len(twice)} (repeatable ones may), "
        f"running twice at once {len(overlapping_tasks)}; killed to answer, run time "
        f"included: median {takeovers[len(takeovers) // 2]:.2f} s, "
        f"worst {takeovers[-1]:.2f} s"
    )
    return not wrong and not overlapping_tasks and takeovers[-1] <= _TAKEOVER_LIMIT_S


async def _print_steps(deployment: Deployment, key: str, after_s: float) -> None:
    """Prints what each entry tells of a job whose takeover was slow."""
    print(f"  {key}: answered {after_s:.2f} s after the kill")
    for name in deployment.entry_names:
        try:
            response = await deployment.request(
                name, "GET", f"/v1/jobs/{key}/explain", token=OTHER_TOKEN
            )
        except HttpClientError:
            continue
        document = msgspec.json.decode(response.body)
        for step in document.get("steps", []):
            print(f"    {name} {step['at_ms']:>9.1f} {step['event']} {step['detail']}")


def total_stop(seed: int) -> bool:
    """Kill -9 of all entries under claims, one disk wiped; nothing is missing."""
    acknowledged: dict[str, bytes] = {}

    async def load(caller: Caller, name: int) -> None:
        for number in range(60):
            key = f"stop-{name}-{number}"
            body = echo_job(key, 1, 5, repeatable=False)
            response = await caller.post(
                caller.deployment.entry_names[name % 3], key, body
            )
            if response is not None and response.status == 200:
                acknowledged[key] = response.body

    async def before(deployment: Deployment) -> None:
        caller = Caller(deployment)
        async with curio.TaskGroup() as group:
            for name in range(9):
                await group.spawn(load, caller, name)
            await curio.sleep(1.0)
            for name in deployment.entry_names:
                deployment.kill(name)

    async def check(caller: Caller) -> list[str]:
        missing = []
        for key, answer in acknowledged.items():
            body = echo_job(key, 1, 5, repeatable=False)
            response = await caller.submit_until_final(key, body, first=1)
            if response is None or response.body != answer:
                missing.append(key)
        return missing

    with Deployment(entries=3, agents=2) as deployment:
        curio.run(before, deployment)
        shutil.rmtree(deployment.folder / "entry-1")
        for name in deployment.entry_names:
            deployment.start_entry(name)
        time.sleep(3)
        missing = curio.run(check, Caller(deployment))
        twice = len(deployment.tasks_started_twice())
    print(
        f"total stop: {len(acknowledged)} jobs acknowledged before kill -9 of all "
        f"entries, one disk wiped; missing after the restart {len(missing)}, "
        f"started twice {twice}"
    )
    return not missing and not twice and bool(acknowledged)


def operators(seed: int) -> bool:
    """50 operators race for each of 20 versions, with resends."""
    rounds, racers = 20, 50
    winners: list[int] = []

    async def apply(deployment: Deployment, version: int, racer: int) -> int:
        document = {
            "request": f"{version}-{racer}-{uuid.UUID(int=seed)}",
            "expect_version": version,
            "operator": f"operator-{racer}",
            "configuration": deployment_configuration,
        }
        body = msgspec.json.encode(document)
        first = deployment.entry_names[racer % 3]
        second = deployment.entry_names[(racer + 1) % 3]
        outcomes = []
        for entry in (first, second):
            try:
                response = await deployment.request(
                    entry, "POST", "/v1/configuration", body
                )
            except HttpClientError:
                continue
            outcomes.append((response.status, response.body))
        if len(set(outcomes)) != 1:
            raise AssertionError(f"a resend got another outcome: {outcomes}")
        return outcomes[0][0]

    async def race(deployment: Deployment, version: int) -> int:
        async with curio.TaskGroup() as group:
            for racer in range(racers):
                await group.spawn(apply, deployment, version, racer)
        return sum(status == 200 for status in group.results)

    with Deployment(entries=3, agents=2) as deployment:
        current = msgspec.json.decode(
            deployment.call("entry-1", "GET", "/v1/configuration").body
        )
        deployment_configuration = current["configuration"]
        lags = []
        for number in range(rounds):
            winners.append(curio.run(race, deployment, current["version"] + number))
            lags.append(_time_in_force(deployment, current["version"] + number + 1))
        histories = {
            deployment.call(name, "GET", "/v1/configuration/history").body
            for name in deployment.entry_names
        }
    print(
        f"operators: {rounds} rounds of {racers} with a resend each; winners a round "
        f"{sorted(set(winners))}; distinct histories {len(histories)}; in force at all "
        f"entries and agents after at most {max(lags) * 1000:.0f} ms more"
    )
    return set(winners) == {1} and len(histories) == 1


def _time_in_force(deployment: Deployment, version: int) -> float:
    started_s = time.monotonic()
    while time.monotonic() - started_s < 8.0:
        versions = [
            msgspec.json.decode(deployment.call(name, "GET", "/v1/status").body)[
                "configuration_version"
            ]
            for name in deployment.entry_names
        ]
        for name in deployment.agent_names:
            body = curio.run(deployment.agent_status, name)
            versions.append(msgspec.json.decode(body)["configuration_version"])
        if set(versions) == {version}:
            return time.monotonic() - started_s
    raise AssertionError(f"version {version} is not in force: {versions}")


def replacement(seed: int) -> bool:
    """A disk is lost and replaced; then a second VM is lost right after."""
    answers: dict[str, bytes] = {}

    async def submit(caller: Caller, keys: range, entry: int) -> None:
        for number in keys:
            key = f"replace-{number}"
            body = echo_job(key, 1, 5, repeatable=False)
            response = await caller.submit_until_final(key, body, first=entry)
            known = answers.setdefault(key, response.body if response else b"")
            if response is None or response.body != known:
                raise AssertionError(f"{key}: another answer, or none")

    with Deployment(entries=3, agents=2) as deployment:
        curio.run(submit, Caller(deployment), range(100), 0)
        deployment.kill("entry-3")
        shutil.rmtree(deployment.folder / "entry-3")
        deployment.start_entry("entry-3")
        started_s = time.monotonic()
        fresh = _wait_for_identity(deployment, "entry-3")
        body = msgspec.json.encode({"old": "entry-3.1", "new": fresh})
        refusals = 0
        while (
            deployment.call("entry-1", "POST", "/v1/ledger/replace", body).status != 202
        ):
            refusals += 1
            time.sleep(0.3)
        _wait_for_voter(deployment, fresh)
        took_s = time.monotonic() - started_s
        deployment.kill("entry-2")
        curio.run(submit, Caller(deployment), range(100), 2)
        curio.run(submit, Caller(deployment), range(100, 130), 0)
        twice = len(deployment.tasks_started_twice())
    print(
        f"replacement: disk of entry-3 lost and replaced by {fresh} in {took_s:.1f} s "
        f"({refusals} refusals before); entry-2 lost right after; 100 earlier answers "
        f"unchanged, 30 new jobs answered, {twice} tasks started twice"
    )
    return twice == 0


def _wait_for_identity(deployment: Deployment, name: str) -> str:
    for _ in range(100):
        try:
            body = deployment.call(name, "GET", "/v1/ledger").body
            return msgspec.json.decode(body)["replica"]
        except HttpClientError:
            time.sleep(0.1)
    raise TimeoutError(f"{name} does not answer")


def _wait_for_voter(deployment: Deployment, identity: str) -> None:
    for _ in range(100):
        body = deployment.call("entry-1", "GET", "/v1/ledger").body
        if identity in msgspec.json.decode(body)["voters"]:
            return
        time.sleep(0.1)
    raise TimeoutError(f"{identity} does not become a voter")


_SCENARIOS = {
    "resubmissions": resubmissions,
    "owner-kills": owner_kills,
    "total-stop": total_stop,
    "operators": operators,
    "replacement": replacement,
}


def main() -> int:
    """Runs the named scenarios, or all; returns 1 when one failed."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scenarios")
    parser.add_argument("names", nargs="*", choices=[*_SCENARIOS, []])
    parser.add_argument("--seed", type=int, default=20261203)
    arguments = parser.parse_args()
    failed = []
    for name in arguments.names or list(_SCENARIOS):
        if not _SCENARIOS[name](arguments.seed):
            failed.append(name)
    print(f"failed scenarios: {', '.join(failed) or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
