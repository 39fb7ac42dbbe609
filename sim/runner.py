"""Runs scenarios: small text files that say fleet, load, faults at times, and what must hold.

python -m sim.runner sim/scenarios/owner-power.txt [--seed 5]
python -m sim.runner --all
"""

from __future__ import annotations

import asyncio
import contextvars
import copy
import logging as pylog
import operator
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import Any

from bench.clients import Load
from bench.deploy import DEPLOYMENTS
from bench.plan import changed, manifest
from postpass.runtime import log_events
from sim import days
from sim.announced import AnnouncedFleet
from sim.check import Bounds, History, breaches
from sim.fleet import SimFleet
from sim.loop import SimLoop, run_sim
from sim.points import Point, known

FOLDER = Path(__file__).parent / "scenarios"
EXTRAS = ("within", "once", "ends", "echo", "keyed")
OPS: dict[str, Callable[[float, float], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
    "==": operator.eq,
    ">": operator.gt,
    "<": operator.lt,
}


@dataclass(frozen=True)
class Act:
    at: float
    verb: str
    args: tuple[str, ...]


@dataclass(frozen=True)
class When:
    """A fault right at a point: `when EVENT[@WHO] [N] [from T] [within D] VERB …` is caused as the N-th such point
    from T on is passed, which has to come by T + D; with `maybe` in place of `when` it may also not come."""

    line: int
    event: str
    who: str
    nth: int
    start: float
    limit: float
    act: Act
    needed: bool = True


@dataclass(eq=False)
class Scenario:
    """Invariant: what is not understood is refused with file and line, never skipped."""

    name: str
    why: str = ""
    fleet: dict[str, Any] = field(default_factory=dict)
    load: dict[str, str] = field(default_factory=dict)
    set: list[tuple[str, Any]] = field(default_factory=list)
    tune: dict[str, Any] = field(default_factory=dict)
    disk: int = 64 << 20
    run: float = 20.0
    settle: float = 40.0
    seeds: tuple[int, ...] = (1,)
    acts: list[Act] = field(default_factory=list)
    whens: list[When] = field(default_factory=list)
    expect: list[tuple[str, str, float]] = field(default_factory=list)
    excused: bool = False
    plan: days.Plan | None = None  # of an announced fleet
    deployment: str = ""  # one of the brief's, whole: its machines, servers, callers and delays


def value(text: str) -> Any:
    if text in ("true", "false"):
        return text == "true"
    if text in ("none", "null"):
        return None
    if text.startswith("["):
        return [value(t.strip()) for t in text[1:-1].split(",") if t.strip()]
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            pass
    return text.replace("~", " ")


def parse_when(words: list[str], line: int) -> When | None:
    event, _, who = words[0].partition("@")
    rest = words[1:]
    nth = int(rest.pop(0)) if rest and rest[0].isdigit() else 1
    start = limit = 0.0
    while len(rest) > 2 and rest[0] in ("from", "within"):
        if rest[0] == "from":
            start = float(rest[1])
        else:
            limit = float(rest[1])
        rest = rest[2:]
    if not rest or rest[0] not in VERBS | days.DEEDS.keys() or not known(event) or nth < 1:
        return None
    return When(line, event, who, nth, start, limit or 1e9, Act(0.0, rest[0], tuple(rest[1:])))


def parse(text: str, name: str) -> Scenario:
    out = Scenario(name)
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line:
            continue
        if line.startswith("#"):
            out.why += line[1:].strip() + " "
            continue
        head, *rest = line.split()
        pairs = dict(r.split("=", 1) for r in rest if "=" in r)
        if head == "fleet":
            out.fleet = {k: value(v) for k, v in pairs.items()}
        elif head == "load":
            out.load = pairs
        elif head == "set":
            out.set += [(k, value(v)) for k, v in pairs.items()]
        elif head == "tune":
            out.tune = {k: value(v) for k, v in pairs.items()}
        elif head == "disk":
            out.disk = int(rest[0])
        elif head in ("run", "settle"):
            setattr(out, head, float(rest[0]))
        elif head == "seeds":
            out.seeds = tuple(int(r) for r in rest)
        elif head == "deployment" and rest and rest[0] in DEPLOYMENTS:
            out.deployment = rest[0]
        elif head == "excused":
            out.excused = True
        elif out.plan is not None and days.read_line(out.plan, head, rest):
            continue
        elif head == "announced" and out.plan is None:
            out.plan = days.Plan()
            if not days.read_line(out.plan, head, rest):
                raise ValueError(f"{name}:{number}: not understood: {line}")
        elif head == "at" and len(rest) > 1 and rest[1] in (VERBS if out.plan is None else days.DEEDS):
            out.acts.append(Act(float(rest[0]), rest[1], tuple(rest[2:])))
        elif head in ("when", "maybe") and len(rest) > 1 and (when := parse_when(rest, number)) is not None:
            out.whens.append(replace(when, needed=head == "when"))
        elif head == "expect" and len(rest) == 3 and rest[1] in OPS:
            out.expect.append((rest[0], rest[1], float(rest[2])))
        else:
            raise ValueError(f"{name}:{number}: not understood: {line}")
    return out


def loaded(text: dict[str, str]) -> Load:
    live, plain, lots = {}, {}, {}
    for key, val in text.items():
        if "x" in val and key not in EXTRAS:
            rate, size = val.split("x")
            lots[key] = (float(rate), int(size))
        elif key in ("view", "tiles"):
            plain[key] = float(val)
        elif key not in EXTRAS:
            live[key] = float(val)
    return Load(live, plain, lots, **extras(text))  # type: ignore[arg-type]


def extras(text: dict[str, str]) -> dict[str, Any]:
    return {k: float(v) for k, v in text.items() if k in EXTRAS}


def act(fleet: SimFleet, a: Act, later: Callable[[float, Callable[[], None]], None]) -> None:
    """One fault or operation; `for S` at its end undoes it after S seconds."""
    args = list(a.args)
    span = 0.0
    if len(args) >= 2 and args[-2] == "for":
        span = float(args[-1])
        args = args[:-2]
    verb = a.verb
    if args and verb not in ("apply", "race", "routes", "read", "add", "area") and not fleet.pick(args[0]):
        return  # nobody holds that duty now
    if verb in ("kill", "power", "wipe"):
        names = [fleet.pick(x) for x in args]  # all before the first falls: roles move at once
        for name in names:
            getattr(fleet, verb)(name)
            if span:
                later(span, partial(fleet.start, name))
    elif verb == "term":
        name = fleet.pick(args[0])
        fleet.term(name)
        if span:
            later(span + 3.0, partial(fleet.start, name))
    elif verb == "area":
        # area power|wipe|kill WHO: all machines, workers and back ends that stand where WHO stands.
        spot = fleet.boxes[fleet.pick(args[1])].zone
        for name in [n for n, b in fleet.boxes.items() if b.zone == spot and b.up]:
            getattr(fleet, args[0])(name)
            later(span, partial(fleet.start, name))
    elif verb == "start":
        fleet.start(fleet.pick(args[0]))
    elif verb == "freeze":
        name = fleet.pick(args[0])
        fleet.freeze(name)
        later(span, lambda: fleet.thaw(name))
    elif verb == "isolate":
        name = fleet.pick(args[0])
        fleet.isolate(name)
        later(span, lambda: fleet.isolate(name, False))
    elif verb in ("cut", "cutone"):
        one, two = fleet.pick(args[0]), args[1]
        groups = {"control": "c", "stores": "s", "edges": "e", "daemons": "cse"}
        others = (
            [n for n in fleet.configuration["machines"] if n[0] in groups[two]] if two in groups else [fleet.pick(two)]
        )
        pairs = [p for o in others if o != one for p in ([(one, o)] if verb == "cutone" else [(one, o), (o, one)])]
        for p in pairs:
            fleet.cut(*p)

        def heal() -> None:
            for p in pairs:
                fleet.cut(*p, on=False)

        later(span, heal)
    elif verb == "slow":
        name = fleet.pick(args[0])
        fleet.loop.net.slow[name] = float(args[1])
        later(span, lambda: fleet.loop.net.slow.update({name: 0.0}))
    elif verb in ("stall", "failsync", "fill", "damage", "spoil"):
        box = fleet.boxes[fleet.pick(args[0])]
        disk = box.disk
        assert disk is not None, f"{box.name} has no disk"
        if verb == "stall":
            disk.stall = float(args[1])
            later(span, lambda: setattr(disk, "stall", 0.0))
        elif verb == "failsync":
            disk.fails = True
            later(span, lambda: setattr(disk, "fails", False))
        elif verb == "fill":
            cap = disk.cap
            disk.cap = sum(map(len, disk.files.values())) + int(args[1])
            later(span, lambda: setattr(disk, "cap", cap))
        elif verb == "spoil":
            # spoil NAME N: the last N bytes of its log, synced and acknowledged, don't read back any more.
            fleet.kill(box.name)
            last = max(n for n in disk.names() if n.startswith("log-") and len(disk.files[n]) > int(args[1]))
            disk.damage(last, len(disk.files[last]) - int(args[1]))
            fleet.start(box.name)
        else:
            fleet.kill(box.name)
            name = next(n for n in reversed(disk.names()) if n.startswith(args[1]))
            disk.damage(name, len(disk.files[name]) // 3)
            fleet.start(box.name)
    elif verb == "fault":
        thing = fleet.boxes[args[0]].thing
        thing.fault = args[1]
        later(span, lambda: setattr(thing, "fault", ""))
    elif verb == "apply":
        pairs_ = [x.split("=", 1) for x in args]
        fleet.out(change(fleet, pairs_))
    elif verb == "race":
        # Several operators, each with a change of its own, made from the same edition, at a control machine of its own.
        for i, x in enumerate(args):
            key, val = x.split("=", 1)
            fleet.out(one_operator(fleet, key, value(val), f"op{i + 1}", i))
    elif verb == "routes":
        configuration = fleet.configuration
        for i in range(int(args[0])):
            configuration = changed(configuration, "ways", configuration["ways"] | {f"/r{fleet.revision}-{i}": "view"})
        fleet.out(fleet.apply(configuration, fleet.revision, tries=6))
    elif verb == "add":
        # add NAME AREA DUTY: an empty machine at a new address, started and put in the manifest.
        name, zone, duty = args
        spot = fleet.configuration["areas"].index(zone) + 1
        ip = f"127.{spot}.7.{len(fleet.boxes)}"
        m = {"area": zone, "peer": f"{ip}:7000", "http": f"{ip}:8000", "duties": duty.split("+")}
        fleet.add_box(name, m)
        configuration = changed(fleet.configuration, f"machines.{name}", m)
        fleet.configuration = configuration
        fleet.start(name)
        fleet.out(fleet.apply(configuration, fleet.revision, tries=6))
    elif verb == "replace":
        # replace OLD NEW: the old machine is declared gone, an empty one takes its place.
        old, new = fleet.pick(args[0]), args[1]
        m = fleet.configuration["machines"][old]
        ip = f"127.{fleet.configuration['areas'].index(m['area']) + 1}.7.{len(fleet.boxes)}"
        fresh = {"area": m["area"], "peer": f"{ip}:7000", "http": f"{ip}:8000", "duties": m["duties"]}
        fleet.kill(old, silent=True)
        fleet.add_box(new, fresh)
        configuration = changed(changed(fleet.configuration, f"machines.{old}.gone", True), f"machines.{new}", fresh)
        fleet.configuration = configuration
        fleet.start(new)
        fleet.out(fleet.apply(configuration, fleet.revision, tries=6))
    elif verb == "version":
        name = fleet.pick(args[0])
        fleet.release = args[1]
        fleet.kill(name)
        fleet.start(name)
    elif verb == "read":
        fleet.out(fleet.read_back())


async def one_operator(fleet: SimFleet, key: str, val: Any, who: str, first: int) -> None:
    """Makes a change as one of several operators: who loses gets the manifest anew and makes the change from there."""
    configuration, base = fleet.configuration, fleet.revision
    for i in range(first, first + 6):
        via = fleet.controls()[i % len(fleet.controls())]
        got = await fleet.apply(changed(configuration, key, val), base, who, via)
        if got > 0:
            return
        seen = await fleet.get(via)
        if seen is not None:
            configuration, base = seen


async def change(fleet: SimFleet, pairs: list[list[str]]) -> None:
    configuration = fleet.configuration
    for key, val in pairs:
        configuration = changed(configuration, key, value(val))
    # What is allowed again may come as soon as the operator asks for it; what is forbidden, once it is answered.
    marks = [m for key, val in pairs for m in told(fleet, key, value(val))]
    for mark in marks:
        if mark["ev"] in ("stay", "return"):
            fleet.log(mark)
    got = await fleet.apply(configuration, fleet.revision, tries=10)
    if got == -412:
        # As an operator does: looks at what is in force now, and makes the change from there.
        fleet.revision = [e["edition"] for e in fleet.events if e["ev"] == "applied"][-1]
        got = await fleet.apply(configuration, fleet.revision, tries=10)
    if got <= 0:
        return
    for mark in marks:
        if mark["ev"] in ("leave", "evacuated"):
            fleet.log(mark)


def told(fleet: SimFleet, key: str, val: Any) -> list[dict[str, Any]]:
    """What a change of the manifest says of servers and areas, for the checker."""
    if key.endswith(".leave"):
        return [{"ev": "leave" if val else "stay", "server": key.split(".")[-2]}]
    if key == "evacuated":
        return [{"ev": "evacuated" if a in (val or []) else "return", "area": a} for a in fleet.configuration["areas"]]
    return []


VERBS = {"kill", "power", "wipe", "start", "freeze", "isolate", "cut", "cutone", "slow", "stall", "failsync", "fill", "damage",
         "fault", "apply", "race", "routes", "add", "replace", "version", "read", "area", "term", "spoil"}  # fmt: skip


@dataclass(eq=False)
class Report:
    breaches: dict[str, list[str]]
    stats: dict[str, float]
    errors: list[str]
    events: list[dict[str, Any]]
    fleet: SimFleet | None = None


def rank(vals: list[float], part: float) -> float:
    return sorted(vals)[min(len(vals) - 1, int(len(vals) * part))] if vals else 0.0


def lateness(seen: list[dict[str, Any]]) -> dict[str, float]:
    """The latest moments at which what was ended, left or replaced was still seen, after the answer."""
    took = [e for e in seen if e["ev"] == "took"]
    ended = {e["id"]: e["t"] for e in seen if e["ev"] == "ended" and e["state"] == "ended"}
    out = {
        "late_end": max((e["t"] - ended[n] for e in took for n in e["tag"].split(":")[1:2] if n in ended), default=0.0)
    }
    for name, mark, back, key in (
        ("late_leave", "leave", "stay", "server"),
        ("late_evacuate", "evacuated", "return", "area"),
    ):
        late = [0.0]
        for m in (e for e in seen if e["ev"] == mark):
            till = min((e["t"] for e in seen if e["ev"] == back and e[key] == m[key] and e["t"] > m["t"]), default=1e18)
            hit = [
                e["t"] - m["t"]
                for e in took
                if e["worker" if key == "server" else "area"] == m[key] and m["t"] < e["t"] < till
            ]
            late += hit
        out[name] = max(late)
    acked = [(e["t"], e["edition"], e["waits"]) for e in seen if e["ev"] == "applied" and e["answer"] in (200, 202)]
    out["late_edition"] = max(
        (e["t"] - t for e in seen if e["ev"] == "runs" and e["fit"] for t, n, named in acked
         if e["t"] > t and e["edition"] < n and e["daemon"].split("/")[0] not in named), default=0.0,
    )  # fmt: skip
    return {k: max(v, 0.0) for k, v in out.items()}


def stats_of(fleet: SimFleet, began: float) -> dict[str, float]:
    seen = fleet.events
    calls = [e for e in seen if e["ev"] == "call"]
    ends = Counter(e["end"] for e in calls)
    firsts = [e["first"] - e["began"] for e in calls if e["first"]]
    lots = Counter(e["answer"] for e in seen if e["ev"] == "lot")
    whole: dict[str, float] = {}
    for e in seen:
        if e["ev"] == "page" and e["whole"]:
            whole.setdefault(e["id"], e["t"])
    due = {e["id"]: e["due"] for e in seen if e["ev"] == "lot" and e["answer"] == "kept"}
    out: dict[str, float] = {f"calls_{k}": v for k, v in ends.items()}
    out |= {f"lots_{k}": v for k, v in lots.items()}
    out |= {f"event_{n}": c for n, c in log_events.COUNTS.items()}
    views = Counter(e["end"] for e in seen if e["ev"] == "view")
    out |= {f"views_{k}": v for k, v in views.items()}
    out["calls"] = len(calls)
    out["calls_share"] = ends["done"] / len(calls) if calls else 1.0
    out["views_share"] = views["done"] / views.total() if views else 1.0
    out["first_p50"], out["first_p95"] = rank(firsts, 0.5), rank(firsts, 0.95)
    out["lots_whole"] = len(whole)
    out["lots_in_time"] = sum(whole.get(n, 1e18) <= d for n, d in due.items())
    out["items"] = sum(1 for e in seen if e["ev"] == "took" and e["tag"].startswith("lot:"))
    out["submit_p50"] = rank([e["t"] - e["began"] for e in seen if e["ev"] == "lot" and e["answer"] == "kept"], 0.5)
    answers = Counter(e["answer"] for e in seen if e["ev"] == "applied")
    out |= {f"applied_{k}": v for k, v in answers.items()}
    out["applied_taken"] = answers[200] + answers[202]
    # The longest time in which no live call was done, and in which no lot was kept.
    for kind, times in (
        ("calls_gap", [e["t"] for e in calls if e["end"] == "done"]),
        ("kept_gap", [e["t"] for e in seen if e["ev"] == "lot" and e["answer"] == "kept"]),
    ):
        spots = [began, *times]
        out[kind] = max((b - a for a, b in zip(spots, spots[1:], strict=False)), default=0.0)
    out |= lateness(seen)
    wanted = {
        p.id: set(s.configuration_view.order(p.id)) == set(p.view.members)
        and len(p.view.members) == fleet.configuration["copies"]
        for _, s in fleet.stores()
        for p in s.partitions.values()
        if p.owning
    }
    out["lots_held"] = sum(len(p.view.jobs) for _, s in fleet.stores() for p in s.partitions.values() if p.owning)
    out["log_bytes"] = max(
        (sum(map(len, b.disk.files.values())) for n, b in fleet.boxes.items() if b.disk and n[0] == "s"), default=0
    )
    out["lots_told_lost"] = len({e["id"] for e in seen if e["ev"] == "missing" and "this lot was lost" in e["why"]})
    out["lots_missing"] = len({e["id"] for e in seen if e["ev"] == "missing"})
    out["copies"] = min(fleet.copies, default=0)
    out["full_crews"] = float(len(wanted) == fleet.configuration["parts"] and all(wanted.values()))
    out["losses"] = max([p.view.losses for _, s in fleet.stores() for p in s.partitions.values()], default=0)
    out["ran"] = fleet.loop.ran
    out |= {f"point_{n}": c for n, c in fleet.points.seen.items()}
    out["edition"] = fleet.revision
    return out


def watch(s: Scenario, fleet: SimFleet, began: float, later: Callable[[float, Callable[[], None]], None]) -> list[When]:
    """Causes what the scenario says `when` its points are passed; returns those that have yet to come."""
    left = list(s.whens)
    seen: Counter[int] = Counter()

    def look(p: Point) -> None:
        for w in [w for w in left if w.event == p.name]:
            age = fleet.loop.clock - began
            if age < w.start or age > w.start + w.limit or (w.who and fleet.pick(w.who) != p.host):
                continue
            seen[w.line] += 1
            if seen[w.line] == w.nth:
                left.remove(w)
                fleet.here = (p.host, p.peer)
                act(fleet, w.act, later)

    if left:
        fleet.points.watchers.append(look)
    return left


def play_day(s: Scenario, seed: int, **more: Any) -> Report:
    """Runs a scenario of an announced fleet."""
    assert s.plan is not None
    plan = s.plan

    async def main(loop: SimLoop) -> Report:
        late: list[When] = []

        async def script(fleet: AnnouncedFleet, later: days.Later) -> None:
            began = loop.clock
            late.extend(s.whens)
            seen: Counter[int] = Counter()

            def look(p: Point) -> None:
                for w in [w for w in late if w.event == p.name]:
                    age = loop.clock - began
                    if age < w.start or age > w.start + w.limit or (w.who and fleet.pick(w.who) != p.host):
                        continue
                    seen[w.line] += 1
                    if seen[w.line] == w.nth:
                        late.remove(w)
                        fleet.here = (p.host, p.peer)
                        days.act(fleet, w.act.verb, list(w.act.args), later)

            if late:
                fleet.points.watchers.append(look)
            for a in sorted(s.acts, key=lambda a: a.at):
                await asyncio.sleep(max(0.0, began + a.at - loop.clock))
                days.act(fleet, a.verb, list(a.args), later)

        fleet, found = await days.run_day(loop, plan, seed, s.run, s.settle, script, disk=s.disk, **more)
        errors = loop.errors + loop.unretrieved()
        errors += [f"{s.name}:{w.line}: {w.event} never came so that its fault was caused" for w in late if w.needed]
        return Report(found, days.stats_of(fleet), errors, fleet.events, fleet)

    got: Report = run_sim(main, seed)
    return got


def play(
    s: Scenario,
    seed: int,
    make: Callable[[Any], None] | None = None,
    spy: Callable[[float, Point], None] | None = None,
    strike: tuple[Point, str, str] | None = None,
) -> Report:
    """Runs one scenario under one seed, on simulated time. `spy` is told of each point with its time; `strike` is
    a point of such a run, and the fault that is to meet its host there."""
    log_events.COUNTS.clear()
    # Faults are caused on purpose here; what matters of them is in the history and in the events.
    pylog.disable(pylog.CRITICAL)
    if s.plan is not None:
        return play_day(s, seed, make=make)

    async def main(loop: SimLoop) -> Report:
        whole = DEPLOYMENTS.get(s.deployment)
        configuration = copy.deepcopy(whole.manifest) if whole else manifest(**s.fleet)
        if whole:
            loop.net.far = whole.delay / 1000
        for key, val in s.set:
            configuration = changed(configuration, key, val)
        fleet = SimFleet(loop, configuration, seed, tune=s.tune, make=make, disk_cap=s.disk)
        await fleet.found()
        began = loop.clock

        def later(span: float, undo: Callable[[], None]) -> None:
            loop.call_later(span, undo, context=contextvars.Context())

        late = watch(s, fleet, began, later)
        struck: list[Point] = []

        def look(p: Point) -> None:
            if spy is not None:
                spy(loop.clock - began, p)
            if strike is not None and p.number == strike[0].number:
                struck.append(p)
                act(fleet, Act(0.0, strike[1], (p.host, "for", strike[2])), later)

        if spy is not None or strike is not None:
            fleet.points.watchers.append(look)

        async def faults() -> None:
            for a in sorted(s.acts, key=lambda a: a.at):
                await asyncio.sleep(max(0.0, began + a.at - loop.clock))
                act(fleet, a, later)

        async def outside() -> None:
            async with fleet.session() as session:
                load = replace(whole.load, **extras(s.load)) if whole else loaded(s.load)
                clients = fleet.make_clients(load, session)
                await clients.run(s.run)
                await clients.audit(s.settle)

        script = loop.create_task(faults())
        load = fleet.out(outside())
        await asyncio.wait([load])
        load.result()
        await script
        await fleet.out(fleet.read_back())
        bounds = Bounds(ramp=configuration["ramp"], retention=configuration["retention"])
        found = breaches(History(fleet.events, bounds, s.excused))
        errors = loop.errors + loop.unretrieved()
        errors += [f"{s.name}:{w.line}: {w.event} never came so that its fault was caused" for w in late if w.needed]
        if strike is not None and struck != [strike[0]]:
            errors.append(f"the run did not pass {strike[0]} again, but {struck}")
        return Report(found, stats_of(fleet, began), errors, fleet.events, fleet)

    got: Report = run_sim(main, seed)
    return got


def judge(s: Scenario, r: Report) -> list[str]:
    out = [f"{name}: {what}" for name, found in r.breaches.items() for what in found[:3]]
    out += [
        f"expected {k} {op} {want:g}, saw {r.stats.get(k, 0):g}"
        for k, op, want in s.expect
        if not OPS[op](r.stats.get(k, 0), want)
    ]
    return out + [f"error: {e}" for e in r.errors[:3]]


def scenarios() -> list[Scenario]:
    return [parse(p.read_text(), p.stem) for p in sorted(FOLDER.glob("*.txt"))]


def main(argv: list[str]) -> int:
    names = [a for a in argv if not a.startswith("--")]
    seeds = [int(argv[i + 1]) for i, a in enumerate(argv) if a == "--seed"]
    names = [n for n in names if not n.isdigit()]
    todo = scenarios() if "--all" in argv else [parse(Path(n).read_text(), Path(n).stem) for n in names]
    bad = 0
    for s in todo:
        for seed in seeds or s.seeds:
            r = play(s, seed)
            flaws = judge(s, r)
            bad += bool(flaws)
            print(f"{'FAILED' if flaws else 'ok':6} {s.name} seed={seed}")
            for flaw in flaws:
                print("      ", flaw)
            if "--stats" in argv:
                print("      ", {k: round(v, 3) for k, v in sorted(r.stats.items())})
            if "--events" in argv:
                for n, text in log_events.RECENT:
                    print("      ", n, text)
            sys.stdout.flush()
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
