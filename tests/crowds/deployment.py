"""A deployment of real processes on loopback, with limits that are low enough for a small crowd to reach them."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sim.announced import BOUNDS

ROOT = Path(__file__).parents[2]
ZONES = ["zone-a", "zone-b", "zone-c"]
PEER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, WORKER_PORT = 7660, 8146, 8147, 8148, 8149
RAM_MB = 128  # the memory of a machine; a process at rest takes a third of it
MAX_FDS = 300
MAX_BODY_BYTES = 1 << 20
IDLE_MS = 2000
DISK_MB = {"edge": 0, "store": 480, "core": 128}
SERVES = {"edge": "edge", "store": "store", "core": "ctl"}
SAMPLE_INTERVAL_S = 0.02
START_LIMIT_S = 60.0


def configuration() -> dict[str, Any]:
    """Returns the operator's document: a route of live requests and one of jobs, with low limits."""
    return {
        "version": 3,
        "routes": [
            {"name": "live", "host": "crowd.example", "prefix": "/live/", "kind": "idem", "timeoutMs": 60_000,
             "targetMs": 500, "prio": 0, "service": "app", "tries": 2},
            {"name": "jobs", "host": "crowd.example", "prefix": "/jobs/", "kind": "bulk", "timeoutMs": 60_000,
             "targetMs": 400, "prio": 2, "service": "app", "tries": 3, "dueMs": 60_000, "expireS": 120, "maxQueued": 0},
        ],
        "services": [{"name": "app", "health": "/health", "maxConns": 100, "warmupS": 0.0, "coldRateS": 0.0}],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES, "headTimeoutMs": 3000, "idleMs": IDLE_MS,
        },
    }  # fmt: skip


@dataclass(eq=False)
class Machine:
    """One machine with its process. `peak_descriptors` is the most that it was seen to have open."""

    name: str
    role: str
    zone: str
    ip: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    peak_descriptors: int = 0

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def peak_mb(self) -> float:
        """Returns the most memory that the process has had resident, in MB."""
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        return int(next(line for line in lines if line.startswith("VmHWM:")).split()[1]) / 1024

    def sample_descriptors(self) -> None:
        try:
            count = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return
        self.peak_descriptors = max(self.peak_descriptors, count)

    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")


@dataclass(eq=False)
class Deployment:
    """All machines. Invariant: every process in it was started here, and is ended by `close`."""

    network: str = field(default_factory=lambda: f"127.{90 + os.getpid() % 100}.{os.getpid() // 100 % 250}")
    machines: list[Machine] = field(default_factory=list)
    bootstrap: bool = True

    def __post_init__(self) -> None:
        self.temporary = tempfile.TemporaryDirectory(prefix="postpass-crowd-")
        self.stopped = threading.Event()
        self.sampler = threading.Thread(target=self._sample, daemon=True)
        self.sampler.start()

    def _sample(self) -> None:
        while not self.stopped.wait(SAMPLE_INTERVAL_S):
            for machine in self.machines:
                if machine.alive():
                    machine.sample_descriptors()

    def next_ip(self) -> str:
        return f"{self.network}.{len(self.machines) + 1}"

    def worker_address(self) -> str:
        return f"{self.network}.250:{WORKER_PORT}"

    def of(self, role: str) -> list[Machine]:
        return [machine for machine in self.machines if machine.role == role]

    def control_addresses(self) -> list[str]:
        return [f"{machine.ip}:{CONTROL_PORT}" for machine in self.of("core")]

    def add(self, role: str, zone: str) -> Machine:
        """Returns another machine, whose process isn't started yet."""
        name = f"{role}-{zone}-{len(self.machines) + 1}"
        folder = Path(self.temporary.name) / name
        (folder / "data").mkdir(parents=True)
        machine = Machine(name, role, zone, self.next_ip(), folder)
        self.machines.append(machine)
        return machine

    def settings(self, machine: Machine) -> dict[str, Any]:
        """Returns the settings file of a machine's process."""
        listen = {
            "edge": {"front": f"{machine.ip}:{FRONT_PORT}", "ready": f"{machine.ip}:{READY_PORT}"},
            "core": {"ctl": f"{machine.ip}:{CONTROL_PORT}"},
            "store": {},
        }[machine.role]
        disk_mb = DISK_MB[machine.role]
        return {
            "node": machine.name, "role": machine.role, "class": machine.role, "serves": [SERVES[machine.role]],
            "ip": machine.ip, "zone": machine.zone, "region": "r", "zones": dict.fromkeys(ZONES, "r"),
            "listen": listen, "portRange": [PEER_PORT, PEER_PORT + 15], "seeds": self.control_addresses()[:3],
            "bootstrap": self.bootstrap, "quorum": machine.role != "edge",
            "limits": {"cpuShare": 1.0, "ncpu": 1, "ramMb": RAM_MB, "maxFds": MAX_FDS, "netMbps": 1000.0, "diskMb": disk_mb},
            "dataDir": str(machine.folder / "data") if disk_mb else None, "heartbeatMs": 1200,
            "tolerate": {"servers": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
        }  # fmt: skip

    def start(self, machine: Machine) -> None:
        """Starts the process of a machine, as the deploy file does."""
        path = machine.folder / "boot.json"
        path.write_text(json.dumps(self.settings(machine)))
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with (machine.folder / "log").open("ab") as log:
            machine.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "resident.py"), machine.role],
                cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=kept | {"POSTPASS_CONFIG": str(path), "PYTHONDONTWRITEBYTECODE": "1"},
            )  # fmt: skip

    def add_started(self, role: str, zone: str = ZONES[0]) -> Machine:
        machine = self.add(role, zone)
        self.start(machine)
        return machine

    def close(self) -> None:
        """Ends all processes, and removes their files."""
        self.stopped.set()
        self.sampler.join()
        started = [machine.process for machine in self.machines if machine.process is not None]
        for process in started:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in started:
            process.wait()
        self.temporary.cleanup()


def wait_until(check: Any, what: str, limit_s: float = START_LIMIT_S) -> None:
    """Waits until `check` returns something true; fails the test after `limit_s` seconds."""
    deadline = time.monotonic() + limit_s
    while not check():
        assert time.monotonic() < deadline, f"waited {limit_s:g} s in vain: {what}"
        time.sleep(0.05)
