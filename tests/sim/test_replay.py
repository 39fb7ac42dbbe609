"""A recorded run that is played again in one process passes the same points, whatever else the process does."""

from __future__ import annotations

import asyncio
import os
import shutil
import subprocess
import sys
import time
from pathlib import Path

import aiohttp
import pytest

from postpass.runtime.ordered_set import OrderedSet
from sim import replay
from sim.crash import PROGRAMMES, split_names
from sim.fleet import SimConnector
from sim.loop import Host, SimLoop, run_sim
from sim.replay import DISTURBANCES, Divergence, Recording
from sim.scenario import FOLDER, parse

IDLE_LIMIT = 2.0
ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("disturbance", DISTURBANCES)
def test_a_replay_passes_the_same_points(disturbance: str) -> None:
    scenario = parse(PROGRAMMES["takeover"].text, "takeover")
    assert [str(found) for found in replay.replay(scenario, 1, disturbance, runs=3)] == []


@pytest.mark.parametrize("name", ["disk-sync-fails", "restarts-by-sigterm"])
def test_a_replay_passes_the_same_points_when_processes_close_their_connections(name: str) -> None:
    scenario = parse((FOLDER / f"{name}.txt").read_text(), name)
    assert [str(found) for found in replay.replay(scenario, 1, "addresses", runs=2)] == []


FOLDERS = ("a", "another folder, whose name is longer/and which stands deeper")
SOURCES = ("postpass", "sim", "bench", "platform")


def recorded_in(folder: Path, scenario: str) -> bytes:
    """Returns the recording of a scenario that a process of its own plays, from a copy of the sources in a folder."""
    for name in SOURCES:
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    target = folder / "recording"
    command = [sys.executable, "-m", "sim.replay", "--scenarios", scenario, "--record_to", str(target)]
    subprocess.run(command, cwd=folder, env=os.environ | {"PYTHONPATH": str(folder)}, check=True, capture_output=True)
    return target.read_bytes()


def test_copies_of_the_sources_in_two_folders_play_the_same_run(tmp_path: Path) -> None:
    """The folders differ in name, length and depth; each has compiled files of its own."""
    one, two = (recorded_in(tmp_path / folder, "announced/retire-then-wipe") for folder in FOLDERS)
    assert one.count(b"\n") > 1000
    assert one == two


def test_an_ordered_set_is_iterated_in_the_order_of_insertion() -> None:
    ordered = OrderedSet([3, 1, 2])
    ordered.discard(3)
    ordered.discard(9)
    ordered.add(1)
    ordered.add(3)
    assert list(ordered) == [1, 2, 3] and len(ordered) == 3 and 2 in ordered and 9 not in ordered


def test_a_disturbed_process_clock_replaces_every_process_clock() -> None:
    before = time.monotonic
    with replay.disturbed_process_clock(0):
        first = aiohttp.connector.monotonic()  # type: ignore[attr-defined]
        assert time.monotonic() == pytest.approx(first + replay.SECONDS_A_READING)
        assert time.time() == pytest.approx(first + 2 * replay.SECONDS_A_READING)
    assert time.monotonic is before and aiohttp.connector.monotonic is before  # type: ignore[attr-defined]


def test_several_names_on_a_command_line_come_as_one_string_or_as_several() -> None:
    assert split_names("lots") == ["lots"] and split_names("lots,apply") == split_names(("lots", "apply")) == [
        "lots",
        "apply",
    ]
    assert split_names("") == []


def test_the_first_difference_of_two_recordings_is_returned() -> None:
    one = Recording((), ({"ev": "call"},), 5)
    assert replay.compare(one, one) is None
    assert replay.compare(one, Recording((), ({"ev": "lot"},), 5)) == Divergence(
        "event 0", {"ev": "call"}, {"ev": "lot"}
    )
    assert replay.compare(one, Recording((), (), 5)) == Divergence("number of events", 1, 0)
    assert replay.compare(one, Recording((), ({"ev": "call"},), 6)) == Divergence("number of callbacks", 5, 6)


@pytest.mark.parametrize(("idle", "connections"), [(0.9 * IDLE_LIMIT, 1), (1.1 * IDLE_LIMIT, 2)])
def test_idle_connections_are_kept_for_a_simulated_time(idle: float, connections: int) -> None:
    """Two requests with a pause between them use one connection, or two once it has been idle for too long."""

    async def main(loop: SimLoop) -> int:
        server, client = (loop.add(Host(name, (name,), "zone")) for name in ("server", "client"))
        opened: list[asyncio.StreamWriter] = []

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(writer)
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

        async def serve() -> None:
            await asyncio.start_server(answer, "server", 1)

        async def ask() -> None:
            async with aiohttp.ClientSession(connector=SimConnector(limit=0, keepalive_timeout=IDLE_LIMIT)) as session:
                for pause in (idle, 0.0):
                    async with session.get("http://server:1/") as response:
                        assert await response.read() == b"ok"
                    await asyncio.sleep(pause)

        await loop.create_task(serve(), context=server.context())
        await loop.create_task(ask(), context=client.context())
        return len(opened)

    assert run_sim(main) == connections
