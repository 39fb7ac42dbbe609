"""Helpers and inputs to test the clients' HTTP interface with bad input and unusual timing, on a complete simulated fleet."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

from bench.plan import manifest
from sim.fleet import SimFleet
from sim.loop import SimLoop, run_sim

SendRequest = Callable[..., Awaitable[tuple[int, Any, Any]]]


def with_fleet(check: Callable[[SimFleet, SendRequest], Awaitable[None]], **fleet: Any) -> None:
    """Starts a simulated fleet and runs `check` outside its machines, with a function that sends an HTTP request to a machine.

    Fails if the run left errors. `fleet` are the arguments of `bench.plan.manifest`.
    """

    async def main(loop: SimLoop) -> None:
        world = SimFleet(loop, manifest(**fleet), 1)
        await world.found()

        async def outside() -> None:
            async with world.session() as session:

                async def send(
                    method: str, path: str, body: Any = None, headers: Any = None, to: str = "e1"
                ) -> tuple[int, Any, Any]:
                    url = f"http://{world.configuration['machines'][to]['http']}{path}"
                    data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
                    async with session.request(method, url, data=data, headers=headers) as response:
                        text = (await response.read()).decode()
                        return response.status, json.loads(text) if text.startswith("{") else text, response.headers

                await check(world, send)

        await world.out(outside())
        assert loop.errors + loop.unretrieved() == []

    run_sim(main, 1)


def count_taken_requests(world: SimFleet) -> int:
    """Returns the number of requests that workers have accepted."""
    return sum(e["ev"] == "took" for e in world.events)


def sum_last_record_numbers(world: SimFleet) -> int:
    """Returns the sum of the last record numbers of all owned partitions, which grows with every new record."""
    return sum(p.record_log.last for _, s in world.stores() for p in s.partitions.values() if p.owning)


LOT = {"class": "lot", "items": ["a", "b"], "within": 30}
# Invalid bodies, each with the status of the response and a part of its reason.
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
