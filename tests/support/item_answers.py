"""Items of lots at byte-level stand-in workers: the product's own scheduler places and runs them, in virtual time.

The owner of the lots is stood in for: it keeps what the scheduler tells it. `judge_items` holds that against what the
workers answered.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, cast

from prometheus_client import CollectorRegistry
from result import Ok

from postpass.batch.leased_items import LeasedItem, LeasedItems
from postpass.batch.messages import Item
from postpass.batch.owner_client import OwnerClient
from postpass.batch.scheduler import Scheduler
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.connection_pool import ConnectionPool
from postpass.rpc.codec import Body
from postpass.runtime.environment import Environment
from postpass.worker_api.openai import Prompt
from sim.loop import Host, SimLoop, run_sim
from tests.support.answers import NAMES, Play, Record, Run, StandInWorker, configuration, events

ROUNDS, ROUND_S = 120, 0.1  # how often the scheduler fills places, and seconds between
GRANT_AGAIN_S = 0.1  # seconds after which the owner leases an item again that failed
FAILURES = {"failed": ("failure", "bare failure"), "abandoned": ("never",)}


@dataclass(frozen=True)
class ItemScene:
    """Workers with their plays, how many items each of some lots has, and after how many failures one is given up."""

    plays: tuple[tuple[Play, ...], ...]
    lots: tuple[int, ...]
    tries: int = 1


@dataclass
class Told:
    """What the scheduler told the owner, by lot and position, and what the workers ran."""

    record: Record
    errors: list[str]
    results: dict[tuple[str, int], list[Body]] = field(default_factory=dict)
    failures: dict[tuple[str, int], list[Body]] = field(default_factory=dict)  # after which the item is tried again
    waiting: int = 0  # items that failed and are not leased again yet


def item_id(lot: str, position: int) -> str:
    return f"{lot}-{position}"


def whole_text(request_id: str) -> str:
    lines = events(request_id).decode().split("\n")
    return "\n".join(line.removeprefix("data: ") for line in lines if line.startswith("data: "))


def leased_item(lot: str, position: int) -> LeasedItem:
    request: Item = {"id": item_id(lot, position), "path": "/s/x", "headers": {}, "tokens": 9,
                     "body": base64.b64encode(b"body").decode()}  # fmt: skip
    return LeasedItem(0, lot, position, "route:lot", 0.0, Prompt((), ""), "", request=request)


def leased_items_of(scene: ItemScene) -> list[LeasedItem]:
    out = []
    for number, size in enumerate(scene.lots):
        for position in range(size):
            out.append(leased_item(f"lot{number}", position))
    return out


@dataclass(eq=False)
class AnyOwner(OwnerClient):
    """An owner that takes whatever it is told, and leases an item again until it has failed `tries` times."""

    told: Told = field(default_factory=lambda: Told(Record(), []))
    tries: int = 1
    items: LeasedItems = field(default_factory=LeasedItems)  # those of the scheduler

    async def ask(self, partition: int, verb: str, body: Body, wait: float) -> Any:
        assert verb == "done"
        key = (body["id"], body["item"])
        failures = self.told.failures.setdefault(key, [])
        if body["status"] == "failed" and len(failures) + 1 < self.tries:
            failures.append(body)
            self.told.waiting += 1
            asyncio.get_running_loop().call_later(GRANT_AGAIN_S, self.grant_again, key)
        else:
            self.told.results.setdefault(key, []).append(body)
        return Ok({})

    def grant_again(self, key: tuple[str, int]) -> None:
        self.told.waiting -= 1
        self.items.add(leased_item(*key))


def scheduler(told: Told, workers: Sequence[str], seed: int, tries: int = 1) -> Scheduler:
    settings = Settings("e", "a", "127.0.0.1:1", "127.0.0.1:2", ("127.0.0.1:1",), ("item_scheduler",), announce=True)
    configuration_view = ConfigurationView("e")
    assert configuration_view.accept(1, configuration(tuple(workers)))
    configuration_view.last_contact = 1e9
    unused = cast(Any, None)
    world = Environment(chance=random.Random(seed))
    item_scheduler = Scheduler(settings, world, configuration_view, unused, unused, unused, CollectorRegistry(), NAMES)
    item_scheduler.runner.owners = AnyOwner(
        settings, configuration_view, unused, told=told, tries=tries, items=item_scheduler.items
    )
    item_scheduler.election.active, item_scheduler.items.leases = True, {0: 1e9}
    item_scheduler.runner.workers = cast(Any, ConnectionPool())
    return item_scheduler


def run_items(scene: ItemScene, seed: int = 0, rounds: int = ROUNDS) -> Told:
    async def world(loop: SimLoop) -> Told:
        told = Told(Record(), loop.errors)
        names = [f"w{i + 1}" for i in range(len(scene.plays))]
        for i, (name, plays) in enumerate(zip(names, scene.plays, strict=True)):
            there = loop.add(Host(name, (f"127.0.1.{i + 1}",), "a"))
            worker = StandInWorker(name, plays, told.record)
            await loop.create_task(worker.serve(f"127.0.1.{i + 1}"), context=there.context())
        here = loop.add(Host("e", ("127.0.0.1",), "a"))

        async def schedule() -> None:
            item_scheduler = scheduler(told, names, seed, scene.tries)
            for item in leased_items_of(scene):
                item_scheduler.items.add(item)
            for _ in range(rounds):
                item_scheduler.placement.place_requests(
                    item_scheduler.configuration_view.manifest or configuration(tuple(names))
                )
                await asyncio.sleep(ROUND_S)
                if not item_scheduler.items and not told.waiting:
                    break

        await loop.create_task(schedule(), context=here.context())
        told.errors += loop.unretrieved()
        return told

    return run_sim(world, seed)  # type: ignore[no-any-return]


def judge_items(told: Told) -> list[str]:
    """Each breach in words; empty if all held."""
    out = [f"an error in the product: {e}" for e in told.errors]
    for (lot, position), results in told.results.items():
        name = item_id(lot, position)
        if len(results) > 1:
            out.append(f"{name} has {len(results)} results")
        for result in results:
            out += judge_result(name, result, told.record)
        out += judge_failures(name, len(told.failures.get((lot, position), [])), results[-1], told.record)
    return out


def judge_failures(name: str, failures_before: int, result: Body, record: Record) -> list[str]:
    """Did workers give as many failures of an item as were counted?"""
    counted = failures_before + (result["status"] == "failed")
    given = sum(run.play.kind in FAILURES["failed"] for run in record.of(name))
    return [f"{name}: {counted} failures were counted, its workers gave {given}"] if counted > given else []


def judge_result(name: str, result: Body, record: Record) -> list[str]:
    status, text = result["status"], result["output"]
    if result["sum"] != hashlib.sha256(text.encode()).hexdigest()[:16]:
        return [f"{name}: a sum of another text"]
    if status == "done":
        return [] if text == whole_text(name) else [f"{name}: not its whole text: {text!r}"]
    said = [r for r in record.of(name) if r.play.kind in FAILURES[status] and answers_only(r, name)]
    return [] if said and not text else [f"{name} ended as {status}, which no worker said of it"]


def answers_only(run: Run, name: str) -> bool:
    """Did the worker name this item, and no other? The request before it may have been of the same item."""
    return run.play.identity != "two" and f"X-Call-Id: {name}\r\n".encode() in run.raw
