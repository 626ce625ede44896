"""Seeded series of overlapping faults."""

import collections.abc
import pathlib
import random
import signal

import curio

from tools.soak._deployment import LINK_PORT, Node
from tools.soak._executor import Executor
from tools.soak._proxy import Mode, Proxy


class Faults:
    """Injects faults from outside the programs.

    Args:
        entries: Entries, those with disks first.
        agents: Agents.
        proxies: Proxy in front of each entry's links, by name.
        executors: Executors by the name of their VM.
        generator: Source of choices.
        core_generator: Source of the times at which all disks are away.
        note: Takes a line for each fault.
    """

    def __init__(
        self,
        *,
        entries: list[Node],
        agents: list[Node],
        proxies: dict[str, Proxy],
        executors: dict[str, Executor],
        generator: random.Random,
        core_generator: random.Random,
        note: collections.abc.Callable[[str], None],
    ) -> None:
        """Starts without faults."""
        self._entries = entries
        self._agents = agents
        self._proxies = proxies
        self._executors = executors
        self._generator = generator
        self._core_generator = core_generator
        self._note = note
        self._wiped = False

    @property
    def seeds(self) -> list[str]:
        """Addresses of the entries with disks, as others reach them."""
        return [entry.proxied for entry in self._entries if entry.has_disk]

    async def run(self, until: curio.Event) -> None:
        """Plays four overlapping series until the event, then heals all."""
        async with curio.TaskGroup() as group:
            for _ in range(3):
                await group.spawn(self._series, until)
            await group.spawn(self._core_series, until)
        await self.heal()

    async def heal(self) -> None:
        """Ends all faults and restarts what is down."""
        for proxy in self._proxies.values():
            proxy.mode = Mode.PASS
        for executor in self._executors.values():
            executor.late_share = 0.0
            executor.fails = False
        for node in self._entries + self._agents:
            node.send(signal.SIGCONT)
            if not node.is_running:
                node.start(self.seeds, is_first=False)

    async def _series(self, until: curio.Event) -> None:
        plays = (
            self._kill,
            self._terminate,
            self._pause,
            self._disturb_links,
            self._reset_links,
            self._crash_executor,
            self._trouble_executor,
            self._hang_up,
            self._wipe,
        )
        while not until.is_set():
            await self._generator.choice(plays)()
            await curio.sleep(self._generator.uniform(0.1, 1.5))

    async def _core_series(self, until: curio.Event) -> None:
        """Takes all entries with disks away at once, and lets them come back."""
        while not until.is_set():
            await curio.sleep(self._core_generator.uniform(1.0, 5.0))
            self._note("all disks away")
            core = [entry for entry in self._entries if entry.has_disk]
            for node in core:
                node.kill()
            await curio.sleep(self._core_generator.uniform(1.0, 4.0))
            for node in core:
                if not node.is_running:
                    node.start(self.seeds, is_first=False)
            await curio.sleep(self._core_generator.uniform(4.0, 8.0))

    def _any_node(self) -> Node:
        return self._generator.choice(self._entries + self._agents)

    async def _wait(self, longest_s: float) -> None:
        await curio.sleep(self._generator.uniform(0.1, longest_s))

    async def _kill(self) -> None:
        node = self._any_node()
        self._note(f"kill {node.name}")
        node.kill()
        await self._wait(2.0)
        if not node.is_running:
            node.start(self.seeds, is_first=False)

    async def _terminate(self) -> None:
        node = self._any_node()
        self._note(f"terminate {node.name}")
        node.send(signal.SIGTERM)
        for _ in range(65):
            await curio.sleep(0.1)
            if not node.is_running:
                break
        else:
            node.kill()
        if not node.is_running:
            node.start(self.seeds, is_first=False)

    async def _pause(self) -> None:
        node = self._any_node()
        self._note(f"pause {node.name}")
        node.send(signal.SIGSTOP)
        await self._wait(4.0)
        node.send(signal.SIGCONT)

    async def _disturb_links(self) -> None:
        name, proxy = self._generator.choice(list(self._proxies.items()))
        proxy.mode = self._generator.choice(list(Mode))
        self._note(f"links of {name}: {proxy.mode.value}")
        await self._wait(4.0)
        proxy.mode = Mode.PASS

    async def _reset_links(self) -> None:
        name, proxy = self._generator.choice(list(self._proxies.items()))
        self._note(f"links of {name}: reset")
        proxy.reset()

    async def _crash_executor(self) -> None:
        name, executor = self._generator.choice(list(self._executors.items()))
        self._note(f"executor {name} crashes")
        executor.crash()

    async def _trouble_executor(self) -> None:
        name, executor = self._generator.choice(list(self._executors.items()))
        if self._generator.random() < 0.5:
            self._note(f"executor {name} carries orders out late")
            executor.late_share = 0.3
        else:
            self._note(f"executor {name} fails all")
            executor.fails = True
        await self._wait(3.0)
        executor.late_share = 0.0
        executor.fails = False

    async def _hang_up(self) -> None:
        node = self._any_node()
        self._note(f"settings of {node.name} change")
        node.send(signal.SIGHUP)

    async def _wipe(self) -> None:
        """Empties one disk a run, as one may be lost at once."""
        if self._wiped:
            return
        self._wiped = True
        node = self._generator.choice([e for e in self._entries if e.has_disk])
        self._note(f"wipe {node.name}")
        node.kill()
        node.wipe()
        await self._wait(1.0)
        if not node.is_running:
            node.start(self.seeds, is_first=False)


def proxy_of(entry: Node) -> Proxy:
    """Returns a proxy in front of an entry's links."""
    return Proxy(listen=(entry.proxied, LINK_PORT), target=(entry.bound, LINK_PORT))


def make_folder(root: pathlib.Path, seed: int) -> pathlib.Path:
    """Returns the folder of a run's logs and data."""
    folder = root / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    return folder
