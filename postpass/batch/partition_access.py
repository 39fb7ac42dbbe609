"""What the batch package asks of the store that it runs in."""

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
    """The partitions of a store, as the services of jobs see them; `Store` is the one in use."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks

    @property
    def partitions(self) -> dict[int, Partition]:
        """The partitions that have a copy here, by number."""

    @property
    def background_tasks(self) -> set[asyncio.Task[None]]:
        """Background tasks; each is kept here until it ends."""

    @property
    def owner_states(self) -> dict[int, OwnerState]:
        """What an owner keeps in memory to hand out items, by partition."""

    async def ask(self, name: str, verb: str, body: Body) -> PeerResponse:
        """Asks another store, by its name."""

    def owned_partition(self, number: int, step: str) -> Result[Partition, Fault]:
        """The partition if it is owned here and ready, or MOVED with a hint of its owner."""

    async def confirm(self, partition: Partition) -> bool:
        """Is this store still the owner? A round trip to the members."""

    def append(self, partition: Partition, kind: str, body: Body, vital: bool = True, raw: Payload = b"") -> Record:
        """Sequences one record; raises FaultError, with nothing sequenced, if the disk won't take it."""

    def members_awaited(self, partition: Partition) -> list[str]:
        """As owner: whose acknowledgements the first uncovered record lacks."""

    def rejection(self, partition: Partition) -> Fault | None:
        """Why no further job is taken now; None if one is."""

    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        """A covered job of the client that asks, after ownership was confirmed."""
