"""The announced fleets that are measured: their sizes, their routes and who has which role in them."""

from __future__ import annotations

from bench.capacity.meter import Row
from postpass.batch.scheduler import Scheduler
from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane import DataPlane
from sim.announced import AnnouncedFleet, Sizes

CONTROL = 5  # control machines of the size to design for


def more_routes(config: Row, count: int) -> Row:
    routes = list(config["routes"])
    like = routes[0]
    for i in range(len(routes), count):
        routes.append(like | {"name": f"r-more{i}", "prefix": f"/more{i}/", "host": f"tenant{i % 64}.example"})
    return config | {"routes": routes}


def active_schedulers(fleet: AnnouncedFleet) -> dict[str, Scheduler]:
    """The schedulers that lease and run items now, by the names of their stores."""
    found: dict[str, Scheduler] = {}
    for machine in fleet.of("store"):
        daemon = fleet.boxes[machine.name].daemon
        if isinstance(daemon, DataPlane) and daemon.scheduler is not None and daemon.scheduler.active:
            found[machine.name] = daemon.scheduler
    return found


def roles(fleet: AnnouncedFleet) -> dict[str, list[str]]:
    """Who has which role now."""
    control = {n: b.daemon for n, b in fleet.boxes.items() if isinstance(b.daemon, ControlPlane)}
    lead = max((c.epoch, n) for n, c in control.items())[1]
    backups = [n for n in control if n in control[lead].replicated_state.replica_set.backups]  # type: ignore[union-attr]
    return {
        "edge": [m.name for m in fleet.of("edge")], "store": [m.name for m in fleet.of("store")], "primary": [lead],
        "backup": backups, "witness": [n for n in control if n != lead and n not in backups],
    }  # fmt: skip


def stores_of(daemons: int) -> int:
    return max(4, daemons // 8)


def sizes_of(daemons: int, workers: int) -> Sizes:
    stores = stores_of(daemons)
    return Sizes(edges=daemons - stores - CONTROL, stores=stores, cores=CONTROL, zones=5, models=workers - 4, plains=2)
