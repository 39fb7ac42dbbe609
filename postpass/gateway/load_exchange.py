"""Exchanges the load of workers between edges and schedulers, through the hubs of `routing.load_picture`.

Each daemon reports its own counts several times a second and receives the sum of all; no request waits for that.
A daemon that reaches no hub decides by its own counts alone. A lost or late message costs one interval, because each
report replaces the sender's previous one.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from result import Ok

from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.routing.load_picture import (
    IDLE,
    LoadReport,
    ReportTable,
    TimedReport,
    WorkerUse,
    choose_hubs,
    exchange_interval,
    preferred_hubs,
    report_as_json,
    report_from_json,
    subtract_report,
    sum_reports,
)
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import now

STALE_INTERVALS = 5  # after so many intervals a report isn't used any more
RETRY_INTERVALS = 20  # for so many intervals a hub that didn't answer is skipped
LIMIT_INTERVALS = 3  # time limit for a hub's answer, in intervals
LOAD_VERB = "floor"  # verb of the request between peers


@dataclass(eq=False)
class LoadExchange:
    """What the other edges and schedulers have in progress at the workers, as far as reported.

    Owner: the data plane's process. Invariant: `others` contains nothing of this process. `own_use` returns the load
    that this process puts on each worker; `on_update` is called whenever `others` changes. A daemon that receives
    reports of members acts as their hub, whichever daemon it is.
    """

    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    own_use: Callable[[], LoadReport]
    on_update: Callable[[], None] = lambda: None
    is_needed: Callable[[], bool] = lambda: True  # whether this process has any load to report or any worker to choose
    others: dict[str, WorkerUse] = field(default_factory=dict)  # by worker
    received_at: float = -1e9  # when `others` was received, in seconds of the loop's clock
    interval: float = 1.0  # seconds between two reports
    members: ReportTable = field(default_factory=ReportTable)  # reports of this hub's members
    hub_sums: ReportTable = field(default_factory=ReportTable)  # sums over the members of other hubs
    skipped_until: dict[str, float] = field(default_factory=dict)  # by hub that didn't answer: until when it is skipped
    pending_requests: dict[str, asyncio.Task[None]] = field(default_factory=dict)  # by peer
    revision: int = -1  # of the configuration that the hubs are derived from
    preferred_hubs: list[str] = field(default_factory=list)  # in the order in which this daemon tries them
    all_hubs: list[str] = field(default_factory=list)

    @property
    def age(self) -> float:
        """The seconds since `others` was received."""
        return now() - self.received_at

    @property
    def is_fresh(self) -> bool:
        """Whether `others` is recent enough to be used."""
        return self.age <= self.interval * STALE_INTERVALS

    def others_at(self, worker: str) -> WorkerUse:
        """Returns what the others have in progress at a worker, as last received."""
        return self.others.get(worker, IDLE)

    # --- rounds
    async def run(self) -> None:
        """Exchanges reports in each interval, until it is cancelled."""
        phase = zlib.crc32(self.settings.name.encode()) / 2**32
        while True:
            self._refresh_hubs()
            # Each daemon has its own phase, so that not all messages arrive at the same time.
            await asyncio.sleep(self.interval * (0.9 + 0.2 * phase))
            self._forget_stale()
            if not self.preferred_hubs or not self.is_needed():
                continue
            if self.members.reports or self.preferred_hubs[0] == self.settings.name:
                self._exchange_as_hub()
            else:
                self._exchange_as_member()

    def _refresh_hubs(self) -> None:
        """Derives the hubs and the interval from the configuration in force, if that is a new revision."""
        configuration = self.configuration_view.manifest
        if configuration is None or self.revision == self.configuration_view.revision:
            return
        self.revision = self.configuration_view.revision
        by_zone: dict[str, list[str]] = {}
        for name, machine in sorted(configuration["machines"].items()):
            if "edge" in machine["duties"] and not machine.get("gone"):
                by_zone.setdefault(machine["area"], []).append(name)
        self.interval = exchange_interval(self.settings.bounds.load_exchange_interval, by_zone)
        self.preferred_hubs = preferred_hubs(self.settings.name, self.settings.zone, by_zone)
        self.all_hubs = choose_hubs(by_zone)

    def _forget_stale(self) -> None:
        oldest = now() - self.interval * STALE_INTERVALS
        for table in (self.members, self.hub_sums):
            table.forget_before(oldest)

    def _exchange_as_member(self) -> None:
        """Reports to the first hub that isn't skipped, unless the previous report to it is still pending.

        Acts as a hub if that is this daemon.
        """
        current_time = now()
        for name in self.preferred_hubs:
            if name == self.settings.name:
                self._exchange_as_hub()
                return
            if self.skipped_until.get(name, 0.0) <= current_time:
                if name not in self.pending_requests:
                    self._start_task(name, self._report_to(name))
                return

    def _exchange_as_hub(self) -> None:
        """Updates `others` from its members' reports, and exchanges sums with other hubs.

        Of two hubs, the one with the lesser name starts the exchange; the other one only if it got no sum recently.
        """
        current_time = now()
        self._set_picture(sum_reports([self.members.total, self.hub_sums.total]))
        for name in self.all_hubs:
            last_sum = self.hub_sums.reports.get(name)
            is_recent = last_sum is not None and current_time - last_sum.received_at < self.interval
            if (
                name == self.settings.name
                or name in self.pending_requests
                or self.skipped_until.get(name, 0.0) > current_time
            ):
                continue
            if name > self.settings.name or not is_recent:
                self._start_task(name, self._exchange_with(name))

    def _start_task(self, name: str, exchange_work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(exchange_work)
        self.pending_requests[name] = task
        task.add_done_callback(partial(self._forget_task, name))

    def _forget_task(self, name: str, _task: asyncio.Task[None]) -> None:
        self.pending_requests.pop(name, None)

    async def _send_request(self, name: str, body: Body) -> Body | None:
        """Sends a request to a hub; returns its answer, or None if there was none. Such a hub is skipped for a while."""
        addr = self.configuration_view.addr(name)
        limit = self.interval * LIMIT_INTERVALS
        response = await self.peer_links.request(addr, LOAD_VERB, body, limit) if addr else None
        if isinstance(response, Ok) and "use" in response.unwrap():
            return response.unwrap()
        self.skipped_until[name] = now() + self.interval * RETRY_INTERVALS
        return None

    async def _report_to(self, name: str) -> None:
        own_report = dict(self.own_use())
        response = await self._send_request(name, {"by": self.settings.name, "use": report_as_json(own_report)})
        if response is not None:
            self._set_picture(subtract_report(report_from_json(response["use"]), own_report))

    async def _exchange_with(self, name: str) -> None:
        own_report = report_as_json(self._members_sum())
        response = await self._send_request(name, {"by": self.settings.name, "hub": True, "use": own_report})
        if response is not None:
            self.hub_sums.replace(name, TimedReport(now(), report_from_json(response["use"])))

    def _members_sum(self) -> dict[str, WorkerUse]:
        """Returns what this process and its members have in progress."""
        return sum_reports([self.own_use(), self.members.total])

    def _set_picture(self, others: dict[str, WorkerUse]) -> None:
        self.others, self.received_at = others, now()
        self.on_update()

    # --- requests to a hub
    async def on_report(self, body: Body) -> PeerResponse:
        """Handles the report of a member, or of another hub with the sum over its members.

        A member gets the sum of all as the answer, another hub the sum over this hub and its members.
        """
        table = self.hub_sums if body.get("hub") else self.members
        table.replace(body["by"], TimedReport(now(), report_from_json(body["use"])))
        if body.get("hub"):
            return Ok({"use": report_as_json(self._members_sum())})
        return Ok({"use": report_as_json(sum_reports([self._members_sum(), self.hub_sums.total]))})

    def close(self) -> None:
        """Cancels the pending requests, because the process is about to end."""
        for task in list(self.pending_requests.values()):
            task.cancel()
