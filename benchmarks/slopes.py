"""Measures how state, memory and CPU time in one process grow over three sizes."""

import gc
import pathlib
import random
import sys
import time

import msgspec
from hawthornbarrow.configuration import (
    Configuration,
    Member,
    Service,
    encode_configuration,
)
from hawthornbarrow.dispatch import FairQueue, LeastRemainingWork, RunTimeEstimator
from hawthornbarrow.jobs import Job, JobSpec
from hawthornbarrow.ledger import (
    Applied,
    ApplyConfiguration,
    Claim,
    Complete,
    LedgerState,
    RegisterAgent,
    RegisterEntry,
    job_id_of,
)
from hawthornbarrow.links import MessageReceived, PeerUp, SlotGrant, UpstreamAnnounced
from hawthornbarrow.upstreams import Announcement
from hawthornbarrow_entry import EntryCore, EntryIdentity, ReplyTarget

from benchmarks.cost import memory_mb


def measure_claims() -> None:
    """Measures memory, apply time and snapshot size by number of claims."""
    print("claims held in the ledger's state")
    state = LedgerState()
    state.apply(1, RegisterEntry(name="e", incarnation=1, address=""))
    start_mb = memory_mb(_pid())
    claim_count = 0
    for size in (10_000, 50_000, 100_000):
        started_s = time.process_time()
        count = size - claim_count
        while claim_count < size:
            _claim_and_complete(state, claim_count)
            claim_count += 1
        apply_us = (time.process_time() - started_s) / count * 1e6
        gc.collect()
        used_mb = memory_mb(_pid()) - start_mb
        started_s = time.process_time()
        snapshot = state.encode()
        encode_s = time.process_time() - started_s
        print(
            f"  {size:>7}: {used_mb * 1e6 / size:.0f} bytes a claim, apply of claim "
            f"and end {apply_us:.0f} us, snapshot {len(snapshot) / 1e6:.1f} MB in "
            f"{encode_s:.2f} s of CPU"
        )
        del snapshot


def _claim_and_complete(state: LedgerState, number: int) -> None:
    key = f"job-{number:012d}"
    claim = Claim(
        member="member-1",
        key=key,
        digest=b"0123456789abcdef",
        owner="e",
        incarnation=1,
        repeatable=False,
        task_count=270,
        body=b"",
        time_s=1.0,
    )
    state.apply(2 * number + 2, claim)
    completion = Complete(
        job=job_id_of("member-1", key),
        epoch=1,
        status="completed",
        answer=b"",
        time_s=2.0,
    )
    state.apply(2 * number + 3, completion)


def measure_configurations() -> None:
    """Measures size and apply time of a configuration by number of members."""
    print("configuration")
    for members in (10, 73, 300):
        configuration = Configuration(
            members={
                f"member-{n}": Member(token_hashes=["0" * 64]) for n in range(members)
            },
            services={f"service-{n}": Service() for n in range(20)},
        )
        document = encode_configuration(configuration)
        state = LedgerState()
        started_s = time.process_time()
        for version in range(200):
            command = ApplyConfiguration(
                request=f"q{version}",
                expect_version=version,
                document=document,
                operator="o",
                time_s=1.0,
            )
            state.apply(version + 1, command)
        apply_us = (time.process_time() - started_s) / 200 * 1e6
        started_s = time.process_time()
        for _ in range(50):
            msgspec.json.decode(document, type=Configuration)
        decode_us = (time.process_time() - started_s) / 50 * 1e6
        print(
            f"  {members:>4} members: {len(document)} bytes, apply {apply_us:.0f} us, "
            f"decode at each process {decode_us:.0f} us"
        )


def measure_picks() -> None:
    """Measures the CPU time of picking and charging one task by number of members."""
    print("fair queue, one pick and charge")
    for members in (10, 73, 300):
        queue = FairQueue(order=LeastRemainingWork(estimator=RunTimeEstimator()))
        for number in range(members):
            queue.push(_job(f"m{number}", 200))
        pick_count = min(5_000, members * 150)
        started_s = time.process_time()
        for pick_number in range(pick_count):
            job = queue.pick({"s"}, pick_number * 1e-4)
            job.pop_waiting_task()
            queue.charge_start(job, 0.1)
            queue.charge_end(job.member, charged_s=0.1, measured_s=0.1)
        used_us = (time.process_time() - started_s) / pick_count * 1e6
        print(f"  {members:>4} members: {used_us:.1f} us")


def _job(member: str, tasks: int) -> Job:
    job = Job(
        job_id=f"{member}-{tasks}",
        member=member,
        key="k",
        epoch=1,
        task_count=tasks,
        repeatable=True,
        submitted_at_s=0.0,
        deadline_at_s=1e9,
        spec=JobSpec(service="s", tasks=[b"1"] * tasks),
    )
    job.begin()
    return job


def measure_dispatches() -> None:
    """Measures CPU time per task and memory of an entry's core by number of agents."""
    print("entry core, dispatch of jobs of 270 tasks")
    for agents in (11, 100, 400):
        before_mb = memory_mb(_pid())
        core, state = _create_entry(agents)
        used_mb = memory_mb(_pid()) - before_mb
        jobs = 20
        started_s = time.process_time()
        dispatched_count = 0
        for number in range(jobs):
            key = f"k{number}"
            body = msgspec.json.encode(
                {"service": "s", "tasks": [1] * 270, "deadline_s": 600.0}
            )
            core.submit(
                ReplyTarget(peer="", request=number),
                member="m",
                key=key,
                body=body,
                wait=True,
                now_s=2.0,
                time_s=1.0,
            )
            dispatched_count += _commit_and_dispatch(core, state)
        used_us = (time.process_time() - started_s) / max(1, dispatched_count) * 1e6
        started_s = time.process_time()
        for _ in range(200):
            core.tick(3.0, time_s=1.0, has_quorum_contact=True)
        tick_us = (time.process_time() - started_s) / 200 * 1e6
        print(
            f"  {agents:>4} agents: {dispatched_count} tasks, {used_us:.0f} us a task, "
            f"idle tick {tick_us:.0f} us, {used_mb * 1000 / agents:.1f} kB an agent"
        )


def _create_entry(agents: int) -> tuple[EntryCore, LedgerState]:
    state = LedgerState()
    configuration = Configuration(
        members={"m": Member(token_hashes=[])}, services={"s": Service()}
    )
    core = EntryCore(
        identity=EntryIdentity(name="e", incarnation=1, address=""),
        state=state,
        generator=random.Random(1),
    )
    commands = [
        ApplyConfiguration(
            request="r",
            expect_version=0,
            document=encode_configuration(configuration),
            operator="o",
            time_s=0.0,
        ),
        RegisterEntry(name="e", incarnation=1, address=""),
        *(RegisterAgent(name=f"a{n}", incarnation=1) for n in range(agents)),
    ]
    for command in commands:
        _apply(core, state, command)
    for number in range(agents):
        name = f"a{number}"
        up = PeerUp(peer=name, role="agent", incarnation=1, restarted=True)
        core.on_link_event(up, 1.0)
        announcement = Announcement(
            name=f"u{number}", address="x", services=["s"], slots=64, connections=64
        )
        announced = UpstreamAnnounced(announcement=announcement)
        core.on_link_event(MessageReceived(peer=name, message=announced), 1.0)
        grant = SlotGrant(upstream=f"u{number}", limit=500, slots=64, generation=1)
        core.on_link_event(MessageReceived(peer=name, message=grant), 1.0)
    core.tick(1.0, time_s=1.0, has_quorum_contact=True)
    core.take_effects()
    return core, state


def _apply(core: EntryCore, state: LedgerState, command: object) -> None:
    index = state.applied + 1
    outcome = state.apply(index, command)
    applied = Applied(index=index, command=command, outcome=outcome, number=0)
    core.on_applied(applied, 1.0)


def _commit_and_dispatch(core: EntryCore, state: LedgerState) -> int:
    for effect in core.take_effects():
        command = getattr(effect, "command", None)
        if isinstance(command, Claim):
            _apply(core, state, command)
    core.tick(2.0, time_s=1.0, has_quorum_contact=True)
    count = 0
    for effect in core.take_effects():
        message = getattr(effect, "message", None)
        for item in getattr(message, "items", []):
            count += len(item.tasks)
    return count


def _pid() -> int:
    return int(pathlib.Path("/proc/self").resolve().name)


def main() -> int:
    """Runs all measurements."""
    for measurement in (
        measure_claims,
        measure_configurations,
        measure_picks,
        measure_dispatches,
    ):
        measurement()
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
