"""What functions over the whole configuration cost."""

from __future__ import annotations

import random
from typing import Any

from bench.capacity.meter import Row, timed
from bench.capacity.simulated_fleet import announced_fleet, more_routes
from bench.capacity.target import Target
from postpass.control.epochs import ReplicaSet
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State
from postpass.routing.live_choice import EdgeView, Prompt, WorkerCandidate, choose_worker
from postpass.routing.prefixes import Prefix
from sim.announced import Sizes, module
from sim.loop import SimLoop

ZONES = [f"zone-{letter}" for letter in "abcde"]
SLOTS = 8  # of each worker
EDGES = 8
PROMPT_TOKENS = 100
PREFIX = Prefix(b"a", 2000)
NO_PREFIX = Prefix(b"", 0)


def manifest_row(workers: int, routes: int = 9) -> Row:
    """What is done with the whole state at each write, with the operator's document at each change, and with all workers
    of one pool at each request."""
    chance = random.Random(1)
    fleet = announced_fleet(SimLoop(1), Sizes())
    document = more_routes(fleet.first_config(), routes)
    translator = module("configuration").TRANSLATOR
    configuration = _configuration(translator.terms(document).unwrap(), workers, chance)
    replica_set = ReplicaSet(1, "c1", ("c2",), {})
    replicated_state = ReplicatedState(1, replica_set, State(1, configuration, source=document))
    candidates = [WorkerCandidate(f"i-{i:04x}", SLOTS, i % 3) for i in range(workers)]
    view = EdgeView(EDGES, PROMPT_TOKENS)
    return {
        "workers": workers,
        "routes": routes,
        "state": len(replicated_state.dump()),
        "dump_ms": timed(replicated_state.dump) * 1e3,
        "terms_ms": timed(lambda: translator.terms(document)) * 1e3,
        "choose_us": timed(lambda: choose_worker(candidates, Prompt(NO_PREFIX, PROMPT_TOKENS), view, chance)) * 1e6,
        "choose_prefix_us": timed(lambda: choose_worker(candidates, Prompt(PREFIX, PROMPT_TOKENS), view, chance)) * 1e6,
    }


def _configuration(terms: Row, workers: int, chance: random.Random) -> Any:
    """The configuration of the size to design for, with so many workers in the first pool."""
    pools = terms["pools"]
    first = next(iter(pools))
    return {
        "name": "announced",
        "announced": True,
        "machines": _machines(Target().daemons),
        "areas": [],
        "parts": 8,
        "copies": 4,
        "classes": {},
        "ways": {},
        **terms,
        "pools": pools | {first: pools[first] | {"servers": _servers(workers, chance)}},
    }


def _servers(count: int, chance: random.Random) -> Row:
    return {
        f"i-{i:04x}{chance.randrange(1 << 16):04x}": {
            "url": f"http://10.{i % 5}.9.{i % 250}:8080",
            "area": ZONES[i % len(ZONES)],
            "slots": SLOTS,
        }
        for i in range(count)
    }


def _machines(count: int) -> Row:
    return {
        f"edge-{ZONES[i % len(ZONES)]}-{i}": {
            "area": ZONES[i % len(ZONES)],
            "peer": f"10.1.1.{i}:7660",
            "http": f"10.1.1.{i}:8144",
            "duties": ["edge"],
            "born": i,
        }
        for i in range(count)
    }
