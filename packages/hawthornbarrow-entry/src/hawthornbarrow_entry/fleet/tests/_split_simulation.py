"""Simulation of a deployment whose links are cut, in virtual time.

The dispatcher roles and caller jobs of the entries, and the agents, are real. The
ledger is simulated by its guarantees: one leader at a time, which is linked to a
majority of the voters or loses its lease. Callers submit a job again, at another entry,
after an unknown outcome or a broken connection.

The invariants: no task runs twice at the same time, and no job is run of which each
submission was refused.
"""

import collections
import math
import random
import types
import typing
from unittest import mock

from hawthornbarrow.cells import (
    ClaimAgents,
    Directory,
    DispatcherHeartbeat,
    EvacuationView,
    FleetMember,
    JobAnswer,
    LoadFeature,
    StartTasks,
    StopTasks,
    Superseded,
    rank_standbys,
)
from hawthornbarrow.cells.tests._cell_simulation import (
    TIMING,
    CellSimulation,
    ViolationError,
    make_job,
    make_table,
)
from hawthornbarrow.ledger import (
    AgentRecord,
    EvacuationRecord,
    RegisterAgent,
    RetireAgent,
)

from hawthornbarrow_entry.fleet import _dispatcher_role
from hawthornbarrow_entry.fleet._caller_jobs import CallerJobs
from hawthornbarrow_entry.fleet._caller_outcome import OutcomeKind, Waiter
from hawthornbarrow_entry.fleet._dispatcher_role import DispatcherRole
from hawthornbarrow_entry.fleet._membership import Membership
from hawthornbarrow_entry.fleet._settings import FleetEntrySettings

FEATURES = frozenset({LoadFeature.GAP_WAITING})
VOTERS = ("e0", "e1", "e2")
LEADER_LEASE_S = 0.36
ELECTION_S = 0.5
LINK_SILENCE_S = 1.5
LINK_DELAYS_S = (0.002, 0.005, 0.02)
ENTRY_TICK_S = 0.05
MAINTENANCE_S = 0.5
KEEPALIVE_S = 0.2
KEEPALIVE_OFFSET_S = 0.03
RESEND_S = 1.3
ARRIVAL_INTERVAL_S = 0.06
OBJECTIVE_S = 2.0
CALLER_TIMEOUT_S = 6.0
CALLER_LIMIT_S = 9.0
MAX_RUN_S = 2.5


def _run(coroutine):
    """Runs a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits")


class _Frame(typing.NamedTuple):
    """A frame on a link, with the newest frame of its receiver that was heard."""

    at_s: float
    message: object
    sent_at_s: float
    heard_at_s: float


class _Port:
    """Links of one entry."""

    def __init__(self, simulation, name):
        self._simulation = simulation
        self._name = name

    def peers_up(self, role):
        is_agent = role == "agent"
        return [
            peer
            for peer in self._simulation.peers_up(self._name)
            if (peer in self._simulation.agents) == is_agent
        ]

    def peer_sent_at_s(self, peer):
        return self._simulation.heard_at_s.get((self._name, peer), -math.inf)


class _Ledger:
    """Replica of one voter."""

    def __init__(self, simulation, name):
        self._simulation = simulation
        self._name = name

    @property
    def term(self):
        return self._simulation.ledger_term

    @property
    def state(self):
        return self._simulation.ledger_state

    def leads(self, now_s):
        simulation = self._simulation
        is_leader = simulation.leader == self._name
        return is_leader and now_s - simulation.confirmed_at_s < LEADER_LEASE_S

    def is_caught_up(self):
        return True

    async def propose(self, command):
        return self._simulation.commit(command)

    async def propose_in_term(self, command, term):
        if term == self._simulation.ledger_term:
            self._simulation.commit(command)


class _Entry:
    """One process of an entry."""

    def __init__(self, simulation, name, process):
        self.name = name
        self.process = process
        self.simulation = simulation
        self.mailbox = []
        ledger = _Ledger(simulation, name) if name in VOTERS else None
        settings = FleetEntrySettings(
            name=name,
            address=name,
            data_centre="d",
            data_dir=None,
            is_first_start=False,
            seeds=(),
            tolerated_losses=1,
            timing=TIMING,
            cluster_key=b"",
            features=FEATURES,
            resend_s=RESEND_S,
        )
        self.role = DispatcherRole(
            settings=settings,
            replica=types.SimpleNamespace(ledger=ledger),
            port=_Port(simulation, name),
            send=self.send,
            evacuation=EvacuationView(),
            now_s=simulation.now_s,
        )
        self.caller_jobs = CallerJobs(features=FEATURES)
        self.member = FleetMember(
            name=name,
            address=name,
            data_centre="d",
            replica=name if ledger else "",
            releases_jobs=True,
        )
        self.membership = Membership(own=self.member, now_s=simulation.now_s)

    async def send(self, receiver, message):
        if receiver == self.name:
            self.mailbox.append((self.name, message, math.inf))
        elif receiver:
            self.simulation.send(self.name, receiver, message, self.simulation.now_s)

    def step(self, now_s):
        mailbox, self.mailbox = self.mailbox, []
        for peer, message, confirmed_at_s in mailbox:
            self.receive(peer, message, confirmed_at_s, now_s)
        _run(self.role.tick(now_s, self.simulation.table, self.membership))
        if self.role.is_dispatcher_silent(now_s):
            _run(self.role.claim_agents(self.rank(), now_s))
        self.caller_jobs.tick(now_s)
        self.flush()

    def rank(self):
        linked = self.simulation.peers_up(self.name)
        members = [
            entry.member
            for entry in self.simulation.entries.values()
            if entry is self or entry.name in linked
        ]
        return [member.name for member in rank_standbys(members)].index(self.name)

    def flush(self):
        for receiver, message in self.caller_jobs.take_messages():
            _run(self.send(receiver, message))
        for waiter in self.caller_jobs.take_finished():
            self.simulation.on_outcome(waiter)

    def receive(self, peer, message, confirmed_at_s, now_s):
        is_entry = peer in self.simulation.entries
        self.role.on_frame(peer, confirmed_at_s, now_s)
        if is_entry and peer != self.name:
            self.role.on_entry_frame(peer, confirmed_at_s, now_s)
        if isinstance(message, DispatcherHeartbeat):
            self.role.on_heartbeat(peer, message, now_s)
            self.caller_jobs.on_heartbeat(peer, message, now_s)
            if message.term < self.caller_jobs.term:
                _run(self.send(peer, Superseded(term=self.caller_jobs.term)))
            elif peer != self.name:
                self.simulation.send(self.name, peer, None, now_s)
        elif isinstance(message, JobAnswer):
            self.caller_jobs.on_answer(message, now_s)
        elif message is not None:
            _run(self.role.on_message(peer, message, now_s))
        self.flush()


class SplitSimulation(CellSimulation):
    """Entries, three of them voters, and agents with simulated upstreams."""

    def __init__(self, *, seed, agents=7, entries=5):
        self.entries = {}
        self.links = collections.defaultdict(collections.deque)
        # A generator a link, as the order of the messages of different links may vary.
        self.link_seed = seed
        self.link_generators = {}
        self.last_sent_s = {}
        self.heard_at_s = {}
        self.cuts = []
        self.open_at_s = {}
        self.linked = set()
        self.down_until_s = {}
        self.leader = ""
        self.confirmed_at_s = -math.inf
        self.proposal_count = 0
        self.table = make_table(max_attempts=6, objective_s=OBJECTIVE_S)
        self.ledger_state = types.SimpleNamespace(
            agents={},
            put=types.SimpleNamespace(version=1, document=b""),
            evacuation=EvacuationRecord(),
        )
        self.inboxes = collections.defaultdict(list)
        self.callers = {}
        self.waiters = {}
        self.resubmissions = []
        self.submitted_at_s = {}
        self.first_entries = {}
        self.outcomes = collections.defaultdict(list)
        self.arrives_at_s = math.inf
        super().__init__(seed=seed, agents=agents)
        for upstream in self.upstreams.values():
            upstream.max_run_s = MAX_RUN_S
        for index in range(entries):
            self.entries[f"e{index}"] = _Entry(self, f"e{index}", 1)
        # The process that serves as the dispatcher is found by the agents themselves.
        self.dispatcher_entry = ""

    def take_over(self):
        """Leaves the choice of a dispatcher to the entries."""

    # Links

    def cut(self, first, second, for_s):
        """Cuts two groups of processes off from each other."""
        pairs = {frozenset((a, b)) for a in first for b in second if a != b}
        self.cuts.append((self.now_s + for_s, pairs))

    def is_open(self, first, second):
        if first in self.down_until_s or second in self.down_until_s:
            return False
        pair = frozenset((first, second))
        return not any(pair in pairs for _, pairs in self.cuts)

    def peers_up(self, name):
        return [
            peer
            for peer in [*self.entries, *self.agents]
            if peer != name and frozenset((name, peer)) in self.linked
        ]

    def send(self, source, target, message, sent_s, relay=""):
        if not target:
            return
        generator = self.link_generators.get((source, target))
        if generator is None:
            generator = random.Random(f"{self.link_seed} {source} {target}")
            self.link_generators[source, target] = generator
        at_s = self.now_s + generator.choice(LINK_DELAYS_S)
        at_s = max(at_s, self.last_sent_s.get((source, target), 0.0))
        self.last_sent_s[source, target] = at_s
        heard_at_s = self.heard_at_s.get((source, target), -math.inf)
        frame = _Frame(at_s, message, self.now_s, heard_at_s)
        self.links[source, target].append(frame)

    def deliver(self):
        for source, target in sorted(self.links):
            frames = self.links[source, target]
            if not frames or not self.is_open(source, target):
                continue
            while frames and frames[0].at_s <= self.now_s:
                frame = frames.popleft()
                self.heard_at_s[target, source] = frame.sent_at_s
                self.receive(source, target, frame)

    def receive(self, source, target, frame):
        if target in self.entries:
            entry = self.entries[target]
            entry.mailbox.append((source, frame.message, frame.heard_at_s))
            return
        self.inboxes[target].append((source, frame.message))

    def step_agent(self, name):
        inbox, self.inboxes[name] = self.inboxes[name], []
        for source, message in inbox:
            self.receive_at_agent(name, source, message)
        super().step_agent(name)

    def receive_at_agent(self, target, source, message):
        agent = self.agents[target]
        match message:
            case DispatcherHeartbeat() as heartbeat:
                agent.on_heartbeat(source, heartbeat, self.now_s)
                self.send_agent_messages(target)
                self.send(target, source, None, self.now_s)
            case StartTasks() | StopTasks() as orders:
                agent.on_orders(orders, self.now_s)
            case ClaimAgents() as claim:
                agent.on_claim(source, claim, self.now_s)

    def send_keepalives(self):
        """Sends a frame on each link, which tells only what has arrived."""
        for pair in self.linked:
            first, second = sorted(pair)
            self.send(first, second, None, self.now_s)
            self.send(second, first, None, self.now_s)

    def send_agent_messages(self, name):
        for receiver, message in self.agents[name].take_messages():
            self.send(name, receiver, message, self.now_s)

    def update_links(self):
        self.cuts = [cut for cut in self.cuts if cut[0] > self.now_s]
        for name, until_s in list(self.down_until_s.items()):
            if self.now_s >= until_s:
                del self.down_until_s[name]
        names = [*self.entries, *self.agents]
        for index, first in enumerate(names):
            for second in names[index + 1 :]:
                if first in self.entries:
                    self.update_link(first, second)

    def update_link(self, first, second):
        pair = frozenset((first, second))
        if self.is_open(first, second):
            self.open_at_s[pair] = self.now_s
            if pair not in self.linked:
                self.linked.add(pair)
                self.on_link(first, second, is_up=True)
                self.on_link(second, first, is_up=True)
            return
        is_killed = first in self.down_until_s or second in self.down_until_s
        silent_s = self.now_s - self.open_at_s.get(pair, -math.inf)
        if pair in self.linked and (is_killed or silent_s > LINK_SILENCE_S):
            self.linked.discard(pair)
            self.on_link(first, second, is_up=False)
            self.on_link(second, first, is_up=False)

    def on_link(self, name, peer, *, is_up):
        if name in self.agents:
            if not is_up:
                self.agents[name].on_link_down(peer)
            return
        entry, is_entry = self.entries[name], peer in self.entries
        if is_up:
            process = self.entries[peer].process if is_entry else 1
            entry.role.on_peer_up(peer, is_restarted=False, process=process)
        else:
            entry.caller_jobs.on_link_down(peer)
        if is_entry:
            entry.membership.on_link_change(peer, is_up, self.now_s)
            if is_up:
                directory = Directory(members=[self.entries[peer].member])
                entry.membership.on_directory(peer, directory, self.now_s)
                entry.role.on_entry_up(peer, is_restarted=False, now_s=self.now_s)
            else:
                entry.role.on_entry_down(peer, self.now_s)

    def kill_entry(self, name, down_s):
        """Kills an entry, which starts again; its callers' connections break."""
        former = self.entries[name]
        self.down_until_s[name] = self.now_s + down_s
        for pair in [pair for pair in self.links if name in pair]:
            self.links[pair].clear()
        self.entries[name] = _Entry(self, name, former.process + 1)
        for waiter, (job, entry) in list(self.waiters.items()):
            if entry == name:
                del self.waiters[waiter]
                self.on_end(job, "broken")

    # The ledger

    def commit(self, command):
        """Commits a command on agents; returns the number of its proposal."""
        self.proposal_count += 1
        if not isinstance(command, RegisterAgent | RetireAgent):
            return self.proposal_count
        agents = self.ledger_state.agents
        if isinstance(command, RetireAgent):
            agents.pop(command.name, None)
        else:
            agents[command.name] = AgentRecord(
                name=command.name,
                incarnation=command.incarnation,
                first_index=1,
                index=1,
                worker=command.worker,
            )
        return self.proposal_count

    def update_leader(self):
        if self.leader and self.has_majority(self.leader):
            self.confirmed_at_s = self.now_s
        elif self.now_s - self.confirmed_at_s > ELECTION_S:
            candidates = [name for name in VOTERS if self.has_majority(name)]
            self.leader = self.generator.choice(candidates) if candidates else ""
            if self.leader:
                self.ledger_term += 1
                self.confirmed_at_s = self.now_s

    def has_majority(self, name):
        if name in self.down_until_s:
            return False
        reached = [voter for voter in VOTERS if self.is_open(name, voter)]
        return 2 * len(reached) > len(VOTERS)

    # Callers

    def arrive(self):
        """Submits a new job at one of the entries."""
        job = f"j{len(self.callers)}"
        count = self.generator.choice([1, 2, 3])
        self.callers[job] = make_job(job, count=count, cpu=1000, run_s=1.2)
        self.submitted_at_s[job] = self.now_s
        self.submit_at_entry(job)

    def submit_at_entry(self, job):
        names = [name for name in self.entries if name not in self.down_until_s]
        entry = self.entries[self.generator.choice(names)]
        caller_jobs = entry.caller_jobs
        self.first_entries.setdefault(job, entry.name)
        if not caller_jobs.is_informed(self.now_s):
            self.on_end(job, OutcomeKind.REFUSED)
            return
        left_at_s = math.inf
        if self.generator.random() < 0.1:
            left_at_s = self.now_s + self.generator.uniform(0.0, 3.0)
        waiter = Waiter(
            give_up_at_s=self.now_s + CALLER_TIMEOUT_S,
            is_abandoned=lambda: self.now_s >= left_at_s,
        )
        outcome = caller_jobs.submit(
            self.callers[job],
            waiter,
            self.now_s,
            received_at_s=self.now_s,
            objective_s=OBJECTIVE_S,
        )
        if outcome is not None:
            self.on_end(job, outcome.kind)
            return
        self.waiters[waiter] = (job, entry.name)
        entry.flush()

    def on_outcome(self, waiter):
        job, _ = self.waiters.pop(waiter, ("", ""))
        if job:
            is_left = waiter.is_abandoned()
            self.on_end(job, "broken" if is_left else waiter.outcome.kind)

    def on_end(self, job, outcome):
        self.outcomes[job].append(outcome)
        is_final = outcome in (OutcomeKind.COMPLETE, OutcomeKind.REFUSED)
        age_s = self.now_s - self.submitted_at_s[job]
        if not is_final and age_s < CALLER_LIMIT_S:
            delay_s = RESEND_S + self.generator.choice([0.0, 0.1, 0.5])
            self.resubmissions.append((self.now_s + delay_s, job))

    def check_refusals(self):
        """Checks that no refused job was run."""
        for job, outcomes in self.outcomes.items():
            is_refused = all(outcome is OutcomeKind.REFUSED for outcome in outcomes)
            if not outcomes or not is_refused:
                continue
            for task in self.starts:
                if task.startswith(f"{job}."):
                    raise ViolationError(f"{task} was started, but refused")

    def served_share(self, from_s, until_s, entries=None):
        """Returns the share completed of the jobs submitted at entries in a time."""
        jobs = [
            job
            for job, at_s in self.submitted_at_s.items()
            if from_s <= at_s < until_s
            and self.first_entries[job] in (entries or self.entries)
        ]
        completed = [job for job in jobs if OutcomeKind.COMPLETE in self.outcomes[job]]
        return len(completed) / max(1, len(jobs))

    # Time

    def step(self):
        with mock.patch.object(_dispatcher_role, "steady_s", lambda: self.now_s):
            self.update_links()
            self.update_leader()
            super().step()

    def step_dispatcher(self):
        is_due = round(self.now_s * 100) % round(ENTRY_TICK_S * 100) == 0
        if is_due:
            for entry in self.entries.values():
                if entry.name not in self.down_until_s:
                    entry.step(self.now_s)
        # Between two ticks, so that a frame confirms messages not yet processed.
        if (
            round((self.now_s - KEEPALIVE_OFFSET_S) * 100) % round(KEEPALIVE_S * 100)
            == 0
        ):
            self.send_keepalives()
        if round(self.now_s * 100) % round(MAINTENANCE_S * 100) == 0:
            for entry in self.entries.values():
                entry.role.observe_membership(entry.membership)
                _run(entry.role.retire_agents(self.now_s))
        if self.now_s >= self.arrives_at_s:
            self.arrives_at_s = self.now_s + ARRIVAL_INTERVAL_S
            self.arrive()
        due = [item for item in self.resubmissions if item[0] <= self.now_s]
        self.resubmissions = [
            item for item in self.resubmissions if item[0] > self.now_s
        ]
        for _, job in due:
            self.submit_at_entry(job)
