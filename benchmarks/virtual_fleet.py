"""The real entry and agent decisions under virtual time.

Fakes stand at the interfaces only: the ledger commits after a fixed delay, links
deliver after their delay, upstreams run each task for its true time.
"""

import collections
import dataclasses
import heapq
import itertools
import random

import msgspec
from hawthornbarrow.configuration import (
    Configuration,
    Limits,
    Member,
    Service,
    Tuning,
    encode_configuration,
)
from hawthornbarrow.dispatch import JobOrder, LeastRemainingWork
from hawthornbarrow.ledger import Applied, ApplyConfiguration, LedgerState
from hawthornbarrow.links import MessageReceived, PeerUp
from hawthornbarrow.upstreams import Announcement, CallOutcome
from hawthornbarrow_agent import AgentCore, AgentTiming
from hawthornbarrow_agent import SendMessage as AgentSend
from hawthornbarrow_agent import StartCall as AgentStart
from hawthornbarrow_entry import (
    EntryCore,
    EntryIdentity,
    ForgetPeer,
    Propose,
    Reply,
    ReplyTarget,
)

from benchmarks.results import JobEnd, RunResult
from benchmarks.traces import Site, TraceJob

HEARTBEAT_S = 1.0
_TICK_S = 0.05
_POLL_S = 0.1
_LEAST_WAKE_S = 0.0001


@dataclasses.dataclass(frozen=True, kw_only=True)
class Policy:
    """What a run varies.

    Attributes:
        name: Name in tables.
        order: Order of the jobs of one member.
        result_hold_s: Longest time that a result waits for a batch.
        ahead_s: Work queued ahead of slots.
        contended_ahead_s: The same while several jobs wait.
        sync_s: Time of one synced write; a claim takes a round trip besides.
        exchanges_usage: Whether entries tell each other what members used.
        has_home: Whether one entry dispatches all jobs.
    """

    name: str
    order: type[JobOrder] = LeastRemainingWork
    result_hold_s: float = 0.025
    ahead_s: float = 0.04
    contended_ahead_s: float = 0.0
    sync_s: float = 0.0035
    exchanges_usage: bool = True
    has_home: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Faulty upstreams of a run.

    Attributes:
        failing: Upstreams that fail every task at once.
        slow: Upstreams that take many times as long, and the factor.
        from_s: When the faults begin.
    """

    failing: frozenset[int] = frozenset()
    slow: dict[int, float] = dataclasses.field(default_factory=dict)
    from_s: float = 0.0


class VirtualFleet:
    """One run of a trace.

    Args:
        site: Size of the deployment.
        policy: What the run varies.
        seed: Seed of all draws.
        faults: Faulty upstreams.
        weights: Weights of members that differ from 1.
    """

    def __init__(
        self,
        *,
        site: Site,
        policy: Policy,
        seed: int,
        faults: Faults | None = None,
        weights: dict[str, float] | None = None,
    ) -> None:
        """Builds entries and agents."""
        self._site = site
        self._policy = policy
        self._faults = faults or Faults()
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, object]] = []
        self._serial = itertools.count()
        self._now_s = 0.0
        self._state = LedgerState()
        self._index = 0
        self._entries: dict[str, EntryCore] = {}
        self._agents: dict[str, AgentCore] = {}
        self._sent_at_s: dict[tuple[str, str], float] = {}
        self._requests: dict[int, TraceJob] = {}
        self._ended: dict[int, JobEnd] = {}
        self._running: dict[tuple[str, int, int], str] = {}
        self._wakes: dict[str, float] = {}
        self._home = "e0" if policy.has_home else ""
        self._offset_s = 0.0
        self._early_ticks: set[str] = set()
        self._lazy: dict[tuple[str, str], list] = {}
        self.messages: collections.Counter[str] = collections.Counter()
        self.starts: collections.Counter[str] = collections.Counter()
        self.late_starts: collections.Counter[str] = collections.Counter()
        self._weights = weights or {}

    def run(self, trace: list[TraceJob]) -> RunResult:
        """Runs a trace to the end of its last job."""
        self._build(trace)
        for job in trace:
            at_s = self._offset_s + job.at_s
            self._at(at_s, lambda job=job: self._submit(job))
            if job.cancel_at_s is not None:
                at_s = self._offset_s + job.cancel_at_s
                self._at(at_s, lambda job=job: self._cancel(job))
        end_s = self._offset_s + trace[-1].at_s + 120.0
        while self._events and self._now_s < end_s:
            if len(self._ended) == len(trace):
                break
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        wasted = collections.Counter()
        for core in self._entries.values():
            wasted.update(core.wasted)
        for core in self._agents.values():
            wasted.update(core.wasted)
        return RunResult(
            name=self._policy.name,
            ends=[
                self._ended[job.number] for job in trace if job.number in self._ended
            ],
            messages=dict(self.messages),
            wasted=dict(wasted),
            starts=dict(self.starts),
            unanswered=len(trace) - len(self._ended),
        )

    # --- building ---

    def _build(self, trace: list[TraceJob]) -> None:
        members = sorted({job.member for job in trace})
        services = sorted({job.service for job in trace})
        configuration = Configuration(
            members={
                name: Member(token_hashes=[], weight=self._weights.get(name, 1.0))
                for name in members
            },
            services={name: Service(run_limit_s=30.0) for name in services},
            tuning=Tuning(contended_ahead_ms=self._policy.contended_ahead_s * 1000),
            limits=Limits(waiting_tasks=1_000_000, member_waiting_tasks=1_000_000),
        )
        self._apply(
            ApplyConfiguration(
                request="r",
                expect_version=0,
                document=encode_configuration(configuration),
                operator="o",
                time_s=0.0,
            )
        )
        for number in range(self._site.entries):
            self._entries[f"e{number}"] = self._entry(number)
        timing = AgentTiming(
            result_hold_s=self._policy.result_hold_s, ahead_s=self._policy.ahead_s
        )
        for number in range(self._site.executors):
            self._agents[f"a{number}"] = AgentCore(timing=timing)
        for entry in self._entries:
            self._tick_entry(entry)
            for other in [*self._agents, *self._entries]:
                if other != entry:
                    self._link(entry, other)
        for agent in self._agents:
            self._announce(agent, services)
        until_s = self._now_s + 0.5
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        self._offset_s = self._now_s
        self.messages.clear()

    def _entry(self, number: int) -> EntryCore:
        core = EntryCore(
            identity=EntryIdentity(
                name=f"e{number}",
                incarnation=number + 1,
                address="",
                data_centre=f"dc{number % self._site.data_centres}",
            ),
            state=self._state,
            generator=random.Random(self._random.random()),
            order=self._policy.order,
        )
        core.on_applied(
            Applied(index=0, command=None, outcome=None, number=0), self._now_s
        )
        return core

    def _link(self, a: str, b: str) -> None:
        for sender, receiver in ((a, b), (b, a)):
            role = "agent" if sender in self._agents else "entry"
            event = PeerUp(
                peer=sender, role=role, incarnation=1 + int(sender[1:]), restarted=True
            )
            self._core(receiver).on_link_event(event, self._now_s)
            self._settle(receiver)

    def _announce(self, agent: str, services: list[str]) -> None:
        number = int(agent[1:])
        announcement = Announcement(
            name=f"u{number}",
            address="127.0.0.1:1",
            services=services,
            slots=self._site.slots,
            connections=64,
            data_centre=f"dc{number % self._site.data_centres}",
            rack=f"r{number // 3}",
        )
        self._agents[agent].announce(announcement, self._now_s)
        self._settle(agent)
        self._at(self._now_s + 1.0, lambda: self._announce(agent, services))

    # --- the loop ---

    def _at(self, at_s: float, action: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._serial), action))

    def _core(self, name: str) -> EntryCore | AgentCore:
        return self._entries.get(name) or self._agents[name]

    def _tick_entry(self, name: str) -> None:
        self._entries[name].tick(
            self._now_s, time_s=self._now_s, in_touch=True, home=self._home
        )
        self._settle(name, ticks=False)
        self._at(self._now_s + _TICK_S, lambda: self._tick_entry(name))

    def _tick_early(self, name: str) -> None:
        self._early_ticks.discard(name)
        self._settle(name)

    def _wake_agent(self, name: str, due_s: float) -> None:
        if self._wakes.get(name) != due_s:
            return
        del self._wakes[name]
        self._agents[name].tick(self._now_s)
        self._settle(name)

    def _settle(self, name: str, *, ticks: bool = True) -> None:
        core = self._core(name)
        if isinstance(core, EntryCore):
            if ticks:
                core.tick(
                    self._now_s, time_s=self._now_s, in_touch=True, home=self._home
                )
            self._settle_entry(name, core)
            if core.next_due_s < _TICK_S and name not in self._early_ticks:
                self._early_ticks.add(name)
                self._at(self._now_s + core.next_due_s, lambda: self._tick_early(name))
            return
        frames: dict[str, list] = {}
        for effect in core.take_effects():
            if isinstance(effect, AgentSend):
                frames.setdefault(effect.peer, []).append(effect.message)
            elif isinstance(effect, AgentStart):
                self._start(name, effect)
            else:
                self._stop(name, effect)
        self._send(name, frames)
        due_s = self._now_s + max(_LEAST_WAKE_S, core.next_due_s(self._now_s))
        if due_s < self._wakes.get(name, float("inf")) - 1e-9:
            self._wakes[name] = due_s
            self._at(due_s, lambda: self._wake_agent(name, due_s))

    def _settle_entry(self, name: str, core: EntryCore) -> None:
        frames: dict[str, list] = {}
        for effect in core.take_effects():
            if isinstance(effect, Propose):
                delay_s = self._commit_s(name)
                command = effect.command
                self._at(self._now_s + delay_s, lambda c=command: self._apply(c))
            elif isinstance(effect, Reply):
                self._answered(effect)
            elif isinstance(effect, ForgetPeer):
                continue
            else:
                is_usage = type(effect.message).__name__ == "UsageReport"
                if is_usage and not self._policy.exchanges_usage:
                    continue
                self._queue(name, effect, frames)
        self._send(name, frames)

    def _queue(self, name: str, effect: object, frames: dict[str, list]) -> None:
        """Adds a message to its frame; one that can wait rides on a later one."""
        if effect.is_urgent:
            frames.setdefault(effect.peer, []).append(effect.message)
            return
        lazy = self._lazy.setdefault((name, effect.peer), [])
        if not lazy:
            self._at(self._now_s + _POLL_S, lambda: self._poll(name, effect.peer))
        lazy.append(effect.message)

    def _poll(self, sender: str, receiver: str) -> None:
        if self._lazy.get((sender, receiver)):
            self._send(sender, {receiver: []})

    def _commit_s(self, entry: str) -> float:
        """Returns how long a command takes from its proposal to its commit.

        The leader, at e0, waits for the synced write of the nearest follower; other
        entries reach it and hear of the commit over one link each way.
        """
        hops = 2 if entry == "e0" else 4
        return hops * self._site.link_s + self._policy.sync_s

    def _send(self, sender: str, frames: dict[str, list]) -> None:
        for receiver, messages in frames.items():
            if receiver not in self._entries and receiver not in self._agents:
                continue
            pair = (sender, receiver)
            messages += self._lazy.pop(pair, [])
            idle_s = self._now_s - self._sent_at_s.get(pair, self._now_s)
            self.messages["heartbeat"] += int(idle_s / HEARTBEAT_S)
            self._sent_at_s[pair] = self._now_s
            self.messages[type(messages[0]).__name__] += 1
            delay_s = self._delay_s(sender, receiver)
            self._at(
                self._now_s + delay_s,
                lambda p=pair, m=messages: self._deliver(p[0], p[1], m),
            )

    def _delay_s(self, a: str, b: str) -> float:
        site = self._site
        same = int(a[1:]) % site.data_centres == int(b[1:]) % site.data_centres
        return 0.0002 if same else site.link_s

    def _deliver(self, sender: str, receiver: str, messages: list) -> None:
        core = self._core(receiver)
        for message in messages:
            event = MessageReceived(peer=sender, message=message)
            core.on_link_event(event, self._now_s)
        self._settle(receiver)

    def _apply(self, command: object) -> None:
        self._index += 1
        outcome = self._state.apply(self._index, command)
        applied = Applied(index=self._index, command=command, outcome=outcome, number=0)
        for name, core in self._entries.items():
            core.on_applied(applied, self._now_s)
            self._settle(name)

    # --- upstreams ---

    def _start(self, agent: str, call: AgentStart) -> None:
        run_s, _ = msgspec.json.decode(call.payload)
        number = int(agent[1:])
        end = CallOutcome.ANSWERED
        self.starts[agent] += 1
        if self._now_s >= self._faults.from_s:
            self.late_starts[agent] += 1
            run_s *= self._faults.slow.get(number, 1.0)
            if number in self._faults.failing:
                run_s, end = 0.001, CallOutcome.SERVER_ERROR
        key = (call.job, call.index, call.attempt)
        self._running[key] = agent
        started_s = self._now_s
        self._at(
            self._now_s + run_s, lambda: self._end(agent, call, key, end, started_s)
        )

    def _stop(self, agent: str, effect: object) -> None:
        key = (effect.job, effect.index, effect.attempt)
        if self._running.pop(key, None) is not None:
            self._call_ended(agent, effect.job, effect.index, CallOutcome.STOPPED, 0.0)

    def _end(
        self,
        agent: str,
        call: AgentStart,
        key: tuple,
        end: CallOutcome,
        started_s: float,
    ) -> None:
        if self._running.pop(key, None) is not None:
            run_s = self._now_s - started_s
            self._call_ended(agent, call.job, call.index, end, run_s)

    def _call_ended(
        self, agent: str, job: str, index: int, end: CallOutcome, run_s: float
    ) -> None:
        self._agents[agent].call_ended(
            upstream=f"u{agent[1:]}",
            job=job,
            index=index,
            end=end,
            run_s=run_s,
            body=b"0" if end is CallOutcome.ANSWERED else b"",
            now_s=self._now_s,
        )
        self._settle(agent)

    # --- callers ---

    def _submit(self, job: TraceJob) -> None:
        entry = f"e{job.number % self._site.entries}"
        arrives_s = self._now_s + self._site.client_s
        self._requests[job.number] = job
        self._at(arrives_s, lambda: self._arrive(entry, job))

    def _arrive(self, entry: str, job: TraceJob) -> None:
        body = msgspec.json.encode(
            {
                "service": job.service,
                "tasks": [[run_s, index] for index, run_s in enumerate(job.runs_s)],
                "repeatable": True,
                "deadline_s": job.deadline_s,
                "declared_run_s": job.declared_s,
            }
        )
        self._entries[entry].submit(
            ReplyTarget(peer="", request=job.number),
            member=job.member,
            key=f"k{job.number}",
            body=body,
            wait=True,
            now_s=self._now_s,
            time_s=self._now_s,
        )
        self._settle(entry)

    def _cancel(self, job: TraceJob) -> None:
        entry = f"e{job.number % self._site.entries}"
        self._entries[entry].cancel(
            ReplyTarget(peer="", request=-1),
            member=job.member,
            key=f"k{job.number}",
            now_s=self._now_s,
        )
        self._settle(entry)

    def _answered(self, reply: Reply) -> None:
        job = self._requests.get(reply.request)
        if job is None or job.number in self._ended:
            return
        document = msgspec.json.decode(reply.answer.body)
        status = document.get("status")
        self._ended[job.number] = JobEnd(
            job=job,
            status=status if isinstance(status, str) else f"refused {status}",
            reason=document.get("reason", document.get("title", "")),
            not_run=bool(document.get("not_run")),
            response_s=self._now_s + self._site.client_s - (job.at_s + self._offset_s),
        )
