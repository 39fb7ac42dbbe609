"""Requests from one partition's owner to the owner of another."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from postpass.batch.partition_access import PartitionAccess
from postpass.replication.owner_lookup import OwnerLookup
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import NOT_FOUND, NOT_RESPONSIBLE, PEER_FAILED, TIMED_OUT, Fault

RETRY_TIME_SHARE = 0.8  # share of the time limit in which attempts start; the rest is for the last response
# Heartbeat divided by the pause between two rounds of the search, and before a machine that is becoming the owner is
# asked again.
PAUSES_PER_HEARTBEAT = 8


def is_retriable(fault: Fault) -> bool:
    """Returns whether a retry, perhaps at another machine, may succeed."""
    return fault.code in (NOT_RESPONSIBLE, TIMED_OUT, NOT_FOUND, PEER_FAILED) or fault.unsent


@dataclass(eq=False)
class PartitionClient:
    """Sends requests to the owner of any partition.

    Attributes:
        store: The store in whose name it sends requests.
        owners: The machine that last responded as a partition's owner, by partition; removed once it doesn't any more.
        silent_since: When a machine last gave no response, in monotonic seconds. For the detection time it is asked
            last.
    """

    store: PartitionAccess
    owners: dict[int, str] = field(default_factory=dict)
    silent_since: dict[str, float] = field(default_factory=dict)

    async def ask(self, partition: int, verb: str, body: Body, limit: float) -> PeerResponse:
        """Retries until the owner responds, following hints to where it is, for at most `limit` seconds.

        Fails at once with a fault that a retry can't change, otherwise with the last one.
        """
        store, deadline = self.store, now() + limit * RETRY_TIME_SHARE
        pause = store.settings.bounds.heartbeat_interval / PAUSES_PER_HEARTBEAT
        lookup = self._new_lookup(partition)
        last_response: PeerResponse = Err(Fault(verb, store.settings.name, "no owner known", TIMED_OUT))
        while now() < deadline:
            name = lookup.next_name()
            if not name:
                await asyncio.sleep(pause)
                lookup = self._new_lookup(partition)
                continue
            lookup.mark_asked(name)
            last_response = await store.ask(name, verb, body | {"part": partition})
            if isinstance(last_response, Ok):
                self.owners[partition] = name
                self.silent_since.pop(name, None)
                return last_response
            fault = last_response.unwrap_err()
            if not is_retriable(fault):
                return last_response
            self.owners.pop(partition, None)
            await self._update_lookup(lookup, name, fault, pause)
        return last_response

    async def _update_lookup(self, lookup: OwnerLookup, name: str, fault: Fault, pause: float) -> None:
        """Updates the search after a machine did not respond as the owner: notes silence, or follows its hint."""
        if fault.code != NOT_RESPONSIBLE:
            self.silent_since[name] = now()
        elif fault.hint == name:
            await asyncio.sleep(pause)
            lookup.ask_again(name)
        else:
            lookup.follow(fault.hint)

    def _new_lookup(self, partition: int) -> OwnerLookup:
        """Starts a round over the last known owner, the owner that the replica here follows, and all members."""
        store, recent = self.store, now() - self.store.settings.bounds.detection_time
        local_copy = store.partitions.get(partition)
        self.silent_since = {name: silent_at for name, silent_at in self.silent_since.items() if silent_at > recent}
        candidates = [self.owners.get(partition, ""), local_copy.owner if local_copy is not None else ""]
        return OwnerLookup.for_candidates(candidates, store.configuration_view.order(partition), self.silent_since)
