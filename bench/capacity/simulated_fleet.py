"""The announced fleets that are measured: their sizes, their routes and who has which role in them."""

from __future__ import annotations

from typing import Any

from bench.capacity.meter import Row
from postpass.batch.scheduler import Scheduler
from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane import DataPlane
from sim.announced import AnnouncedFleet, Sizes
from sim.loop import SimLoop
from sim.workers import Engine

CONTROL_MACHINES = 5  # of the size to design for
FOUNDING_LIMIT = 8.0  # seconds
SEED = 1
TENANTS = 64  # hosts that the routes of `more_routes` share
ZONES = 5


def announced_fleet(loop: SimLoop, sizes: Sizes, engine: Engine | None = None, **more: Any) -> AnnouncedFleet:
    """A fleet that is not founded yet, whose workers answer by `engine`."""
    return AnnouncedFleet(loop, {"machines": {}, "pools": {}}, SEED, sizes=sizes, engine=engine or Engine(), **more)


def set_route_count(fleet: AnnouncedFleet, count: int) -> None:
    """Lets the fleet be founded with so many routes."""
    document = more_routes(fleet.first_config(), count)
    fleet.first_config = lambda: document  # type: ignore[method-assign]


def more_routes(document: Row, count: int) -> Row:
    """An operator's document, filled up to so many routes like its first one."""
    routes = list(document["routes"])
    like = routes[0]
    for i in range(len(routes), count):
        routes.append(like | {"name": f"r-more{i}", "prefix": f"/more{i}/", "host": f"tenant{i % TENANTS}.example"})
    return document | {"routes": routes}


def active_schedulers(fleet: AnnouncedFleet) -> dict[str, Scheduler]:
    """The schedulers that lease and run items now, by the names of their stores."""
    found: dict[str, Scheduler] = {}
    for machine in fleet.of("store"):
        daemon = fleet.boxes[machine.name].daemon
        if isinstance(daemon, DataPlane) and daemon.scheduler is not None and daemon.scheduler.active:
            found[machine.name] = daemon.scheduler
    return found


def control_members(fleet: AnnouncedFleet) -> dict[str, ControlPlane]:
    """The control members that run now, by name."""
    return {name: box.daemon for name, box in fleet.boxes.items() if isinstance(box.daemon, ControlPlane)}


def primary_of(fleet: AnnouncedFleet) -> ControlPlane:
    """The control member with the highest epoch."""
    members = control_members(fleet)
    return members[max((member.epoch, name) for name, member in members.items())[1]]


def roles(fleet: AnnouncedFleet) -> dict[str, list[str]]:
    """Who has which role now."""
    members, primary = control_members(fleet), primary_of(fleet)
    lead = primary.settings.name
    replicated_state = primary.replicated_state
    assert replicated_state is not None  # a primary holds the state
    backups = [name for name in members if name in replicated_state.replica_set.backups]
    return {
        "edge": [machine.name for machine in fleet.of("edge")],
        "store": [machine.name for machine in fleet.of("store")],
        "primary": [lead],
        "backup": backups,
        "witness": [name for name in members if name != lead and name not in backups],
    }


def store_count(daemons: int) -> int:
    """How many of so many daemons are stores: an eighth, and four at the least."""
    return max(4, daemons // 8)


def fleet_sizes(daemons: int, workers: int) -> Sizes:
    """A fleet of so many daemons, five of them control machines, and so many workers, four of them plain ones."""
    stores = store_count(daemons)
    edges = daemons - stores - CONTROL_MACHINES
    return Sizes(edges=edges, stores=stores, cores=CONTROL_MACHINES, zones=ZONES, models=workers - 4, plains=2)
