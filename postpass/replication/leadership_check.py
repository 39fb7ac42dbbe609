"""Confirming that this store still owns a partition, before it answers a read."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from postpass.replication.messages import Hello, HelloAnswer
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime.errors import NOT_RESPONSIBLE, Fault


@dataclass(eq=False)
class LeadershipCheck:
    """Asks the members whether they know of a later owner.

    Owns `checks`, the tasks that ask them, by partition number: at most one check of each partition runs at a time.
    """

    table: PartitionTable
    checks: dict[int, asyncio.Task[bool]] = field(default_factory=dict)

    def owned_partition(self, number: int, step: str) -> Result[Partition, Fault]:
        """Returns the partition if this store is its ready owner, else the fault NOT_RESPONSIBLE with its owner as a hint.

        Args:
            number: Number of the partition.
            step: What the request does, for the fault.
        """
        partition = self.table.partitions.get(number)
        if partition is None or not partition.owning:
            hint = partition.owner if partition is not None and partition.owner != self.table.settings.name else ""
            return Err(Fault(step, self.table.settings.name, "not the owner", NOT_RESPONSIBLE, hint))
        if not partition.ready:
            return Err(
                Fault(
                    step,
                    self.table.settings.name,
                    "the owner is not ready yet",
                    NOT_RESPONSIBLE,
                    self.table.settings.name,
                )
            )
        return Ok(partition)

    async def confirm(self, partition: Partition) -> bool:
        """Confirms by a round trip to the members that no later owner of a partition exists; returns whether that is so.

        The round trip begins after the request for it, so that it holds for a read that is answered afterwards.
        Requests that arrive while one check runs share the next one. The store is still the owner, under the epoch that
        it had when this was called, as long as the caller doesn't await anything else.
        """
        epoch = partition.epoch
        task = self.checks.get(partition.id)
        if task is not None and not task.done():
            # A check that began before this read proves nothing for it: wait until it ends and start another.
            await asyncio.wait([task])
            task = self.checks.get(partition.id)
        if task is None or task.done():
            task = asyncio.create_task(self._ask_members(partition, partition.epoch))
            self.checks[partition.id] = task
        confirmed = await asyncio.shield(task)
        # The ownership may have ended since the check did: other callbacks run before this one goes on.
        return confirmed and partition.owning and partition.epoch == epoch

    async def _ask_members(self, partition: Partition, epoch: int) -> bool:
        """Asks all members at once; returns whether enough of them know no later epoch, and this store is still the owner.

        It returns as soon as enough members have confirmed, or all have answered. A later epoch ends the ownership.
        """
        # The members that have confirmed so far, with their disks; this store itself is the first.
        confirming_members = self.table.own_vote
        if partition.is_ownership_confirmed(confirming_members):
            return partition.epoch == epoch
        confirmed = asyncio.Event()

        hello = Hello(partition.id, epoch, self.table.settings.name, confirm=True)

        async def ask_member(name: str) -> None:
            response = await self.table.ask(name, "hello", hello.encode())
            if isinstance(response, Err):
                return
            answer = HelloAnswer.decode(response.unwrap())
            if answer.accepted:
                confirming_members[name] = answer.disk
                if partition.epoch == epoch and partition.is_ownership_confirmed(confirming_members):
                    confirmed.set()
            elif answer.promised > epoch and partition.epoch == epoch:
                self.table.step_down(partition, answer.promised)

        requests = asyncio.gather(*(ask_member(n) for n in self.table.other_members(partition, partition.view)))
        confirmation = asyncio.create_task(confirmed.wait())
        await asyncio.wait([asyncio.ensure_future(requests), confirmation], return_when=asyncio.FIRST_COMPLETED)  # type: ignore[type-var]
        confirmation.cancel()
        return confirmed.is_set() and partition.epoch == epoch
