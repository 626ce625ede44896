"""The real programs as processes on loopback, each VM with an address of its own."""

import os
import pathlib
import signal
import subprocess
import sys

_ROOT = pathlib.Path(__file__).resolve().parents[2]
LINK_PORT, FRONTEND_PORT, READY_PORT, CONTROL_PORT, APP_PORT = range(17720, 17725)

_SETTINGS = """
nodeName = "{name}"
ip = "{proxied}"
zone = "z{zone}"
internalPortRange = [{link}, {link}]
seeds = [{seeds}]
bootstrap = {first}
{disk}
app = "{bound}:{app}"
[bindAddresses]
frontend = "{bound}:{frontend}"
ready = "{bound}:{ready}"
control = "{bound}:{control}"
[faultTolerance]
machines = 1
[bounds]
holdMaxMs = 1000
stopMs = 50
graceS = 6
"""


class Node:
    """One VM of the deployment: an entry, or an agent beside an executor.

    Args:
        name: Name of the VM.
        role: Role of its program.
        number: Number of the VM, unique in the run.
        base: Second byte of the run's loopback addresses.
        folder: Where its settings, data and output are.
        has_disk: Whether it has a data folder.
    """

    def __init__(
        self,
        *,
        name: str,
        role: str,
        number: int,
        base: int,
        folder: pathlib.Path,
        has_disk: bool = False,
    ) -> None:
        """Derives its addresses."""
        self.name = name
        self.role = role
        self.bound = f"127.{base}.1.{number}"
        self.proxied = f"127.{base}.2.{number}"
        self.has_disk = has_disk
        self._number = number
        self._folder = folder
        self._process: subprocess.Popen | None = None

    @property
    def data_dir(self) -> pathlib.Path:
        """Its data folder."""
        return self._folder / f"data-{self.name}"

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self, seeds: list[str], *, is_first: bool) -> None:
        """Writes the settings and starts the program."""
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=self.name,
                proxied=self.proxied,
                bound=self.bound,
                zone=self._number % 3,
                link=LINK_PORT,
                frontend=FRONTEND_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                app=APP_PORT,
                seeds=", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in seeds),
                first=str(is_first).lower(),
                disk=f'dataDir = "{self.data_dir}"' if self.has_disk else "",
            )
        )
        environment = {
            **os.environ,
            "HAWTHORNBARROW_CONFIG": str(settings),
            "HAWTHORNBARROW_CLUSTER_KEY": "soak",
        }
        with open(self._folder / f"{self.name}.log", "ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, str(_ROOT / "platform" / "run.py"), self.role],
                env=environment,
                stdout=output,
                stderr=output,
                cwd=self._folder,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to its process, if it runs."""
        if self.is_running and self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Ends its process at once and waits for it."""
        if self._process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self._process.wait()

    def wipe(self) -> None:
        """Empties its data folder."""
        for path in self.data_dir.glob("*"):
            path.unlink()
