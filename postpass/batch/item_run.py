"""Running one item at one worker, and telling its owner how it ended."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from prometheus_client import Counter
from result import Ok

from postpass.batch.capacity import PROBES_UNTIL_STALE, RouteCapacity
from postpass.batch.item_request import REJECTED_HINT, RunEnd, Workers, run_item
from postpass.batch.leased_items import LeasedItem, LeasedItems
from postpass.batch.messages import ItemKey, ItemResult, ItemStatus, output_checksum
from postpass.batch.owner_client import OwnerClient
from postpass.batch.scheduler_election import SchedulerElection
from postpass.configuration.configuration import Configuration, Route
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.client_identity import ClientIdentity
from postpass.gateway.worker_load import WorkerLoad
from postpass.runtime.environment import now
from postpass.runtime.errors import MOVED, Fault, FaultError
from postpass.worker_api.openai import complete

if TYPE_CHECKING:
    import aiohttp

ROUTE_STATUS = {RunEnd.DONE: ItemStatus.DONE, RunEnd.FAILED: ItemStatus.FAILED, RunEnd.NEVER: ItemStatus.ABANDONED}
ROUTE_TIMEOUT = 10  # the longest that an item of a route runs, in recovery bounds


def not_run(fault: Fault) -> bool:
    """Is it sure that the worker did not run the item?"""
    return fault.unsent or fault.hint == REJECTED_HINT


@dataclass(eq=False)
class ItemRunner:
    """Runs items, each in a task of its own that the placement starts.

    Invariant: nothing is sent once the lease of the item's partition has expired, which is checked again right before
    the bytes go out. `slot_freed` is set whenever an item of a route has left its worker.
    """

    settings: Settings
    configuration_view: ConfigurationView
    worker_load: WorkerLoad
    session: aiohttp.ClientSession
    election: SchedulerElection
    owners: OwnerClient
    items: LeasedItems
    capacity: RouteCapacity
    ended_items: Counter
    slot_freed: asyncio.Event
    dialect: Dialect = field(default_factory=Dialect)
    workers: Workers | None = None  # None: items of routes are not run here

    # --- items of routes
    def route_gate(self, item: LeasedItem, pool: str, worker: str) -> str:
        """Why an item of a route may not go out; empty if it may. Asked right before its bytes do, also after a freeze."""
        configuration = self.configuration_view.manifest
        flaw = self.lease_gate(item)
        if flaw:
            return flaw
        if now() - self.configuration_view.last_contact > self.settings.bounds.deaf:
            return "no news for too long"
        if self.configuration_view.revision < item.since:
            return "the configuration known here is older than its lot"
        route = configuration.get("routes", {}).get(item.route) if configuration else None
        if configuration is None or route is None or pool not in [s["pool"] for s in route["split"] if s["weight"] > 0]:
            return "the route goes elsewhere now"
        return self.capacity.barred(configuration, pool, worker)

    def lease_gate(self, item: LeasedItem) -> str:
        """Why this scheduler may not send an item at all; empty if it may."""
        if not self.election.active or not self.items.holds(item):
            return "the item went back"
        if self.items.lease_expired(item.partition):
            return "the lease has passed"
        return ""

    async def run_request(self, configuration: Configuration, route: Route, item: LeasedItem) -> None:
        """Runs an item of a route at `item.worker`, on from the text that it has.

        An item that was not answered whole stays here, with its text so far, and goes on elsewhere.
        """
        slots = configuration["pools"][item.pool]["servers"][item.worker]["slots"]
        limit = self.capacity.limits[(item.pool, item.worker)]
        began = now()
        try:
            end = await self.send_request(configuration, route, item)
            limit.completed(slots)
            self.capacity.note_run(now() - began)
        except FaultError as stop:
            poll = self.settings.bounds.poll
            if not_run(stop.fault):
                limit.rejected(poll)
                item.not_before = now() + poll / 4
                end = RunEnd.NOT_RUN
            else:
                item.not_before = now() + poll
                end = RunEnd.CUT
        except asyncio.CancelledError:
            item.task = None
            raise
        finally:
            limit.running -= 1
            self.slot_freed.set()
        self.ended_items.labels(item.item_class, end).inc()
        if end not in ROUTE_STATUS:
            item.task = None
            return
        text = item.text.text if end == RunEnd.DONE else ""
        await self.finish(item, ItemResult(ROUTE_STATUS[end], text, item.tries, output_checksum(text)))

    async def send_request(self, configuration: Configuration, route: Route, item: LeasedItem) -> RunEnd:
        """Sends an item to its worker and reads the answer; raises FaultError if that is not a whole one."""
        assert self.workers is not None
        assert item.request is not None
        pool, worker = item.pool, item.worker
        url = configuration["pools"][pool]["servers"][worker]["url"]
        return await run_item(
            self.workers, self.dialect, url, worker, route["host"], item.request,
            ClientIdentity(item.client, hides_key="tenants" in configuration), item.text,
            lambda: self.route_gate(item, pool, worker), self.settings.bounds.recover * ROUTE_TIMEOUT,
        )  # fmt: skip

    # --- items of classes
    def prompt_gate(self, item: LeasedItem, pool: str) -> str:
        """Why an item of a class may not go out; empty if it may. Asked right before the bytes do."""
        stale = self.settings.bounds.probe * PROBES_UNTIL_STALE
        return self.lease_gate(item) or self.worker_load.barred(pool, item.worker, stale)

    async def run_prompt(self, configuration: Configuration, pool: str, item: LeasedItem) -> None:
        """Runs an item of a class at `item.worker`. What the owner did not take is leased again, once it isn't held."""
        spot = self.worker_load.state_of(pool, item.worker)
        spot.in_flight[item.item_class] += 1
        try:
            output = await self.send_prompt(configuration, pool, item)
            end, result = RunEnd.DONE, ItemResult(ItemStatus.DONE, output, checksum=output_checksum(output))
        except FaultError as stop:
            end = RunEnd.NOT_RUN if not_run(stop.fault) else RunEnd.BROKEN
            result = ItemResult(ItemStatus.FAILED, str(stop.fault))
            if stop.fault.unsent:
                spot.unusable = spot.unusable or stop.fault.why
        except asyncio.CancelledError:
            item.task = None
            raise
        finally:
            spot.in_flight[item.item_class] -= 1
        self.ended_items.labels(item.item_class, end).inc()
        await self.finish(item, result if end != RunEnd.NOT_RUN else None)

    async def send_prompt(self, configuration: Configuration, pool: str, item: LeasedItem) -> str:
        """Sends a prompt to its worker and returns the whole output; raises FaultError if there is none."""
        terms, seen = configuration["pools"][pool], self.worker_load.state_of(pool, item.worker).report
        model = seen.weights if seen else ""
        output: list[str] = []
        async for text in complete(
            self.session, terms["servers"][item.worker]["url"], model, item.prompt,
            lambda: self.prompt_gate(item, pool), lambda: None, self.settings.bounds.recover,
            self.configuration_view.limit("pieces"), terms.get("offsets", True),
        ):  # fmt: skip
            output.append(text)
            item.pieces += 1
        return "".join(output)

    # --- the end of an item
    async def finish(self, item: LeasedItem, result: ItemResult | None) -> None:
        """Tells the result, if there is one, and holds the item no longer, also if that fails."""
        try:
            if result is not None:
                await self.report_result(item, result)
        finally:
            self.items.remove(item)
            item.task = None

    async def report_result(self, item: LeasedItem, result: ItemResult) -> None:
        """Brings a result to the owner, wherever it is now; the owner may hear it more than once.

        Gives up after the recovery bound, and a failure as soon as an owner refuses it: the item is then leased anew.
        """
        bounds = self.settings.bounds
        until = now() + bounds.recover
        item.reporting = True
        while now() < until:
            body = result.as_json(ItemKey(item.job, item.item))
            answer = await self.owners.ask(item.partition, "done", body, bounds.detect)
            if isinstance(answer, Ok):
                return
            if result.status != ItemStatus.DONE and answer.unwrap_err().code != MOVED:
                return
            await asyncio.sleep(bounds.poll / 2)
