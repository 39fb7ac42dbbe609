"""Requests of one partition's owner to that of another."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from postpass.batch.partition_access import PartitionAccess
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import BROKE, LACK, MOVED, SLOW, Fault

TRYING_SHARE = 0.8  # of the time limit; the rest is left for the last answer
PAUSES_PER_HEARTBEAT = 8  # between two tries without a hint


def may_pass(fault: Fault) -> bool:
    """May another try, perhaps at another machine, have an answer?"""
    return fault.code in (MOVED, SLOW, LACK, BROKE) or fault.unsent


@dataclass(eq=False)
class PartitionClient:
    """Asks the owner of any partition; `owners` is a guess that each answer corrects."""

    store: PartitionAccess
    owners: dict[int, str] = field(default_factory=dict)  # partition -> name of the store that is asked first

    async def ask(self, partition: int, verb: str, body: Body, limit: float) -> PeerResponse:
        """Asks until there is an answer, following where the owner is said to be, for `limit` seconds at the longest.

        Fails at once with a fault that another try won't change, else with the last one.
        """
        store, until = self.store, now() + limit * TRYING_SHARE
        last: PeerResponse = Err(Fault(verb, store.settings.name, "no owner known", SLOW))
        turn = 0
        while now() < until:
            order = store.configuration_view.order(partition)
            name = self.likely_owner(partition)
            if not name and order:
                name, turn = order[turn % len(order)], turn + 1
            answer = await store.ask(name, verb, body | {"part": partition}) if name else last
            if isinstance(answer, Ok):
                self.owners[partition] = name
                return answer
            last, fault = answer, answer.unwrap_err()
            if not may_pass(fault):
                return answer
            hint = fault.hint if fault.code == MOVED and fault.hint != name else ""
            self.owners[partition] = hint
            if not hint:
                await asyncio.sleep(store.settings.bounds.beat / PAUSES_PER_HEARTBEAT)
        return last

    def likely_owner(self, partition: int) -> str:
        """Who answered or was hinted at last, or whom the copy here follows; empty if neither is known."""
        copy = self.store.partitions.get(partition)
        return self.owners.get(partition) or (copy.owner if copy is not None else "")
