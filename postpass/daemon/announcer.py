"""How a machine of an announced fleet tells control that it is there."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Err, Ok

from postpass.configuration.settings import Settings
from postpass.feed.follower import Follower, any_answered
from postpass.membership.machine_registry import is_registered
from postpass.membership.partial_view import PartialView
from postpass.membership.registry import MachineAnnouncement
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import Environment, gather_until, now
from postpass.runtime.errors import REJECTED, Fault

ASKED_AT_ONCE = 2  # one may be gone, and its silence must not hold this machine up


@dataclass(eq=False)
class Announcer:
    """Announces this start of a process until the configuration has it; owned by the daemon.

    `incarnation` is the start of the process in milliseconds. `was_registered` is set once the configuration was seen
    to hold this start, and stays so should it be dropped from there. `settings` is replaced by the daemon when its file
    has changed.
    """

    settings: Settings
    environment: Environment
    follower: Follower
    peer_links: PeerLinks
    partial_view: PartialView
    incarnation: int
    was_registered: bool = False

    def announcement(self) -> MachineAnnouncement:
        """What this machine says of itself."""
        return {
            "name": self.settings.name, "area": self.settings.zone, "peer": self.settings.peer, "http": self.settings.http,
            "duties": list(self.settings.duties) or ["control"], "born": self.incarnation,
            "disk": self.partial_view.own_record["disk"],
        }  # fmt: skip

    def is_registered(self) -> bool:
        """Does the configuration hold this start now?"""
        return is_registered(self.follower.configuration_view.manifest, self.announcement())

    def note_registration(self) -> bool:
        """Has the configuration held this start, now or before?

        Read off the configuration itself: the task that announces may be waiting for a neighbour that says nothing.
        """
        if not self.was_registered:
            self.was_registered = self.is_registered()
        return self.was_registered

    async def run(self) -> None:
        """Announces this start until the configuration has it, and again should it be dropped from there; runs until
        it is cancelled."""
        bounds, view = self.settings.bounds, self.follower.configuration_view
        while True:
            if self.is_registered():
                await view.wait(view.revision, bounds.recover)
                continue
            addrs = [*self.follower.sources(), *self.partial_view.addresses()]
            near = [addr for addr in dict.fromkeys(addrs) if addr != self.settings.peer]
            if not near:
                await asyncio.sleep(bounds.heartbeat_interval / 2)
                continue
            await self._announce_at(self.environment.chance.sample(near, min(ASKED_AT_ONCE, len(near))))
            if not self.is_registered():
                await asyncio.sleep(bounds.heartbeat_interval / 2 * (0.6 + 0.8 * self.environment.chance.random()))

    async def _announce_at(self, addrs: list[str]) -> None:
        """Announces this start at several daemons at once; fetches the revision that has it from whoever answers."""
        bounds, view = self.settings.bounds, self.follower.configuration_view
        asks = {
            addr: self.peer_links.request(addr, "join", {"entry": self.announcement()}, bounds.feed_interval * 2)
            for addr in addrs
        }
        answers = await gather_until(asks, any_answered, 0.0)
        for addr, answer in answers.items():
            if isinstance(answer, Err) and answer.unwrap_err().peer == addr:
                self.follower.missed[addr] = now()
            if isinstance(answer, Ok) and answer.unwrap()["edition"] > view.revision:
                # The feed brings it in a moment, as a rule.
                await view.wait(answer.unwrap()["edition"] - 1, bounds.heartbeat_interval / 8)
                if answer.unwrap()["edition"] > view.revision:
                    await self.follower.fetch(addr)

    async def on_join(self, body: Body) -> PeerResponse:
        """Passes another machine's announcement on to a control machine, once: whoever knows none asks any neighbour."""
        addr = next((source for source in self.follower.sources() if source != self.settings.peer), "")
        if not addr or body.get("hop"):
            return Err(Fault("join", self.settings.name, "no control machine is known here", REJECTED))
        return await self.peer_links.request(addr, "join", body | {"hop": 1}, self.settings.bounds.feed_interval)
