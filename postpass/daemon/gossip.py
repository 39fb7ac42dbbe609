"""Gossip between daemons: the exchange of partial views, and of the highest epoch that is known of each partition.

Each daemon shuffles with its oldest neighbour once in a while. What it learns is a hint; besides, it hears of newer
revisions of the configuration, of another process that goes by its name, and of the epochs of partitions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from prometheus_client import Counter
from result import Err, Ok

from postpass.configuration.settings import Settings
from postpass.feed.follower import Follower
from postpass.membership.partial_view import MemberRecord, Neighbour, PartialView
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import Environment, now

HELPERS_ASKED = 2  # neighbours through which a daemon that doesn't answer is asked for


@dataclass(eq=False)
class Gossip:
    """Shuffles a daemon's partial view with others; owned by the daemon.

    `partition_epochs` holds the highest epoch seen of each partition, by its number as text. Should all stores of a
    partition lose their disks, this is how they learn that there was something to lose, and which epochs are spent.
    `name_clash` tells of another process that goes by this one's name; empty if none was met. `shuffles` counts
    shuffles by their end. `spawn` runs a coroutine beside the loop. `settings` is replaced by the daemon when its file
    has changed.
    """

    settings: Settings
    environment: Environment
    follower: Follower
    peer_links: PeerLinks
    partial_view: PartialView
    shuffles: Counter
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    partition_epochs: dict[str, int] = field(default_factory=dict)
    name_clash: str = ""

    async def run(self) -> None:
        """Shuffles at random intervals around the bound on following; runs until it is cancelled."""
        interval, namesake = self.settings.bounds.feed_interval, ""
        while True:
            await asyncio.sleep(interval * (0.7 + 0.6 * self.environment.chance.random()))
            self.next_own_record()
            # Where the configuration has another process by this one's name, that one is told, each other time.
            configured = self.follower.configuration_view.addr(self.settings.name) or self.settings.peer
            is_namesake = configured not in (self.settings.peer, namesake) and not self.name_clash
            namesake = configured if is_namesake else ""
            if namesake:
                await self._greet_namesake(namesake)
            else:
                await self._shuffle()

    async def _greet_namesake(self, addr: str) -> None:
        """Tells a process of the same name of this one, and hears of it in turn."""
        body: Body = {"cards": [self.partial_view.own_record]}
        got = await self.peer_links.request(addr, "shuffle", body, self.settings.bounds.feed_interval)
        if isinstance(got, Ok):
            self.note_name_clash(got.unwrap()["cards"])

    async def _shuffle(self) -> None:
        """One exchange with the oldest neighbour, or with a seed if there is none; a newer revision there is fetched."""
        neighbour, offer = self.partial_view.begin_shuffle()
        addr = neighbour.record["peer"] if neighbour else self.environment.chance.choice(self.settings.seeds)
        if addr == self.settings.peer:
            return
        asked = now()
        body: Body = {"cards": offer, "heights": self.partition_epochs}
        got = await self.peer_links.request(addr, "shuffle", body, self.settings.bounds.feed_interval)
        self.shuffles.labels("ok" if isinstance(got, Ok) else "failed").inc()
        if isinstance(got, Err):
            if neighbour is not None:
                self.spawn(self.check_suspect(neighbour))
            return
        answer = got.unwrap()
        self.note_name_clash(answer["cards"])
        self.partial_view.merge(answer["cards"], offer[1:])
        self.raise_epochs(answer.get("heights", {}))
        if answer["edition"] > self.follower.configuration_view.revision:
            await self.follower.fetch(addr)
        self.follower.configuration_view.note_contact(answer["edition"], asked)

    async def on_shuffle(self, body: Body) -> PeerResponse:
        """Answers the shuffle of another daemon."""
        self.next_own_record()
        self.note_name_clash(body["cards"])
        view = self.follower.configuration_view
        if body["cards"] and body["cards"][0]["edition"] > view.revision:
            # Whoever knows more has just reached this one: it can be asked, even if nobody else can.
            self.spawn(self.follower.fetch(body["cards"][0]["peer"]))
        self.raise_epochs(body.get("heights", {}))
        records = self.partial_view.answer_shuffle(body["cards"])
        return Ok({"cards": records, "edition": view.revision, "heights": self.partition_epochs})

    def next_own_record(self) -> MemberRecord:
        """The own record, one heartbeat on, with the revision that runs here."""
        return self.partial_view.next_own_record(edition=self.follower.configuration_view.revision)

    def note_name_clash(self, records: list[MemberRecord]) -> None:
        """Does another process go by this one's name?"""
        for record in records:
            if record["name"] == self.settings.name and record["peer"] != self.settings.peer:
                self.name_clash = f"{record['peer']} also calls itself {record['name']}"

    async def check_suspect(self, suspect: Neighbour) -> None:
        """Asks others for a neighbour that doesn't answer, before it is believed to be gone."""
        name, addr = suspect.record["name"], suspect.record["peer"]
        neighbours = sorted(self.partial_view.neighbours.items())
        others = [other.record["peer"] for other_name, other in neighbours if other_name != name]
        helpers = self.environment.chance.sample(others, min(HELPERS_ASKED, len(others)))
        wait = self.settings.bounds.heartbeat_interval * 2
        answers = await asyncio.gather(
            *(self.peer_links.request(helper, "ping", {"reach": addr}, wait) for helper in helpers)
        )
        if not any(isinstance(answer, Ok) and answer.unwrap().get("reached") for answer in answers):
            self.partial_view.remove_dead(name)

    def raise_epochs(self, epochs: dict[str, int]) -> None:
        """Notes epochs that were seen. Invariant: they never fall, and there are no more of them than partitions."""
        configuration = self.follower.configuration_view.manifest
        for part, epoch in epochs.items():
            if configuration is not None and part.isdigit() and int(part) < configuration["parts"]:
                self.partition_epochs[part] = max(self.partition_epochs.get(part, 0), int(epoch))

    async def ask_epochs(self) -> int:
        """Asks all machines for the epochs that they know; returns how many answered."""
        addrs, wait = self.follower.configuration_view.addresses_of_others(), self.settings.bounds.heartbeat_interval
        answers = await asyncio.gather(
            *(self.peer_links.request(addr, "ping", {"heights": 1}, wait) for addr in addrs if addr)
        )
        for answer in answers:
            if isinstance(answer, Ok):
                self.raise_epochs(answer.unwrap()["heights"])
        return sum(isinstance(answer, Ok) for answer in answers)
