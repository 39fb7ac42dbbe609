"""Which scheduler is active, and under which term.

The first live machine in the order of the configuration is active. This is not exclusive: two machines may be active
for a while. Owners serve the highest term that they have seen and refuse lower ones.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Ok

from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.rpc.codec import PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import Environment

LEAVING_MISSED_HEARTBEATS = 1 << 20  # missed heartbeats counted for a machine that says it is leaving
ACTIVATED, DEACTIVATED = 150, 151  # numbers of the log events


@dataclass(eq=False)
class SchedulerElection:
    """Decides whether this scheduler is active. States: standby, active; once `leaving`, it never becomes active again.

    `term` grows each time that the scheduler becomes active, and whenever an owner reports a higher one.
    `on_deactivated` is called as soon as the scheduler is no longer active.
    """

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    on_deactivated: Callable[[], None]
    active: bool = False
    term: int = 0
    leaving: bool = False
    missed_heartbeats: Counter[str] = field(default_factory=Counter)  # by machine: heartbeats missed in a row

    async def run(self) -> None:
        """Pings the machines that precede this one in the order, once a heartbeat; runs until it is cancelled."""
        heartbeat = self.settings.bounds.heartbeat_interval
        while True:
            await asyncio.sleep(heartbeat * (0.8 + 0.4 * self.environment.chance.random()))
            order = self.configuration_view.duty("sched")
            if self.settings.name not in order:
                self.set_active(False, "not in the order")
                continue
            predecessors = order[: order.index(self.settings.name)]
            answers = await asyncio.gather(
                *(
                    self.peer_links.request(self.configuration_view.addr(name), "ping", {}, heartbeat)
                    for name in predecessors
                )
            )
            for name, answer in zip(predecessors, answers, strict=True):
                self.count_answer(name, answer)
            self.decide(predecessors)

    def count_answer(self, name: str, answer: PeerResponse) -> None:
        """Resets or increments the missed heartbeats of a machine."""
        alive = isinstance(answer, Ok) and not answer.unwrap()["ready"]
        self.missed_heartbeats[name] = 0 if alive else self.missed_heartbeats[name] + 1
        if isinstance(answer, Ok) and answer.unwrap()["leaving"]:
            self.missed_heartbeats[name] = LEAVING_MISSED_HEARTBEATS

    def decide(self, predecessors: list[str]) -> None:
        """Activates this scheduler if all its predecessors are silent; deactivates it if one of them responds."""
        bounds = self.settings.bounds
        all_silent = all(
            self.missed_heartbeats[name] * bounds.heartbeat_interval >= bounds.detection_time / 2
            for name in predecessors
        )
        if self.active and predecessors and any(self.missed_heartbeats[name] == 0 for name in predecessors):
            self.set_active(False, "one before it is back")
        elif not self.active and all_silent and not self.leaving:
            self.set_active(True, "the first live one")

    def set_active(self, active: bool, why: str) -> None:
        """Becomes active under a higher term, or a standby; does nothing if that is the state already."""
        if active == self.active:
            return
        self.active = active
        log_events.emit(ACTIVATED if active else DEACTIVATED, self.settings.name, why=why)
        if active:
            self.term += 1
        else:
            self.on_deactivated()

    def exceed_term(self, term: int) -> None:
        """Raises the term above that of the scheduler for which an owner refused this one."""
        self.term = max(self.term, term) + 1
