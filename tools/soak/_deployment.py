"""Runs the real programs as processes on loopback, with an address for each VM."""

import os
import pathlib
import signal
import subprocess
import sys

_ROOT = pathlib.Path(__file__).resolve().parents[2]
LINK_PORT, FRONTEND_PORT, READY_PORT, CONTROL_PORT, APP_PORT = range(17720, 17725)

_SETTINGS_TEMPLATE = """
nodeName = "{name}"
ip = "{proxy_address}"
zone = "{zone}"
internalPortRange = [{link}, {link}]
seeds = [{seeds}]
bootstrap = {bootstrap}
{disk}
app = "{bind_address}:{app}"
[bindAddresses]
frontend = "{bind_address}:{frontend}"
ready = "{bind_address}:{ready}"
control = "{bind_address}:{control}"
[faultTolerance]
machines = 1
[bounds]
holdMaxMs = 1000
stopMs = 50
graceS = 6
resendMs = 1300
"""


class Node:
    """One VM of the deployment: an entry, or an agent beside an executor.

    Args:
        name: Name of the VM.
        role: Role of its program, "entry" or "agent".
        number: Last byte of its loopback addresses, unique in the run.
        address_byte: Second byte of all loopback addresses of the run.
        folder: Folder for its settings, data and output.
        has_disk: Whether it has a data folder.
    """

    def __init__(
        self,
        *,
        name: str,
        role: str,
        number: int,
        address_byte: int,
        folder: pathlib.Path,
        has_disk: bool = False,
    ) -> None:
        """Derives the addresses of the VM without starting its program."""
        self.name = name
        self.role = role
        self.bind_address = f"127.{address_byte}.1.{number}"
        self.proxy_address = f"127.{address_byte}.2.{number}"
        self.has_disk = has_disk
        self.data_centre = f"z{number % 3}"
        self._number = number
        self._folder = folder
        self._process: subprocess.Popen | None = None

    @property
    def data_dir(self) -> pathlib.Path:
        """Path of the data folder."""
        return self._folder / f"data-{self.name}"

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self, seeds: list[str], *, is_bootstrap: bool) -> None:
        """Writes the settings and starts the program."""
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(
            _SETTINGS_TEMPLATE.format(
                name=self.name,
                proxy_address=self.proxy_address,
                bind_address=self.bind_address,
                zone=self.data_centre,
                link=LINK_PORT,
                frontend=FRONTEND_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                app=APP_PORT,
                seeds=", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in seeds),
                bootstrap=str(is_bootstrap).lower(),
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

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.is_running and self._process is not None:
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kills the process with SIGKILL and waits until it has ended."""
        if self._process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self._process.wait()

    def wipe_data(self) -> None:
        """Deletes all files in the data folder."""
        for path in self.data_dir.glob("*"):
            path.unlink()
