"""What `pp doctor` finds: a pure function of two looks at the fleet, one after the other."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from postpass.control.health import member_health, next_loss_flaw


@dataclass(frozen=True)
class Finding:
    """Invariant: `remedy` tells what to do, in words that an operator can act on."""

    code: str
    where: str
    what: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.code} {self.where}: {self.what}\n    remedy: {self.remedy}"


def diagnose(first: dict[str, Any], second: dict[str, Any]) -> list[Finding]:
    configuration, machines = second["manifest"], second["machines"]
    out: list[Finding] = []
    for name, m in machines.items():
        if "unreachable" in m:
            out.append(Finding("D02", name, "does not answer", "start it, or declare it gone if it is lost for good"))
    live = {n: m for n, m in machines.items() if "unreachable" not in m}
    for name, m in live.items():
        before = first["machines"].get(name, {})
        if m["edition"] < second["edition"] and before.get("edition", -1) == m["edition"] < first["edition"]:
            out.append(Finding("D03", name, f"runs edition {m['edition']}, {second['edition']} is in force",
                               "see whether it reaches control or any neighbour; restart it if it was frozen"))  # fmt: skip
        if m["name"] != name:
            out.append(Finding("D04", name, f"at {configuration['machines'][name]['http']} answers {m['name']}",
                               "two processes share an address or a name: correct one config"))  # fmt: skip
        if m.get("clash"):
            out.append(Finding("D04", name, m["clash"], "two processes share a name: correct one config"))
        want = configuration["machines"][name]
        for key in ("peer", "http", "area"):
            if key in m and m["name"] == name and m[key] != want[key]:
                out.append(Finding("D05", name, f"its config has {key} {m[key]}, the manifest {want[key]}",
                                   "make config and manifest agree, then restart it or apply"))  # fmt: skip
        duties = [d for d in want["duties"] if d != "control"]
        if m["name"] == name and sorted(m.get("duties", duties)) != sorted(duties):
            out.append(Finding("D05", name, f"its config has duties {m['duties']}, the manifest {duties}",
                               "make config and manifest agree, then restart it or apply"))  # fmt: skip
        if m.get("up", 1) <= before.get("up", -1) and "control" not in m:
            out.append(Finding("D06", name, "its own clock did not move, or it restarted between two looks",
                               "see its log; a frozen daemon must be woken or killed"))  # fmt: skip
        out += _store(name, m.get("store"), configuration)
        out += [Finding("D12", f"{name} {key}", s["barred"], "load the right weights, or correct them in the manifest")
                for key, s in m.get("servers", {}).items() if s["barred"].startswith("weights")]  # fmt: skip
    out += _parts(configuration, live) + _control(live) + _releases(live)
    seen: set[tuple[str, str, str]] = set()
    return [f for f in out if (k := (f.code, f.where.split(" ")[-1], f.what)) not in seen and not seen.add(k)]  # type: ignore[func-returns-value]


def _store(name: str, store: Any, configuration: Any) -> list[Finding]:
    if not store:
        return []
    out = []
    if store["bad"]:
        out.append(Finding("D10", name, store["bad"], "replace the disk; it is refilled from its peers"))
    if store["free"] < max(store["size"] * 0.1, store["held"] * 2):
        out.append(Finding("D09", name, f"{store['free']} of {store['size']} bytes are free",
                           "give it a larger disk, shorten the retention, or retire the store"))  # fmt: skip
    for p in store["parts"]:
        if not p["owning"]:
            continue
        for who, f in p["mirrors"].items():
            lag = p["last"] - f["persisted"]
            if f["silent"]:
                out.append(Finding("D07", f"partition {p['part']}", f"mirror {who} is silent",
                                   "start it, or declare it gone so that another takes its place"))  # fmt: skip
            elif lag > 500:
                out.append(Finding("D07", f"partition {p['part']}", f"mirror {who} is {lag} records behind",
                                   "look at its disk and its links"))  # fmt: skip
        if p["losses"]:
            out.append(Finding("D13", f"partition {p['part']}", f"more than is tolerated was lost, {p['losses']} time(s)",
                               "tell callers to look their lots up; see event E125 in the owner's log"))  # fmt: skip
    return out


def _parts(configuration: Any, live: dict[str, Any]) -> list[Finding]:
    out = []
    owned = {p["part"]: p for m in live.values() for p in m.get("store", {}).get("parts", []) if p["owning"]}
    for part in range(configuration["parts"]):
        p = owned.get(part)
        if p is None:
            out.append(
                Finding("D08", f"partition {part}", "has no owner", "start stores until most of its members run")
            )
        elif len(p["crew"]) < configuration["copies"]:
            out.append(Finding("D08", f"partition {part}", f"has {len(p['crew'])} members, the manifest wants {configuration['copies']}",
                               "start or add stores; the owner takes them in once they are refilled"))  # fmt: skip
        elif any(f"{n}" in p["mirrors"] and p["mirrors"][n]["disk"] != d for n, d in p["crew"].items()):
            out.append(
                Finding(
                    "D08", f"partition {part}", "a member has a new disk and is not refilled yet", "wait; look again"
                )
            )
    return out


def _control(live: dict[str, Any]) -> list[Finding]:
    views = {n: m["control"] for n, m in live.items() if "control" in m}
    leads = [n for n, c in views.items() if c["leads"]]
    out = []
    if not leads:
        out.append(Finding("D11", "control", "no primary", "start control machines until most of them run"))
    for name in leads:
        c = views[name]
        if not c["backup"]:
            out.append(Finding("D11", "control", f"primary {name} has no backup", "start another control machine"))
        elif silent := [n for n in c.get("backups", [c["backup"]]) if n not in views]:
            out.append(
                Finding(
                    "D11",
                    "control",
                    f"backup {', '.join(silent)} does not answer",
                    "start it; another is taken if it stays away",
                )
            )
        odd = [n for n, v in views.items() if c["voters"].get(n) != v["disk"]]
        if odd:
            out.append(
                Finding("D11", "control", f"{', '.join(odd)} may not vote yet", "wait; the primary lets them in")
            )
        lost = [m.name for m in member_health(views) if not m.in_touch]
        if lost:
            out.append(
                Finding(
                    "D11",
                    "control",
                    f"{', '.join(lost)} lost touch with the primary and hands out nothing",
                    "look at its links and whether it runs; followers and operators go on to the others",
                )
            )
        if flaw := next_loss_flaw(views):
            out.append(
                Finding(
                    "D11",
                    "control",
                    f"the next tolerated loss could not be borne: {flaw}",
                    "bring the missing members back, or start new ones, before anything else is stopped",
                )
            )
        if c["losses"]:
            out.append(Finding("D13", "control", f"acknowledged editions may have been lost, {c['losses']} time(s)",
                               "compare the manifest in force with your file and apply again"))  # fmt: skip
    return out + [Finding("D10", n, c["bad"], "replace the disk and restart") for n, c in views.items() if c["bad"]]


def _releases(live: dict[str, Any]) -> list[Finding]:
    many = Counter(m["release"] for m in live.values())
    if len(many) < 2:
        return []
    told = ", ".join(f"{v}: {n}" for v, n in sorted(many.items()))
    return [
        Finding("D14", "fleet", f"daemons of {len(many)} releases run ({told})", "finish the roll-out, or take it back")
    ]
