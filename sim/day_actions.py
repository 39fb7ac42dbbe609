"""Faults and planned work of announced fleets: each verb is a function of the fleet, its words, for how many seconds it
lasts, and how to do something later."""

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
    """Names a function as the action of verbs."""

    def add(made: DayAction) -> DayAction:
        DAY_ACTIONS.update(dict.fromkeys(names, made))
        return made

    return add


def spawn(fleet: AnnouncedFleet, coro: Coroutine[Any, Any, Any]) -> None:
    """Starts a coroutine outside all machines."""
    fleet.out(coro)


def bring_down(fleet: AnnouncedFleet, how: Callable[[str], None], args: list[str], span: float, later: Later) -> None:
    """Brings machines or workers down, and starts them again after the span if there is one."""
    # All are picked before the first falls: roles move at once.
    names = list(dict.fromkeys(name for word in args if (name := fleet.pick(word))))
    for name in names:
        how(name)
        if span:
            later(span, partial(fleet.start, name))


@verb("kill")
def kill(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """kill WHO... [for S]: the processes end at once."""
    bring_down(fleet, fleet.kill, args, span, later)


@verb("power")
def power(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """power WHO... [for S]: the machines lose power, and what was not synced."""
    bring_down(fleet, fleet.power, args, span, later)


@verb("wipe")
def wipe(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """wipe WHO... [for S]: the machines lose their disks."""
    bring_down(fleet, fleet.wipe, args, span, later)


@verb("term")
def term(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """SIGTERM; started again once it has ended, `for` seconds later."""
    for name in [fleet.pick(word) for word in args]:
        fleet.term(name)
        start_again(fleet, name, span or 1.0)


def start_again(fleet: AnnouncedFleet, name: str, pause: float) -> None:
    """Starts a machine so many seconds after its process has ended."""
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
    for i, name in enumerate(names[: int(args[2])] if len(args) > 2 else names):
        later(i * gap, partial(term, fleet, [name], 0.5, later))


@verb("freeze")
def freeze(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """freeze WHO... for S: the processes stand still."""
    for name in [fleet.pick(word) for word in args]:
        fleet.freeze(name)
        later(span, partial(fleet.thaw, name))


@verb("cut")
def cut(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """cut WHO FROM: from a class of machines, `counted` (all with disks), `daemons`, or one machine; silent."""
    cut_off(fleet, args, span, later, one_way=False)


@verb("cutone")
def cut_one_way(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """cutone WHO FROM: as `cut`, but messages come through the other way."""
    cut_off(fleet, args, span, later, one_way=True)


def cut_off(fleet: AnnouncedFleet, args: list[str], span: float, later: Later, one_way: bool) -> None:
    """Cuts a machine off from others, and joins it to them again after the span."""
    name, what = fleet.pick(args[0]), args[1]
    groups = {"counted": ("store", "core"), "daemons": ("edge", "store", "core")}
    kinds = groups.get(what, (what,))
    others = [m.name for m in fleet.machines.values() if m.kind in kinds] or [fleet.pick(what)]
    fleet.cut_off(name, others, True, one_way)
    later(span, partial(fleet.cut_off, name, others, False, one_way))


@verb("zone")
def zone_lost(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """zone power | kill | freeze | cut N: all machines and workers of a zone; a cut parts it from the other zones."""
    how, zone = args[0], fleet.zones[int(args[1])]
    names = [n for n, b in fleet.boxes.items() if b.zone == zone and b.up]
    if how != "cut":
        for name in names:
            if how == "freeze" and name in fleet.machines:
                freeze(fleet, [name], span, later)
            elif how != "freeze":
                fleet.kill(name, silent=True) if name in fleet.workers else getattr(fleet, how)(name)
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
    """add CLASS ZONE: a spare machine, empty."""
    fleet.start(fleet.add_machine(args[0], fleet.zones[int(args[1])]).name)


@verb("replace")
def replaced(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """replace WHO [for S]: it is gone for good; an empty one comes S seconds later at another address."""
    old = fleet.machines[fleet.pick(args[0])]
    fleet.remove(old.name)
    later(span or 1.0, lambda: fleet.start(fleet.add_machine(old.kind, old.zone).name))


@verb("retire")
def retire(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """retire STORE for S [then VERB WHO...]: emptied within S; once it is, it is removed with its disk, and others struck."""
    name = fleet.pick(args[0])
    rest = args[1:]

    async def run() -> None:
        got = await fleet.operator.retire(name, span)
        if got == "done":
            fleet.remove(name)
            if rest:
                DAY_ACTIONS[rest[1]](fleet, rest[2:], 2.0, later)

    spawn(fleet, run())


@verb("seeds")
def seeds(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """The settings name other machines that serve control."""
    every = [f"{m.ip}:8146" for m in reversed(fleet.of("core"))]
    fleet.seeds = every[:3]


@verb("release")
def release(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """release SERVICE GAP: its workers are replaced one after the other."""
    spawn(fleet, fleet.replace_workers(args[0], float(args[1])))


@verb("crash")
def crash(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """crash WORKER... [for S]: resets its connections; a new life starts S seconds later."""
    bring_down(fleet, fleet.kill, args, span, later)


@verb("dark")
def dark(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """dark WORKER... [for S]: silent at once."""
    for name in [fleet.pick(word) for word in args]:
        fleet.kill(name, silent=True)
        if span:
            later(span, partial(fleet.start, name))


@verb("reuse")
def reuse(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """reuse WORKER SERVICE: it is lost, and `reuseS` later its address belongs to a worker of another service."""
    name = fleet.pick(args[0])
    fleet.kill(name)
    later(fleet.limits["reuseS"], partial(fleet.start_worker, name, args[1]))


@verb("fault")
def fault(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """fault WORKER WORD SHARE for S: cut, lost, junk, surplus, extra, grey, hang, full, sick, dropidle."""
    worker = fleet.workers[fleet.pick(args[0])]
    worker.fault[args[1]] = float(args[2]) if len(args) > 2 else 1.0
    later(span, lambda: worker.fault.pop(args[1], None))


@verb("cool")
def cool(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """cool WORKER for S: it becomes cold again."""
    for name in [fleet.pick(word) for word in args]:
        fleet.workers[name].warm_at = fleet.loop.clock + span
        fleet.log({"ev": "cooled", "worker": fleet.workers[name].id})


@verb("change")
def change(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """change timeout | route | move | weights | drop | keys: one change of the configuration."""

    async def run() -> None:
        op, kinds = fleet.operator, fleet.kinds
        if args[0] == "timeout":
            await op.retime()
        elif args[0] == "route":
            name = await op.add_route("r-view")
            if not name:
                return
            route = next(r for r in op.config["routes"] if r["name"] == name)
            kinds[name] = replace(kinds["view"], word=name, route=route)
            fleet.rates[name] = fleet.rates.get("view") or 2.0
            fleet.clients.extra(name, fleet.rates[name])
        elif args[0] == "move":
            await op.move("r-view", "app" if args[1:] == ["back"] else "app2")
        elif args[0] == "keys":
            await op.rekey()
        elif args[0] == "weights":
            await op.split("r-view", {"app": 50, "app2": 50})
        elif args[0] == "drop":
            late = [r["name"] for r in op.config["routes"] if r["name"].startswith("r-late")]
            if late:
                kinds.pop(late[0], None)
                await op.drop_route(late[0])

    spawn(fleet, run())


@verb("race")
def race(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """race: two operators make a change at once."""
    spawn(fleet, fleet.operator.race())


@verb("invalid")
def invalid(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """invalid WHAT: a configuration that must be refused."""
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
    """burst X for S: X times the traffic."""
    fleet.jump = float(args[0])
    later(span, lambda: setattr(fleet, "jump", 1.0))


@verb("closing")
def closing(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """closing power_off_all | kill_all | wipe_after_ack for S: right after one more change was acknowledged."""
    how = args[0]

    async def run() -> None:
        await fleet.operator.retime()
        fleet.closing = fleet.loop.clock
        names = [m.name for m in fleet.machines.values() if m.gone > fleet.loop.clock]
        if how == "wipe_after_ack":
            first = fleet.operator.acked_by
            counted = [n for n in names if fleet.machines[n].kind != "edge" and n != first]
            wiped = ([first] if fleet.machines[first].kind != "edge" else []) + random.Random(fleet.seed).sample(
                counted, fleet.sizes.lost
            )
            wiped = wiped[: fleet.sizes.lost]
            rest = (
                [n for n in names if n not in wiped and fleet.machines[n].kind != "edge"]
                if args[1:] == ["dark"]
                else []
            )
            for name in wiped:
                fleet.wipe(name)
            for name in rest:
                fleet.power(name)
            names = wiped + rest
        else:
            for name in names:
                (fleet.power if how == "power_off_all" else fleet.kill)(name)
        for name in names:
            later(span or 1.0, partial(fleet.start, name))

    spawn(fleet, run())


STRIKES = {"term", "freeze", "cut", "cutone", "replace", "retire", "dark", "reuse", "fault", "cool"}


def perform_in_day(fleet: AnnouncedFleet, name: str, words: Sequence[str], later: Later) -> None:
    """Causes one fault or planned work; `for S` among its words says for how many seconds.

    Nothing happens if a fault strikes at a role that nobody holds now.
    """
    args, span = list(words), 0.0
    if "for" in args:
        spot = args.index("for")
        span = float(args[spot + 1])
        args = args[:spot] + args[spot + 2 :]
    if name in STRIKES and not fleet.pick(args[0]):
        return  # nobody holds that role now
    DAY_ACTIONS[name](fleet, args, span, later)
