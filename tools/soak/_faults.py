"""Injects seeded series of overlapping faults."""

import collections.abc
import pathlib
import random
import shutil
import signal

import curio

from tools.soak._deployment import LINK_PORT, Node
from tools.soak._executor import CAPACITY_MILLICORES, Executor
from tools.soak._proxy import Mode, Proxy

_TOTAL_OUTAGE_SHARE = 0.4  # of the outages


class FaultInjector:
    """Injects faults through processes, links, executors and disks.

    Args:
        entries: Entries, those with disks first.
        agents: Agents.
        proxies: Proxy in front of each entry's links, by the name of the entry.
        executors: Executors by the name of their VM.
        generator: Source of random choices.
        outage_generator: Source of the times of outages of all entries with disks.
        log_fault: Called with one line of text for each fault.
    """

    def __init__(
        self,
        *,
        entries: list[Node],
        agents: list[Node],
        proxies: dict[str, Proxy],
        executors: dict[str, Executor],
        generator: random.Random,
        outage_generator: random.Random,
        log_fault: collections.abc.Callable[[str], None],
    ) -> None:
        """Initializes the injector without active faults."""
        self._entries = entries
        self._agents = agents
        self._proxies = proxies
        self._executors = executors
        self._generator = generator
        self._outage_generator = outage_generator
        self._log_fault = log_fault
        self._is_disk_wiped = False

    @property
    def seeds(self) -> list[str]:
        """Proxy addresses of the entries with disks."""
        return [entry.proxy_address for entry in self._entries if entry.has_disk]

    async def run(self, stop_event: curio.Event) -> None:
        """Runs four overlapping fault series until the event, then ends all faults."""
        async with curio.TaskGroup() as group:
            for _ in range(3):
                await group.spawn(self._run_fault_series, stop_event)
            await group.spawn(self._run_outage_series, stop_event)
        await self.restore()

    async def restore(self) -> None:
        """Ends all faults and restarts the processes that are down."""
        for proxy in self._proxies.values():
            proxy.mode = Mode.PASS
        for executor in self._executors.values():
            executor.delayed_order_share = 0.0
            executor.fails_runs = False
            executor.set_capacity(CAPACITY_MILLICORES)
        for node in self._entries + self._agents:
            node.send_signal(signal.SIGCONT)
            if not node.is_running:
                node.start(self.seeds, is_bootstrap=False)

    def restart_all(self) -> None:
        """Kills all processes at once and starts them again."""
        self._log_fault("kill all processes")
        for node in self._entries + self._agents:
            node.kill()
        for node in self._entries + self._agents:
            node.start(self.seeds, is_bootstrap=False)

    async def _run_fault_series(self, stop_event: curio.Event) -> None:
        faults = (
            self._kill,
            self._terminate,
            self._suspend,
            self._impair_links,
            self._reset_links,
            self._crash_executor,
            self._change_capacity,
            self._degrade_executor,
            self._reload_settings,
            self._wipe_disk,
        )
        while not stop_event.is_set():
            await self._generator.choice(faults)()
            await curio.sleep(self._generator.uniform(0.1, 1.5))

    async def _run_outage_series(self, stop_event: curio.Event) -> None:
        """Repeatedly kills all entries with disks, or all processes, and restarts them.

        Executors go on running.
        """
        while not stop_event.is_set():
            await curio.sleep(self._outage_generator.uniform(1.0, 5.0))
            nodes = [entry for entry in self._entries if entry.has_disk]
            down_s = self._outage_generator.uniform(1.0, 4.0)
            if self._outage_generator.random() < _TOTAL_OUTAGE_SHARE:
                nodes = self._entries + self._agents
                down_s = self._outage_generator.uniform(0.1, 1.0)
            self._log_fault("kill " + " ".join(node.name for node in nodes))
            for node in nodes:
                node.kill()
            await curio.sleep(down_s)
            for node in nodes:
                if not node.is_running:
                    node.start(self.seeds, is_bootstrap=False)
            await curio.sleep(self._outage_generator.uniform(4.0, 8.0))

    def _choose_node(self) -> Node:
        return self._generator.choice(self._entries + self._agents)

    async def _sleep_up_to(self, max_s: float) -> None:
        await curio.sleep(self._generator.uniform(0.1, max_s))

    async def _kill(self) -> None:
        node = self._choose_node()
        self._log_fault(f"kill {node.name}")
        node.kill()
        await self._sleep_up_to(2.0)
        if not node.is_running:
            node.start(self.seeds, is_bootstrap=False)

    async def _terminate(self) -> None:
        node = self._choose_node()
        self._log_fault(f"terminate {node.name}")
        node.send_signal(signal.SIGTERM)
        for _ in range(65):
            await curio.sleep(0.1)
            if not node.is_running:
                break
        else:
            node.kill()
        if not node.is_running:
            node.start(self.seeds, is_bootstrap=False)

    async def _suspend(self) -> None:
        node = self._choose_node()
        self._log_fault(f"pause {node.name}")
        node.send_signal(signal.SIGSTOP)
        await self._sleep_up_to(4.0)
        node.send_signal(signal.SIGCONT)

    async def _impair_links(self) -> None:
        name, proxy = self._generator.choice(list(self._proxies.items()))
        proxy.mode = self._generator.choice(list(Mode))
        self._log_fault(f"links of {name}: {proxy.mode.value}")
        await self._sleep_up_to(4.0)
        proxy.mode = Mode.PASS

    async def _reset_links(self) -> None:
        name, proxy = self._generator.choice(list(self._proxies.items()))
        self._log_fault(f"links of {name}: reset")
        proxy.reset()

    async def _crash_executor(self) -> None:
        name, executor = self._generator.choice(list(self._executors.items()))
        self._log_fault(f"executor {name} crashes")
        executor.crash()

    async def _change_capacity(self) -> None:
        name, executor = self._generator.choice(list(self._executors.items()))
        millicores = self._generator.choice((1000, 2000, 3000))
        self._log_fault(f"executor {name} has {millicores} millicores")
        executor.set_capacity(millicores)
        await self._sleep_up_to(6.0)
        executor.set_capacity(CAPACITY_MILLICORES)

    async def _degrade_executor(self) -> None:
        name, executor = self._generator.choice(list(self._executors.items()))
        if self._generator.random() < 0.5:
            self._log_fault(f"executor {name} delays orders")
            executor.delayed_order_share = 0.3
        else:
            self._log_fault(f"executor {name} fails all runs")
            executor.fails_runs = True
        await self._sleep_up_to(3.0)
        executor.delayed_order_share = 0.0
        executor.fails_runs = False

    async def _reload_settings(self) -> None:
        node = self._choose_node()
        self._log_fault(f"reload settings of {node.name}")
        node.send_signal(signal.SIGHUP)

    async def _wipe_disk(self) -> None:
        """Empties the disk of one entry.

        This happens only once in a run, since the deployment tolerates the loss of one
        disk at a time.
        """
        if self._is_disk_wiped:
            return
        self._is_disk_wiped = True
        node = self._generator.choice(
            [entry for entry in self._entries if entry.has_disk]
        )
        self._log_fault(f"wipe {node.name}")
        node.kill()
        node.wipe_data()
        await self._sleep_up_to(1.0)
        if not node.is_running:
            node.start(self.seeds, is_bootstrap=False)


def create_proxy(entry: Node) -> Proxy:
    """Creates a proxy in front of an entry's links."""
    return Proxy(
        listen=(entry.proxy_address, LINK_PORT), target=(entry.bind_address, LINK_PORT)
    )


def create_run_folder(root: pathlib.Path, seed: int) -> pathlib.Path:
    """Creates an empty folder for the logs and data of a seed; returns its path."""
    folder = root / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return folder
