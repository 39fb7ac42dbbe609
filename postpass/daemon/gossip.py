"""Gossip between daemons: the exchange of partial views of the fleet, and of the highest known epoch of each partition.

At random intervals each daemon shuffles with its oldest neighbour: both exchange some of the records that they hold of
other machines. Such records are hints only. A shuffle also reveals newer revisions of the configuration, another process
that uses this daemon's name, and the epochs of partitions.
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

MAX_PROBE_HELPERS = 2  # neighbours that are asked whether they reach a daemon that doesn't answer here


@dataclass(eq=False)
class Gossip:
    """Shuffles a daemon's partial view with others; owned by the daemon.

    `partition_epochs` holds the highest epoch seen of each partition, by its number as text. If all stores of a
    partition lose their disks, they learn from it that there was data to lose, and which epochs were used already.
    `name_clash` describes another process that uses this one's name; empty if none was found. `shuffles` counts
    shuffles by result. `spawn` runs a coroutine in the background. The daemon replaces `settings` when its settings file
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
        """Shuffles at random intervals around the bound `feed_interval`; runs until it is cancelled."""
        interval, namesake_address = self.settings.bounds.feed_interval, ""
        while True:
            await asyncio.sleep(interval * (0.7 + 0.6 * self.environment.chance.random()))
            self.next_own_record()
            # If the configuration gives this daemon's name another address, the process there is contacted every other time.
            configured = self.follower.configuration_view.addr(self.settings.name) or self.settings.peer
            greets_namesake = configured not in (self.settings.peer, namesake_address) and not self.name_clash
            namesake_address = configured if greets_namesake else ""
            if namesake_address:
                await self._greet_namesake(namesake_address)
            else:
                await self._shuffle()

    async def _greet_namesake(self, addr: str) -> None:
        """Exchanges records with the process at another address that has the same name, so that both notice the clash."""
        body: Body = {"cards": [self.partial_view.own_record]}
        response = await self.peer_links.request(addr, "shuffle", body, self.settings.bounds.feed_interval)
        if isinstance(response, Ok):
            self.note_name_clash(response.unwrap()["cards"])

    async def _shuffle(self) -> None:
        """Shuffles once with the oldest neighbour, or with a seed if there is none; fetches a newer revision from it."""
        neighbour, offered_records = self.partial_view.begin_shuffle()
        addr = neighbour.record["peer"] if neighbour else self.environment.chance.choice(self.settings.seeds)
        if addr == self.settings.peer:
            return
        requested_at = now()
        body: Body = {"cards": offered_records, "heights": self.partition_epochs}
        response = await self.peer_links.request(addr, "shuffle", body, self.settings.bounds.feed_interval)
        self.shuffles.labels("ok" if isinstance(response, Ok) else "failed").inc()
        if isinstance(response, Err):
            if neighbour is not None:
                self.spawn(self.check_suspect(neighbour))
            return
        reply = response.unwrap()
        self.note_name_clash(reply["cards"])
        self.partial_view.merge(reply["cards"], offered_records[1:])
        self.raise_epochs(reply.get("heights", {}))
        if reply["edition"] > self.follower.configuration_view.revision:
            await self.follower.fetch(addr)
        self.follower.configuration_view.note_contact(reply["edition"], requested_at)

    async def on_shuffle(self, body: Body) -> PeerResponse:
        """Answers another daemon's shuffle with records of this daemon's partial view."""
        self.next_own_record()
        self.note_name_clash(body["cards"])
        view = self.follower.configuration_view
        if body["cards"] and body["cards"][0]["edition"] > view.revision:
            # The sender has a newer revision. It has just reached this daemon, so it can be asked even if no other can.
            self.spawn(self.follower.fetch(body["cards"][0]["peer"]))
        self.raise_epochs(body.get("heights", {}))
        records = self.partial_view.answer_shuffle(body["cards"])
        return Ok({"cards": records, "edition": view.revision, "heights": self.partition_epochs})

    def next_own_record(self) -> MemberRecord:
        """Advances the heartbeat of this daemon's own record, and returns the record with the revision in force here."""
        return self.partial_view.next_own_record(edition=self.follower.configuration_view.revision)

    def note_name_clash(self, records: list[MemberRecord]) -> None:
        """Sets `name_clash` if one of the records has this daemon's name but another address."""
        for record in records:
            if record["name"] == self.settings.name and record["peer"] != self.settings.peer:
                self.name_clash = f"{record['peer']} also calls itself {record['name']}"

    async def check_suspect(self, suspect: Neighbour) -> None:
        """Asks other neighbours to ping one that doesn't answer; removes it as dead if none of them reaches it."""
        name, addr = suspect.record["name"], suspect.record["peer"]
        neighbours = sorted(self.partial_view.neighbours.items())
        others = [other.record["peer"] for other_name, other in neighbours if other_name != name]
        helpers = self.environment.chance.sample(others, min(MAX_PROBE_HELPERS, len(others)))
        timeout = self.settings.bounds.heartbeat_interval * 2
        responses = await asyncio.gather(
            *(self.peer_links.request(helper, "ping", {"reach": addr}, timeout) for helper in helpers)
        )
        if not any(isinstance(response, Ok) and response.unwrap().get("reached") for response in responses):
            self.partial_view.remove_dead(name)

    def raise_epochs(self, epochs: dict[str, int]) -> None:
        """Raises the known epochs of partitions to those given.

        Invariant: an epoch never decreases, and there is no entry beyond the partitions that the configuration has.
        """
        configuration = self.follower.configuration_view.manifest
        for part, epoch in epochs.items():
            if configuration is not None and part.isdigit() and int(part) < configuration["parts"]:
                self.partition_epochs[part] = max(self.partition_epochs.get(part, 0), int(epoch))

    async def ask_epochs(self) -> int:
        """Asks all machines for the epochs that they know, takes them over, and returns how many machines answered."""
        addrs, timeout = self.follower.configuration_view.addresses_of_others(), self.settings.bounds.heartbeat_interval
        responses = await asyncio.gather(
            *(self.peer_links.request(addr, "ping", {"heights": 1}, timeout) for addr in addrs if addr)
        )
        for response in responses:
            if isinstance(response, Ok):
                self.raise_epochs(response.unwrap()["heights"])
        return sum(isinstance(response, Ok) for response in responses)
