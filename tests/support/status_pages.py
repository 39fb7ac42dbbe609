"""The status pages of a sound fleet, as the command line gathers them."""

from __future__ import annotations

from typing import Any

from bench.plan import manifest


def sound_fleet() -> dict[str, Any]:
    """The pages of all machines; four stores, of which s1 owns all partitions."""
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
