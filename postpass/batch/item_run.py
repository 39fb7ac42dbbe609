"""Runs one item at one worker, and reports the result to the item's owner."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from prometheus_client import Counter
from result import Ok

from postpass.batch.capacity import PROBES_UNTIL_STALE, RouteCapacity, TakenSlot
from postpass.batch.item_request import REJECTED_HINT, SILENT_HINT, RunEnd, Workers, run_item
from postpass.batch.leased_items import LeasedItem, LeasedItems
from postpass.batch.messages import ItemKey, ItemResult, ItemStatus, output_checksum
from postpass.batch.owner_client import OwnerClient
from postpass.batch.run_names import RunNames
from postpass.batch.scheduler_election import SchedulerElection
from postpass.batch.silence_watch import end_if_silent
from postpass.configuration.configuration import Configuration, Route
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.client_identity import ClientIdentity
from postpass.gateway.worker_load import WorkerLoad
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import NOT_RESPONSIBLE, TIMED_OUT, Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.worker_api.openai import complete

if TYPE_CHECKING:
    import aiohttp

ROUTE_STATUS = {RunEnd.DONE: ItemStatus.DONE, RunEnd.FAILED: ItemStatus.FAILED, RunEnd.NEVER: ItemStatus.ABANDONED}
ROUTE_TIMEOUT = 10  # time limit of a run of an item of a route, in multiples of the recovery bound


def not_run(fault: Fault) -> bool:
    """Returns whether it is certain that the worker did not run the item."""
    return fault.unsent or fault.hint == REJECTED_HINT


@dataclass(eq=False)
class ItemRunner:
    """Runs items, each in its own task, which the placement starts.

    Invariant: nothing is sent once the lease of the item's partition has expired, which is checked again right before
    the bytes are sent. `slot_freed` is set whenever a run of an item of a route has ended.
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
    run_names: RunNames
    dialect: Dialect = field(default_factory=Dialect)  # the header names that requests and responses use
    workers: Workers | None = None  # the client that sends items of routes to workers; None: they are not run here

    # --- items of routes
    def route_admission_check(self, item: LeasedItem, pool: str, worker: str) -> str:
        """Returns why an item of a route may not be sent; empty if it may.

        Called right before its bytes are sent, so that it also holds if the process was frozen since the item was
        placed.
        """
        configuration = self.configuration_view.manifest
        reason = self.lease_admission_check(item)
        if reason:
            return reason
        if now() - self.configuration_view.last_contact > self.settings.bounds.isolation_time:
            return "no news for too long"
        if self.configuration_view.revision < item.since:
            return "the configuration known here is older than its lot"
        route = configuration.get("routes", {}).get(item.route) if configuration else None
        if configuration is None or route is None or pool not in [s["pool"] for s in route["split"] if s["weight"] > 0]:
            return "the route goes elsewhere now"
        return self.capacity.barred(configuration, pool, worker)

    def lease_admission_check(self, item: LeasedItem) -> str:
        """Returns why this scheduler may not send an item to any worker; empty if it may."""
        if not self.election.active or not self.items.holds(item):
            return "the item went back"
        if self.items.lease_expired(item.partition):
            return "the lease has passed"
        return ""

    def start_request(self, configuration: Configuration, route: Route, item: LeasedItem) -> None:
        """Starts a run of an item of a route at `item.worker`, where it takes a slot."""
        slot = self.capacity.take_slot(item.pool, item.worker)

        def on_end(task: asyncio.Task[None]) -> None:
            self.release(slot)
            self.log_unexpected_error(item, task)

        run = self.run_request(configuration, route, item, slot)
        slot.watch(item.start_run(self.run_names.next(), run, on_end))

    def release(self, slot: TakenSlot) -> None:
        """Gives a slot back, and wakes the placement of waiting items; does nothing if it was given back before."""
        if slot.is_taken:
            slot.release()
            self.slot_freed.set()

    def log_unexpected_error(self, item: LeasedItem, task: asyncio.Task[None]) -> None:
        """Logs an error with which the task of a run ended; the item is not placed again at once."""
        error = None if task.cancelled() else task.exception()
        if error is not None:
            item.not_before = now() + self.settings.bounds.scheduling_pause
            log_events.emit(
                Event.TASK_FAILED,
                self.settings.name,
                job=item.job,
                item=item.position,
                worker=item.worker,
                why=repr(error),
            )

    async def run_request(self, configuration: Configuration, route: Route, item: LeasedItem, slot: TakenSlot) -> None:
        """Runs an item of a route at `item.worker`, continuing after the text that it has.

        `slot` is given back as soon as the worker is done, before the result is reported.

        An item without a complete response stays leased here with its text so far, and continues at another worker.
        """
        slots = configuration["pools"][item.pool]["servers"][item.worker]["slots"]
        limit = self.capacity.limits[(item.pool, item.worker)]
        started_at = now()
        try:
            run_end = await self.send_request(configuration, route, item)
            limit.completed(slots)
            if run_end == RunEnd.DONE:
                limit.record_done(started_at)
            self.capacity.record_run(now() - started_at)
        except FaultError as error:
            poll = self.settings.bounds.scheduling_pause
            if not_run(error.fault):
                limit.rejected(poll)
                item.not_before = now() + poll / 4
                run_end = RunEnd.NOT_RUN
            elif error.fault.hint == SILENT_HINT:
                assert item.progress is not None
                limit.record_silence(item.progress)
                # The worker must have seen the connection close before another one runs the item.
                item.not_before = now() + poll / 4
                item.silent_workers.add(item.worker)
                item.silent_runs += 1
                run_end = RunEnd.SILENT
            else:
                item.not_before = now() + poll
                run_end = RunEnd.CUT
        finally:
            self.release(slot)
        self.ended_items.labels(item.item_class, run_end).inc()
        if run_end not in ROUTE_STATUS:
            return
        if run_end == RunEnd.DONE:
            text = item.text.text
            await self.finish(item, ItemResult(ItemStatus.DONE, text, item.tries, output_checksum(text)))
        else:
            self.log_failure(item, run_end)
            checksum = output_checksum("")
            await self.finish(item, ItemResult(ROUTE_STATUS[run_end], "", item.tries, checksum, item.run))

    def log_failure(self, item: LeasedItem, run_end: RunEnd) -> None:
        """Logs a run of an item that its worker answered with a failure of its own."""
        assert item.progress is not None
        log_events.emit(
            Event.ITEM_RUN_FAILED, self.settings.name, job=item.job, item=item.position, worker=item.worker, run=item.run,
            end=run_end, after=f"{item.progress.running_s:.3f}", reused=item.progress.connection_reused,
        )  # fmt: skip

    async def send_request(self, configuration: Configuration, route: Route, item: LeasedItem) -> RunEnd:
        """Sends an item to its worker, by the client `self.workers`, and appends the response to `item.text`.

        Returns how the run ended; raises FaultError if the response is not complete.
        """
        assert self.workers is not None
        assert item.request is not None
        assert item.progress is not None
        pool, worker = item.pool, item.worker
        url = configuration["pools"][pool]["servers"][worker]["url"]
        bounds = self.settings.bounds
        try:
            async with end_if_silent(item.progress, lambda: self.silence_limit(item), bounds.silence_check_interval):
                return await run_item(
                    self.workers, self.dialect, url, worker, route["host"], item.request,
                    ClientIdentity(item.client, hides_key="tenants" in configuration), item.text, item.progress,
                    lambda: self.route_admission_check(item, pool, worker), bounds.recover * ROUTE_TIMEOUT,
                )  # fmt: skip
        except TimeoutError as error:
            log_events.emit(
                Event.ITEM_RUN_SILENT, self.settings.name, job=item.job, item=item.position, worker=worker,
                running=f"{item.progress.running_s:.3f}", silent=f"{item.progress.silent_s:.3f}",
            )  # fmt: skip
            raise FaultError(
                Fault("run item", worker, "it sent nothing for too long", TIMED_OUT, SILENT_HINT)
            ) from error

    def silence_limit(self, item: LeasedItem) -> float:
        """Returns for how many seconds the worker of a running item of a route may send nothing.

        A slow worker begins its items in the order in which they came, so one that has done a later item has left this
        one out. The limit doubles with each silent run, up to a bound: where all workers are slow, an item still ends.
        """
        assert item.progress is not None
        bounds, limit = self.settings.bounds, self.capacity.limits[(item.pool, item.worker)]
        first = bounds.overtaken_silence_limit if limit.has_overtaken(item.progress) else bounds.silence_limit
        return min(first * (1 << item.silent_runs), bounds.longest_silence_limit)

    # --- items of classes
    def prompt_admission_check(self, item: LeasedItem, pool: str) -> str:
        """Returns why an item of a class may not be sent; empty if it may. Called right before its bytes are sent."""
        stale_after_s = self.settings.bounds.probe_interval * PROBES_UNTIL_STALE
        return self.lease_admission_check(item) or self.worker_load.barred_reason(pool, item.worker, stale_after_s)

    def start_prompt(self, configuration: Configuration, pool: str, item: LeasedItem) -> None:
        """Starts a run of an item of a class at `item.worker`."""
        run = self.run_prompt(configuration, pool, item)
        item.start_run(self.run_names.next(), run, lambda task: self.log_unexpected_error(item, task))

    async def run_prompt(self, configuration: Configuration, pool: str, item: LeasedItem) -> None:
        """Runs an item of a class at `item.worker`.

        Afterwards the item is no longer held here, so its owner leases it again if it did not record a result.
        """
        worker_state = self.worker_load.state_of(pool, item.worker)
        worker_state.in_flight[item.item_class] += 1
        try:
            output = await self.send_prompt(configuration, pool, item)
            run_end, result = RunEnd.DONE, ItemResult(ItemStatus.DONE, output, checksum=output_checksum(output))
        except FaultError as error:
            run_end = RunEnd.NOT_RUN if not_run(error.fault) else RunEnd.BROKEN
            result = ItemResult(ItemStatus.FAILED, str(error.fault), run=item.run)
            if error.fault.unsent:
                worker_state.unusable_reason = worker_state.unusable_reason or error.fault.why
        finally:
            worker_state.in_flight[item.item_class] -= 1
        self.ended_items.labels(item.item_class, run_end).inc()
        await self.finish(item, result if run_end != RunEnd.NOT_RUN else None)

    async def send_prompt(self, configuration: Configuration, pool: str, item: LeasedItem) -> str:
        """Sends a prompt to its worker and returns the complete output; raises FaultError if it does not get one."""
        pool_config, load_report = configuration["pools"][pool], self.worker_load.state_of(pool, item.worker).report
        model = load_report.weights if load_report else ""
        output: list[str] = []
        async for text in complete(
            self.session, pool_config["servers"][item.worker]["url"], model, item.prompt,
            lambda: self.prompt_admission_check(item, pool), lambda: None, self.settings.bounds.recover,
            self.configuration_view.limit("pieces"), pool_config.get("offsets", True),
        ):  # fmt: skip
            output.append(text)
            item.pieces += 1
            if item.progress is not None:
                item.progress.record_received()
        return "".join(output)

    # --- the end of an item
    async def finish(self, item: LeasedItem, result: ItemResult | None) -> None:
        """Reports the result, if there is one, and removes the item from those held here, even if reporting fails."""
        try:
            if result is not None:
                await self.report_result(item, result)
        finally:
            self.items.remove(item)

    async def report_result(self, item: LeasedItem, result: ItemResult) -> None:
        """Reports a result to the owner, whichever machine that is by now; the owner may receive it more than once.

        Gives up after the recovery bound, or, if the result is not `done`, as soon as an owner refuses it: the item is
        then leased again.
        """
        bounds = self.settings.bounds
        deadline = now() + bounds.recover
        item.reporting = True
        while now() < deadline:
            body = result.as_json(ItemKey(item.job, item.position))
            answer = await self.owners.ask(item.partition, "done", body, bounds.detection_time)
            if isinstance(answer, Ok):
                return
            if result.status != ItemStatus.DONE and answer.unwrap_err().code != NOT_RESPONSIBLE:
                return
            await asyncio.sleep(bounds.scheduling_pause / 2)
