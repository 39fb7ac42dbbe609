"""Which scheduler is active, and under which term.

The first live machine in the order of the configuration is active. That is a hint only: two may believe it of themselves
for a while. Owners serve the highest term that they have heard of and refuse lower ones.
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

SAID_IT_LEAVES = 1 << 20  # missed heartbeats that a machine which says that it leaves is counted to have
ACTIVATED, DEACTIVATED = 150, 151  # numbers of the log events


@dataclass(eq=False)
class SchedulerElection:
    """Whether this scheduler is active. States: standby, active; `leaving` never becomes active again.

    `term` grows each time that it becomes active, and whenever an owner tells of a higher one. `on_deactivated` is
    called as soon as it is not active any more.
    """

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    on_deactivated: Callable[[], None]
    active: bool = False
    term: int = 0
    leaving: bool = False
    missed: Counter[str] = field(default_factory=Counter)  # by machine: heartbeats missed in a row

    async def run(self) -> None:
        """Asks the machines that come before this one, once a heartbeat; runs until it is cancelled."""
        heartbeat = self.settings.bounds.beat
        while True:
            await asyncio.sleep(heartbeat * (0.8 + 0.4 * self.environment.chance.random()))
            order = self.configuration_view.duty("sched")
            if self.settings.name not in order:
                self.turn(False, "not in the order")
                continue
            before = order[: order.index(self.settings.name)]
            answers = await asyncio.gather(
                *(self.peer_links.request(self.configuration_view.addr(name), "ping", {}, heartbeat) for name in before)
            )
            for name, answer in zip(before, answers, strict=True):
                self.count_answer(name, answer)
            self.decide(before)

    def count_answer(self, name: str, answer: PeerResponse) -> None:
        """Counts a heartbeat of a machine, or the lack of one."""
        alive = isinstance(answer, Ok) and not answer.unwrap()["ready"]
        self.missed[name] = 0 if alive else self.missed[name] + 1
        if isinstance(answer, Ok) and answer.unwrap()["leaving"]:
            self.missed[name] = SAID_IT_LEAVES

    def decide(self, before: list[str]) -> None:
        """Takes over if all machines before this one are silent, steps back if one of them answers."""
        bounds = self.settings.bounds
        all_silent = all(self.missed[name] * bounds.beat >= bounds.detect / 2 for name in before)
        if self.active and before and any(self.missed[name] == 0 for name in before):
            self.turn(False, "one before it is back")
        elif not self.active and all_silent and not self.leaving:
            self.turn(True, "the first live one")

    def turn(self, active: bool, why: str) -> None:
        """Becomes active under a higher term, or a standby; does nothing if it is so already."""
        if active == self.active:
            return
        self.active = active
        log_events.emit(ACTIVATED if active else DEACTIVATED, self.settings.name, why=why)
        if active:
            self.term += 1
        else:
            self.on_deactivated()

    def outbid(self, term: int) -> None:
        """An owner refused this scheduler for one of that term: asks under a higher one from now on."""
        self.term = max(self.term, term) + 1
