"""Simulation of a fleet with real entry and agent cores under virtual time.

Only the interfaces of the cores are simulated: the ledger commits after a fixed delay,
links deliver after their delay, and upstreams run each task for its true run time.
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
    DropUnacknowledged,
    EntryCore,
    EntryIdentity,
    Propose,
    Reply,
    ReplyTarget,
)

from benchmarks.results import JobOutcome, RunResult
from benchmarks.traces import Site, TraceJob

HEARTBEAT_INTERVAL_S = 1.0
_TICK_INTERVAL_S = 0.05
_DEFERRED_FLUSH_DELAY_S = 0.1
_MIN_WAKE_DELAY_S = 0.0001


@dataclasses.dataclass(frozen=True, kw_only=True)
class Policy:
    """Settings that differ between the runs of an experiment.

    Attributes:
        name: Name of the run in the output.
        order: Order of the jobs of one member.
        result_hold_s: Longest time for which a result waits to be sent in a batch.
        ahead_s: Amount of work that is queued at an agent beyond its slots.
        contended_ahead_s: The same amount while several jobs wait.
        sync_s: Duration of one synced write. A commit also takes one or two round
            trips, see ``_commit_delay_s``.
        exchanges_usage: Whether entries report the usage of members to each other.
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
        slow: Factor by which run times are longer, by upstream.
        from_s: Time at which the faults begin.
    """

    failing: frozenset[int] = frozenset()
    slow: dict[int, float] = dataclasses.field(default_factory=dict)
    from_s: float = 0.0


class VirtualFleet:
    """Simulated fleet that runs one trace.

    Args:
        site: Size of the deployment.
        policy: Settings of the run.
        seed: Seed of all draws.
        faults: Faulty upstreams.
        weights: Weights of members; 1 if absent.
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
        """Initializes the simulation; ``run`` creates the entries and agents."""
        self._site = site
        self._policy = policy
        self._faults = faults or Faults()
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, object]] = []
        self._event_numbers = itertools.count()
        self._now_s = 0.0
        self._state = LedgerState()
        self._last_index = 0
        self._entries: dict[str, EntryCore] = {}
        self._agents: dict[str, AgentCore] = {}
        self._last_sent_at_s: dict[tuple[str, str], float] = {}
        self._jobs_by_request: dict[int, TraceJob] = {}
        self._outcomes: dict[int, JobOutcome] = {}
        self._running: dict[tuple[str, int, int], str] = {}
        self._wake_times_s: dict[str, float] = {}
        self._home = "e0" if policy.has_home else ""
        self._trace_start_s = 0.0
        self._entries_with_early_tick: set[str] = set()
        self._deferred: dict[tuple[str, str], list] = {}
        self.messages: collections.Counter[str] = collections.Counter()
        self.starts: collections.Counter[str] = collections.Counter()
        self.starts_under_faults: collections.Counter[str] = collections.Counter()
        self._weights = weights or {}

    def run(self, trace: list[TraceJob]) -> RunResult:
        """Runs a trace until all jobs ended or 120 s after the last arrival."""
        self._build_fleet(trace)
        for job in trace:
            at_s = self._trace_start_s + job.arrival_s
            self._schedule(at_s, lambda job=job: self._submit(job))
            if job.cancel_at_s is not None:
                at_s = self._trace_start_s + job.cancel_at_s
                self._schedule(at_s, lambda job=job: self._cancel(job))
        end_s = self._trace_start_s + trace[-1].arrival_s + 120.0
        while self._events and self._now_s < end_s:
            if len(self._outcomes) == len(trace):
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
            outcomes=[
                self._outcomes[job.number]
                for job in trace
                if job.number in self._outcomes
            ],
            messages=dict(self.messages),
            wasted=dict(wasted),
            starts=dict(self.starts),
            unanswered=len(trace) - len(self._outcomes),
        )

    # Construction

    def _build_fleet(self, trace: list[TraceJob]) -> None:
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
            self._entries[f"e{number}"] = self._create_entry(number)
        timing = AgentTiming(
            result_hold_s=self._policy.result_hold_s, ahead_s=self._policy.ahead_s
        )
        for number in range(self._site.workers):
            self._agents[f"a{number}"] = AgentCore(timing=timing)
        for entry in self._entries:
            self._tick_entry(entry)
            for other in [*self._agents, *self._entries]:
                if other != entry:
                    self._connect(entry, other)
        for agent in self._agents:
            self._announce(agent, services)
        until_s = self._now_s + 0.5
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        self._trace_start_s = self._now_s
        self.messages.clear()

    def _create_entry(self, number: int) -> EntryCore:
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

    def _connect(self, a: str, b: str) -> None:
        for sender, receiver in ((a, b), (b, a)):
            role = "agent" if sender in self._agents else "entry"
            event = PeerUp(
                peer=sender, role=role, incarnation=1 + int(sender[1:]), restarted=True
            )
            self._core(receiver).on_link_event(event, self._now_s)
            self._process_effects(receiver)

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
        self._process_effects(agent)
        self._schedule(self._now_s + 1.0, lambda: self._announce(agent, services))

    # Event loop, effects and messages

    def _schedule(self, at_s: float, action: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _core(self, name: str) -> EntryCore | AgentCore:
        return self._entries.get(name) or self._agents[name]

    def _tick_entry(self, name: str) -> None:
        self._entries[name].tick(
            self._now_s,
            time_s=self._now_s,
            has_quorum_contact=True,
            dispatching_entry=self._home,
        )
        self._process_effects(name, tick_first=False)
        self._schedule(self._now_s + _TICK_INTERVAL_S, lambda: self._tick_entry(name))

    def _tick_early(self, name: str) -> None:
        self._entries_with_early_tick.discard(name)
        self._process_effects(name)

    def _wake_agent(self, name: str, due_s: float) -> None:
        if self._wake_times_s.get(name) != due_s:
            return
        del self._wake_times_s[name]
        self._agents[name].tick(self._now_s)
        self._process_effects(name)

    def _process_effects(self, name: str, *, tick_first: bool = True) -> None:
        core = self._core(name)
        if isinstance(core, EntryCore):
            if tick_first:
                core.tick(
                    self._now_s,
                    time_s=self._now_s,
                    has_quorum_contact=True,
                    dispatching_entry=self._home,
                )
            self._process_entry_effects(name, core)
            if (
                core.next_due_s < _TICK_INTERVAL_S
                and name not in self._entries_with_early_tick
            ):
                self._entries_with_early_tick.add(name)
                self._schedule(
                    self._now_s + core.next_due_s, lambda: self._tick_early(name)
                )
            return
        frames: dict[str, list] = {}
        for effect in core.take_effects():
            if isinstance(effect, AgentSend):
                frames.setdefault(effect.peer, []).append(effect.message)
            elif isinstance(effect, AgentStart):
                self._start_call(name, effect)
            else:
                self._stop_call(name, effect)
        self._send_frames(name, frames)
        due_s = self._now_s + max(_MIN_WAKE_DELAY_S, core.next_due_s(self._now_s))
        if due_s < self._wake_times_s.get(name, float("inf")) - 1e-9:
            self._wake_times_s[name] = due_s
            self._schedule(due_s, lambda: self._wake_agent(name, due_s))

    def _process_entry_effects(self, name: str, core: EntryCore) -> None:
        frames: dict[str, list] = {}
        for effect in core.take_effects():
            if isinstance(effect, Propose):
                delay_s = self._commit_delay_s(name)
                command = effect.command
                self._schedule(self._now_s + delay_s, lambda c=command: self._apply(c))
            elif isinstance(effect, Reply):
                self._on_reply(effect)
            elif isinstance(effect, DropUnacknowledged):
                continue
            else:
                is_usage = type(effect.message).__name__ == "UsageReport"
                if is_usage and not self._policy.exchanges_usage:
                    continue
                self._queue_message(name, effect, frames)
        self._send_frames(name, frames)

    def _queue_message(
        self, name: str, effect: object, frames: dict[str, list]
    ) -> None:
        """Adds a message to its frame, or defers it if it is not urgent.

        A deferred message is sent with the next frame to its receiver, at the latest
        after ``_DEFERRED_FLUSH_DELAY_S``.
        """
        if effect.is_urgent:
            frames.setdefault(effect.peer, []).append(effect.message)
            return
        deferred = self._deferred.setdefault((name, effect.peer), [])
        if not deferred:
            self._schedule(
                self._now_s + _DEFERRED_FLUSH_DELAY_S,
                lambda: self._flush_deferred(name, effect.peer),
            )
        deferred.append(effect.message)

    def _flush_deferred(self, sender: str, receiver: str) -> None:
        if self._deferred.get((sender, receiver)):
            self._send_frames(sender, {receiver: []})

    def _commit_delay_s(self, entry: str) -> float:
        """Returns how long a command takes from its proposal to its commit.

        The leader is at e0 and waits for the synced write of the nearest follower. A
        command of another entry also takes one link to the leader, and its commit one
        link back.
        """
        hops = 2 if entry == "e0" else 4
        return hops * self._site.link_delay_s + self._policy.sync_s

    def _send_frames(self, sender: str, frames: dict[str, list]) -> None:
        """Sends one frame to each receiver, with the messages deferred for it.

        Counts a frame as one message, of the kind of its first message, and adds the
        heartbeats that the link sent while it was idle.
        """
        for receiver, messages in frames.items():
            if receiver not in self._entries and receiver not in self._agents:
                continue
            pair = (sender, receiver)
            messages += self._deferred.pop(pair, [])
            idle_s = self._now_s - self._last_sent_at_s.get(pair, self._now_s)
            self.messages["heartbeat"] += int(idle_s / HEARTBEAT_INTERVAL_S)
            self._last_sent_at_s[pair] = self._now_s
            self.messages[type(messages[0]).__name__] += 1
            delay_s = self._link_delay_s(sender, receiver)
            self._schedule(
                self._now_s + delay_s,
                lambda p=pair, m=messages: self._deliver(p[0], p[1], m),
            )

    def _link_delay_s(self, a: str, b: str) -> float:
        site = self._site
        is_same_data_centre = (
            int(a[1:]) % site.data_centres == int(b[1:]) % site.data_centres
        )
        return 0.0002 if is_same_data_centre else site.link_delay_s

    def _deliver(self, sender: str, receiver: str, messages: list) -> None:
        core = self._core(receiver)
        for message in messages:
            event = MessageReceived(peer=sender, message=message)
            core.on_link_event(event, self._now_s)
        self._process_effects(receiver)

    def _apply(self, command: object) -> None:
        self._last_index += 1
        outcome = self._state.apply(self._last_index, command)
        applied = Applied(
            index=self._last_index, command=command, outcome=outcome, number=0
        )
        for name, core in self._entries.items():
            core.on_applied(applied, self._now_s)
            self._process_effects(name)

    # Upstreams

    def _start_call(self, agent: str, call: AgentStart) -> None:
        run_s, _ = msgspec.json.decode(call.payload)
        number = int(agent[1:])
        outcome = CallOutcome.ANSWERED
        self.starts[agent] += 1
        if self._now_s >= self._faults.from_s:
            self.starts_under_faults[agent] += 1
            run_s *= self._faults.slow.get(number, 1.0)
            if number in self._faults.failing:
                run_s, outcome = 0.001, CallOutcome.SERVER_ERROR
        key = (call.job, call.index, call.attempt)
        self._running[key] = agent
        started_s = self._now_s
        self._schedule(
            self._now_s + run_s,
            lambda: self._finish_call(agent, call, key, outcome, started_s),
        )

    def _stop_call(self, agent: str, effect: object) -> None:
        key = (effect.job, effect.index, effect.attempt)
        if self._running.pop(key, None) is not None:
            self._call_ended(agent, effect.job, effect.index, CallOutcome.STOPPED, 0.0)

    def _finish_call(
        self,
        agent: str,
        call: AgentStart,
        key: tuple,
        outcome: CallOutcome,
        started_s: float,
    ) -> None:
        if self._running.pop(key, None) is not None:
            run_s = self._now_s - started_s
            self._call_ended(agent, call.job, call.index, outcome, run_s)

    def _call_ended(
        self, agent: str, job: str, index: int, outcome: CallOutcome, run_s: float
    ) -> None:
        self._agents[agent].on_call_ended(
            upstream=f"u{agent[1:]}",
            job=job,
            index=index,
            end=outcome,
            run_s=run_s,
            body=b"0" if outcome is CallOutcome.ANSWERED else b"",
            now_s=self._now_s,
        )
        self._process_effects(agent)

    # Callers

    def _submit(self, job: TraceJob) -> None:
        entry = f"e{job.number % self._site.entries}"
        arrival_s = self._now_s + self._site.client_delay_s
        self._jobs_by_request[job.number] = job
        self._schedule(arrival_s, lambda: self._deliver_submission(entry, job))

    def _deliver_submission(self, entry: str, job: TraceJob) -> None:
        body = msgspec.json.encode(
            {
                "service": job.service,
                "tasks": [
                    [run_s, index] for index, run_s in enumerate(job.run_times_s)
                ],
                "repeatable": True,
                "deadline_s": job.deadline_s,
                "declared_run_s": job.declared_run_s,
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
        self._process_effects(entry)

    def _cancel(self, job: TraceJob) -> None:
        entry = f"e{job.number % self._site.entries}"
        self._entries[entry].cancel(
            ReplyTarget(peer="", request=-1),
            member=job.member,
            key=f"k{job.number}",
            now_s=self._now_s,
        )
        self._process_effects(entry)

    def _on_reply(self, reply: Reply) -> None:
        job = self._jobs_by_request.get(reply.request)
        if job is None or job.number in self._outcomes:
            return
        document = msgspec.json.decode(reply.answer.body)
        status = document.get("status")
        self._outcomes[job.number] = JobOutcome(
            job=job,
            status=status if isinstance(status, str) else f"refused {status}",
            reason=document.get("reason", document.get("title", "")),
            not_run=bool(document.get("not_run")),
            response_s=self._now_s
            + self._site.client_delay_s
            - (job.arrival_s + self._trace_start_s),
        )
