"""The two deployments of the brief: their manifests, and what their callers do.

python -m bench.deploy     writes examples/*.json anew
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.clients import Load
from bench.plan import AREAS, grid, servers

FOLDER = Path(__file__).parent.parent / "examples"


@dataclass(frozen=True)
class Deployment:
    """A configuration, and what its clients do."""

    name: str
    manifest: dict[str, Any]
    load: Load
    delay: float  # milliseconds between areas, each way


def _base(name: str, workers: int, plains: int, classes: dict[str, Any], way: str) -> dict[str, Any]:
    return {
        "name": name, "areas": list(AREAS), "machines": grid(8, 4, 4, 4), "parts": 8, "copies": 4,
        "predicate": "KTH_MAX(SIZEOF($ALLWNODES)/2+1, $ALLWNODES.persisted)", "retention": 3600.0, "ramp": 10.0,
        "classes": classes,
        "pools": {
            "gpu": {"kind": "model", "weights": "model-1", "servers": servers(workers, 4, 8, "w")},
            "app": {"kind": "plain", "servers": servers(plains, 5, 32, "p")},
        },
        "ways": {f"/{way}": way},
    }  # fmt: skip


def live(share: float, priority: int, deadline: float, other: str) -> dict[str, Any]:
    """A class of live requests that lends to one other class and borrows from it."""
    return {
        "kind": "live",
        "pool": "gpu",
        "share": share,
        "priority": priority,
        "deadline": deadline,
        "lends": True,
        "borrows": [other],
    }


def batch(share: float, *lenders: str) -> dict[str, Any]:
    """A class of jobs that borrows from these classes."""
    return {"kind": "batch", "pool": "gpu", "share": share, "borrows": list(lenders), "handback": 1.0, "reserve": 0.25}


KOMPRESSORLAB = Deployment(
    "kompressorlab",
    _base("kompressorlab", 9, 4, {
        "fault": live(0.6, 2, 15.0, "review"), "review": live(0.25, 1, 60.0, "fault"),
        "reading": batch(0.15, "fault", "review"), "alarm": {"kind": "plain", "pool": "app", "share": 1, "deadline": 5.0},
    }, "alarm"),
    Load({"fault": 65, "review": 10}, {"alarm": 25}, {"reading": (0.67, 40)}, within=60.0, pieces={"fault": 10, "review": 30}),
    0.5,
)  # fmt: skip

COURIERS = Deployment(
    "couriers",
    _base("couriers", 6, 4, {
        "turn": live(0.6, 2, 10.0, "audit"), "audit": live(0.25, 1, 60.0, "turn"),
        "stops": batch(0.15, "turn", "audit"), "tile": {"kind": "plain", "pool": "app", "share": 1, "deadline": 5.0},
    }, "tile"),
    Load({"turn": 70, "audit": 7}, {"tile": 27}, {"stops": (0.33, 80)}, within=120.0, pieces={"turn": 6, "audit": 30}),
    1.5,
)  # fmt: skip

DEPLOYMENTS = {d.name: d for d in (KOMPRESSORLAB, COURIERS)}


def text(d: Deployment) -> str:
    """The configuration as the example file has it."""
    return json.dumps(d.manifest, indent=1) + "\n"


if __name__ == "__main__":
    for each in DEPLOYMENTS.values():
        (FOLDER / f"{each.name}.json").write_text(text(each))
