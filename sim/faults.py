"""Faults of machines, links, disks and workers that scenarios cause, by verb.

Each function takes the fleet, the words after the verb, the duration in seconds (0 if none is given), and a function that
schedules something for later.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from sim.deferred import Later
from sim.disk import SimDisk
from sim.fleet import SimFleet

Action = Callable[[SimFleet, list[str], float, Later], None]
TERM_S = 3.0  # seconds that a daemon has to stop before it is started again
# Classes of machines that a link can be cut to, by the first letters of their names.
CLASSES = {"control": "c", "stores": "s", "edges": "e", "daemons": "cse"}


def kill(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """kill WHO...: the process ends at once."""
    bring_down(fleet, fleet.kill, words, span, later)


def power(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """power WHO...: the machine loses power, and with it all data that was not synced."""
    bring_down(fleet, fleet.power, words, span, later)


def wipe(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """wipe WHO...: the machine loses its disk."""
    bring_down(fleet, fleet.wipe, words, span, later)


def bring_down(
    fleet: SimFleet, stop_machine: Callable[[str], None], words: list[str], span: float, later: Later
) -> None:
    """Brings machines down, and starts them again after `span` seconds unless that is 0."""
    names = [fleet.pick(word) for word in words]  # all before the first goes down, since roles move at once
    for name in names:
        stop_machine(name)
        if span:
            later(span, partial(fleet.start, name))


def term(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """term WHO: SIGTERM."""
    name = fleet.pick(words[0])
    fleet.term(name)
    if span:
        later(span + TERM_S, partial(fleet.start, name))


def zone(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """area power|wipe|kill WHO: strikes all machines, workers and back ends of the zone of WHO."""
    stop_machine: Callable[[str], None] = getattr(fleet, words[0])
    zone_name = fleet.boxes[fleet.pick(words[1])].zone
    for name in [name for name, box in fleet.boxes.items() if box.zone == zone_name and box.up]:
        stop_machine(name)
        later(span, partial(fleet.start, name))


def start(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """start WHO."""
    fleet.start(fleet.pick(words[0]))


def freeze(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """freeze WHO: the process is suspended."""
    name = fleet.pick(words[0])
    fleet.freeze(name)
    later(span, partial(fleet.thaw, name))


def isolate(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """isolate WHO: the machine is cut off from all others."""
    name = fleet.pick(words[0])
    fleet.isolate(name)
    later(span, partial(fleet.isolate, name, False))


def cut(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """cut WHO OTHER: cuts the links between a machine and another one or a class, both ways."""
    machine, others = cut_ends(fleet, words)
    cut_links(fleet, [link for other in others for link in ((machine, other), (other, machine))], span, later)


def cut_one_way(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """cutone WHO OTHER: cuts the links from a machine to another one or a class, in that direction only."""
    machine, others = cut_ends(fleet, words)
    cut_links(fleet, [(machine, other) for other in others], span, later)


def cut_ends(fleet: SimFleet, words: list[str]) -> tuple[str, list[str]]:
    """Returns a machine, and those that it is to be cut off from."""
    machine, other = fleet.pick(words[0]), words[1]
    if other not in CLASSES:
        return machine, [name for name in [fleet.pick(other)] if name != machine]
    return machine, [name for name in fleet.configuration["machines"] if name[0] in CLASSES[other] and name != machine]


def cut_links(fleet: SimFleet, links: list[tuple[str, str]], span: float, later: Later) -> None:
    """Cuts links, and restores them after `span` seconds."""
    for source, target in links:
        fleet.cut(source, target)

    def heal() -> None:
        for source, target in links:
            fleet.cut(source, target, on=False)

    later(span, heal)


def slow(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """slow WHO S: all messages of the machine take S seconds longer."""
    name = fleet.pick(words[0])
    fleet.loop.net.slow[name] = float(words[1])
    later(span, lambda: fleet.loop.net.slow.update({name: 0.0}))


def disk_of(fleet: SimFleet, word: str) -> tuple[str, SimDisk]:
    """Returns the name and the disk of a machine."""
    box = fleet.boxes[fleet.pick(word)]
    assert box.disk is not None, f"{box.name} has no disk"
    return box.name, box.disk


def stall(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """stall WHO S: each sync of its disk takes S seconds."""
    _, disk = disk_of(fleet, words[0])
    disk.stall = float(words[1])
    later(span, lambda: setattr(disk, "stall", 0.0))


def fail_sync(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """failsync WHO: syncs of its disk fail."""
    _, disk = disk_of(fleet, words[0])
    disk.fails = True
    later(span, lambda: setattr(disk, "fails", False))


def fill(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """fill WHO N: its disk has N bytes left."""
    _, disk = disk_of(fleet, words[0])
    capacity = disk.cap
    disk.cap = sum(map(len, disk.files.values())) + int(words[1])
    later(span, lambda: setattr(disk, "cap", capacity))


def damage(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """damage WHO PREFIX: its last file whose name begins with PREFIX is damaged from a third of its bytes on."""
    name, disk = disk_of(fleet, words[0])
    fleet.kill(name)
    file = next(file for file in reversed(disk.names()) if file.startswith(words[1]))
    disk.damage(file, len(disk.files[file]) // 3)
    fleet.start(name)


def spoil(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """spoil WHO N: the last N bytes of its log, though synced and acknowledged, can no longer be read back."""
    name, disk = disk_of(fleet, words[0])
    size = int(words[1])
    fleet.kill(name)
    last = max(file for file in disk.names() if file.startswith("log-") and len(disk.files[file]) > size)
    disk.damage(last, len(disk.files[last]) - size)
    fleet.start(name)


def worker_fault(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """fault WORKER WHAT: the simulated worker has the fault WHAT."""
    worker = fleet.boxes[words[0]].thing
    worker.fault = words[1]
    later(span, lambda: setattr(worker, "fault", ""))


def version(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """version WHO RELEASE: restarts the machine with a release, which all later starts of machines use too."""
    name = fleet.pick(words[0])
    fleet.release = words[1]
    fleet.kill(name)
    fleet.start(name)


FAULTS: dict[str, Action] = {
    "kill": kill,
    "power": power,
    "wipe": wipe,
    "term": term,
    "area": zone,
    "start": start,
    "freeze": freeze,
    "isolate": isolate,
    "cut": cut,
    "cutone": cut_one_way,
    "slow": slow,
    "stall": stall,
    "failsync": fail_sync,
    "fill": fill,
    "damage": damage,
    "spoil": spoil,
    "fault": worker_fault,
    "version": version,
}
