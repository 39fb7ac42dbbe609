"""The checker for announced fleets: holds what clients, workers and the operator saw on their sockets against each rule
of the platform. It shares no code with the product; a rule of that name is a function here that returns what breaks it.

It is as strict as the rules, or a little less where they weigh what the bench alone knows; never stricter.
"""

from __future__ import annotations

import bisect
import json
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from sim import linearizability
from sim.operator_history import history_of

Event = dict[str, Any]
PROMISES = (408, 421, 429, 503)
EVER = 1e18
TOLD = 0.5  # seconds in which what a beat tells goes round


@dataclass(frozen=True)
class Version:
    """A configuration as it was sent. `acked` is when it was first acknowledged; `refused` says that it never may be in
    force: it was invalid, or lost, and no answer was unclear."""

    number: int
    config: Any
    sent: float
    acked: float
    refused: bool
    done: float  # when its last answer came


def route_of(config: Any, host: str, path: str) -> Event | None:
    best: Event | None = None
    path = path.split("?")[0]
    for route in config["routes"]:
        if route["host"].lower() == host.lower() and path.startswith(route["prefix"]):
            if best is None or len(route["prefix"]) > len(best["prefix"]):
                best = route
    return best


def services_of(route: Event) -> set[str]:
    if "split" in route:
        return {s["service"] for s in route["split"] if s["weight"] > 0}
    return {route["service"]}


@dataclass(eq=False)
class Day:
    """A history and what the checks need of it. Invariant: events are in the order of time."""

    events: list[Event]
    bounds: dict[str, Any]
    core: frozenset[str] = frozenset()  # machines of the core
    stores: frozenset[str] = frozenset()
    closing: float = EVER  # when the closing fault struck

    def of(self, *kinds: str) -> list[Event]:
        return [e for e in self.events if e["ev"] in kinds]

    def s(self, name: str) -> float:
        """A bound in seconds."""
        return float(self.bounds[name]) / (1000 if name.endswith("Ms") else 1)

    @cached_property
    def requests(self) -> dict[str, Event]:
        return {e["id"]: e for e in self.of("request")}

    @cached_property
    def answers(self) -> dict[str, Event]:
        return {e["id"]: e for e in self.of("answer")}

    @cached_property
    def items(self) -> dict[str, Event]:
        """Each item of a lot, with its lot's id, host, route and first send."""
        out: dict[str, Event] = {}
        for e in self.of("lot_sent"):
            for item in e["items"]:
                out.setdefault(
                    item["id"], item | {"lot": e["lot"], "host": e["host"], "route": e["route"], "t": e["t"]}
                )
        return out

    @cached_property
    def lots(self) -> dict[str, Event]:
        out: dict[str, Event] = {}
        for e in self.of("lot_sent"):
            out.setdefault(e["lot"], e)
        return out

    @cached_property
    def lot_acked(self) -> dict[str, Event]:
        out: dict[str, Event] = {}
        for e in self.of("lot_told"):
            if e["status"] == 202:
                out.setdefault(e["lot"], e)
        return out

    @cached_property
    def runs(self) -> dict[str, list[Event]]:
        out: dict[str, list[Event]] = defaultdict(list)
        for e in self.of("ran"):
            out[e["id"]].append(e)
        return out

    @cached_property
    def ends(self) -> dict[str, list[Event]]:
        out: dict[str, list[Event]] = defaultdict(list)
        for e in self.of("ended"):
            out[e["id"]].append(e)
        return out

    @cached_property
    def ran(self) -> list[Event]:
        """What reached a worker and was taken to be run there."""
        return [e for e in self.of("reach") if e["status"] == 200]

    # --- who is in touch
    @cached_property
    def spans(self) -> dict[str, list[tuple[float, float]]]:
        """Per machine, the spans of its own troubles."""
        out: dict[str, list[tuple[float, float]]] = defaultdict(list)
        open_: dict[tuple[str, str], float] = {}
        for e in self.of("trouble"):
            key = (e["machine"], e["what"])
            if e["on"] is True:
                open_[key] = e["t"]
            elif e["on"] is False:
                out[e["machine"]].append((open_.pop(key, e["t"]), e["t"]))
            elif e["what"] in ("down", "removed"):
                open_.setdefault((e["machine"], "down"), e["t"])
            elif e["what"] == "start":
                out[e["machine"]].append((open_.pop((e["machine"], "down"), e["t"]), e["t"]))
            else:
                out[e["machine"]].append((e["t"], e["t"]))
        for (name, _), t in open_.items():
            out[name].append((t, EVER))
        return out

    @cached_property
    def cuts(self) -> dict[frozenset[str], list[tuple[float, float]]]:
        out: dict[frozenset[str], list[tuple[float, float]]] = defaultdict(list)
        open_: dict[frozenset[str], float] = {}
        for e in self.of("cut"):
            pair = frozenset((e["one"], e["two"]))
            if e["on"]:
                open_.setdefault(pair, e["t"])
            elif pair in open_:
                out[pair].append((open_.pop(pair), e["t"]))
        for pair, t in open_.items():
            out[pair].append((t, EVER))
        return out

    @cached_property
    def core_shocks(self) -> list[float]:
        """Moments at which the core became unsettled: `contactMs` later it is settled again."""
        counted = self.core | self.stores
        out = [t for n in counted for span in self.spans.get(n, []) for t in span if t < EVER]
        out += [
            t
            for pair, spans in self.cuts.items()
            if len(pair & counted) == 2
            for span in spans
            for t in span
            if t < EVER
        ]
        return sorted(out)

    def settled(self, t: float) -> bool:
        wait = self.s("contactMs")
        near = bisect.bisect_right(self.core_shocks, t)
        if near and t - self.core_shocks[near - 1] <= wait:
            return False
        for names in (self.core, self.stores):
            # A frozen machine is slowed as long as it stands still.
            if any(a <= t <= b and (n, "frozen") in self.frozen for n in names for a, b in self.spans.get(n, [])):
                return False
        down = {n for n in self.core if any(a <= t <= b for a, b in self.spans.get(n, []))}
        up = sorted(self.core - down)
        reach = max((sum(not self.parted(n, o, t) for o in up) for n in up), default=0)
        return not self.core or reach * 2 > len(self.core)

    @cached_property
    def frozen(self) -> set[tuple[str, str]]:
        return {(e["machine"], e["what"]) for e in self.of("trouble") if e["on"] is not None}

    def parted(self, one: str, two: str, t: float) -> bool:
        return any(a <= t <= b for a, b in self.cuts.get(frozenset((one, two)), []))

    def sound(self, name: str, t: float) -> bool:
        """Points (1) and (3): untroubled and joined to the core for the whole `contactMs` before."""
        start = t - self.s("contactMs")
        if any(a <= t and b >= start for a, b in self.spans.get(name, [])):
            return False
        return not any(a <= t and b >= start for a, b in self.core_cuts.get(name, []))

    @cached_property
    def core_cuts(self) -> dict[str, list[tuple[float, float]]]:
        """Per machine, the spans in which it was cut off from some machine of the core."""
        out: dict[str, set[tuple[float, float]]] = defaultdict(set)
        for pair, spans in self.cuts.items():
            for name in pair:
                if pair & self.core - {name}:
                    out[name].update(spans)
        return {name: sorted(spans) for name, spans in out.items()}

    @cached_property
    def upset(self) -> list[tuple[float, float]]:
        """Spans, put together, in which the core was not settled or a link was in trouble."""
        wait = self.s("contactMs")
        spans = [(t, t + wait * (2 if t >= self.closing else 1)) for t in self.core_shocks]
        spans += [s for n in self.core | self.stores if (n, "frozen") in self.frozen for s in self.spans.get(n, [])]
        spans += [(a, b + wait) for got in self.cuts.values() for a, b in got]
        out: list[tuple[float, float]] = []
        for a, b in sorted(spans):
            if out and a <= out[-1][1]:
                out[-1] = (out[-1][0], max(b, out[-1][1]))
            else:
                out.append((a, b))
        return out

    def calm(self, since: float, until: float) -> float:
        """The longest stretch of that time in which the core was settled and no link in trouble."""
        best, at = 0.0, since
        for a, b in [*self.upset, (EVER, EVER)]:
            end = min(a, until)
            if end > at and self.settled((at + end) / 2):
                best = max(best, end - at)
            at = max(at, b)
            if at >= until:
                break
        return best

    def in_touch(self, name: str, t: float, since: float | None = None) -> bool:
        """In touch at `t`, and at `since` as well."""
        return all(self.sound(name, x) and self.settled(x) for x in {t, t if since is None else since})

    # --- configurations
    @cached_property
    def versions(self) -> list[Version]:
        out = []
        answers = {e["change"]: e for e in self.of("changed")}
        for e in self.of("change"):
            got = answers.get(e["change"])
            status = got["status"] if got else 0
            acked = got["t"] if got and status == 200 else EVER
            clear = bool(got) and status != 200 and not got["unclear"] and 400 <= status < 500  # type: ignore[index]
            out.append(
                Version(e["version"], e["config"], e["t"], acked, not e["valid"] or clear, got["t"] if got else EVER)
            )
        return out

    def possible(self, sent: float, until: float, at_least: int = 0) -> list[Version]:
        """The versions that may be in force for a request sent then and handled until then."""
        due = max((v.number for v in self.versions if v.acked + self.s("applyMs") <= sent), default=0)
        due = max(due, at_least)
        return [v for v in self.versions if v.config and not v.refused and v.sent <= until and v.number >= due]

    @cached_property
    def reached(self) -> set[str]:
        return {e["id"] for e in self.of("reach")}

    @cached_property
    def asked_from(self) -> dict[str, int]:
        """Per run, after which event it was asked to go on."""
        return {str(e["run"]): e["last"] for e in self.of("ran")}

    def route_named(self, name: str) -> Event:
        return next(r for v in reversed(self.versions) if v.config for r in v.config["routes"] if r["name"] == name)

    def whole(self, item: Event, text: str) -> bool:
        """Is this the whole output of an item, but for the runs that made it?"""
        want = [f"{item['mark']}.{n}" for n in range(1, item["size"] + 1)]
        return [t.rpartition(".")[0] for t in text.split("\n")] == want

    def allows(self, versions: Iterable[Version], host: str, path: str, service: str) -> bool:
        return any(
            route is not None and service in services_of(route)
            for v in versions
            if (route := route_of(v.config, host, path))
        )


Check = Callable[[Day], list[str]]
CHECKS: dict[str, Check] = {}


def check(name: str) -> Callable[[Check], Check]:
    def add(made: Check) -> Check:
        CHECKS[name] = made
        return made

    return add


# --- requests and answers
@check("MIXED")
def mixed(d: Day) -> list[str]:
    out = [
        f"on an idle connection of {e['via']} came {e['what']!r}"
        for e in d.of("stray")
        if e["what"].startswith("HTTP/1.1 2")
    ]
    for name, a in d.answers.items():
        ends = d.ends.get(name, [])
        broke = any(e["broke"] or not e["whole"] for e in ends)
        if a["echo"] and a["echo"] != name:
            out.append(f"{name} got the answer to {a['echo']}")
        if a["garbled"] and not broke:
            out.append(f"{name} via {a['via']} got bytes that are no answer: {a['why']}")
        if not 200 <= a["status"] < 300:
            continue
        stamps = {e["seal"]: e for e in ends if e["seal"]}
        if a["encoded"]:
            out.append(f"{name} got an encoded body")
        if a["seal"] not in stamps and (a["whole"] or a["seal"]):
            out.append(f"{name} got {a['status']} with the stamp {a['seal']!r}, its workers gave {sorted(stamps)}")
            continue
        if not a["seal"]:
            out.append(f"{name} got {a['status']} without a stamp")
            continue
        end = stamps[a["seal"]]
        if end["status"] != a["status"]:
            out.append(f"{name} got {a['status']} where its worker answered {end['status']}")
        if a["whole"] and end["body"] != "events" and a["body"] != end["body"]:
            out.append(f"{name} got a body that isn't its worker's whole body")
    return out


@check("UNASKED")
def unasked(d: Day) -> list[str]:
    out = []
    ended = {e["lot"]: e for e in d.of("lot_ended")}
    for e in d.ran:
        asked = d.requests.get(e["id"])
        item = d.items.get(e["id"])
        if asked is None and item is None:
            out.append(f"{e['worker']} ran {e['id']!r}, which nobody sent ({e['method']} {e['path']})")
        elif asked is not None:
            for part in ("method", "path", "body", "host"):
                if asked[part].lower() != e[part].lower() if part == "host" else asked[part] != e[part]:
                    out.append(
                        f"{e['id']} reached {e['worker']} with the {part} {e[part]!r}, it was sent with {asked[part]!r}"
                    )
        elif item is not None:
            sent = {"method": "POST", "path": item["path"], "body": item["body"], "host": item["host"]}
            for part, want in sent.items():
                if e[part] != want:
                    out.append(
                        f"item {e['id']} reached {e['worker']} with the {part} {e[part]!r}, it was sent with {want!r}"
                    )
            end = ended.get(item["lot"])
            if (
                end is not None
                and e["t"] - e.get("queued", 0.0) > end["t"] + d.s("cancelMs")
                and d.in_touch(end["via"], end["t"])
            ):
                out.append(
                    f"item {e['id']} reached {e['worker']} {e['t'] - end['t']:.2f} s after the end of its lot was acknowledged"
                )
    return out


@check("TWICE")
def twice(d: Day) -> list[str]:
    out = [
        f"{name} may run once and ran {len(runs)} times: {', '.join(r['worker'] for r in runs)}"
        for name, runs in d.runs.items()
        if len(runs) > 1 and name in d.requests and not d.requests[name]["repeatable"]
    ]
    place: dict[tuple[str, str], int] = {}
    held: dict[tuple[str, int], Event] = {}
    for e in d.of("lot_read"):
        for i, row in enumerate(e["results"]):
            spot = e["start"] + i
            if place.setdefault((e["lot"], row["id"]), spot) != spot:
                out.append(f"lot {e['lot']}: item {row['id']} stands at {place[(e['lot'], row['id'])]} and at {spot}")
            if held.setdefault((e["lot"], spot), row) != row:
                out.append(f"lot {e['lot']}: the result at {spot} changed")
    return out


@check("REFUSED")
def refused(d: Day) -> list[str]:
    out = [
        f"{name} was refused with {a['status']} by {a['via']} and ran at {d.runs[name][0]['worker']}"
        for name, a in d.answers.items()
        if a["status"] in PROMISES and name in d.runs and not d.requests[name]["repeatable"]
    ]
    tries: dict[str, list[int]] = defaultdict(list)
    sent: dict[str, int] = defaultdict(int)
    for e in d.of("lot_sent", "lot_told"):
        if e["ev"] == "lot_sent":
            sent[e["lot"]] += 1
        else:
            tries[e["lot"]].append(e["status"])
    no = {lot for lot, got in tries.items() if len(got) == sent[lot] and all(s in PROMISES for s in got)}
    ran = {d.items[name]["lot"]: name for name in d.runs if name in d.items}
    return out + [f"every try at lot {lot} was refused, and item {ran[lot]} ran" for lot in sorted(no & ran.keys())]


@check("DENIED")
def denied(d: Day) -> list[str]:
    """Machines in touch end proper requests with a 3xx or 4xx of their own: up to 5 + one in 500 are borne."""
    found = []
    for name, a in d.answers.items():
        r = d.requests[name]
        if (
            not 300 <= a["status"] < 500
            or a["status"] in PROMISES
            or any(e["status"] == a["status"] for e in d.ends.get(name, []))
        ):
            continue
        every = d.possible(r["t"] - d.s("applyMs"), a["t"])
        if (
            every
            and all(route_of(v.config, r["host"], r["path"]) for v in every)
            and d.in_touch(a["via"], a["t"], r["t"])
        ):
            found.append(f"{name} to {r['path']} ended with {a['status']} at {a['via']}: {a['why']}")
    return found if len(found) > 5 + len(d.answers) / 500 else []


@check("ROUTE")
def routed(d: Day) -> list[str]:
    out = []
    for e in d.ran:
        asked = d.requests.get(e["id"]) or d.items.get(e["id"])
        sent = [v for v in d.versions if v.config and v.sent <= e["t"]]
        if asked and not d.allows(sent, asked["host"], asked["path"], e["service"]):
            out.append(f"{e['id']} to {asked['path']} was run by {e['service']}, which no configuration allowed")
    return out


# --- leaving in order
@check("DRAIN")
def drain(d: Day) -> list[str]:
    left: dict[str, Event] = {}
    for e in d.of("beat", "gone"):
        if e["ev"] == "gone" or e["state"] == "draining":
            if d.in_touch(e["via"], e["t"]):
                left.setdefault(e["worker"], e)
    out = []
    for e in d.of("reach"):
        mark = left.get(e["worker"])
        if mark is None or e["status"] == 421:
            continue
        late = e["t"] - e.get("queued", 0.0) - mark["t"]
        via = d.requests[e["id"]]["via"] if e["id"] in d.requests else e["from"]
        if late > d.s("drainMs") and d.in_touch(e["from"], e["t"], mark["t"]) and d.in_touch(via, e["t"], mark["t"]):
            out.append(
                f"{e['id']} from {e['from']} reached {e['worker']} {late:.2f} s after its leaving was acknowledged by {mark['via']}"
            )
    return out


@check("LOST")
def lost(d: Day) -> list[str]:
    return [*planned_cuts(d), *lost_lots(d), *lost_state(d)]


def planned_cuts(d: Day) -> list[str]:
    """Requests that end without a complete answer around planned work."""
    terms = [(e["machine"], e["t"]) for e in d.of("trouble") if e["what"] == "term"]
    unplanned = [e["t"] for e in d.of("trouble", "cut") if e.get("what") not in ("term", "start", "down")]
    unplanned += [e["t"] for e in d.of("trouble") if e["what"] == "down" and not any(
        n == e["machine"] and t <= e["t"] <= t + d.s("graceS") + 1 for n, t in terms)]  # fmt: skip
    unplanned += [e["t"] for e in d.of("worker_down")]
    out = []
    for name, a in d.answers.items():
        r = d.requests[name]
        if not a["cut"] or a["unread"]:
            continue
        near = [t for n, t in terms if n == a["via"] and t <= a["t"] <= t + d.s("graceS") + 1]
        if not near or any(r["t"] - d.s("contactMs") <= t <= a["t"] for t in unplanned):
            continue
        if any(e["broke"] or e["status"] >= 500 or not e["whole"] and not e["gone"] for e in d.ends.get(name, [])):
            continue
        if any(e["t"] > near[0] + d.s("graceS") / 2 for e in d.ends.get(name, [])):
            continue
        if name in d.reached or a["t"] - a["sent"] > d.s("lossSlackMs"):
            out.append(
                f"{name} ended without an answer {a['t'] - near[0]:.2f} s after SIGTERM of {a['via']}: {a['why']}"
            )
    return out


def lost_lots(d: Day) -> list[str]:
    out = []
    settle = d.s("settleMs")
    high: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for e in d.of("lot_read"):
        mark = d.lot_acked.get(e["lot"])
        if mark is None:
            continue
        known = max((n for t, n in high[e["lot"]] if t + settle <= e["began"]), default=0)
        touch = d.in_touch(e["via"], e["t"], e["began"])
        if e["status"] in (404, 410) and e["began"] > mark["t"] + settle and touch:
            out.append(f"lot {e['lot']} was taken at {mark['t']:.2f}; at {e['t']:.2f} {e['via']} answers {e['status']}")
        if e["status"] == 200 and e["start"] < known and not e["results"] and touch:
            out.append(f"lot {e['lot']}: {e['via']} has nothing at {e['start']}, up to {known} was read before")
        if e["final"] and e["status"] == 200:
            every = max((n for _, n in high[e["lot"]]), default=0)
            if e["start"] == 0 and not e["results"] and every:
                out.append(f"lot {e['lot']}: {every} results that were read before don't come back")
        if e["status"] == 200:
            high[e["lot"]].append((e["t"], e["start"] + len(e["results"])))
    out += [
        f"lot {e['lot']} was taken and can't be read when the day ends: {e['status']}"
        for e in d.of("lot_audit")
        if e["status"] != 200
    ]
    listed = {row["id"] for e in d.of("lot_read") for row in e["results"]}
    got = {e["item"] for e in d.of("item_read") if e["status"] == 200}
    for e in d.of("item_read"):
        if e["final"] and e["status"] == 404 and e["item"] not in got | listed and e["lot"] in d.lot_acked:
            out.append(f"item {e['item']} of lot {e['lot']} isn't listed and doesn't give its body")
    return out


def lost_state(d: Day) -> list[str]:
    """After the closing fault nothing that was acknowledged remains: an evacuation that is forgotten."""
    out = []
    for e in d.of("evac"):
        if not e["on"] or e["status"] != 200 or e["t"] > d.closing:
            continue
        if any(x["zone"] == e["zone"] and not x["on"] and x["t"] > e["t"] for x in d.of("evac_sent")):
            continue
        late = [r for r in d.ran if r["zone"] == e["zone"] and r["t"] > d.closing + d.s("recoverS")]
        if late and d.closing < EVER:
            out.append(f"the evacuation of {e['zone']} was acknowledged and is forgotten after the closing fault")
    return out


# --- configuration
@check("CONFIG")
def config(d: Day) -> list[str]:
    return [*handled_old(d), *went_back(d), *never_valid(d), *both_won(d), *read_old(d), *not_linearizable(d)]


def not_linearizable(d: Day) -> list[str]:
    """No order of the operators' attempts and reads explains every answer."""
    verdict = linearizability.check(history_of(d.events))
    return [] if verdict.linearizable else [str(verdict)]


def handled(d: Day) -> list[tuple[float, float, str, str, Event, str]]:
    """What was handled by a machine: sent, handled, machine, id, request, and the service or 404."""
    out = []
    for e in d.ran:
        r = d.requests.get(e["id"])
        if r is not None:
            out.append((r["t"], e["t"], r["via"], e["id"], r, e["service"]))
    for name, a in d.answers.items():
        if a["status"] == 404 and not any(e["status"] == 404 for e in d.ends.get(name, [])):
            r = d.requests[name]
            out.append((r["t"], a["t"], a["via"], name, r, "404"))
    return sorted(out, key=lambda x: (x[0], x[1], x[3]))


def fits(d: Day, versions: list[Version], r: Event, service: str) -> bool:
    if service == "404":
        return any(route_of(v.config, r["host"], r["path"]) is None for v in versions)
    return d.allows(versions, r["host"], r["path"], service)


def handled_old(d: Day) -> list[str]:
    out = []
    for sent, at, via, name, r, service in handled(d):
        due = max((v.number for v in d.versions if v.acked + d.s("applyMs") <= sent), default=0)
        if due and not fits(d, d.possible(sent, at), r, service) and fits(d, d.possible(-EVER, at), r, service):
            if d.in_touch(via, at, sent):
                out.append(
                    f"{name} to {r['path']}, sent {sent:.2f}, was handled by {via} as only versions before {due} allow ({service})"
                )
    return out


def went_back(d: Day) -> list[str]:
    out = []
    seen: dict[str, list[tuple[float, int]]] = defaultdict(list)
    born: dict[str, float] = {}
    restarts = [(e["t"], e["machine"]) for e in d.of("trouble") if e["what"] in ("start", "down")]
    restarts += [(e["t"], e["machine"]) for e in d.of("ended_itself")]
    for sent, at, via, name, r, service in sorted(handled(d), key=lambda x: x[1]):
        born[via] = max((t for t, n in restarts if n == via and t <= at), default=0.0)
        floor = max((n for t, n in seen[via] if t > born[via] and t + d.s("revertMs") < sent), default=0)
        if (
            floor
            and not fits(d, d.possible(-EVER, at, floor), r, service)
            and fits(d, d.possible(-EVER, at), r, service)
        ):
            out.append(
                f"{name} to {r['path']} was handled by {via} as only versions before {floor} allow, which was in force there before"
            )
        every = sorted(v.number for v in d.possible(-EVER, at))
        if service != "404" and every:
            # The least version that allows this shows that it is in force here.
            able = [v.number for v in d.possible(-EVER, at) if fits(d, [v], r, service)]
            if able and min(able) > every[0]:
                seen[via].append((at, min(able)))
    return out


def never_valid(d: Day) -> list[str]:
    out = []
    answers = {e["change"]: e for e in d.of("changed")}
    for e in d.of("change"):
        got = answers.get(e["change"])
        if not e["valid"] and got is not None and 200 <= got["status"] < 300:
            out.append(
                f"an invalid configuration (change {e['change']}, version {e['version']}) was acknowledged by {got['via']}"
            )
    for _sent, at, via, name, r, service in handled(d):
        wrong = [v for v in d.versions if v.config and v.refused and v.sent <= at]
        if wrong and service != "404" and not fits(d, d.possible(-EVER, at), r, service) and fits(d, wrong, r, service):
            out.append(f"{name} to {r['path']} was handled by {via} as only a refused version allows")
    return out


def both_won(d: Day) -> list[str]:
    won: dict[int, Event] = {}
    out = []
    changes = {e["change"]: e for e in d.of("change")}
    for got in d.of("changed"):
        if got["status"] != 200:
            continue
        e = changes[got["change"]]
        other = won.setdefault(e["base"], e)
        if other["config"] != e["config"]:
            out.append(f"versions {other['version']} and {e['version']} were both acknowledged on top of {e['base']}")
    return out


def read_old(d: Day) -> list[str]:
    reads = d.of("read_back")
    if not reads:
        return []
    out = []
    acked = [v for v in d.versions if v.acked < EVER]
    for e in reads:
        due = max((v.number for v in acked if v.acked <= e["began"]), default=0)
        if e["status"] != 200 or e["config"] is None:
            continue
        number = e["config"].get("version", 0)
        if number < due:
            out.append(f"version {number} was read back from {e['via']} after {due} was acknowledged")
        same = [v.config for v in d.versions if v.number == number and v.config]
        if same and e["config"] not in same:
            out.append(
                f"version {number} as read back from {e['via']} isn't what was sent: {differs(same[0], e['config'])}"
            )
        if not same and number:
            out.append(f"version {number} was read back from {e['via']}, which nobody sent")
    if not any(e["status"] == 200 and e["config"] is not None for e in reads):
        out.append("the configuration doesn't come when it is read back")
    return out


def differs(one: Any, two: Any, path: str = "") -> str:
    """Where two configurations first differ."""
    if type(one) is not type(two) or not isinstance(one, (dict, list)):
        return "" if one == two else f"{path}: {json.dumps(one)[:60]} became {json.dumps(two)[:60]}"
    if isinstance(one, dict):
        for k in sorted({*one, *two}):
            if k not in one or k not in two:
                return f"{path}.{k}: only {'sent' if k in one else 'read'}"
            if found := differs(one[k], two[k], f"{path}.{k}"):
                return found
        return ""
    if len(one) != len(two):
        return f"{path}: {len(one)} became {len(two)}"
    return next((f for i, (a, b) in enumerate(zip(one, two, strict=True)) if (f := differs(a, b, f"{path}[{i}]"))), "")


@check("LATE_ROUTES")
def late_routes(d: Day) -> list[str]:
    """In calm times, routes added later are served less than a quarter as often as the first ones."""
    first = {r["name"] for v in d.versions[:1] if v.config for r in v.config["routes"]}
    good: dict[bool, list[bool]] = {True: [], False: []}
    for name, a in d.answers.items():
        r = d.requests[name]
        if r["word"] != "probe" and d.in_touch(a["via"], a["t"], r["t"]):
            good[r["route"] in first].append(200 <= a["status"] < 300 and a["whole"])
    if len(good[False]) < 20 or not good[True]:
        return []
    new, old = (sum(x) / len(x) for x in (good[False], good[True]))
    return [f"late routes were served {new:.2f} of the time, the first ones {old:.2f}"] if new * 4 < old else []


@check("ACKS")
def acks(d: Day) -> list[str]:
    """Proper orders of the operator, and workers that say in a calm time that they leave, without an answer in time."""
    out = []
    end = max((e["t"] for e in d.of("traffic_over")), default=0.0)
    answers = {e["change"]: e for e in d.of("changed")}
    for e in d.of("change"):
        got = answers.get(e["change"])
        if not e["valid"] or got is not None and 400 <= got["status"] < 500 and got["status"] != 400:
            continue  # it lost against another one, or is owed no answer
        if got is not None and got["status"] == 400:
            out.append(f"change {e['change']} to version {e['version']} was refused with 400: {got['why']}")
            continue
        until = got["t"] if got is not None and got["status"] == 200 else end
        most = d.s("ackMs") + 0.003 * len(e["config"]["routes"])
        if d.calm(e["t"], until) > most:
            out.append(f"change {e['change']}, sent {e['t']:.2f}, had no answer until {until:.2f}, in calm times")
    for e in d.of("evac_sent"):
        done = [x for x in d.of("evac") if x["zone"] == e["zone"] and x["on"] == e["on"] and x["t"] >= e["t"]]
        until = done[0]["t"] if done and done[0]["status"] == 200 else end
        if d.calm(e["t"], until) > d.s("ackMs"):
            out.append(f"the evacuation of {e['zone']} ({e['on']}), sent {e['t']:.2f}, had no answer until {until:.2f}")
    left = [
        e
        for e in d.of("drains")
        if e["t"] + d.s("ackMs") < end and d.calm(e["t"], e["t"] + d.s("ackMs")) >= d.s("ackMs")
    ]
    told = {e["worker"] for e in d.of("beat") if e["state"] == "draining"}
    late = [e["worker"] for e in left if e["worker"] not in told]
    if len(late) * 5 > len(left):
        out.append(f"{len(late)} of {len(left)} workers that left in calm times had no answer: {', '.join(late[:4])}")
    return out


# --- streams
@check("ORDER")
def order(d: Day) -> list[str]:
    out = []
    for name, a in d.answers.items():
        r = d.requests[name]
        if r["kind"] != "stream" or not 200 <= a["status"] < 300:
            continue
        for place, (number, data, _) in enumerate(a["events"]):
            want = r["last"] + 1 + place
            if number != want:
                out.append(f"{name} via {a['via']}: event {number} came where {want} was due")
                break
            if not data.startswith(f"{r['mark']}.{number}."):
                out.append(f"{name}: event {number} is {data!r:.40}")
        if a["whole"] and r["last"] + len(a["events"]) < r["size"] and d.ends.get(name):
            out.append(
                f"{name} via {a['via']} ends as complete after {r['last'] + len(a['events'])} of {r['size']} events"
            )
        out += [f"{name} via {a['via']}: {flaw}" for flaw in joined(d, [data for _, data, _ in a["events"]])]
    for e in d.of("lot_read"):
        for row in e["results"]:
            if row["state"] == "done" and row["id"] in d.items:
                flaws = joined(d, row["text"].split("\n"), gaps=True)
                out += [f"item {row['id']} of lot {e['lot']}: {flaw}" for flaw in flaws]
    return sorted(set(out))


def joined(d: Day, datas: list[str], gaps: bool = False) -> list[str]:
    """Pieces of several runs: each later run must have been asked to go on after the last piece before."""
    out, before, seen = [], None, 0
    for data in datas:
        *_, number, run = (["", "0", "0"] + data.split("."))[-3:]
        at = int(number) if number.isdigit() else 0
        if gaps and at != seen + 1:
            return [f"event {at} comes after event {seen}"]
        if before is not None and run != before and d.asked_from.get(run) != seen:
            out.append(f"after event {seen} comes a run that was asked to go on after {d.asked_from.get(run)}")
        before, seen = run, at
    return out


# --- zones
@check("FAILBACK")
def failback(d: Day) -> list[str]:
    out = []
    rate: dict[str, Event] = {e["worker"]: e for e in d.of("start")}
    got: dict[str, list[float]] = defaultdict(list)
    # A worker that turns cold amidst its work tells so with its next beat: until that is known, nobody can heed it.
    unknown: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for c in d.of("cooled"):
        told = min((e["t"] for e in d.of("beat") if e["worker"] == c["worker"] and e["t"] > c["t"]), default=EVER)
        unknown[c["worker"]].append((c["t"], told + TOLD))
    for e in d.of("reach"):
        if any(a <= e["t"] - e.get("queued", 0.0) < b for a, b in unknown[e["worker"]]):
            continue
        if e["warm_left"] > 0 and e["status"] != 421:
            got[e["worker"]].append(e["t"] - e.get("queued", 0.0))
    for worker, times in got.items():
        cold = rate[worker]["cold_rate"]
        if not cold:
            continue
        most = cold * float(d.bounds["warmExcess"]) + float(d.bounds["warmExtra"])
        times.sort()
        for i, t in enumerate(times):
            count = bisect.bisect_left(times, t + 1.0) - i
            if count > most:
                out.append(f"cold {worker} got {count} requests in the second from {t:.2f}, {most:g} is the most")
                break
    return out


@check("EVAC")
def evac(d: Day) -> list[str]:
    out = []
    marks: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
    for e in d.of("evac"):
        if e["on"] and e["status"] == 200 and d.in_touch(e["via"], e["t"]):
            back = min(
                (x["t"] for x in d.of("evac_sent") if x["zone"] == e["zone"] and not x["on"] and x["t"] > e["t"]),
                default=EVER,
            )
            marks[e["zone"]].append((e["t"], back, e["via"]))
    for e in d.of("reach"):
        if e["status"] == 421:
            continue
        at = e["t"] - e.get("queued", 0.0)
        for start, back, _ in marks.get(e["zone"], []):
            if start + d.s("evacMs") < at < back and d.in_touch(e["from"], e["t"], start):
                out.append(
                    f"{e['id']} from {e['from']} reached {e['worker']} {at - start:.2f} s after {e['zone']} was evacuated"
                )
                break
    return out


# --- lots
@check("LOT_MIXED")
def lot_mixed(d: Day) -> list[str]:
    out = []
    ending = {e["lot"]: e["t"] for e in reversed(d.of("lot_ending"))}
    for e in d.of("lot_read"):
        lot = d.lots.get(e["lot"])
        if e["status"] != 200 or lot is None:
            continue
        if e["total"] != lot["size"]:
            out.append(f"lot {e['lot']}: total is {e['total']}, {lot['size']} items were sent")
        if e["next"] != e["start"] + len(e["results"]):
            out.append(f"lot {e['lot']}: next is {e['next']} after {len(e['results'])} results from {e['start']}")
        for row in e["results"]:
            item = d.items.get(row["id"])
            if item is None or item["lot"] != e["lot"]:
                out.append(f"lot {e['lot']} has a result of {row['id']}, which is no item of it")
            elif row["state"] == "done":
                if not d.whole(item, row["text"]):
                    count = row["text"].count("\n") + 1
                    out.append(
                        f"item {row['id']} of lot {e['lot']} is done with {count} events, {item['size']} are its whole output"
                    )
            elif row["state"] == "abandoned":
                statuses = [x["status"] for x in d.ends.get(row["id"], []) if x["t"] <= e["t"]]
                route = d.route_named(item["route"])
                fair = (
                    422 in statuses or statuses.count(500) >= route["tries"] or e["t"] >= item["t"] + route["expireS"]
                )
                if not fair and not ending.get(e["lot"], EVER) <= e["t"]:
                    out.append(f"item {row['id']} of lot {e['lot']} is abandoned after the answers {statuses}")
            else:
                out.append(f"item {row['id']} of lot {e['lot']} is {row['state']!r}")
    for e in d.of("item_read"):
        item = d.items.get(e["item"])
        if e["status"] == 200 and item is not None and e["body"] != item["body"]:
            out.append(f"item {e['item']} of lot {e['lot']} is given back with bytes that differ")
    return sorted(set(out))


@check("QUOTA")
def quota(d: Day) -> list[str]:
    """At each 202: accepted tokens that no worker has finished, that are not dead, and whose lot wasn't asked to end."""
    out = []
    done: dict[str, float] = {}
    fails: dict[str, int] = defaultdict(int)
    for e in d.of("ended"):
        if e["id"] not in d.items:
            continue
        item = d.items[e["id"]]
        fails[e["id"]] += e["status"] == 500
        tries = d.route_named(item["route"])["tries"]
        if (e["whole"] and 200 <= e["status"] < 300) or e["status"] == 422 or fails[e["id"]] >= tries:
            done.setdefault(e["id"], e["t"])
    ending = {e["lot"]: e["t"] for e in reversed(d.of("lot_ending"))}
    accepted: list[Event] = []
    for mark in sorted(d.lot_acked.values(), key=lambda e: e["t"]):
        lot = d.lots[mark["lot"]]
        accepted.append(lot)
        route = d.route_named(lot["route"])
        if not route.get("maxQueued"):
            continue
        waiting = sum(
            i["tokens"]
            for x in accepted
            if x["route"] == lot["route"]
            and ending.get(x["lot"], EVER) > mark["t"]
            and mark["t"] < x["t"] + route["expireS"]
            for i in x["items"]
            if done.get(i["id"], EVER) > mark["t"]
        )
        most = route["maxQueued"] * (1 + float(d.bounds["quotaExcess"]))
        if waiting > most:
            out.append(
                f"lot {mark['lot']} was taken with {waiting} tokens waiting on {lot['route']}, {most:g} is the most"
            )
    return out


# --- after a loss
@check("RECOVER")
def recover(d: Day) -> list[str]:
    if d.closing == EVER:
        return []

    def share(since: float, until: float) -> tuple[float, int]:
        every = [e for e in d.of("served") if since <= e["began"] < until]
        return (sum(e["good"] for e in every) / len(every) if every else 0.0), len(every)

    back = max((e["t"] for e in d.of("trouble") if e["what"] == "start"), default=d.closing)
    before, _ = share(-EVER, d.closing)
    after, count = share(back + d.s("recoverS"), EVER)
    if before >= 0.25 and count and after < 0.25:
        return [
            f"{after:.2f} of {count} requests were served later than {d.s('recoverS'):g} s after the machines were back"
        ]
    return []


# --- faults
@check("FAULT")
def fault(d: Day) -> list[str]:
    ends: dict[str, int] = defaultdict(int)
    for e in d.of("ended_itself"):
        if not any(a - 1 <= e["t"] <= b + 1 for a, b in d.spans.get(e["machine"], [])):
            ends[e["machine"]] += 1
    out = [f"{n} ended by itself {k} times" for n, k in ends.items() if k >= 1]
    served = d.of("served")
    if served and not any(e["good"] for e in served):
        out.append("no request was served")
    return out


def breaches(d: Day) -> dict[str, list[str]]:
    return {name: found for name, made in CHECKS.items() if (found := made(d))}
