"""Requests of an edge to the owners of partitions, with the search for the machine that owns a partition now."""

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
from postpass.runtime.errors import NOT_RESPONSIBLE, PEER_FAILED, TIMED_OUT, Fault
from postpass.runtime.log_events import Event

MIN_RESPONSE_TIMEOUT = 0.05  # seconds; the shortest time that a response is waited for
CONNECT_FRACTION = 1 / 4  # part of the time limit within which the machine must accept a connection
OWNER_FRACTION = 0.9  # part of the time limit that the owner itself may use


@dataclass(eq=False)
class OwnerClient:
    """Sends requests to a partition's owner, which it finds by asking the partition's members, and remembers.

    Attributes:
        known_owners: By partition, the machine that last answered as its owner; may be out of date.
        unresponsive: Machines that did not answer the last request to them. They are asked after all others, and with a
            shorter time limit, so that a machine that can't be reached does not use up the time of every request.
    """

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    known_owners: dict[int, str] = field(default_factory=dict)
    unresponsive: set[str] = field(default_factory=set)

    async def request(self, partition: int, verb: str, body: Body, deadline: float) -> Result[Body, Fault]:
        """Sends a request to a partition's owner and returns its response; tries until the deadline.

        The request must be safe to repeat, since a machine may get it more than once. `deadline` is in seconds of the
        event loop's clock. A fault is `unsure` if an earlier attempt may have arrived but got no response, and `unsent`
        only if there was no such attempt.
        """
        body = body | {"part": partition}
        unsure = False
        lookup = self._lookup(partition)
        last_fault = Fault(verb, self.settings.name, "no owner known", TIMED_OUT)
        bounds = self.settings.bounds
        while now() < deadline:
            name = lookup.next_name()
            if not name:
                await asyncio.sleep(bounds.heartbeat_interval / 2 * (0.75 + 0.5 * self.environment.chance.random()))
                lookup = self._lookup(partition)
                continue
            lookup.mark_asked(name)
            addr = self.configuration_view.addr(name)
            if not addr:
                continue
            timeout_s = self._response_timeout(name, deadline)
            repeat_mark = {"again": True} if unsure else {}
            response = await self._request_machine(
                name, addr, verb, body | {"wait": timeout_s * OWNER_FRACTION} | repeat_mark, timeout_s
            )
            if isinstance(response, Ok):
                self.known_owners[partition] = name
                return response
            last_fault = response.unwrap_err()
            if last_fault.code not in (NOT_RESPONSIBLE, PEER_FAILED, TIMED_OUT):
                return Err(replace(last_fault, unsure=unsure))
            if self.known_owners.get(partition) == name:
                del self.known_owners[partition]
            if last_fault.code == NOT_RESPONSIBLE:
                await self._follow_redirect(partition, lookup, name, last_fault.hint)
                continue
            unsure = unsure or not last_fault.unsent
            if not last_fault.unsent:
                lookup = self._lookup(partition, [name] if last_fault.code == PEER_FAILED else [])
                await asyncio.sleep(bounds.heartbeat_interval / 8)
        return Err(Fault(verb, last_fault.peer, last_fault.why, TIMED_OUT, unsent=not unsure, unsure=unsure))

    async def _request_machine(self, name: str, addr: str, verb: str, body: Body, timeout_s: float) -> PeerResponse:
        """Sends a request to one machine, and records whether the machine answered."""
        link_result = await self.peer_links.link(addr, timeout_s * CONNECT_FRACTION)
        if isinstance(link_result, Err):
            self.unresponsive.add(name)
            return link_result
        response = await self.peer_links.request(addr, verb, body, timeout_s)
        # A fault of the link names the address as its peer, a fault that the machine reports names the machine.
        if isinstance(response, Err) and response.unwrap_err().peer == addr:
            self.unresponsive.add(name)
        else:
            self.unresponsive.discard(name)
        return response

    def _response_timeout(self, name: str, deadline: float) -> float:
        """Returns how many seconds to wait for a machine's response."""
        detection_periods = 1 if name in self.unresponsive else 2
        return min(max(MIN_RESPONSE_TIMEOUT, deadline - now()), self.settings.bounds.detection_time * detection_periods)

    def _lookup(self, partition: int, tried: Iterable[str] = ()) -> OwnerLookup:
        """Returns a new round of the search: the known owner, then all members in the agreed order, without those in `tried`."""
        known_owner = self.known_owners.get(partition, "")
        return OwnerLookup.for_candidates(
            [known_owner], self.configuration_view.order(partition), self.unresponsive, tried
        )

    async def _follow_redirect(self, partition: int, lookup: OwnerLookup, name: str, owner: str) -> None:
        """Handles the response of machine `name` that not it but `owner` is the owner; empty if it knows none."""
        if owner == name:
            # It names itself: it is about to become the owner.
            await asyncio.sleep(self.settings.bounds.heartbeat_interval / 8)
            lookup.ask_again(name)
        elif owner and owner not in lookup.tried:
            self.known_owners[partition] = owner
            lookup.follow(owner)

    async def claim(self, key: str, deadline: float) -> Result[bool, Fault]:
        """Claims a live request's key for this edge; returns False if it was claimed before."""
        nonce = f"{self.settings.name}-{self.environment.chance.getrandbits(64):016x}"
        configuration = self.configuration_view.manifest
        assert configuration is not None
        partition = partition_of(key, configuration["parts"])
        response = await self.request(
            partition, "claim", {"key": key, "nonce": nonce, "edge": self.settings.name}, deadline
        )
        if isinstance(response, Err):
            return response
        won = response.unwrap()["won"]
        log_events.emit(Event.REQUEST_CLAIMED, self.settings.name, key=key, won=won)
        return Ok(bool(won))
