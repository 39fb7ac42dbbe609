"""Scenarios of announced fleets: the words of their text files, their faults, and what a run of them is measured by.

announced edges 4 stores 4 cores 4 zones 4 lost 1   the fleet; also zones_lost, models, plains, slots, cold (rate)
clients view 12 order 4 ask 20 review 2 lots 0.5x10 requests a second by kind; lots a second, of so many items
lead 12                                             seconds from the first start to the traffic
at 3 VERB ...                                       planned work and faults, at seconds of traffic
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from postpass.runtime import log_events
from sim.announced import AnnouncedFleet, Compose, Sizes, product
from sim.loop import SimLoop
from sim.rules import EVER, Day, breaches

Later = Callable[[float, Callable[[], Any]], None]
WORDS = {"edges", "stores", "cores", "zones", "lost", "zones_lost", "models", "plains", "slots", "cold"}
KINDS = {"view", "order", "ask", "review", "lots"}


@dataclass
class Plan:
    """What a text file says of an announced fleet, besides faults and expectations."""

    sizes: Sizes = field(default_factory=Sizes)
    rates: dict[str, float] = field(default_factory=lambda: {"view": 6.0, "order": 3.0, "ask": 8.0, "review": 1.0})
    lots: tuple[float, int] = (0.0, 0)
    lead: float = 12.0
    bounds: dict[str, float] = field(default_factory=dict)
    late: dict[str, float] = field(default_factory=dict)  # machines that start later than the others


def pairs(words: list[str]) -> dict[str, str]:
    if len(words) % 2:
        raise ValueError("want pairs of a word and a value")
    return dict(zip(words[::2], words[1::2], strict=True))


def read_line(plan: Plan, head: str, rest: list[str]) -> bool:
    """Takes one line of a scenario that only announced fleets have; False if it isn't one, or isn't understood."""
    try:
        if head == "announced":
            found = pairs(rest)
            if not set(found) <= WORDS:
                return False
            made: dict[str, Any] = {k: float(v) if k == "cold" else int(v) for k, v in found.items()}
            plan.sizes = replace(plan.sizes, **made)
        elif head == "clients":
            found = pairs(rest)
            if not set(found) <= KINDS:
                return False
            rate, _, size = found.pop("lots", "0x0").partition("x")
            plan.lots = (float(rate), int(size))
            plan.rates = {k: float(v) for k, v in found.items()}
        elif head == "lead":
            plan.lead = float(rest[0])
        elif head == "bounds":
            plan.bounds |= {k: float(v) for k, v in pairs(rest).items()}
        elif head == "late":
            plan.late |= {k: float(v) for k, v in pairs(rest).items()}
        else:
            return False
    except (ValueError, IndexError):
        return False
    return True


# --- faults and planned work: each verb is a function of the fleet, its words, how long, and how to do something later
Deed = Callable[[AnnouncedFleet, list[str], float, Later], None]
DEEDS: dict[str, Deed] = {}


def deed(*names: str) -> Callable[[Deed], Deed]:
    def add(made: Deed) -> Deed:
        DEEDS.update(dict.fromkeys(names, made))
        return made

    return add


def spawn(fleet: AnnouncedFleet, coro: Coroutine[Any, Any, Any]) -> None:
    fleet.out(coro)


def down(fleet: AnnouncedFleet, how: str, args: list[str], span: float, later: Later) -> None:
    names = list(
        dict.fromkeys(n for x in args if (n := fleet.pick(x)))
    )  # all before the first falls: roles move at once
    for name in names:
        getattr(fleet, how)(name)
        if span:
            later(span, partial(fleet.start, name))


for _how in ("kill", "power", "wipe"):
    DEEDS[_how] = (lambda how: lambda fleet, args, span, later: down(fleet, how, args, span, later))(_how)


@deed("term")
def term(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """SIGTERM; started again once it has ended, `for` seconds later."""
    for name in [fleet.pick(x) for x in args]:
        fleet.term(name)
        again(fleet, name, span or 1.0)


def again(fleet: AnnouncedFleet, name: str, pause: float) -> None:
    box, host = fleet.boxes[name], fleet.boxes[name].host

    async def wait() -> None:
        while box.host is host and box.up:
            await asyncio.sleep(0.1)
        await asyncio.sleep(pause)
        fleet.start(name)

    fleet.loop.create_task(wait(), context=contextvars.Context())


@deed("roll")
def roll(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """roll CLASS GAP [COUNT]: SIGTERM to machines of a class one after the other, each started again."""
    names = [m.name for m in fleet.of(args[0])]
    gap = float(args[1])
    for i, name in enumerate(names[: int(args[2])] if len(args) > 2 else names):
        later(i * gap, partial(term, fleet, [name], 0.5, later))


@deed("freeze")
def freeze(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    for name in [fleet.pick(x) for x in args]:
        fleet.freeze(name)
        later(span, partial(fleet.thaw, name))


@deed("cut", "cutone")
def cut(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """cut WHO FROM: from a class of machines, `counted` (all with disks), `daemons`, or one machine; silent."""
    cut_(fleet, args, span, later, one_way=False)


def cut_(fleet: AnnouncedFleet, args: list[str], span: float, later: Later, one_way: bool) -> None:
    name, what = fleet.pick(args[0]), args[1]
    groups = {"counted": ("store", "core"), "daemons": ("edge", "store", "core")}
    kinds = groups.get(what, (what,))
    others = [m.name for m in fleet.machines.values() if m.kind in kinds] or [fleet.pick(what)]
    fleet.cut_off(name, others, True, one_way)
    later(span, partial(fleet.cut_off, name, others, False, one_way))


DEEDS["cutone"] = partial(cut_, one_way=True)


@deed("zone")
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


@deed("start")
def start(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    for name in args:
        fleet.start(name)


@deed("add")
def add(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """add CLASS ZONE: a spare machine, empty."""
    fleet.start(fleet.add_machine(args[0], fleet.zones[int(args[1])]).name)


@deed("replace")
def replaced(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """replace WHO [for S]: it is gone for good; an empty one comes S seconds later at another address."""
    old = fleet.machines[fleet.pick(args[0])]
    fleet.remove(old.name)
    later(span or 1.0, lambda: fleet.start(fleet.add_machine(old.kind, old.zone).name))


@deed("retire")
def retire(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """retire STORE for S [then VERB WHO...]: emptied within S; once it is, it is removed with its disk, and others struck."""
    name = fleet.pick(args[0])
    rest = args[1:]

    async def run() -> None:
        got = await fleet.operator.retire(name, span)
        if got == "done":
            fleet.remove(name)
            if rest:
                DEEDS[rest[1]](fleet, rest[2:], 2.0, later)

    spawn(fleet, run())


@deed("seeds")
def seeds(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """The settings name other machines that serve control."""
    every = [f"{m.ip}:8146" for m in reversed(fleet.of("core"))]
    fleet.seeds = every[:3]


@deed("release")
def release(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """release SERVICE GAP: its workers are replaced one after the other."""
    spawn(fleet, fleet.replace_workers(args[0], float(args[1])))


@deed("crash")
def crash(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """crash WORKER... [for S]: resets its connections; a new life starts S seconds later."""
    down(fleet, "kill", args, span, later)


@deed("dark")
def dark(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """dark WORKER... [for S]: silent at once."""
    for name in [fleet.pick(x) for x in args]:
        fleet.kill(name, silent=True)
        if span:
            later(span, partial(fleet.start, name))


@deed("reuse")
def reuse(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """reuse WORKER SERVICE: it is lost, and `reuseS` later its address belongs to a worker of another service."""
    name = fleet.pick(args[0])
    fleet.kill(name)
    later(fleet.limits["reuseS"], partial(fleet.start_worker, name, args[1]))


@deed("fault")
def fault(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """fault WORKER WORD SHARE for S: cut, lost, junk, surplus, extra, grey, hang, full, sick, dropidle."""
    worker = fleet.workers[fleet.pick(args[0])]
    worker.fault[args[1]] = float(args[2]) if len(args) > 2 else 1.0
    later(span, lambda: worker.fault.pop(args[1], None))


@deed("cool")
def cool(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """cool WORKER for S: it becomes cold again."""
    for name in [fleet.pick(x) for x in args]:
        fleet.workers[name].warm_at = fleet.loop.clock + span
        fleet.log({"ev": "cooled", "worker": fleet.workers[name].id})


@deed("change")
def change(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """change timeout | route | move | weights | drop: one change of the configuration."""

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
        elif args[0] == "weights":
            await op.split("r-view", {"app": 50, "app2": 50})
        elif args[0] == "drop":
            late = [r["name"] for r in op.config["routes"] if r["name"].startswith("r-late")]
            if late:
                kinds.pop(late[0], None)
                await op.drop_route(late[0])

    spawn(fleet, run())


@deed("race")
def race(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    spawn(fleet, fleet.operator.race())


@deed("invalid")
def invalid(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    spawn(fleet, fleet.operator.invalid(args[0]))


@deed("evac")
def evac(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """evac ZONE for S"""
    zone = fleet.zones[int(args[0])]
    spawn(fleet, fleet.operator.evacuate(zone))
    if span:
        later(span, lambda: spawn(fleet, fleet.operator.evacuate(zone, False)))


@deed("burst")
def burst(fleet: AnnouncedFleet, args: list[str], span: float, later: Later) -> None:
    """burst X for S: X times the traffic."""
    fleet.jump = float(args[0])
    later(span, lambda: setattr(fleet, "jump", 1.0))


@deed("closing")
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


def act(fleet: AnnouncedFleet, verb: str, args: list[str], later: Later) -> None:
    span = 0.0
    if "for" in args:
        spot = args.index("for")
        span = float(args[spot + 1])
        args = args[:spot] + args[spot + 2 :]
    if verb in STRIKES and not fleet.pick(args[0]):
        return  # nobody holds that role now
    DEEDS[verb](fleet, args, span, later)


# --- a run
def late_streams(seen: list[dict[str, Any]], most: float) -> float:
    """The share of streams of which an event came to its client too long after its worker had made it."""
    made = {f"{e['run']}": (e["from"], e["made"]) for e in seen if e["ev"] == "ended" and "made" in e}
    good = late = 0
    for e in seen:
        if e["ev"] == "answer" and e["events"]:
            good += 1
            for number, data, at in e["events"]:
                first, times = made.get(data.rpartition(".")[2], (0, []))
                if 0 <= number - first - 1 < len(times) and at - times[number - first - 1] > most:
                    late += 1
                    break
    return late / good if good else 0.0


def stats_of(fleet: AnnouncedFleet) -> dict[str, float]:
    seen = fleet.events
    out: dict[str, float] = {f"event_{n}": c for n, c in log_events.COUNTS.items()}
    served = [e for e in seen if e["ev"] == "served"]
    out["asked"] = len(served)
    out["served"] = sum(e["good"] for e in served) / len(served) if served else 0.0
    for word in sorted({e["word"] for e in served}):
        mine = [e for e in served if e["word"] == word]
        out[f"served_{word}"] = sum(e["good"] for e in mine) / len(mine)
        out[f"in_time_{word}"] = sum(e["good"] and e["first"] - e["began"] <= e["target"] for e in mine) / len(mine)
    out |= {f"answers_{k}": v for k, v in Counter(e["status"] for e in seen if e["ev"] == "answer").items()}
    out |= {f"lots_{k}": v for k, v in Counter(e["status"] for e in seen if e["ev"] == "lot_told").items()}
    out["lots_kept"] = len({e["lot"] for e in seen if e["ev"] == "lot_told" and e["status"] == 202})
    rows = {(e["lot"], r["id"]): r["state"] for e in seen if e["ev"] == "lot_read" for r in e["results"]}
    out |= {f"items_{k}": v for k, v in Counter(rows.values()).items()}
    out["items_runs"] = sum(e["ev"] == "ran" and e["id"] in fleet.item_ids() for e in seen)
    out |= {f"changed_{k}": v for k, v in Counter(e["status"] for e in seen if e["ev"] == "changed").items()}
    out["evac_acked"] = sum(e["ev"] == "evac" and e["status"] == 200 for e in seen)
    out["retired"] = sum(e["ev"] == "retired" for e in seen)
    out["resumed"] = sum(e["ev"] == "ran" and e["last"] > 0 for e in seen)
    out["probes"] = sum(e["ev"] == "probe" for e in seen)
    out["founded"] = max((e["after"] for e in seen if e["ev"] == "founded"), default=99.0)
    late = [e for e in seen if e["ev"] in ("founded",) and not e["taken"]]
    out["taken_late"] = len(late)
    goods = sorted(e["t"] for e in served if e["good"])
    out["late_streams"] = late_streams(seen, fleet.limits["sweepMs"] / 1000)
    out["gap"] = max((b - a for a, b in zip(goods, goods[1:], strict=False)), default=0.0)
    out["ran"] = fleet.loop.ran
    out |= {f"point_{n}": c for n, c in fleet.points.seen.items()}
    return out


async def run_day(
    loop: SimLoop, plan: Plan, seed: int, span: float, settle: float, script: Callable[[AnnouncedFleet, Later], Coroutine[Any, Any, None]],
    make: Callable[[Any], None] | None = None, compose: Compose = product, disk: int = 64 << 20, release: str = "",
    prepare: Callable[[AnnouncedFleet], None] | None = None,
) -> tuple[AnnouncedFleet, dict[str, list[str]]]:  # fmt: skip
    """Founds a fleet, plays traffic with what the script causes, reads everything back, and holds the history against
    the rules."""
    fleet = AnnouncedFleet(loop, {"machines": {}, "pools": {}}, seed, make=make, disk_cap=disk, sizes=plan.sizes, compose=compose,
                           platform_bounds=plan.bounds, release=release)  # fmt: skip
    if prepare is not None:
        prepare(fleet)

    def later(wait: float, then: Callable[[], Any]) -> None:
        loop.call_later(wait, then, context=contextvars.Context())

    for word, late in plan.late.items():
        fleet.late[fleet.pick(word)] = late
    await fleet.found_announced(plan.lead)
    fleet.began = loop.clock
    fleet.rates = dict(plan.rates)
    causes = loop.create_task(script(fleet, later))
    probes = fleet.out(fleet.probe())
    await fleet.out(fleet.clients.load(plan.rates, plan.lots, span, lambda: fleet.jump))
    await causes
    await asyncio.sleep(max(0.0, fleet.began + span - loop.clock))
    probes.cancel()
    fleet.log({"ev": "traffic_over"})
    await fleet.out(both(fleet.operator.read_back(), fleet.clients.audit(settle)))
    core = frozenset(m.name for m in fleet.of("core", gone=True))
    day = Day(
        fleet.events, fleet.limits, core, frozenset(m.name for m in fleet.of("store", gone=True)), fleet.closing or EVER
    )
    return fleet, breaches(day)


async def both(*coros: Coroutine[Any, Any, None]) -> None:
    await asyncio.gather(*coros)
