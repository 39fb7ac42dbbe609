"""The registration of a machine with control, in fleets whose machines announce themselves."""

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

MAX_CONCURRENT_ANNOUNCEMENTS = 2  # with one alone, a daemon that does not answer would delay the registration


@dataclass(eq=False)
class Announcer:
    """Announces this machine to control until the configuration contains its present incarnation; owned by the daemon.

    `incarnation` identifies this run of the process: its start time in milliseconds since 1970. `was_registered` becomes
    true once the configuration has contained this incarnation, and stays true if control removes it later. The daemon
    replaces `settings` when its settings file has changed.
    """

    settings: Settings
    environment: Environment
    follower: Follower
    peer_links: PeerLinks
    partial_view: PartialView
    incarnation: int
    was_registered: bool = False

    def announcement(self) -> MachineAnnouncement:
        """Returns the record of this machine that is sent to control: its name, addresses, duties and incarnation."""
        return {
            "name": self.settings.name, "area": self.settings.zone, "peer": self.settings.peer, "http": self.settings.http,
            "duties": list(self.settings.duties) or ["control"], "born": self.incarnation,
            "disk": self.partial_view.own_record["disk"],
        }  # fmt: skip

    def is_registered(self) -> bool:
        """Returns whether the configuration in force here contains this incarnation."""
        return is_registered(self.follower.configuration_view.manifest, self.announcement())

    def note_registration(self) -> bool:
        """Updates `was_registered` from the configuration, and returns it.

        It is read from the configuration itself, since the task that announces may be waiting for a neighbour that
        does not answer.
        """
        if not self.was_registered:
            self.was_registered = self.is_registered()
        return self.was_registered

    async def run(self) -> None:
        """Announces this incarnation until the configuration contains it, and again if it is removed from there.

        Runs until it is cancelled.
        """
        bounds, view = self.settings.bounds, self.follower.configuration_view
        while True:
            if self.is_registered():
                await view.wait(view.revision, bounds.recover)
                continue
            addrs = [*self.follower.sources(), *self.partial_view.addresses()]
            candidates = [addr for addr in dict.fromkeys(addrs) if addr != self.settings.peer]
            if not candidates:
                await asyncio.sleep(bounds.heartbeat_interval / 2)
                continue
            await self._announce_at(
                self.environment.chance.sample(candidates, min(MAX_CONCURRENT_ANNOUNCEMENTS, len(candidates)))
            )
            if not self.is_registered():
                await asyncio.sleep(bounds.heartbeat_interval / 2 * (0.6 + 0.8 * self.environment.chance.random()))

    async def _announce_at(self, addrs: list[str]) -> None:
        """Announces this incarnation to several daemons at once, and fetches the new revision from the one that answers."""
        bounds, view = self.settings.bounds, self.follower.configuration_view
        requests = {
            addr: self.peer_links.request(addr, "join", {"entry": self.announcement()}, bounds.feed_interval * 2)
            for addr in addrs
        }
        responses = await gather_until(requests, any_answered, 0.0)
        for addr, response in responses.items():
            if isinstance(response, Err) and response.unwrap_err().peer == addr:
                self.follower.missed[addr] = now()
            if isinstance(response, Ok) and response.unwrap()["edition"] > view.revision:
                # The feed usually delivers that revision within a moment; it is fetched only if it does not.
                await view.wait(response.unwrap()["edition"] - 1, bounds.heartbeat_interval / 8)
                if response.unwrap()["edition"] > view.revision:
                    await self.follower.fetch(addr)

    async def on_join(self, body: Body) -> PeerResponse:
        """Forwards another machine's announcement to a control machine.

        A machine that knows no control machine sends its announcement to any neighbour, so it may arrive here. It is
        forwarded once only: a request with the key `hop` has been forwarded already and is rejected.
        """
        addr = next((source for source in self.follower.sources() if source != self.settings.peer), "")
        if not addr or body.get("hop"):
            return Err(Fault("join", self.settings.name, "no control machine is known here", REJECTED))
        return await self.peer_links.request(addr, "join", body | {"hop": 1}, self.settings.bounds.feed_interval)
