"""Any task of any daemon fails: the process ends soon, and the others go on within `Bounds.recover`.

The tasks are those that run, so a new one is tried by itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from postpass.configuration.settings import split_address
from postpass.daemon.process import Daemon, Task
from sim.loop import SimLoop, run_sim
from tests.control.test_state_recovery import member_with_role
from tests.platform.test_configuration import document
from tests.support.announced import Fleet

RECOVER_S = 12.0  # `Bounds.recover`
END_S = 3.0  # in which a process ends that others wait for
HELD: list[asyncio.StreamWriter] = []  # connections that are kept open
ENDS_BY_ITSELF = {"lead_after_restart", "found_fleet", "prove_fresh"}  # tasks that are over once the fleet runs


class Injector:
    """Makes a task of a daemon raise an error. `names` has the tasks that run at each machine."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.triggers: dict[tuple[str, str], asyncio.Event] = {}
        original, triggers = Daemon.run_supervised, self.triggers

        async def run_supervised(daemon: Daemon, name: str, task: Task) -> None:
            trigger = triggers[daemon.settings.name, name] = asyncio.Event()

            async def run_until_triggered() -> None:
                inner, injected = asyncio.ensure_future(task), asyncio.ensure_future(trigger.wait())
                try:
                    await asyncio.wait({inner, injected}, return_when=asyncio.FIRST_COMPLETED)
                    if injected.done():
                        raise RuntimeError("injected")
                    await inner
                finally:
                    inner.cancel()
                    injected.cancel()

            await original(daemon, name, run_until_triggered())

        monkeypatch.setattr(Daemon, "run_supervised", run_supervised)

    def names(self, machine: str) -> list[str]:
        return sorted(name for at, name in self.triggers if at == machine and name not in ENDS_BY_ITSELF)

    def fail(self, machine: str, name: str) -> None:
        self.triggers[machine, name].set()


def play(monkeypatch: pytest.MonkeyPatch, scene: Callable[[Fleet, Injector], Awaitable[Any]]) -> Any:
    async def main(loop: SimLoop) -> Any:
        fleet, injector = Fleet(loop, control=4, stores=4, edges=2), Injector(monkeypatch)
        fleet.start()
        assert await fleet.until(fleet.joined, 10) >= 0
        assert (await fleet.ask("c1", lambda c: c.apply_document(document(1), 0))).is_ok()
        assert await fleet.until(lambda: len(fleet.owners()) == partitions(fleet), 10) >= 0
        assert await fleet.until(lambda: fleet.primary() is not None, 10) >= 0
        fleet.first = False
        return await scene(fleet, injector)

    return run_sim(main)


def partitions(fleet: Fleet) -> int:
    control: Any = fleet.controls()[0]
    return int(control.configuration_view.manifest["parts"])


def machine_of(fleet: Fleet, kind: str) -> str:
    if kind in ("primary", "backup"):
        return member_with_role(fleet, kind)
    return next(iter(fleet.owners().values())) if kind == "owner" else "e1"


async def change_until_taken(fleet: Fleet, version: int, limit: float) -> None:
    """Sends a change to one control machine after the other until it is taken, which has to be within the limit."""
    async with asyncio.timeout(limit):
        while True:
            for name in [control.settings.name for control in fleet.controls()]:
                try:
                    async with asyncio.timeout(1.0):
                        result = await fleet.ask(name, lambda c: c.apply_document(document(version + 1), version))
                except TimeoutError:
                    continue
                if result.is_ok():
                    return
            await asyncio.sleep(0.1)


async def hold_request(fleet: Fleet, machine: str) -> None:
    """Leaves a request in progress at a machine, whose HTTP server waits for it at its end."""

    async def begin() -> None:
        host, port = split_address(fleet.nodes[machine].settings.http)
        _, writer = await asyncio.open_connection(host, port)
        writer.write(b"PUT /v1/manifest HTTP/1.1\r\nhost: c\r\nif-match: 0\r\ncontent-length: 100\r\n\r\n{")
        HELD.append(writer)
        await asyncio.sleep(0.1)

    other = next(name for name in fleet.up() if name != machine)
    await fleet.loop.create_task(begin(), context=fleet.nodes[other].host.context())


# Guards against a primary that has failed and goes on sending heartbeats for 24 s, so that no other one is elected.
@pytest.mark.parametrize("kind", ["primary", "backup", "owner", "edge"])
def test_the_others_go_on_whatever_task_of_a_daemon_fails(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def names_of(fleet: Fleet, injector: Injector) -> list[str]:
        return injector.names(machine_of(fleet, kind))

    names = play(monkeypatch, names_of)
    assert len(names) >= 6
    for name in names:

        async def scene(fleet: Fleet, injector: Injector, name: str = name) -> None:
            machine, began = machine_of(fleet, kind), fleet.loop.clock
            # A change is under way, whose sender waits.
            order = asyncio.ensure_future(fleet.ask("c1", lambda c: c.apply_document(document(2), 1)))
            await hold_request(fleet, machine)
            injector.fail(machine, name)
            if kind != "edge":
                assert await fleet.until(lambda: fleet.nodes[machine].host.dead, END_S) >= 0, name
            # Whether the order was taken isn't known, so it is sent again, and then another one.
            await change_until_taken(fleet, 1, RECOVER_S - (fleet.loop.clock - began))
            await change_until_taken(fleet, 2, RECOVER_S - (fleet.loop.clock - began))
            owned = await fleet.until(
                lambda: set(fleet.owners()) == set(range(partitions(fleet))) and machine not in fleet.owners().values(),
                RECOVER_S - (fleet.loop.clock - began),
            )
            assert owned >= 0, name
            order.cancel()
            assert fleet.primary() is not None and fleet.nodes[machine].daemon is not fleet.primary()

        with monkeypatch.context() as patch:
            play(patch, scene)


def test_an_edge_that_has_failed_is_not_ready_and_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(fleet: Fleet, injector: Injector) -> None:
        daemon: Any = fleet.nodes["e1"].daemon
        injector.fail("e1", "gossip")
        assert await fleet.until(lambda: daemon.ready() == "it has failed", END_S) >= 0
        assert await fleet.until(lambda: fleet.nodes["e1"].host.dead, daemon.drain) >= 0

    play(monkeypatch, scene)
