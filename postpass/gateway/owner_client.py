"""Questions of an edge to the owners of partitions, wherever they are at the moment."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from postpass.configuration.configuration import partition_of
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.replication.owner_lookup import OwnerLookup
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import BROKE, MOVED, SLOW, Fault
from postpass.runtime.log_events import Event

LEAST_WAIT = 0.05  # seconds that an answer is waited for at the least
CONNECT_PART = 1 / 4  # of the wait for an answer within which a machine takes a connection
OWNER_PART = 0.9  # of the wait for an answer that the owner itself may use


@dataclass(eq=False)
class OwnerClient:
    """Finds a partition's owner by its members, and remembers it.

    Attributes:
        known_owners: Who answered last as the owner of a partition, by its number; may be out of date.
        silent: Machines that gave no answer when they were asked last. They are asked after all others, and not waited for
            as long, so that one which went dark does not use up the time of every request.
    """

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    known_owners: dict[int, str] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)

    async def ask(self, partition: int, verb: str, body: Body, until: float) -> Result[Body, Fault]:
        """Asks a partition's owner until `until` (seconds of the loop's clock); what is asked may be asked again.

        The fault says by `unsure` whether an earlier try was left without an answer, and is `unsent` only if none was.
        """
        body = body | {"part": partition}
        unsure = False
        lookup = self._lookup(partition)
        last = Fault(verb, self.settings.name, "no owner known", SLOW)
        bounds = self.settings.bounds
        while now() < until:
            name = lookup.next_name()
            if not name:
                await asyncio.sleep(bounds.beat / 2 * (0.75 + 0.5 * self.environment.chance.random()))
                lookup = self._lookup(partition)
                continue
            lookup.mark_asked(name)
            addr = self.configuration_view.addr(name)
            if not addr:
                continue
            wait = self._wait_for(name, until)
            again = {"again": True} if unsure else {}
            answer = await self._request(name, addr, verb, body | {"wait": wait * OWNER_PART} | again, wait)
            if isinstance(answer, Ok):
                self.known_owners[partition] = name
                return answer
            last = answer.unwrap_err()
            if last.code not in (MOVED, BROKE, SLOW):
                return Err(replace(last, unsure=unsure))
            if self.known_owners.get(partition) == name:
                del self.known_owners[partition]
            if last.code == MOVED:
                await self._follow(partition, lookup, name, last.hint)
                continue
            unsure = unsure or not last.unsent
            if not last.unsent:
                lookup = self._lookup(partition, [name] if last.code == BROKE else [])
                await asyncio.sleep(bounds.beat / 8)
        return Err(Fault(verb, last.peer, last.why, SLOW, unsent=not unsure, unsure=unsure))

    async def _request(self, name: str, addr: str, verb: str, body: Body, wait: float) -> PeerResponse:
        """Asks one machine, and notes whether it answered."""
        opened = await self.peer_links.link(addr, wait * CONNECT_PART)
        if isinstance(opened, Err):
            self.silent.add(name)
            return opened
        answer = await self.peer_links.request(addr, verb, body, wait)
        # The link tells faults of its own under the address, a machine under its name.
        if isinstance(answer, Err) and answer.unwrap_err().peer == addr:
            self.silent.add(name)
        else:
            self.silent.discard(name)
        return answer

    def _wait_for(self, name: str, until: float) -> float:
        """How many seconds a machine's answer is waited for."""
        detections = 1 if name in self.silent else 2
        return min(max(LEAST_WAIT, until - now()), self.settings.bounds.detect * detections)

    def _lookup(self, partition: int, tried: Iterable[str] = ()) -> OwnerLookup:
        """A round over the known owner and all members in the agreed order, but for those in `tried`."""
        known = self.known_owners.get(partition, "")
        return OwnerLookup.for_candidates([known], self.configuration_view.order(partition), self.silent, tried)

    async def _follow(self, partition: int, lookup: OwnerLookup, name: str, owner: str) -> None:
        """The member `name` says that it isn't the owner, but `owner` is; empty if it knows none."""
        if owner == name:
            # It is about to become the owner.
            await asyncio.sleep(self.settings.bounds.beat / 8)
            lookup.ask_again(name)
        elif owner and owner not in lookup.tried:
            self.known_owners[partition] = owner
            lookup.follow(owner)

    async def claim(self, key: str, until: float) -> Result[bool, Fault]:
        """Takes a live request's key for this edge; False if it was taken before."""
        nonce = f"{self.settings.name}-{self.environment.chance.getrandbits(64):016x}"
        configuration = self.configuration_view.manifest
        assert configuration is not None
        partition = partition_of(key, configuration["parts"])
        answer = await self.ask(partition, "claim", {"key": key, "nonce": nonce, "edge": self.settings.name}, until)
        if isinstance(answer, Err):
            return answer
        won = answer.unwrap()["won"]
        log_events.emit(Event.REQUEST_CLAIMED, self.settings.name, key=key, won=won)
        return Ok(bool(won))
