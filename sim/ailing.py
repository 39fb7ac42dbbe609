"""Faults of a simulated fleet, each with the findings that `postpassctl doctor` must report of it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from bench.plan import changed
from postpass.cli.doctor import diagnose
from postpass.cli.fleet_client import fleet_status_pages
from postpass.cli.status import pending
from postpass.cli.status_page import FleetStatus
from sim.fleet import SimFleet

Cause = Callable[[SimFleet], Awaitable[None]]


async def run_doctor(world: SimFleet) -> tuple[set[str], list[str]]:
    """Returns the codes of what the doctor finds in two status reports 0.5 s apart, and the pending operations."""
    addresses = [world.configuration["machines"][n]["http"] for n in world.controls()]
    first = FleetStatus.from_json(await fleet_status_pages(addresses, "postpassctl"))
    await asyncio.sleep(0.5)
    second = FleetStatus.from_json(await fleet_status_pages(addresses, "postpassctl"))
    return {f.code for f in diagnose(first, second)}, pending(second)


async def mirror_killed(world: SimFleet) -> None:
    world.kill(world.pick("mirror:0"))
    await asyncio.sleep(4)


async def edge_frozen(world: SimFleet) -> None:
    world.freeze("e2")


async def stale_configuration(world: SimFleet) -> None:
    """Changes the configuration while e2 is cut off from all machines."""
    for name in world.configuration["machines"]:
        if name != "e2":
            world.cut("e2", name)
            world.cut(name, "e2")
    await asyncio.sleep(1)
    await world.apply(changed(world.configuration, "classes.ask.deadline", 14), 1)
    await asyncio.sleep(3)


async def wrong_weights(world: SimFleet) -> None:
    """Restarts a worker with the weights of another model."""
    world.boxes["w1"].thing.weights = "model-0"
    world.boxes["w1"].thing.start += 1
    await asyncio.sleep(2)


async def disk_nearly_full(world: SimFleet) -> None:
    disk = world.boxes["s3"].disk
    assert disk is not None
    disk.cap = sum(map(len, disk.files.values())) + 100


async def other_config(world: SimFleet) -> None:
    """Changes the duties of a machine in the configuration, while its process runs with the old ones."""
    configuration = changed(world.configuration, "machines.e2.duties", ["edge"])
    await world.apply(configuration, 1)
    await asyncio.sleep(1)


async def clashing_name(world: SimFleet) -> None:
    """Starts another process under a name that is already taken, at an address of its own."""
    machine = world.configuration["machines"]["e2"] | {"peer": "127.2.8.8:7000", "http": "127.2.8.8:8000"}
    original_configuration = world.configuration
    world.configuration = changed(original_configuration, "machines.double", machine)
    world.add_box("double", machine)
    world.configuration["machines"]["double"] = machine
    box = world.boxes["double"]
    box.host = None
    from bench.plan import config
    from postpass.configuration.settings import parse
    from postpass.daemon.data_plane import DataPlane
    from sim.loop import Host

    host = world.loop.add(Host("double", box.ips, "b"))
    settings = parse(config(world.configuration, "double") | {"name": "e2"}).unwrap()

    async def boot() -> None:
        await DataPlane(settings, world.world("double", None)).run()

    world.loop.create_task(boot(), context=host.context())
    world.configuration = original_configuration
    await asyncio.sleep(6)


async def no_backup(world: SimFleet) -> None:
    world.kill(world.pick("backup"))
    await asyncio.sleep(0.2)


async def other_version(world: SimFleet) -> None:
    """Restarts a machine with another release of the software."""
    world.release = "0.9.9"
    world.kill("e2")
    world.start("e2")
    await asyncio.sleep(2)


async def data_lost(world: SimFleet) -> None:
    """Wipes three stores at once, which is more than is tolerated, and starts them again."""
    for name in ("s1", "s2", "s3"):
        world.wipe(name)
    for name in ("s1", "s2", "s3"):
        world.start(name)
    await asyncio.sleep(12)


async def owners_gone(world: SimFleet) -> None:
    for name in ("s1", "s2", "s3"):
        world.kill(name)
    await asyncio.sleep(6)


async def control_gone(world: SimFleet) -> None:
    for name in ("c1", "c2", "c3"):
        world.kill(name)
    await asyncio.sleep(6)


# Each fault with the codes of the findings that it must lead to; none for the fleet without a fault.
CASES: dict[str, tuple[Cause, set[str]]] = {
    "sound": (lambda world: asyncio.sleep(0), set()),
    "mirror killed": (mirror_killed, {"D02", "D07"}),
    "edge frozen": (edge_frozen, {"D02"}),
    "old edition": (stale_configuration, {"D03"}),
    "wrong weights": (wrong_weights, {"D12"}),
    "disk nearly full": (disk_nearly_full, {"D09"}),
    "other config": (other_config, {"D05"}),
    "clashing name": (clashing_name, {"D04"}),
    "no backup": (no_backup, {"D02", "D11"}),
    "other version": (other_version, {"D14"}),
    "lost": (data_lost, {"D13"}),
    "owners gone": (owners_gone, {"D02", "D08"}),
}
