"""The memory that the open jobs of a store take, and the limit above which no further job is accepted."""

from __future__ import annotations

from dataclasses import dataclass
from fractions import Fraction

from postpass.batch.job import Job, JobState
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime.environment import now

OPEN_JOB_SHARE = Fraction(
    1, 6
)  # of the memory of the process; while a snapshot is written, jobs take three times as much
ITEM_BYTES = 1024  # memory of an item in addition to its body


def memory_of(job: Job) -> int:
    """Returns about how many bytes of memory a job takes until it is complete or ended."""
    if job.state != JobState.OPEN or job.complete:
        return 0
    return len(job.payload) + job.text_bytes + job.size * ITEM_BYTES


@dataclass(eq=False)
class JobMemory:
    """Measures the open jobs of all partitions, at most once a heartbeat. Owner: the store.

    :ivar measured_bytes: what was measured last, and what was accepted since.
    """

    table: PartitionTable
    measured_bytes: int = 0
    measured_at: float = -1.0  # seconds of the loop's clock

    @property
    def capacity(self) -> int:
        """The bytes that open jobs may take."""
        return int(self.table.settings.memory_bytes * OPEN_JOB_SHARE)

    def has_room(self, size: int = 0) -> bool:
        """Returns whether jobs of so many bytes fit in addition to those that are open."""
        self._refresh()
        return self.measured_bytes + size <= self.capacity

    def add(self, size: int) -> None:
        """Adds a job that is being accepted, until the next measurement."""
        self.measured_bytes += size

    def _refresh(self) -> None:
        if self.measured_at >= 0 and now() - self.measured_at < self.table.settings.bounds.heartbeat_interval:
            return
        self.measured_at = now()
        self.measured_bytes = sum(self._memory_of_partition(p) for p in self.table.partitions.values())

    def _memory_of_partition(self, partition: Partition) -> int:
        return sum(memory_of(job) for job in partition.view.jobs.values())
