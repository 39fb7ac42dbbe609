"""The callers' interface under bad input and odd timing, against a whole simulated fleet."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

from bench.plan import manifest
from sim.fleet import SimFleet
from sim.loop import SimLoop, run_sim

Say = Callable[..., Awaitable[tuple[int, Any, Any]]]


def with_fleet(check: Callable[[SimFleet, Say], Awaitable[None]], **fleet: Any) -> None:
    """Founds a fleet and runs `check` as a caller from outside."""

    async def main(loop: SimLoop) -> None:
        world = SimFleet(loop, manifest(**fleet), 1)
        await world.found()

        async def outside() -> None:
            async with world.session() as session:

                async def say(
                    method: str, path: str, body: Any = None, heads: Any = None, to: str = "e1"
                ) -> tuple[int, Any, Any]:
                    url = f"http://{world.configuration['machines'][to]['http']}{path}"
                    data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
                    async with session.request(method, url, data=data, headers=heads) as got:
                        text = (await got.read()).decode()
                        return got.status, json.loads(text) if text.startswith("{") else text, got.headers

                await check(world, say)

        await world.out(outside())
        assert loop.errors + loop.unretrieved() == []

    run_sim(main, 1)


def taken(world: SimFleet) -> int:
    return sum(e["ev"] == "took" for e in world.events)


def lasts(world: SimFleet) -> int:
    return sum(p.record_log.last for _, s in world.stores() for p in s.partitions.values() if p.owning)


LOT = {"class": "lot", "items": ["a", "b"], "within": 30}
BAD_LOTS: list[tuple[Any, int, str]] = [
    (b"{", 400, "not JSON"),
    (b"[" * 100000, 400, "not JSON"),
    ([], 400, "want an object"),
    ({"items": ["a"], "within": 3}, 400, "class: missing"),
    (LOT | {"odd": 1}, 400, "odd: unknown key"),
    (LOT | {"items": [1]}, 400, "items[0]: want a string"),
    (LOT | {"items": []}, 400, "items: want at least one"),
    (LOT | {"class": "ask"}, 400, "class: unknown batch class"),
    (LOT | {"class": "nope"}, 400, "class: unknown batch class"),
    (LOT | {"within": -1}, 400, "due: is in the past"),
    ({"class": "lot", "items": ["a"], "due": 5}, 400, "due: is in the past"),
    ({"class": "lot", "items": ["a"]}, 400, "due: want either"),
    (LOT | {"id": "a/b"}, 400, "id: want 1 to 80"),
    (LOT | {"items": ["x" * 70000]}, 400, "items[0]: at most 65536 bytes"),
    (LOT | {"items": ["x"] * 5001}, 400, "items: at most 5000"),
    (LOT | {"items": ["x" * 60000] * 60}, 400, "bytes in all"),
    (b'{"class": "lot", "items": ["' + b"x" * (5 << 20) + b'"]}', 413, "at most 4194304 bytes"),
]
BAD_CALLS: list[tuple[Any, int, str]] = [
    ({"class": "ask"}, 400, "own: missing"),
    ({"class": "lot", "own": "x"}, 400, "class: unknown live class"),
    ({"class": "ask", "own": 3}, 400, "own: want a string"),
    ({"class": "ask", "own": "x", "deadline": -1}, 400, "deadline: is in the past"),
    ({"class": "ask", "own": "x", "most": 0}, 400, "most: want 1 to"),
    ({"class": "ask", "own": "x", "once": True, "key": "a b"}, 400, "key: want 1 to 80"),
    ({"class": "ask", "own": "x", "shared": "no list"}, 400, "shared: want a list"),
]
