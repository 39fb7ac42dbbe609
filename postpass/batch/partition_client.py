"""Requests of one partition's owner to that of another."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from postpass.batch.partition_access import PartitionAccess
from postpass.replication.owner_lookup import OwnerLookup
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import BROKE, LACK, MOVED, SLOW, Fault

TRYING_SHARE = 0.8  # of the time limit; the rest is left for the last answer
PAUSES_PER_HEARTBEAT = 8  # between two rounds of the search, and before one that becomes the owner is asked again


def may_pass(fault: Fault) -> bool:
    """May another try, perhaps at another machine, have an answer?"""
    return fault.code in (MOVED, SLOW, LACK, BROKE) or fault.unsent


@dataclass(eq=False)
class PartitionClient:
    """Asks the owner of any partition.

    Attributes:
        store: The store in whose place it asks.
        owners: Who answered last as the owner of a partition, by its number; dropped when it doesn't any more.
        silent_since: When a machine last gave no answer, in monotonic seconds. It is asked last for the detection time.
    """

    store: PartitionAccess
    owners: dict[int, str] = field(default_factory=dict)
    silent_since: dict[str, float] = field(default_factory=dict)

    async def ask(self, partition: int, verb: str, body: Body, limit: float) -> PeerResponse:
        """Asks until there is an answer, following where the owner is said to be, for `limit` seconds at the longest.

        Fails at once with a fault that another try won't change, else with the last one.
        """
        store, until = self.store, now() + limit * TRYING_SHARE
        pause = store.settings.bounds.beat / PAUSES_PER_HEARTBEAT
        lookup = self._lookup(partition)
        last: PeerResponse = Err(Fault(verb, store.settings.name, "no owner known", SLOW))
        while now() < until:
            name = lookup.next_name()
            if not name:
                await asyncio.sleep(pause)
                lookup = self._lookup(partition)
                continue
            lookup.asked(name)
            last = await store.ask(name, verb, body | {"part": partition})
            if isinstance(last, Ok):
                self.owners[partition] = name
                self.silent_since.pop(name, None)
                return last
            fault = last.unwrap_err()
            if not may_pass(fault):
                return last
            self.owners.pop(partition, None)
            await self._learn(lookup, name, fault, pause)
        return last

    async def _learn(self, lookup: OwnerLookup, name: str, fault: Fault, pause: float) -> None:
        """What a machine that did not answer as the owner says of the search."""
        if fault.code != MOVED:
            self.silent_since[name] = now()
        elif fault.hint == name:
            await asyncio.sleep(pause)
            lookup.ask_again(name)
        else:
            lookup.follow(fault.hint)

    def _lookup(self, partition: int) -> OwnerLookup:
        """A round over who answered last, whom the copy here follows, and all members."""
        store, recent = self.store, now() - self.store.settings.bounds.detect
        copy = store.partitions.get(partition)
        self.silent_since = {name: moment for name, moment in self.silent_since.items() if moment > recent}
        guesses = [self.owners.get(partition, ""), copy.owner if copy is not None else ""]
        return OwnerLookup.over(guesses, store.configuration_view.order(partition), self.silent_since)
