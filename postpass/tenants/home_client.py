"""Questions of an edge to the homes of tenants: the owners of their partitions, wherever they are at the moment."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.replication.owner_lookup import OwnerLookup
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import now
from postpass.runtime.errors import MOVED, SLOW, Fault
from postpass.tenants.limits import ShareTimers

PAUSE_PART = 1 / 4  # of a try: between two rounds, and before one that becomes the owner is asked again


@dataclass(eq=False)
class HomeClient:
    """Finds a partition's owner by its members, and remembers it; gives no machine more than a short try.

    Attributes:
        known_owners: by partition; may be out of date.
        silent_since: when a machine last gave no answer, in seconds of the loop's clock. It is asked last for a while.
    """

    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    known_owners: dict[int, str] = field(default_factory=dict)
    silent_since: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.timers = ShareTimers.of(self.settings.bounds)

    async def ask(self, partition: int, verb: str, body: Body, until: float) -> PeerResponse:
        """Asks until there is an answer or it is `until` (seconds of the loop's clock); then fails with the last fault."""
        body = body | {"part": partition}
        pause = self.timers.retry * PAUSE_PART
        lookup = self._lookup(partition)
        last: PeerResponse = Err(Fault(verb, self.settings.name, "no owner known", SLOW))
        while (left := until - now()) > 0:
            name = lookup.next_name()
            if not name:
                await asyncio.sleep(min(pause, left))
                lookup = self._lookup(partition)
                continue
            lookup.mark_asked(name)
            address = self.configuration_view.addr(name)
            if not address:
                continue
            last = await self.peer_links.request(address, verb, body, min(left, self.timers.retry))
            if isinstance(last, Ok):
                self.known_owners[partition] = name
                self.silent_since.pop(name, None)
                return last
            await self._learn(partition, lookup, name, last.unwrap_err(), pause)
        return last

    async def _learn(self, partition: int, lookup: OwnerLookup, name: str, fault: Fault, pause: float) -> None:
        """What a machine that did not answer as the owner says of the search."""
        self.known_owners.pop(partition, None)
        if fault.code != MOVED:
            self.silent_since[name] = now()
        elif fault.hint == name:
            await asyncio.sleep(pause)
            lookup.ask_again(name)
        else:
            lookup.follow(fault.hint)

    def _lookup(self, partition: int) -> OwnerLookup:
        """A round over the known owner and all members in the agreed order; who gave no answer lately comes last."""
        recent = now() - self.timers.lease
        self.silent_since = {name: moment for name, moment in self.silent_since.items() if moment > recent}
        known = self.known_owners.get(partition, "")
        return OwnerLookup.for_candidates([known], self.configuration_view.order(partition), self.silent_since)
