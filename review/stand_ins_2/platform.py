"""The platform: machines with settings files, and processes as the deploy file says."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
LINK_PORT, LAST_LINK_PORT = 7720, 7735
FRONTEND_PORT, CONTROL_PORT, READY_PORT, APP_PORT, METRICS_PORT = (
    8161,
    8166,
    8167,
    8080,
    9464,
)
SERVICE = "s-desk"
_ZONES = ("z-a", "z-b", "z-c")

# As in the example of the settings, with the bounds of a small installation.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxExtensionMs": 5000,
    "recoverS": 12,
    "holdMaxMs": 1000,
    "stopMs": 50,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "leaseMs": 3000,
    "resendMs": 1300,
}


def free_network():
    """Returns the second byte of loopback addresses that nothing else uses."""
    for byte in random.sample(range(20, 240), 220):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{byte}.1.1", LINK_PORT))
            except OSError:
                continue
            return byte
    raise OSError("no free loopback addresses")


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        """Opens the record file anew."""
        self._path = pathlib.Path(path)
        self._path.write_text("")
        self._begin_s = time.monotonic()

    def now_s(self):
        """Returns the time since the start."""
        return time.monotonic() - self._begin_s

    def note(self, text):
        """Writes one line."""
        with open(self._path, "a") as file:
            print(f"{self.now_s():8.3f} {text}", file=file)


class Machine:
    """One machine with one process of the system: an entry or an agent.

    `advertised` is the address that other machines of the system are told, if it is
    not the machine's own: a proxy of the test may stand there.
    """

    def __init__(self, name, role, number, network, folder, record, *, disk=False):
        """Derives the addresses; nothing runs yet."""
        self.name, self.role, self.disk = name, role, disk
        self.ip = f"127.{network}.1.{number}"
        self.advertised = self.ip
        self.zone = _ZONES[number % len(_ZONES)]
        self.data = folder / f"data-{name}"
        self._folder, self._record = folder, record
        self._process = None
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"][role]["run"].split()
        self._environment = deploy["roles"][role]["env"]

    def start(self, seeds, *, bootstrap=False):
        """Writes the settings file and starts the process."""
        serves = ["edge", "control"] if self.role == "entry" else ["side"]
        lines = [
            f'nodeName = "{self.name}"',
            f'role = "{self.role}"',
            f'machineClass = "{"edge" if self.role == "entry" else "side"}"',
            f"serves = {serves}".replace("'", '"'),
            f'ip = "{self.advertised}"',
            f'zone = "{self.zone}"',
            'region = "r"',
            f"internalPortRange = [{LINK_PORT}, {LAST_LINK_PORT}]",
            "seeds = ["
            + ", ".join(f'"{seed.advertised}:{CONTROL_PORT}"' for seed in seeds)
            + "]",
            f"bootstrap = {str(bootstrap).lower()}",
            f"inTolerance = {str(self.disk).lower()}",
            'discovery = "local"',
            'entry = "vip"',
            "heartbeatMs = 1500",
            'config_mode = "highest"',
            'commands = "request"',
        ]
        if self.disk:
            self.data.mkdir(exist_ok=True)
            lines.append(f'dataDir = "{self.data}"')
        if self.role == "agent":
            lines.append(f'app = "{self.ip}:{APP_PORT}"')
            lines.append(f'service = "{SERVICE}"')
        lines.append("[bindAddresses]")
        if self.role == "entry":
            lines.append(f'frontend = "{self.ip}:{FRONTEND_PORT}"')
            lines.append(f'ready = "{self.ip}:{READY_PORT}"')
        lines.append(f'control = "{self.ip}:{CONTROL_PORT}"')
        lines += ["[faultTolerance]", "machines = 1", "zones = 0", "regions = 0"]
        lines.append("[bounds]")
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        settings = self._folder / f"{self.name}.toml"
        settings.write_text("\n".join(lines) + "\n")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment.update(self._environment)
        environment["HAWTHORNBARROW_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._folder / f"{self.name}.log", "ab") as output:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._record.note(f"start {self.name}")

    def signal(self, number):
        """Sends a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
            self._record.note(f"{signal.Signals(number).name} to {self.name}")

    def kill(self):
        """Ends the process with SIGKILL and waits for its end."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.send_signal(signal.SIGKILL)
                self._record.note(f"SIGKILL to {self.name}")
            self._process.wait()

    def log(self):
        """Returns what its processes have written so far."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""
