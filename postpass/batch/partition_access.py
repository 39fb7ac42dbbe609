"""The interface through which the batch package uses the store that it runs in."""

from __future__ import annotations

import asyncio
from typing import Protocol

from result import Result

from postpass.batch.job import Job, Payload
from postpass.batch.leases import OwnerState
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.replication.partition import Partition
from postpass.replication.record_log import Record
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import Environment
from postpass.runtime.errors import Fault


class PartitionAccess(Protocol):
    """A store's partitions, as the job services use them; `Store` implements this."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks

    @property
    def partitions(self) -> dict[int, Partition]:
        """The partitions that have a replica here, by number."""

    @property
    def background_tasks(self) -> set[asyncio.Task[None]]:
        """Background tasks; each is referenced here until it ends."""

    @property
    def owner_states(self) -> dict[int, OwnerState]:
        """The state for leasing out items, by partition."""

    async def ask(self, name: str, verb: str, body: Body) -> PeerResponse:
        """Sends a request to another store, by its name."""

    def owned_partition(self, number: int, step: str) -> Result[Partition, Fault]:
        """Returns the partition if it is owned here and ready, else NOT_RESPONSIBLE with its owner as hint."""

    async def confirm(self, partition: Partition) -> bool:
        """Returns whether this store is still the owner, after a round trip to the members."""

    def append(self, partition: Partition, kind: str, body: Body, vital: bool = True, raw: Payload = b"") -> Record:
        """Appends one record to the log; raises FaultError, with nothing appended, if the disk can't store it."""

    def members_awaited(self, partition: Partition) -> list[str]:
        """Returns the members whose acknowledgement of the first uncovered record is missing; called by the owner."""

    def rejection(self, partition: Partition) -> Fault | None:
        """Returns why no further job is accepted now; None if one is."""

    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        """Returns the partition and a covered job of the client that asks, after confirming ownership."""
