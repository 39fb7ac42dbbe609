"""What `pp status` shows: a pure function of what the machines said."""

from __future__ import annotations

from typing import Any

from postpass.control.health import health_lines


def pending(seen: dict[str, Any]) -> list[str]:
    """Operations of the manifest that are not complete yet, and why; complete ones are told as such."""
    configuration, machines = seen["manifest"], seen["machines"]
    parts = {p["part"]: (n, p) for n, m in machines.items() for p in m.get("store", {}).get("parts", []) if p["owning"]}
    out = []
    for name, m in configuration["machines"].items():
        held = sorted(p for p, (_, row) in parts.items() if name in row["crew"])
        unsynced = sorted(p for p, (_, row) in parts.items() if m.get("retire") and not row.get("complete", True))
        unknown = configuration["parts"] - len(parts)
        if m.get("retire") or m.get("gone"):
            word = "retire" if m.get("retire") else "gone"
            if held:
                out.append(f"{word} {name}: pending, still a member of partitions {held}")
            elif unknown:
                out.append(f"{word} {name}: pending, {unknown} partitions have no owner that could tell")
            elif unsynced:
                out.append(f"{word} {name}: pending, not all members of partitions {unsynced} have synced that it left")
            else:
                out.append(f"{word} {name}: complete, no partition counts on it")
    for zone in configuration.get("evacuated", []):
        busy = [f"{n}: {k}" for n, m in sorted(machines.items()) for k, s in m.get("servers", {}).items() if s["mine"]
                and configuration["pools"][k.split("/")[0]]["servers"].get(k.split("/")[1], {}).get("area") == zone]  # fmt: skip
        owns = sorted(p for p, (n, _) in parts.items() if configuration["machines"][n]["area"] == zone)
        if busy or owns:
            out.append(
                f"evacuate {zone}: pending, {len(busy)} edges still have calls there, partitions owned there: {owns}"
            )
        else:
            out.append(f"evacuate {zone}: complete")
    behind = sorted(n for n, m in machines.items() if "edition" in m and m["edition"] < seen["edition"])
    if behind:
        out.append(f"edition {seen['edition']}: pending at {', '.join(behind)}")
    return out


def overview(seen: dict[str, Any]) -> list[str]:
    configuration, machines = seen["manifest"], seen["machines"]
    out = [f"manifest {configuration['name']} edition {seen['edition']}", ""]
    out.append(f"{'machine':10} {'area':8} {'edition':>7} {'release':>8} duties / state")
    for name, m in machines.items():
        zone = configuration["machines"][name]["area"]
        if "unreachable" in m:
            out.append(f"{name:10} {zone:8} {'-':>7} {'-':>8} UNREACHABLE {m['unreachable']}")
            continue
        more = list(m["duties"]) or ["control"]
        control = m.get("control")
        if control:
            more = [
                "control",
                f"epoch {control['epoch']}",
                "primary"
                if control["leads"]
                else "backup"
                if name in control.get("backups", [control["backup"]])
                else "witness",
            ]
            if control["losses"]:
                more.append(f"LOSSES {control['losses']}")
        if m.get("sched", {}).get("active"):
            more.append(f"scheduling, {m['sched']['running']} running")
        if m["ready"]:
            more.append(f"NOT READY: {m['ready']}")
        out.append(f"{name:10} {zone:8} {m['edition']:>7} {m['release']:>8} {' '.join(more)}")
    views = {n: m["control"] for n, m in machines.items() if "control" in m}
    out += ["", *health_lines(views)] if views else []
    out += [
        "",
        f"{'part':>4} {'owner':8} {'epoch':>5} {'last':>7} {'covered':>7} {'lots':>5} {'open':>5} members (behind)",
    ]
    rows = sorted(
        (p["part"], n, p) for n, m in machines.items() for p in m.get("store", {}).get("parts", []) if p["owning"]
    )
    for part, name, p in rows:
        crew = ", ".join(
            n if n == name else f"{n} ({p['last'] - p['mirrors'][n]['persisted'] if n in p['mirrors'] else 'silent'})"
            for n in p["crew"]
        )
        lost = f" LOSSES {p['losses']}" if p["losses"] else ""
        out.append(
            f"{part:>4} {name:8} {p['epoch']:>5} {p['last']:>7} {p['covered']:>7} {p['lots']:>5} {p['open']:>5} {crew}{lost}"
        )
    lacking = sorted(set(range(configuration["parts"])) - {r[0] for r in rows})
    if lacking:
        out.append(f"NO OWNER: partitions {lacking}")
    todo = pending(seen)
    return out + ([""] + todo if todo else [])


def _seen() -> dict[str, Any]:
    from bench.plan import manifest

    configuration = manifest()
    mirrors = {n: {"persisted": 5, "silent": False, "full": False, "disk": n} for n in ("s2", "s3", "s4")}
    part = {"owning": True, "ready": True, "epoch": 1, "last": 5, "covered": 5, "persisted": 5, "owner": "s1", "lots": 1, "open": 0,
            "losses": 0, "crew": {f"s{i}": f"s{i}" for i in range(1, 5)}, "mirrors": mirrors, "bytes": 10}  # fmt: skip
    base = {"edition": 3, "release": "0.1.0", "ready": "", "clash": "", "up": 9.0}
    machines: dict[str, Any] = {n: base | {"name": n, "duties": [d for d in m["duties"] if d != "control"], "http": m["http"], "peer": m["peer"]}
                                for n, m in configuration["machines"].items()}  # fmt: skip
    store = {"free": 90, "size": 100, "bad": "", "held": 1, "disk": "x"}
    for n in ("s1", "s2", "s3", "s4"):
        machines[n]["store"] = store | {"parts": [part | {"part": p} for p in range(4)] if n == "s1" else []}
    for n in ("c1", "c2", "c3", "c4"):
        machines[n]["control"] = {"epoch": 2, "promised": 2, "primary": "c1", "backup": "c2", "leads": n == "c1", "disk": n,
                                  "voters": {f"c{i}": f"c{i}" for i in range(1, 5)}, "losses": 0, "bad": "",
                                  "committed": 3, "contact": 0.1, "in_touch": True, "tolerate": 1}  # fmt: skip
    for n in ("e1", "e2"):
        machines[n]["servers"] = {"gpu/w1": {"barred": "", "mine": 0, "weights": "model-1", "running": 0, "waiting": 0}}
    return {"edition": 3, "manifest": configuration, "machines": machines}
