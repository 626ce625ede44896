"""Stateful fuzzing of claims, ownership and dispatch against the oracle in Fleet."""

import hypothesis.strategies as st
from hawthornbarrow.upstreams import CallOutcome
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from hawthornbarrow_entry.tests._fleet import Fleet

_PICK = st.integers(0, 10_000)
_ENTRIES = 3
_AGENTS = 2


class FleetMachine(RuleBasedStateMachine):
    """Faults of entries, agents, links and upstreams in any order."""

    steps = 0

    @initialize(seed=st.integers(0, 2**32), stops=st.booleans())
    def begin(self, seed, stops):
        self.fleet = Fleet(_ENTRIES, _AGENTS, seed, stops)

    def entry(self, pick):
        names = sorted(self.fleet.entries)
        return names[pick % len(names)]

    def count(self):
        type(self).steps += 1

    @rule(pick=_PICK, key=st.integers(0, 3), wait=st.booleans())
    def submit(self, pick, key, wait):
        """Keys 0 and 1 are not repeatable, 2 and 3 are."""
        self.count()
        if self.fleet.entries:
            entry = self.entry(pick)
            self.fleet.submit(entry, f"k{key}", 4, repeatable=key > 1, wait=wait)

    @precondition(lambda self: self.fleet.entries)
    @rule(pick=_PICK, key=st.integers(0, 3))
    def cancel(self, pick, key):
        self.count()
        if pick % 4 == 0:
            self.fleet.cancel(self.entry(pick), f"k{key}")

    @rule(pick=_PICK, count=st.integers(1, 10))
    def deliver(self, pick, count):
        self.count()
        for _ in range(count):
            self.fleet.deliver(pick)

    @rule(pick=_PICK, count=st.integers(1, 5))
    def apply(self, pick, count):
        self.count()
        for _ in range(count):
            self.fleet.apply_one(pick)

    @rule(dt_ms=st.sampled_from([10, 50, 300, 1300, 5200]))
    def tick(self, dt_ms):
        self.count()
        self.fleet.tick(dt_ms / 1000)

    @rule(duration_ms=st.integers(100, 1500), finish=st.booleans())
    def run_without_faults(self, duration_ms, finish):
        self.count()
        self.fleet.quiesce(duration_ms / 1000, finish)

    @rule(pick=_PICK, end=st.sampled_from(list(CallOutcome)))
    def finish(self, pick, end):
        self.count()
        if end not in (
            CallOutcome.REFUSED,
            CallOutcome.RESET_BEFORE_SENT,
            CallOutcome.DECLINED,
        ):
            self.fleet.finish(pick, end)

    @precondition(lambda self: len(self.fleet.entries) > 1)
    @rule(pick=_PICK)
    def crash_entry(self, pick):
        self.count()
        self.fleet.crash_entry(self.entry(pick))

    @rule(number=st.integers(0, _ENTRIES - 1))
    def start_entry(self, number):
        self.count()
        if f"e{number}" not in self.fleet.entries:
            self.fleet.start_entry(f"e{number}")

    @precondition(lambda self: self.fleet.agents)
    @rule(pick=_PICK, restart=st.booleans())
    def crash_agent(self, pick, restart):
        self.count()
        name = sorted(self.fleet.agents)[pick % len(self.fleet.agents)]
        self.fleet.crash_agent(name)
        if restart:
            self.fleet.start_agent(name)

    @rule(number=st.integers(0, _AGENTS - 1))
    def start_agent(self, number):
        self.count()
        if f"a{number}" not in self.fleet.agents:
            self.fleet.start_agent(f"a{number}")

    @rule(entry=st.integers(0, _ENTRIES - 1), agent=st.integers(0, _AGENTS - 1))
    def cut_link(self, entry, agent):
        self.count()
        self.fleet.cut_link(f"e{entry}", f"a{agent}")

    @rule(entry=st.integers(0, _ENTRIES - 1), agent=st.integers(0, _AGENTS - 1))
    def freeze_link(self, entry, agent):
        """Holds what an entry sends to an agent, as a full buffer would."""
        self.count()
        self.fleet.frozen.add((f"e{entry}", f"a{agent}"))

    @rule()
    def thaw_links(self):
        self.count()
        self.fleet.frozen.clear()

    @precondition(lambda self: self.fleet.entries)
    @rule(pick=_PICK)
    def isolate(self, pick):
        self.count()
        self.fleet.isolate(self.entry(pick))

    @rule(home=st.sampled_from(["", "e0", "e1", "e2"]))
    def change_home(self, home):
        self.count()
        self.fleet.home = home

    @rule()
    def heal(self):
        self.count()
        self.fleet.heal()

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.fleet.recover(_ENTRIES, _AGENTS)
        self.fleet.check_not_run()
        self.fleet.check_all_answered()
