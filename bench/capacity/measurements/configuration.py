"""What functions over the whole configuration cost."""

from __future__ import annotations

import random
from typing import Any

from bench.capacity.meter import Row, timed
from bench.capacity.simulated_fleet import more_routes
from bench.capacity.target import Target
from postpass.control.epochs import ReplicaSet
from postpass.control.state import ReplicatedState
from postpass.gateway.load_balancing import Prefix, WorkerCandidate, choose_worker, long_prompt_workers
from postpass.membership.registry import State
from sim.announced import AnnouncedFleet, Sizes, module
from sim.loop import SimLoop


def manifest_row(workers: int, routes: int = 9) -> Row:
    """What is done with the whole state at each write, and with the operator's document at each change."""
    chance = random.Random(1)
    kinds = AnnouncedFleet(SimLoop(1), {"machines": {}, "pools": {}}, 1, sizes=Sizes())
    doc = more_routes(kinds.first_config(), routes)
    translator = module("configuration").TRANSLATOR
    terms = translator.terms(doc).unwrap()
    servers: Row = {
        f"i-{i:04x}{chance.randrange(1 << 16):04x}": {"url": f"http://10.{i % 5}.9.{i % 250}:8080", "area": f"zone-{'abcde'[i % 5]}", "slots": 8}
        for i in range(workers)
    }  # fmt: skip
    machines: Row = {
        f"edge-zone-{'abcde'[i % 5]}-{i}": {"area": f"zone-{'abcde'[i % 5]}", "peer": f"10.1.1.{i}:7660", "http": f"10.1.1.{i}:8144", "duties": ["edge"], "born": i}
        for i in range(Target().daemons)
    }  # fmt: skip
    pools = terms["pools"]
    first = next(iter(pools))
    configuration: Any = {"name": "announced", "announced": True, "machines": machines, "areas": [], "parts": 8, "copies": 4, "classes": {}, "ways": {}, **terms,
                "pools": pools | {first: pools[first] | {"servers": servers}}}  # fmt: skip
    held = ReplicatedState(1, ReplicaSet(1, "c1", ("c2",), {}), State(1, configuration, source=doc))
    candidates = [WorkerCandidate(f"i-{i:04x}", 8, i % 3) for i in range(workers)]
    apart = long_prompt_workers([c.name for c in candidates])
    hot = Prefix(b"a", 2000)
    return {
        "workers": workers, "routes": routes, "state": len(held.dump()), "dump_ms": timed(held.dump) * 1e3, "terms_ms": timed(lambda: translator.terms(doc)) * 1e3,
        "choose_us": timed(lambda: choose_worker(candidates, Prefix(b"", 0), 8, chance, 100, apart)) * 1e6,
        "choose_prefix_us": timed(lambda: choose_worker(candidates, hot, 8, chance, 100, apart)) * 1e6, "readers_us": timed(lambda: long_prompt_workers([c.name for c in candidates])) * 1e6,
    }  # fmt: skip
