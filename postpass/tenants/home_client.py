"""Requests of an edge to the homes of tenants, which are the present owners of the tenants' partitions."""

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
from postpass.runtime.errors import NOT_RESPONSIBLE, TIMED_OUT, Fault
from postpass.tenants.limits import ShareTimers

# The pause between two rounds, and before a machine that is becoming the owner is tried again, as a fraction of the
# time limit of one attempt.
PAUSE_FRACTION = 1 / 4


@dataclass(eq=False)
class HomeClient:
    """Finds a partition's owner among its members and remembers it; each attempt at a machine has a short time limit.

    Attributes:
        known_owners: the last known owner, by partition; may be out of date.
        unanswered_at: when a machine last failed to respond, in seconds of the event loop's clock, by name. For a while
        after
            that it is tried last.
    """

    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    known_owners: dict[int, str] = field(default_factory=dict)
    unanswered_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.timers = ShareTimers.of(self.settings.bounds)

    async def request(self, partition: int, verb: str, body: Body, deadline: float) -> PeerResponse:
        """Sends a request to a partition's owner, and retries until there is a response or the deadline has passed.

        `deadline` is in seconds of the event loop's clock. Without a response by then, the last fault is returned.
        """
        body = body | {"part": partition}
        pause = self.timers.retry * PAUSE_FRACTION
        lookup = self._lookup(partition)
        last_response: PeerResponse = Err(Fault(verb, self.settings.name, "no owner known", TIMED_OUT))
        while (remaining := deadline - now()) > 0:
            name = lookup.next_name()
            if not name:
                await asyncio.sleep(min(pause, remaining))
                lookup = self._lookup(partition)
                continue
            lookup.mark_asked(name)
            address = self.configuration_view.addr(name)
            if not address:
                continue
            last_response = await self.peer_links.request(address, verb, body, min(remaining, self.timers.retry))
            if isinstance(last_response, Ok):
                self.known_owners[partition] = name
                self.unanswered_at.pop(name, None)
                return last_response
            await self._note_failure(partition, lookup, name, last_response.unwrap_err(), pause)
        return last_response

    async def _note_failure(self, partition: int, lookup: OwnerLookup, name: str, fault: Fault, pause: float) -> None:
        """Updates the search for the owner after a machine didn't respond as the owner.

        A machine that failed otherwise than by NOT_RESPONSIBLE is tried last from now on. One that names itself in the
        hint is becoming the owner and is tried again after a pause; if it names another machine, that one is tried
        next.
        """
        self.known_owners.pop(partition, None)
        if fault.code != NOT_RESPONSIBLE:
            self.unanswered_at[name] = now()
        elif fault.hint == name:
            await asyncio.sleep(pause)
            lookup.ask_again(name)
        else:
            lookup.follow(fault.hint)

    def _lookup(self, partition: int) -> OwnerLookup:
        """Starts a round over the known owner and all members, in the partition's order of members.

        Machines that didn't respond lately come last.
        """
        oldest = now() - self.timers.lease
        self.unanswered_at = {name: failed_at for name, failed_at in self.unanswered_at.items() if failed_at > oldest}
        owner = self.known_owners.get(partition, "")
        return OwnerLookup.for_candidates([owner], self.configuration_view.order(partition), self.unanswered_at)
