"""Simulation of entries and agents with fake ledger, links and upstreams, without I/O.

The fake ledger is one committed log that each entry applies at its own pace; an
isolated entry neither proposes nor applies. The oracle records every start and end of
a task at an upstream and every answer to a caller.
"""

import collections
import itertools
import math
import random

import msgspec
from hawthornbarrow.configuration import (
    Configuration,
    Member,
    Service,
    encode_configuration,
)
from hawthornbarrow.ledger import (
    Applied,
    ApplyConfiguration,
    ExpireEntry,
    LedgerState,
    job_id_of,
)
from hawthornbarrow.links import MessageReceived, PeerDown, PeerHeartbeat, PeerUp
from hawthornbarrow.upstreams import Announcement, CallOutcome
from hawthornbarrow_agent import AgentCore
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
from hawthornbarrow_entry.tests._oracle import Request, Run, ViolationError

SERVICE = "echo"
RUN_LIMIT_S = 8.0
ENTRY_EXPIRY_S = 1.2


class FleetEntry:
    """Core of an entry with its local state of the ledger."""

    def __init__(self, name, incarnation, seed, log):
        self.name = name
        self.incarnation = incarnation
        self.state = LedgerState()
        self.cursor = 0
        self.isolated_since = None
        self.pending_proposals = []
        self.core = EntryCore(
            identity=EntryIdentity(name=name, incarnation=incarnation, address=name),
            state=self.state,
            generator=random.Random(seed),
        )


class Fleet:
    """Simulated fleet with injectable faults and an oracle.

    The methods raise `ViolationError` when a task starts twice although its job is not
    repeatable, runs twice at once, or a caller gets a wrong or a second answer.
    """

    def __init__(self, entries=3, agents=2, seed=0, stops_on_disconnect=True, slots=2):
        self.now_s = 0.0
        self.random = random.Random(seed)
        self.log = []
        self.stops_on_disconnect = stops_on_disconnect
        # Name of the entry that dispatches all new jobs; empty if each one does.
        self.home = ""
        self.slots = slots
        self.numbers = itertools.count(1)
        self.entries = {}
        self.agents = {}
        self.agent_incarnations = {}
        self.confirmed = {}
        self.queues = collections.defaultdict(collections.deque)
        self.linked = set()
        self.cut = set()
        self.frozen = set()
        self.runs = []
        self.requests = {}
        self.jobs = {}
        self.log.append(self._configuration())
        for number in range(entries):
            self.start_entry(f"e{number}")
        for number in range(agents):
            self.start_agent(f"a{number}")
        self.quiesce(1.0)

    def _configuration(self):
        configuration = Configuration(
            members={"m": Member(token_hashes=[]), "n": Member(token_hashes=[])},
            services={SERVICE: Service(run_limit_s=RUN_LIMIT_S, deadline_s=60.0)},
        )
        return ApplyConfiguration(
            request="first",
            expect_version=0,
            document=encode_configuration(configuration),
            operator="o",
            time_s=0.0,
        )

    # Processes and links

    def start_entry(self, name):
        entry = FleetEntry(name, next(self.numbers), self.random.random(), self.log)
        self.entries[name] = entry

    def crash_entry(self, name):
        del self.entries[name]
        for request in self.requests.values():
            if request.entry == name and request.answer is None:
                request.lost = True
        self._drop_links(name)

    def start_agent(self, name):
        self.agents[name] = AgentCore()
        self.agent_incarnations[name] = next(self.numbers)

    def crash_agent(self, name):
        del self.agents[name]
        for run in self.runs:
            if run.agent == name and run.ends_s is None:
                end_s = (
                    self.now_s
                    if self.stops_on_disconnect
                    else run.started_s + RUN_LIMIT_S
                )
                run.ends_s = max(self.now_s, end_s)
        self._drop_links(name)

    def _drop_links(self, name):
        for pair in sorted(pair for pair in self.linked if name in pair):
            self._unlink(pair)
        for pair in [pair for pair in self.queues if name in pair]:
            del self.queues[pair]

    def _unlink(self, pair):
        self.linked.discard(pair)
        sender, receiver = pair
        self._deliver_event(receiver, PeerDown(peer=sender))

    def _connect(self):
        """Connects all entries to agents and other entries, except over cut links."""
        for entry in list(self.entries):
            for peer in [*self.agents, *self.entries]:
                if peer == entry or frozenset((entry, peer)) in self.cut:
                    continue
                for pair in ((entry, peer), (peer, entry)):
                    if pair not in self.linked:
                        self._link(pair)

    def _exchange_heartbeats(self):
        """Delivers a heartbeat on each link that is not frozen and has no queue.

        A heartbeat cannot overtake queued messages.
        """
        for pair in sorted(self.linked):
            sender, receiver = pair
            is_heard = not self.queues[pair] and pair not in self.frozen
            if (receiver, sender) in self.linked and is_heard:
                self.confirmed[pair] = self.now_s
                event = PeerHeartbeat(peer=sender, confirmed_at_s=self.now_s)
                self._deliver_event(receiver, event)

    def _link(self, pair):
        sender, receiver = pair
        incarnation = self.incarnation(sender)
        self.linked.add(pair)
        self.confirmed[pair] = self.now_s
        event = PeerUp(
            peer=sender,
            role="agent" if sender in self.agents else "entry",
            incarnation=incarnation,
            restarted=False,
        )
        self._deliver_event(receiver, event)

    def incarnation(self, name):
        if name in self.entries:
            return self.entries[name].incarnation
        return self.agent_incarnations[name]

    def cut_link(self, a, b):
        self.cut.add(frozenset((a, b)))
        for pair in ((a, b), (b, a)):
            if pair in self.linked:
                self._unlink(pair)

    def heal(self):
        self.cut.clear()
        self.frozen.clear()
        for entry in self.entries.values():
            entry.isolated_since = None

    def isolate(self, name):
        entry = self.entries[name]
        if entry.isolated_since is None:
            entry.isolated_since = self.now_s

    # Time and messages

    def _deliver_event(self, receiver, event):
        if receiver in self.entries:
            self.entries[receiver].core.on_link_event(event, self.now_s)
        elif receiver in self.agents:
            self.agents[receiver].on_link_event(event, self.now_s)
        self._apply_effects(receiver)

    def deliver(self, pick):
        ready = [
            pair
            for pair, queue in self.queues.items()
            if queue and pair in self.linked and pair not in self.frozen
        ]
        if not ready:
            return False
        sender, receiver = sorted(ready)[pick % len(ready)]
        message = self.queues[sender, receiver].popleft()
        confirmed_at_s = self.confirmed.get((sender, receiver), -math.inf)
        event = MessageReceived(
            peer=sender, message=message, confirmed_at_s=confirmed_at_s
        )
        self._deliver_event(receiver, event)
        return True

    def apply_one(self, pick):
        lagging = [
            e
            for e in self.entries.values()
            if e.isolated_since is None and e.cursor < len(self.log)
        ]
        if not lagging:
            return False
        entry = sorted(lagging, key=lambda e: e.name)[pick % len(lagging)]
        command = self.log[entry.cursor]
        entry.cursor += 1
        outcome = entry.state.apply(entry.cursor, command)
        applied = Applied(
            index=entry.cursor, command=command, outcome=outcome, number=0
        )
        entry.core.on_applied(applied, self.now_s)
        self._apply_effects(entry.name)
        return True

    def tick(self, dt_s):
        self.now_s += dt_s
        self._connect()
        self._exchange_heartbeats()
        for agent in list(self.agents):
            self.agents[agent].announce(self._announcement(agent), self.now_s)
            self.agents[agent].tick(self.now_s)
            self._apply_effects(agent)
        self._expire()
        for name, entry in list(self.entries.items()):
            if entry.isolated_since is None:
                self.log += entry.pending_proposals
                entry.pending_proposals = []
            entry.core.tick(
                self.now_s,
                time_s=self.now_s,
                has_quorum_contact=self._has_quorum_contact(entry),
                dispatching_entry=self.home,
            )
            self._apply_effects(name)

    def _has_quorum_contact(self, entry):
        since = entry.isolated_since
        return since is None or self.now_s - since < 1.0

    def _expire(self):
        """Expires crashed and isolated entries, as the ledger's leader does."""
        state = LedgerState()
        for index, command in enumerate(self.log):
            state.apply(index + 1, command)
        for record in state.entries.values():
            entry = self.entries.get(record.name)
            is_inactive = entry is None
            if entry is not None and entry.isolated_since is not None:
                is_inactive = self.now_s - entry.isolated_since > ENTRY_EXPIRY_S
            if is_inactive and record.is_alive:
                command = ExpireEntry(name=record.name, incarnation=record.incarnation)
                self.log.append(command)

    def _announcement(self, agent):
        return Announcement(
            name=f"u-{agent}",
            address="127.0.0.1:1",
            services=[SERVICE],
            slots=self.slots,
            connections=8,
            stops_on_disconnect=self.stops_on_disconnect,
        )

    def _apply_effects(self, name):
        if name in self.entries:
            entry = self.entries[name]
            for effect in entry.core.take_effects():
                if isinstance(effect, Propose):
                    if entry.isolated_since is None:
                        self.log.append(effect.command)
                    else:
                        entry.pending_proposals.append(effect.command)
                elif isinstance(effect, Reply):
                    self._on_reply(name, effect)
                elif isinstance(effect, DropUnacknowledged):
                    self.queues[name, effect.peer].clear()
                else:
                    self._enqueue(name, effect)
        elif name in self.agents:
            for effect in self.agents[name].take_effects():
                if isinstance(effect, AgentSend):
                    self._enqueue(name, effect)
                elif isinstance(effect, AgentStart):
                    self._start_run(name, effect)
                else:
                    self._stop_run(name, effect)

    def _enqueue(self, sender, effect):
        if effect.peer in self.entries or effect.peer in self.agents:
            self.queues[sender, effect.peer].append(effect.message)

    # Upstreams

    def _start_run(self, agent, call):
        run = Run(
            job=call.job,
            index=call.index,
            attempt=call.attempt,
            agent=agent,
            payload=call.payload,
            started_s=self.now_s,
        )
        previous_runs = [
            r for r in self.runs if (r.job, r.index) == (run.job, run.index)
        ]
        job = self.jobs[run.job]
        if previous_runs and not job["repeatable"]:
            raise ViolationError(f"task {run.index} of {job['key']} started twice")
        for other in previous_runs:
            if other.ends_s is None or other.ends_s > self.now_s:
                raise ViolationError(
                    f"task {run.index} of {job['key']} runs twice at once"
                )
        self.runs.append(run)

    def _stop_run(self, agent, effect):
        for run in self.active_runs():
            if (run.agent, run.job, run.index) == (agent, effect.job, effect.index):
                self.finish_run(run, CallOutcome.STOPPED)
                return

    def active_runs(self):
        return [run for run in self.runs if run.ends_s is None]

    def finish(self, pick, end=CallOutcome.ANSWERED):
        runs = self.active_runs()
        if runs:
            self.finish_run(runs[pick % len(runs)], end)

    def finish_run(self, run, end):
        run.ends_s = self.now_s
        if (
            end in (CallOutcome.TIMED_OUT, CallOutcome.RESET_AFTER_SENT)
            and not self.stops_on_disconnect
        ):
            run.ends_s = max(self.now_s, run.started_s + RUN_LIMIT_S)
        self.agents[run.agent].on_call_ended(
            upstream=f"u-{run.agent}",
            job=run.job,
            index=run.index,
            end=end,
            run_s=self.now_s - run.started_s,
            body=run.payload if end is CallOutcome.ANSWERED else b"",
            now_s=self.now_s,
        )
        self._apply_effects(run.agent)

    # Callers

    def body(self, key, tasks, repeatable):
        return msgspec.json.encode(
            {
                "service": SERVICE,
                "tasks": [f"{key}/{index}" for index in range(tasks)],
                "repeatable": repeatable,
            }
        )

    def submit(self, entry, key, tasks=3, repeatable=False, wait=True, member="m"):
        job_id = job_id_of(member, key)
        body = self.body(key, tasks, repeatable)
        self.jobs.setdefault(
            job_id,
            {"key": key, "repeatable": repeatable, "tasks": tasks, "not_run_at": None},
        )
        self.jobs[job_id]["not_run_at"] = None
        return self._send_request(
            entry,
            key,
            job_id,
            lambda core, target: core.submit(
                target,
                member=member,
                key=key,
                body=body,
                wait=wait,
                now_s=self.now_s,
                time_s=self.now_s,
            ),
        )

    def fetch(self, entry, key, member="m"):
        return self._send_request(
            entry,
            key,
            job_id_of(member, key),
            lambda core, target: core.fetch(
                target, member=member, key=key, now_s=self.now_s
            ),
        )

    def cancel(self, entry, key, member="m"):
        return self._send_request(
            entry,
            key,
            job_id_of(member, key),
            lambda core, target: core.cancel(
                target, member=member, key=key, now_s=self.now_s
            ),
        )

    def _send_request(self, entry, key, job_id, call):
        number = next(self.numbers)
        starts = sum(run.job == job_id for run in self.runs)
        self.requests[number] = Request(key=job_id, entry=entry, starts_before=starts)
        call(self.entries[entry].core, ReplyTarget(peer="", request=number))
        self._apply_effects(entry)
        return number

    def _on_reply(self, entry, reply):
        request = self.requests[reply.request]
        if request.answer is not None:
            raise ViolationError("a caller was answered twice")
        request.answer = reply.answer
        job = self.jobs.get(request.key)
        document = msgspec.json.decode(reply.answer.body)
        if job is None:
            return
        if reply.answer.status == 200 and document["status"] == "completed":
            expected = [f"{job['key']}/{index}" for index in range(job["tasks"])]
            if document["results"] != expected:
                raise ViolationError(
                    f"answer of {job['key']} has other results: {document}"
                )
        if document.get("not_run"):
            starts = sum(run.job == request.key for run in self.runs)
            if starts:
                raise ViolationError(f"{job['key']} ran but was answered as not run")
            job["not_run_at"] = len(self.runs)

    # Recovery and checks

    def quiesce(self, duration_s, finish=True):
        """Runs the fleet for a time without new faults."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.tick(0.05)
            for _ in range(5000):
                moved = self.apply_one(0) | self.deliver(0)
                if not moved:
                    break
            if finish:
                for run in self.active_runs():
                    self.finish_run(run, CallOutcome.ANSWERED)

    def recover(self, entries=3, agents=2):
        """Ends all faults, restarts processes and runs until every job is final."""
        self.heal()
        for number in range(entries):
            if f"e{number}" not in self.entries:
                self.start_entry(f"e{number}")
        for number in range(agents):
            if f"a{number}" not in self.agents:
                self.start_agent(f"a{number}")
        self.quiesce(RUN_LIMIT_S + 8.0)

    def check_all_answered(self):
        """Checks that each caller has its answer or gets it by resubmitting."""
        for number, request in self.requests.items():
            if request.answer is None and not request.lost:
                raise ViolationError(f"request {number} was never answered")
        for job_id, job in list(self.jobs.items()):
            number = self.submit("e0", job["key"], job["tasks"], job["repeatable"])
            self.quiesce(RUN_LIMIT_S + 8.0)
            answer = self.requests[number].answer
            if answer is None:
                raise ViolationError(f"{job['key']} has no answer: {job_id}")
            if answer.status in (503, 202, 422):
                raise ViolationError(f"{job['key']} got {answer.status}: {answer.body}")

    def check_not_run(self):
        """Checks that no job started after it was answered as not run."""
        for job_id, job in self.jobs.items():
            at = job["not_run_at"]
            if at is not None and any(run.job == job_id for run in self.runs[at:]):
                raise ViolationError(f"{job['key']} started after a not_run answer")
