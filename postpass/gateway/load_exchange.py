"""Exchanges the load of workers between edges and schedulers, by the hubs of `routing.load_picture`.

A daemon tells its counts several times a second and is told the sum of all; nothing waits for it. Who hears no hub goes by
its own counts alone. A lost or late message costs one interval: each report replaces the sender's last one.
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

STALE_INTERVALS = 5  # after so many intervals a report counts no more
RETRY_INTERVALS = 20  # for so many a hub that didn't answer is passed over
LIMIT_INTERVALS = 3  # for so many a hub's answer is waited for
MESSAGE = "floor"  # the message between peers


@dataclass(eq=False)
class LoadExchange:
    """Owner: the data plane's process. Invariant: `others` has nothing of this process.

    `own_use` tells what this process has at each worker; `updated` is called with each new picture. A daemon that gets
    reports of members acts as their hub, whoever it is.
    """

    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    own_use: Callable[[], LoadReport]
    updated: Callable[[], None] = lambda: None
    wanted: Callable[[], bool] = lambda: True  # is there anything to tell or to decide here?
    others: dict[str, WorkerUse] = field(default_factory=dict)
    heard_at: float = -1e9  # when `others` was told, in seconds of the loop's clock
    interval: float = 1.0
    members: ReportTable = field(default_factory=ReportTable)
    hub_sums: ReportTable = field(default_factory=ReportTable)  # what other hubs' members have
    passed_over: dict[str, float] = field(default_factory=dict)  # hubs that didn't answer, until when
    asking: dict[str, asyncio.Task[None]] = field(default_factory=dict)  # by peer
    revision: int = -1
    order: list[str] = field(default_factory=list)
    all_hubs: list[str] = field(default_factory=list)

    @property
    def age(self) -> float:
        """Seconds since the picture came."""
        return now() - self.heard_at

    @property
    def is_fresh(self) -> bool:
        """Is the picture new enough to go by?"""
        return self.age <= self.interval * STALE_INTERVALS

    def others_at(self, worker: str) -> WorkerUse:
        """What the others have at a worker, as last heard."""
        return self.others.get(worker, IDLE)

    # --- rounds
    async def run(self) -> None:
        """Exchanges until it is cancelled."""
        phase = zlib.crc32(self.settings.name.encode()) / 2**32
        while True:
            self._learn()
            # Each has a moment of its own, so that not all messages come at once.
            await asyncio.sleep(self.interval * (0.9 + 0.2 * phase))
            self._forget_stale()
            if not self.order or not self.wanted():
                continue
            if self.members.reports or self.order[0] == self.settings.name:
                self._exchange_as_hub()
            else:
                self._exchange_as_member()

    def _learn(self) -> None:
        """Who the hubs are, by the configuration in force."""
        configuration = self.configuration_view.manifest
        if configuration is None or self.revision == self.configuration_view.revision:
            return
        self.revision = self.configuration_view.revision
        by_zone: dict[str, list[str]] = {}
        for name, machine in sorted(configuration["machines"].items()):
            if "edge" in machine["duties"] and not machine.get("gone"):
                by_zone.setdefault(machine["area"], []).append(name)
        self.interval = exchange_interval(self.settings.bounds.exchange, by_zone)
        self.order = preferred_hubs(self.settings.name, self.settings.zone, by_zone)
        self.all_hubs = choose_hubs(by_zone)

    def _forget_stale(self) -> None:
        oldest = now() - self.interval * STALE_INTERVALS
        for table in (self.members, self.hub_sums):
            table.forget_before(oldest)

    def _exchange_as_member(self) -> None:
        """Tells the first hub that answers; one that is still being asked is not asked twice."""
        at = now()
        for name in self.order:
            if name == self.settings.name:
                self._exchange_as_hub()
                return
            if self.passed_over.get(name, 0.0) <= at:
                if name not in self.asking:
                    self._start(name, self._report_to(name))
                return

    def _exchange_as_hub(self) -> None:
        """Sees its members' reports itself, and asks the other hubs that have not asked lately."""
        at = now()
        self._show(sum_reports([self.members.total, self.hub_sums.total]))
        for name in self.all_hubs:
            heard = self.hub_sums.reports.get(name)
            lately = heard is not None and at - heard.received_at < self.interval
            if name == self.settings.name or name in self.asking or self.passed_over.get(name, 0.0) > at:
                continue
            if name > self.settings.name or not lately:
                self._start(name, self._exchange_with(name))

    def _start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.asking[name] = task
        task.add_done_callback(partial(self._ended, name))

    def _ended(self, name: str, _task: asyncio.Task[None]) -> None:
        self.asking.pop(name, None)

    async def _ask(self, name: str, body: Body) -> Body | None:
        """A hub's answer; None if it gave none, and it is passed over for a while."""
        addr = self.configuration_view.addr(name)
        limit = self.interval * LIMIT_INTERVALS
        answer = await self.peer_links.request(addr, MESSAGE, body, limit) if addr else None
        if isinstance(answer, Ok) and "use" in answer.unwrap():
            return answer.unwrap()
        self.passed_over[name] = now() + self.interval * RETRY_INTERVALS
        return None

    async def _report_to(self, name: str) -> None:
        own = dict(self.own_use())
        answer = await self._ask(name, {"by": self.settings.name, "use": report_as_json(own)})
        if answer is not None:
            self._show(subtract_report(report_from_json(answer["use"]), own))

    async def _exchange_with(self, name: str) -> None:
        own = report_as_json(self._members_sum())
        answer = await self._ask(name, {"by": self.settings.name, "hub": True, "use": own})
        if answer is not None:
            self.hub_sums.replace(name, TimedReport(now(), report_from_json(answer["use"])))

    def _members_sum(self) -> dict[str, WorkerUse]:
        """What this process and its members have."""
        return sum_reports([self.own_use(), self.members.total])

    def _show(self, others: dict[str, WorkerUse]) -> None:
        self.others, self.heard_at = others, now()
        self.updated()

    # --- the side of a hub
    async def on_report(self, body: Body) -> PeerResponse:
        """A daemon tells what it has, or another hub what its members have; the answer is the sum of all, or what the
        members here have."""
        table = self.hub_sums if body.get("hub") else self.members
        table.replace(body["by"], TimedReport(now(), report_from_json(body["use"])))
        if body.get("hub"):
            return Ok({"use": report_as_json(self._members_sum())})
        return Ok({"use": report_as_json(sum_reports([self._members_sum(), self.hub_sums.total]))})

    def close(self) -> None:
        """Ends what is under way; the process is about to end."""
        for task in list(self.asking.values()):
            task.cancel()
