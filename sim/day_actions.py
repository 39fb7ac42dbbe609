"""Faults and planned work of announced fleets, by verb.

The function of a verb takes the fleet, the words after the verb, the duration in seconds (0 if none is given), and a function
that schedules something for later."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

from sim.announced import AnnouncedFleet
from sim.deferred import Later

DayAction = Callable[[AnnouncedFleet, list[str], float, Later], None]
DAY_ACTIONS: dict[str, DayAction] = {}


def verb(*names: str) -> Callable[[DayAction], DayAction]:
    """Returns a decorator that registers a function as the action of some verbs."""

    def add(function: DayAction) -> DayAction:
        DAY_ACTIONS.update(dict.fromkeys(names, function))
        return function

    return add


def spawn(fleet: AnnouncedFleet, coro: Coroutine[Any, Any, Any]) -> None:
    """Runs a coroutine as a task of no machine."""
    fleet.out(coro)


def bring_down(
    fleet: AnnouncedFleet, stop_machine: Callable[[str], None], args: list[str], span: float, later: Later
) -> None:
    """Brings machines or workers down, and starts them again after `span` seconds unless that is 0."""
    # All are picked before the first one goes down, since roles move to other machines at once.
    names = list(dict.fromkeys(name for word in args if (name := fleet.pick(word))))
    for name in names:
        stop_machine(name)
        if span:
            later(span, partial(fleet.start, name))


@verb("kill")
def kill(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """kill WHO... [for S]: the processes end at once."""
    bring_down(fleet, fleet.kill, args, span, later)


@verb("power")
def power(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """power WHO... [for S]: the machines lose power, and with it all data that was not synced."""
    bring_down(fleet, fleet.power, args, span, later)


@verb("wipe")
def wipe(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """wipe WHO... [for S]: the machines lose their disks."""
    bring_down(fleet, fleet.wipe, args, span, later)


@verb("term")
def term(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """term WHO... [for S]: SIGTERM; S seconds after the process has ended it is started again."""
    for name in [fleet.pick(word) for word in args]:
        fleet.term(name)
        start_again(fleet, name, span or 1.0)


def start_again(fleet: AnnouncedFleet, name: str, pause: float) -> None:
    """Starts a machine `pause` seconds after its process has ended."""
    box, host = fleet.boxes[name], fleet.boxes[name].host

    async def wait() -> None:
        while box.host is host and box.up:
            await asyncio.sleep(0.1)
        await asyncio.sleep(pause)
        fleet.start(name)

    fleet.loop.create_task(wait(), context=contextvars.Context())


@verb("roll")
def roll(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """roll CLASS GAP [COUNT]: SIGTERM to machines of a class one after the other, each started again."""
    names = [m.name for m in fleet.of(args[0])]
    gap = float(args[1])
    for index, name in enumerate(names[: int(args[2])] if len(args) > 2 else names):
        later(index * gap, partial(term, fleet, [name], 0.5, later))


@verb("freeze")
def freeze(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """freeze WHO... for S: the processes are suspended."""
    for name in [fleet.pick(word) for word in args]:
        fleet.freeze(name)
        later(span, partial(fleet.thaw, name))


@verb("cut")
def cut(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """cut WHO FROM: cuts the links to a class of machines, to `counted` (all with disks), `daemons`, or one machine.

    Messages are dropped and neither side sees an error.
    """
    cut_off(fleet, args, span, later, one_way=False)


@verb("cutone")
def cut_one_way(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """cutone WHO FROM: as `cut`, but messages in the opposite direction still arrive."""
    cut_off(fleet, args, span, later, one_way=True)


def cut_off(fleet: AnnouncedFleet, args: list[str], span: float, later: Later, one_way: bool) -> None:
    """Cuts a machine off from others, and restores the links after `span` seconds."""
    name, target = fleet.pick(args[0]), args[1]
    groups = {"counted": ("store", "core"), "daemons": ("edge", "store", "core")}
    kinds = groups.get(target, (target,))
    others = [m.name for m in fleet.machines.values() if m.kind in kinds] or [fleet.pick(target)]
    fleet.cut_off(name, others, True, one_way)
    later(span, partial(fleet.cut_off, name, others, False, one_way))


@verb("zone")
def lose_zone(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """zone power | kill | freeze | cut N: strikes all machines and workers of a zone; `cut` isolates it from the other zones."""
    fault_name, zone = args[0], fleet.zones[int(args[1])]
    names = [n for n, b in fleet.boxes.items() if b.zone == zone and b.up]
    if fault_name != "cut":
        for name in names:
            if fault_name == "freeze" and name in fleet.machines:
                freeze(fleet, [name], span, later)
            elif fault_name != "freeze":
                fleet.kill(name, silent=True) if name in fleet.workers else getattr(fleet, fault_name)(name)
                later(span, partial(fleet.start, name))
        return
    others = [n for n, b in fleet.boxes.items() if b.zone != zone]
    for name in names:
        fleet.cut_off(name, others, True)
        later(span, partial(fleet.cut_off, name, others, False))


@verb("start")
def start(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """start NAME..."""
    for name in args:
        fleet.start(name)


@verb("add")
def add(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """add CLASS ZONE: adds and starts a machine with an empty disk."""
    fleet.start(fleet.add_machine(args[0], fleet.zones[int(args[1])]).name)


@verb("replace")
def replace_machine(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """replace WHO [for S]: removes it for good; S seconds later an empty machine starts at another address."""
    old = fleet.machines[fleet.pick(args[0])]
    fleet.remove(old.name)
    later(span or 1.0, lambda: fleet.start(fleet.add_machine(old.kind, old.zone).name))


@verb("retire")
def retire(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """retire STORE for S [then VERB WHO...]: moves its data away within S seconds.

    Once that is done, the store is removed with its disk, and the fault VERB strikes others.
    """
    name = fleet.pick(args[0])
    follow_up = args[1:]

    async def run() -> None:
        result = await fleet.operator.retire(name, span)
        if result == "done":
            fleet.remove(name)
            if follow_up:
                DAY_ACTIONS[follow_up[1]](fleet, follow_up[2:], 2.0, later)

    spawn(fleet, run())


@verb("seeds")
def seeds(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """seeds: the settings files name other control machines as seeds from now on."""
    control_addresses = [f"{m.ip}:8146" for m in reversed(fleet.of("core"))]
    fleet.seeds = control_addresses[:3]


@verb("release")
def release(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """release SERVICE GAP: replaces its workers one by one, GAP seconds apart."""
    spawn(fleet, fleet.replace_workers(args[0], float(args[1])))


@verb("crash")
def crash(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """crash WORKER... [for S]: ends it and resets its connections; a new instance starts S seconds later."""
    bring_down(fleet, fleet.kill, args, span, later)


@verb("dark")
def dark(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """dark WORKER... [for S]: it stops without closing its connections, as after a loss of power."""
    for name in [fleet.pick(word) for word in args]:
        fleet.kill(name, silent=True)
        if span:
            later(span, partial(fleet.start, name))


@verb("reuse")
def reuse(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """reuse WORKER SERVICE: it is lost, and `reuseS` seconds later a worker of another service has its address."""
    name = fleet.pick(args[0])
    fleet.kill(name)
    later(fleet.limits["reuseS"], partial(fleet.start_worker, name, args[1]))


@verb("fault")
def fault(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """fault WORKER WORD SHARE for S: a share of its answers has a fault: cut, lost, junk, surplus, extra, repeat, grey, hang,
    mute, withheld, full, sick or dropidle."""
    worker = fleet.workers[fleet.pick(args[0])]
    worker.fault[args[1]] = float(args[2]) if len(args) > 2 else 1.0
    later(span, lambda: worker.fault.pop(args[1], None))


@verb("cool")
def cool(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """cool WORKER for S: it is cold again, and warm S seconds later."""
    for name in [fleet.pick(word) for word in args]:
        fleet.workers[name].warm_at = fleet.loop.clock + span
        fleet.log({"ev": "cooled", "worker": fleet.workers[name].id})


@verb("change")
def change(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """change timeout | route | move | weights | drop | keys: makes one change of the configuration."""

    async def run() -> None:
        operator, kinds = fleet.operator, fleet.kinds
        if args[0] == "timeout":
            await operator.retime()
        elif args[0] == "route":
            name = await operator.add_route("r-view")
            if not name:
                return
            route = next(r for r in operator.config["routes"] if r["name"] == name)
            kinds[name] = replace(kinds["view"], word=name, route=route)
            fleet.rates[name] = fleet.rates.get("view") or 2.0
            fleet.clients.add_traffic(name, fleet.rates[name])
        elif args[0] == "move":
            await operator.move("r-view", "app" if args[1:] == ["back"] else "app2")
        elif args[0] == "keys":
            await operator.rekey()
        elif args[0] == "weights":
            await operator.split("r-view", {"app": 50, "app2": 50})
        elif args[0] == "drop":
            late_routes = [r["name"] for r in operator.config["routes"] if r["name"].startswith("r-late")]
            if late_routes:
                kinds.pop(late_routes[0], None)
                await operator.drop_route(late_routes[0])

    spawn(fleet, run())


@verb("race")
def race(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """race: two operators make a change at the same time."""
    spawn(fleet, fleet.operator.race())


@verb("invalid")
def invalid(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """invalid WHAT: sends a configuration that must be refused."""
    spawn(fleet, fleet.operator.invalid(args[0]))


@verb("evac")
def evac(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """evac ZONE for S: the zone is evacuated."""
    zone = fleet.zones[int(args[0])]
    spawn(fleet, fleet.operator.evacuate(zone))
    if span:
        later(span, lambda: spawn(fleet, fleet.operator.evacuate(zone, False)))


@verb("burst")
def burst(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """burst X for S: multiplies the traffic by X."""
    fleet.traffic_factor = float(args[0])
    later(span, lambda: setattr(fleet, "traffic_factor", 1.0))


@verb("closing")
def closing(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """closing power_off_all | kill_all | wipe_after_ack [dark] for S: strikes right after one more change was acknowledged.

    `wipe_after_ack` wipes as many machines as may be lost at once, first the one that acknowledged the change unless it is an
    edge, which has no disk; with `dark`, all other machines with disks lose power too. S seconds later those that were struck start again.
    """
    fault_name = args[0]

    async def run() -> None:
        await fleet.operator.retime()
        fleet.closing_at = fleet.loop.clock
        names = [m.name for m in fleet.machines.values() if m.gone > fleet.loop.clock]
        if fault_name == "wipe_after_ack":
            acknowledging_machine = fleet.operator.acked_by
            with_disk = [n for n in names if fleet.machines[n].kind != "edge" and n != acknowledging_machine]
            wiped = (
                [acknowledging_machine] if fleet.machines[acknowledging_machine].kind != "edge" else []
            ) + random.Random(fleet.seed).sample(with_disk, fleet.sizes.lost)
            wiped = wiped[: fleet.sizes.lost]
            powered_off = (
                [n for n in names if n not in wiped and fleet.machines[n].kind != "edge"]
                if args[1:] == ["dark"]
                else []
            )
            for name in wiped:
                fleet.wipe(name)
            for name in powered_off:
                fleet.power(name)
            names = wiped + powered_off
        else:
            for name in names:
                (fleet.power if fault_name == "power_off_all" else fleet.kill)(name)
        for name in names:
            later(span or 1.0, partial(fleet.start, name))

    spawn(fleet, run())


STRIKES = {"term", "freeze", "cut", "cutone", "replace", "retire", "dark", "reuse", "fault", "cool"}


def perform_in_day(fleet: AnnouncedFleet, name: str, words: Sequence[str], later: Later) -> None:
    """Causes one fault or planned work; `for S` among its words sets the duration in seconds.

    Nothing happens if the fault is to strike a role that no machine has now.
    """
    args, span = list(words), 0.0
    if "for" in args:
        position = args.index("for")
        span = float(args[position + 1])
        args = args[:position] + args[position + 2 :]
    if name in STRIKES and not fleet.pick(args[0]):
        return  # no machine has that role now
    DAY_ACTIONS[name](fleet, args, span, later)
