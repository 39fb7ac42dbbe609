"""From a manifest to the configs of its machines, and a small manifest for tests."""

from __future__ import annotations

import copy
from typing import Any

Raw = dict[str, Any]
AREAS = ("a", "b", "c", "d")


def seeds(configuration: Raw) -> list[str]:
    """Three processes in distinct areas, control machines first."""
    ranked = sorted(configuration["machines"].values(), key=lambda m: "control" not in m["duties"])
    return [m["peer"] for m in ranked[:3]]


def config(configuration: Raw, name: str, data: str = "", **more: Any) -> Raw:
    """The settings file of one machine; `data` is its data folder, and empty for one that keeps nothing."""
    m = configuration["machines"][name]
    out: Raw = {
        "name": name,
        "area": m["area"],
        "peer": m["peer"],
        "http": m["http"],
        "seeds": seeds(configuration),
        **more,
    }
    duties = [d for d in m["duties"] if d != "control"]
    if duties:
        out["duties"] = duties
    if data:
        out["data"] = data
    return out


def grid(edges: int, stores: int, control: int, scheds: int, zones: tuple[str, ...] = AREAS) -> Raw:
    """Machines spread over the areas; an address tells area, duty and number."""
    out: Raw = {}
    for kind, many, digit in (("c", control, 3), ("s", stores, 2), ("e", edges, 1)):
        for i in range(many):
            spot = i % len(zones)
            ip = f"127.{spot + 1}.{digit + 10 * (i // 200)}.{i % 200 + 1}"
            duties = {"c": ["control"], "s": ["store"], "e": ["edge"] + (["sched"] if i < scheds else [])}[kind]
            out[f"{kind}{i + 1}"] = {"area": zones[spot], "peer": f"{ip}:7000", "http": f"{ip}:8000", "duties": duties}
    return out


def servers(many: int, digit: int, slots: int, letter: str, zones: tuple[str, ...] = AREAS) -> Raw:
    """So many workers of a pool, spread over the zones; `digit` is the third number of their addresses, `letter` begins their names."""
    return {
        f"{letter}{i + 1}": {
            "url": f"http://127.{i % len(zones) + 1}.{digit}.{i + 1}:9000",
            "area": zones[i % len(zones)],
            "slots": slots,
        }
        for i in range(many)
    }


def manifest(edges: int = 2, stores: int = 4, control: int = 4, scheds: int = 2, workers: int = 3, plains: int = 1,
             parts: int = 4, slots: int = 4, **more: Any) -> Raw:  # fmt: skip
    """A small fleet with the classes that both deployments have."""
    base: Raw = {
        "name": "small",
        "areas": list(AREAS),
        "machines": grid(edges, stores, control, scheds),
        "parts": parts,
        "copies": min(stores, 4),
        "ramp": 4.0,
        "retention": 600.0,
        "classes": {
            "ask": {
                "kind": "live",
                "pool": "gpu",
                "share": 0.6,
                "priority": 2,
                "deadline": 15,
                "lends": True,
                "borrows": ["review"],
            },
            "review": {
                "kind": "live",
                "pool": "gpu",
                "share": 0.25,
                "priority": 1,
                "deadline": 30,
                "lends": True,
                "borrows": ["ask"],
            },
            "lot": {"kind": "batch", "pool": "gpu", "share": 0.15, "borrows": ["ask", "review"], "handback": 1.0},
            "view": {"kind": "plain", "pool": "app", "share": 1, "deadline": 5},
        },
        "pools": {
            "gpu": {"kind": "model", "weights": "model-1", "servers": servers(workers, 4, slots, "w")},
            "app": {"kind": "plain", "servers": servers(plains, 5, 16, "p")},
        },
        "ways": {"/view": "view"},
    }
    return base | more


def changed(configuration: Raw, path: str, value: Any) -> Raw:
    """A copy with one place set (or dropped, for None); the path has dots."""
    out = copy.deepcopy(configuration)
    spot = out
    *heads, last = path.split(".")
    for head in heads:
        spot = spot.setdefault(head, {})
    if value is None:
        spot.pop(last, None)
    else:
        spot[last] = value
    return out
