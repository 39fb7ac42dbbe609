"""Operators at three real control processes on loopback, killed and started again: the history is linearizable and no
taken order is refused. No verdict hangs on the wall clock: what gets no answer in time is unknown, and allowed."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from sim.announced import BOUNDS
from sim.linearizability import check
from tests.platform.test_configuration import document
from tests.support.recording_operators import ANSWER_S, NO_ANSWER, RecordingOperators, Reply, put

ROOT = Path(__file__).parents[2]
ZONES = ["zone-a", "zone-b", "zone-c"]
PEER, CONTROL = 7660, 8146
OPERATORS = 4
ORDERS_A_PHASE = 12
MOST_ATTEMPTS = 3_000  # however few of them are taken
FOUNDING_TRIES = 400


@dataclass(eq=False)
class ControlProcesses:
    """Control members as processes of this machine, each at a loopback address of its own."""

    folder: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    founded: bool = False

    def names(self) -> list[str]:
        return [f"core-{zone}" for zone in ZONES]

    def ip(self, name: str) -> str:
        """One network a test process, so that several may run at once."""
        network = os.getpid() % 50_000
        return f"127.{40 + network // 250}.{network % 250}.{1 + self.names().index(name)}"

    def settings(self, name: str) -> dict[str, Any]:
        ip = self.ip(name)
        data = self.folder / f"{name}.data"
        data.mkdir(exist_ok=True)
        return {
            "node": name, "ip": ip, "zone": name.removeprefix("core-"), "zones": dict.fromkeys(ZONES, "r"),
            "listen": {"ctl": f"{ip}:{CONTROL}"}, "portRange": [PEER, PEER + 15],
            "seeds": [f"{self.ip(n)}:{CONTROL}" for n in self.names()], "bootstrap": not self.founded,
            "heartbeatMs": 1200, "tolerate": {"servers": 1, "zones": 1}, "dataDir": str(data), "limits": {"diskMb": 64},
            "bounds": BOUNDS,
        }  # fmt: skip

    def start(self, name: str) -> None:
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(self.settings(name)))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "resident.py"), "core"],
                cwd=ROOT, stdout=log, stderr=log, env=os.environ | {"POSTPASS_CONFIG": str(file)},
            )  # fmt: skip

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()


@dataclass(eq=False)
class HttpMembers:
    """The members as operators reach them."""

    control: ControlProcesses
    session: aiohttp.ClientSession

    def names(self) -> list[str]:
        return self.control.names()

    async def call(self, member: str, method: str, path: str, body: Any = None, base: int = 0) -> Reply:
        url = f"http://{self.control.ip(member)}:{CONTROL}{path}"
        headers = {"If-Match": str(base)} if method in ("PUT", "PATCH") else {}
        limit = aiohttp.ClientTimeout(total=ANSWER_S)
        try:
            async with self.session.request(method, url, json=body, headers=headers, timeout=limit) as answer:
                return Reply(answer.status, await answer.json())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return Reply(NO_ANSWER)


@pytest.fixture
def control(tmp_path: Path) -> Iterator[ControlProcesses]:
    made = ControlProcesses(tmp_path)
    yield made
    for process in made.processes.values():
        process.kill()
        process.wait()


async def work(operators: RecordingOperators, first: Any) -> None:
    """Until enough orders more are taken, or very many were tried."""
    enough = len(operators.taken) + ORDERS_A_PHASE
    most = len(operators.history) + MOST_ATTEMPTS

    def over() -> bool:
        return len(operators.taken) >= enough or len(operators.history) >= most

    numbers = range(len(operators.history) + 1, len(operators.history) + 1 + OPERATORS)
    await asyncio.gather(*(operators.operate(n, first, over, 0.02) for n in numbers))


async def day(control: ControlProcesses) -> tuple[RecordingOperators, list[str]]:
    for name in control.names():
        control.start(name)
    async with aiohttp.ClientSession() as session:
        operators = RecordingOperators(HttpMembers(control, session), time.monotonic, random.Random(7))
        first = put(document(1), 0)
        await operators.send(first, tries=FOUNDING_TRIES)
        control.founded = True
        for struck in ([], control.names()[:1], control.names()[1:2], control.names()):
            for name in struck:
                control.kill(name)
            for name in struck:
                control.start(name)
            await work(operators, first.body)
        return operators, await operators.resend_all(OPERATORS)


def test_operators_at_real_processes_see_one_register(control: ControlProcesses) -> None:
    operators, unacknowledged = asyncio.run(day(control))
    assert operators.taken
    assert [found for found in unacknowledged if found.endswith("refused")] == []
    verdict = check(operators.history)
    assert verdict.linearizable, verdict
