"""Command `hawthornbarrow demo`: runs a whole deployment in one process."""

import argparse
import logging
import pathlib
import tempfile
import time

import curio
import msgspec
from hawthornbarrow.configuration import hash_token
from hawthornbarrow.http import PooledClient, Response
from hawthornbarrow.ledger import initialise_folder
from hawthornbarrow.observability import configure_logs
from hawthornbarrow.standin import StandInSettings, StandInUpstream
from hawthornbarrow_agent import AgentProcess, AgentSettings

from hawthornbarrow_entry._process import EntryProcess, EntrySettings

_HOST = "127.0.0.1"
_TOKEN = "demo-member"
_CLUSTER_KEY = b"demo-cluster-key"
_SLOT_COUNT = 8
_JOB_TIMEOUT_S = 60.0
_SHOWN_ANSWER_COUNT = 8


def add_parsers(commands: argparse._SubParsersAction) -> None:
    """Adds the parser of the subcommand."""
    demo = commands.add_parser("demo", help="run a job of 100 tasks in one process")
    demo.add_argument("--tasks", type=int, default=100)
    demo.add_argument("--run-ms", type=float, default=50.0)
    demo.set_defaults(run=_demo)


def _demo(arguments: argparse.Namespace) -> int:
    configure_logs(process="demo", level=logging.WARNING)
    with tempfile.TemporaryDirectory(prefix="hawthornbarrow-demo-") as folder:
        return curio.run(_run, pathlib.Path(folder), arguments.tasks, arguments.run_ms)


async def _run(folder: pathlib.Path, task_count: int, run_ms: float) -> int:
    initialise_folder(folder, "entry-1", ["entry-1"])
    entry = EntryProcess(settings=_entry_settings(folder))
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(entry.run)
        link_port = await _wait_for(lambda: entry.port.bound_port)
        agent = AgentProcess(settings=_agent_settings(link_port))
        await group.spawn(agent.run)
        agent_port = await _wait_for(lambda: agent.announce_port)
        upstream = StandInUpstream(
            settings=StandInSettings(
                name="upstream-1",
                listen=f"{_HOST}:0",
                agent=f"{_HOST}:{agent_port}",
                slots=_SLOT_COUNT,
            )
        )
        await group.spawn(upstream.run)
        async with curio.timeout_after(_JOB_TIMEOUT_S):
            code = await _run_job(entry, agent, task_count, run_ms)
        await group.cancel_remaining()
    return code


async def _run_job(
    entry: EntryProcess, agent: AgentProcess, task_count: int, run_ms: float
) -> int:
    client = PooledClient(host=_HOST, port=entry.http_port, connections=4)
    await _apply_configuration(client)
    await _wait_for(lambda: entry.core.is_ready and entry.core.fleet.open_services())
    await _submit_job(client, "demo-warm-up", [_build_task(0, 0.0)])
    frames_before = _frames_sent(entry) + _frames_sent(agent)
    tasks = [_build_task(index, run_ms) for index in range(task_count)]
    started_at_s = time.monotonic()
    response = await _submit_job(client, "demo-job", tasks)
    response_ms = (time.monotonic() - started_at_s) * 1000
    frames = _frames_sent(entry) + _frames_sent(agent) - frames_before
    await client.close()
    return _report(response, tasks, response_ms, frames, run_ms)


def _report(
    response: Response,
    tasks: list[dict],
    response_ms: float,
    frames: int,
    run_ms: float,
) -> int:
    document = msgspec.json.decode(response.body)
    if response.status != 200:
        print(f"the job failed: {document}")
        return 1
    results = document["results"]
    print(f"{'bearing':<10}{'load N':>8}{'L10h':>12}{'aISO':>8}{'Lnmh':>12}{'s0':>7}")
    for task, answer in list(zip(tasks, results, strict=True))[:_SHOWN_ANSWER_COUNT]:
        print(
            f"{answer['bearing']:<10}{task['load_n']:>8.0f}{answer['life_h']:>12.0f}"
            f"{answer['life_factor']:>8.2f}{answer['adjusted_h']:>12.0f}"
            f"{answer['static_safety']:>7.2f}"
        )
    rounds = -(-len(tasks) // _SLOT_COUNT)
    ideal_ms = rounds * run_ms
    print(f"... {len(results)} answers in all, {document['status']}")
    print(
        f"response {response_ms:.1f} ms, ideal {ideal_ms:.1f} ms, "
        f"lag {response_ms - ideal_ms:.1f} ms, ratio {response_ms / ideal_ms:.3f}"
    )
    print(
        f"{frames} messages between processes, {frames / len(tasks):.2f} a task, "
        f"no probe messages"
    )
    return 0 if len(results) == len(tasks) else 1


async def _apply_configuration(client: PooledClient) -> None:
    document = {
        "request": "demo",
        "expect_version": 0,
        "operator": "demo",
        "configuration": {
            "members": {"rolamentos": {"token_hashes": [hash_token(_TOKEN)]}},
            "services": {"bearing-check": {}},
        },
    }
    headers = {"Authorization": f"Bearer {_TOKEN}"}
    body = msgspec.json.encode(document)
    response = await client.request("POST", "/v1/configuration", headers, body)
    if response.status != 200:
        raise SystemExit(f"configuration refused: {response.body.decode()}")


async def _submit_job(client: PooledClient, key: str, tasks: list[dict]) -> Response:
    document = {"service": "bearing-check", "tasks": tasks, "repeatable": True}
    headers = {"Authorization": f"Bearer {_TOKEN}", "Idempotency-Key": key}
    body = msgspec.json.encode(document)
    return await client.request("POST", "/v1/jobs", headers, body)


def _build_task(index: int, run_ms: float) -> dict:
    return {
        "bearing": {
            "name": "6205",
            "kind": "ball",
            "dynamic_n": 14000.0,
            "static_n": 7800.0,
            "fatigue_n": 335.0,
        },
        "load_n": 1000.0 + 20.0 * index,
        "static_load_n": 1500.0 + 20.0 * index,
        "speed_rpm": 1450.0,
        "contamination": 0.5,
        "viscosity_ratio": 1.2,
        "nonce": str(index),
        "run_ms": run_ms,
    }


def _frames_sent(process: EntryProcess | AgentProcess) -> int:
    return process.port.counters.frames_sent


async def _wait_for(condition: object) -> object:
    while True:
        value = condition()
        if value:
            return value
        await curio.sleep(0.01)


def _entry_settings(folder: pathlib.Path) -> EntrySettings:
    return EntrySettings(
        name="entry-1",
        listen=f"{_HOST}:0",
        link_listen=f"{_HOST}:0",
        ledger_listen=f"{_HOST}:0",
        peers={},
        ledger_peers={},
        data_dir=folder,
        cluster_key=_CLUSTER_KEY,
        operator_token_hashes=[hash_token(_TOKEN)],
    )


def _agent_settings(link_port: object) -> AgentSettings:
    return AgentSettings(
        name="agent-1",
        listen=f"{_HOST}:0",
        entries=[f"{_HOST}:{link_port}"],
        cluster_key=_CLUSTER_KEY,
    )
