"""The processes of a deployment on loopback, and what an operator asks of them over HTTP."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from bench.deploy import Deployment
from bench.plan import Raw, config

Event = dict[str, Any]  # as the history checker reads it

ROOT = Path(__file__).parents[2]
CUTTABLE_STORE = "s4"  # the one that can be isolated
STOP_LIMIT = 15.0  # seconds from SIGTERM to SIGKILL
APPLY_ROUNDS = 8  # tries at each control member
APPLY_PAUSE = 0.25  # seconds between tries
STATUS_PAUSE = 0.3
SAMPLE_PAUSE = 0.5
STARTING = 4.0  # seconds within which a control member may not be ready yet
TAKEN = (200, 202)
REJECTED = (400, 412)
CONTROL, STORE, EDGE = "control", "store", "edge"  # duties


class ConfigurationRejectedError(RuntimeError):
    """The control plane won't take a configuration: it is flawed, or another revision is in force.

    `revision_hint` is the revision that the answer names as the one in force, or 0.
    """

    def __init__(self, body: str) -> None:
        super().__init__(body)
        self.body = body

    @property
    def revision_hint(self) -> int:
        """Read from the body, which is JSON."""
        return int(json.loads(self.body).get("error", {}).get("hint") or 0)


@dataclass(frozen=True)
class Applied:
    """A configuration was taken: under which revision, and which members have not confirmed it yet."""

    revision: int
    status: int
    unconfirmed: list[str]


@dataclass(eq=False)
class Fleet:
    """Invariant: every process in `processes` was started here, and is ended here.

    `events` is the history, in the order in which things were told; `started_at` and `starts` are by process name.
    """

    plan: Deployment
    root: Path  # folder of logs, settings and data
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    revision: int = 0
    started_at: dict[str, float] = field(default_factory=dict)
    starts: Counter[str] = field(default_factory=Counter)
    configuration: Raw = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.configuration = self.plan.manifest

    def log(self, kind: str, **more: Any) -> None:
        """Adds an event of this moment to the history."""
        self.events.append({"t": time.time(), "ev": kind, **more})

    # --- processes
    def start_all(self) -> None:
        """Starts all workers and then all machines of the configuration."""
        for pool in self.configuration["pools"].values():
            for name in pool["servers"]:
                self.start(name)
        for name in self.configuration["machines"]:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a machine or a worker of the configuration; nothing where there is none of this name."""
        if name in self.configuration["machines"]:
            self._start_machine(name)
            return
        for pool in self.configuration["pools"].values():
            if name in pool["servers"]:
                self._start_worker(name, pool)

    def _start_machine(self, name: str) -> None:
        is_control = CONTROL in self.configuration["machines"][name]["duties"]
        data = str(self.data_folder(name)) if is_control or name.startswith("s") else ""
        settings = config(self.configuration, name, data)
        file = self.root / f"{name}.json"
        file.write_text(json.dumps(settings))
        command = "control-plane" if is_control else "data-plane"
        delay = str(self.plan.delay)
        self._spawn(name, ["bench.lag", delay, command, f"--config={file}", f"--peer={settings['peer']}"])

    def _start_worker(self, name: str, pool: Raw) -> None:
        server = pool["servers"][name]
        address = server["url"].removeprefix("http://")
        self._spawn(
            name,
            [
                "bench.standin", f"--kind={pool['kind']}", f"--name={name}", f"--http={address}",
                f"--log={self.root / name}.jsonl", f"--area={server['area']}", f"--slots={server['slots']}",
            ],
        )  # fmt: skip

    def _spawn(self, name: str, module_and_flags: list[str]) -> None:
        log = (self.root / f"{name}.log").open("ab")
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        if name == CUTTABLE_STORE:
            environment |= {"POSTPASS_CUT": str(self.isolation_mark)}
        command = [sys.executable, "-m", *module_and_flags]
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, env=environment, start_new_session=True
        )  # fmt: skip
        self.started_at[name] = time.time()
        self.starts[name] += 1

    def kill(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        """Sends a signal, and waits for the end after SIGKILL."""
        self.processes[name].send_signal(signal_number)
        if signal_number == signal.SIGKILL:
            self.processes[name].wait()

    def stop_all(self) -> dict[str, int]:
        """SIGTERM, then SIGKILL for what has not left; returns exit codes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.time() + STOP_LIMIT
        for process in self.processes.values():
            try:
                process.wait(max(0.1, until - time.time()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        return {name: process.returncode for name, process in self.processes.items()}

    # --- files
    def data_folder(self, name: str) -> Path:
        """Where a machine keeps its data."""
        return self.root / "data" / name

    def free_space_mark(self, name: str) -> Path:
        """A file that limits the space that a machine's disk has left, for as long as it is there."""
        return self.root / "data" / f"{name}.room"

    @property
    def isolation_mark(self) -> Path:
        """A file that isolates the store `CUTTABLE_STORE` for as long as it is there."""
        return self.root / f"{CUTTABLE_STORE}.cut"

    def collect(self) -> None:
        """Adds what the stand-in workers wrote down to the history, and orders it by time."""
        for file in self.root.glob("*.jsonl"):
            self.events += [json.loads(line) for line in file.read_text().splitlines() if line.endswith("}")]
        self.events.sort(key=lambda event: event["t"])

    # --- HTTP
    def urls(self, duty: str) -> dict[str, str]:
        """The addresses of all machines with a duty, by name."""
        machines = self.configuration["machines"]
        return {name: f"http://{machine['http']}" for name, machine in machines.items() if duty in machine["duties"]}

    async def apply(
        self, session: aiohttp.ClientSession, configuration: Raw, base: int, operator: str = "op"
    ) -> Applied:
        """Puts a configuration in the place of revision `base`, asking one control member after another.

        Raises:
          ConfigurationRejectedError: it is flawed, or another revision is in force.
          RuntimeError: no control member took it in time.
        """
        for url in list(self.urls(CONTROL).values()) * APPLY_ROUNDS:
            try:
                applied = await self._apply_at(url, session, configuration, base, operator)
                if applied.status in TAKEN:
                    self.revision = applied.revision
                    return applied
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
            await asyncio.sleep(APPLY_PAUSE)
        raise RuntimeError("the manifest was not taken")

    async def _apply_at(
        self, url: str, session: aiohttp.ClientSession, configuration: Raw, base: int, operator: str
    ) -> Applied:
        began = time.time()
        async with session.put(
            f"{url}/v1/manifest",
            json=configuration,
            headers={"if-match": f'"{base}"'},
            timeout=aiohttp.ClientTimeout(total=6),
        ) as answer:
            revision = int(answer.headers.get("etag", '"0"').strip('"'))
            unconfirmed = (await answer.json()).get("unconfirmed", []) if answer.status == 202 else []
            content = json.dumps(configuration, sort_keys=True)
            self.log("applied", who=operator, answer=answer.status, edition=revision, base=base, content=content,
                     began=began, again=False, waits=unconfirmed)  # fmt: skip
            if answer.status in REJECTED:
                raise ConfigurationRejectedError(await answer.text())
            return Applied(revision, answer.status, unconfirmed)

    async def status(self, session: aiohttp.ClientSession, name: str) -> dict[str, Any]:
        """A machine's status page; empty if it does not answer."""
        url = f"http://{self.configuration['machines'][name]['http']}/v1/status"
        try:
            async with session.get(url, timeout=aiohttp.ClientTimeout(total=1.5)) as answer:
                return dict(await answer.json())
        except (aiohttp.ClientError, OSError, TimeoutError):
            return {}

    async def wait_ready(self, session: aiohttp.ClientSession, limit: float = 60) -> None:
        """Waits until each partition has an owner and each edge may use all workers.

        Raises:
          RuntimeError: it took longer than `limit` seconds.
        """
        until = time.time() + limit
        while time.time() < until:
            if await self._is_ready(session):
                return
            await asyncio.sleep(STATUS_PAUSE)
        raise RuntimeError("the fleet was not ready in time")

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        stores = await asyncio.gather(*(self.status(session, name) for name in self.urls(STORE)))
        owned = {p["part"] for store in stores for p in store.get("store", {}).get("parts", []) if p["ready"]}
        edges = await asyncio.gather(*(self.status(session, name) for name in self.urls(EDGE)))
        workers_known = all(
            edge.get("servers") and not any(worker["barred"] for worker in edge["servers"].values()) for edge in edges
        )
        return len(owned) == self.configuration["parts"] and workers_known

    async def sample(self, session: aiohttp.ClientSession) -> None:
        """Writes down, until cancelled, which revision each machine runs."""
        while True:
            for name in self.configuration["machines"]:
                began = time.time()
                status = await self.status(session, name)
                if status:
                    self.events.append(self._runs_event(name, began, status))
            await asyncio.sleep(SAMPLE_PAUSE)

    def _runs_event(self, name: str, began: float, status: dict[str, Any]) -> Event:
        fit = status["fresh"] if status["duties"] else began - self.started_at[name] > STARTING
        daemon = f"{name}/{self.starts[name]}"
        return {"t": began, "ev": "runs", "daemon": daemon, "edition": status["edition"], "fit": fit}
