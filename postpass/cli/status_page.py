"""The status pages of a fleet's machines, as typed records parsed from their JSON.

Machines of earlier releases may leave out the fields for which a record has a default.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Self

from postpass.configuration.configuration import Configuration


@dataclass(frozen=True)
class ReplicaStatus:
    """A replica of a partition, as the owner sees it: `persisted` is the last record that it has synced."""

    persisted: int
    silent: bool
    disk: str


@dataclass(frozen=True)
class PartitionStatus:
    """A partition as one store reports it.

    `last` is the number of the last record, and `covered` that of the last one that is durably replicated. `members` has
    the identity of each member's disk, and `replicas` the members that replicate from the owner. `fully_synced` is
    whether all members have synced the record that made them members.
    """

    number: int
    owning: bool
    epoch: int
    last: int
    covered: int
    jobs: int
    open_jobs: int
    losses: int
    members: dict[str, str]
    replicas: dict[str, ReplicaStatus]
    fully_synced: bool = True
    awaited_members: tuple[
        str, ...
    ] = ()  # members whose acknowledgement is missing for the first record that isn't durably replicated

    @classmethod
    def from_json(cls, raw: Mapping[str, Any]) -> Self:
        """Parses a partition in the status of a store."""
        replicas = {
            name: ReplicaStatus(replica["persisted"], replica["silent"], replica["disk"])
            for name, replica in raw["mirrors"].items()
        }
        return cls(
            raw["part"], raw["owning"], raw["epoch"], raw["last"], raw["covered"], raw["lots"], raw["open"],
            raw["losses"], raw["crew"], replicas, raw.get("complete", True), tuple(raw.get("awaited", ())),
        )  # fmt: skip


@dataclass(frozen=True)
class StoreStatus:
    """A store: `failure` is why its disk can't be used, empty if it can; `log_bytes` is what its log takes of the disk."""

    failure: str
    free_bytes: int
    size_bytes: int
    log_bytes: int
    partitions: tuple[PartitionStatus, ...]

    @classmethod
    def from_json(cls, raw: Mapping[str, Any]) -> Self:
        """Parses the store in the status page of a machine."""
        partitions = tuple(PartitionStatus.from_json(row) for row in raw["parts"])
        return cls(raw["bad"], raw["free"], raw["size"], raw["held"], partitions)


@dataclass(frozen=True)
class WorkerStatus:
    """A worker as an edge sees it: `blocked_reason` is why it gets no requests, and `requests` how many of this edge it has."""

    blocked_reason: str
    requests: int


@dataclass(frozen=True)
class ItemRunStatus:
    """The run of an item at a worker, as its scheduler sees it; `silent_s` is for how long the worker has sent nothing."""

    job: str
    position: int
    worker: str
    running_s: float
    silent_s: float

    @classmethod
    def from_json(cls, raw: Mapping[str, Any]) -> Self:
        """Parses a run in the status of a scheduler."""
        return cls(raw["job"], raw["item"], raw["worker"], raw["running_s"], raw["silent_s"])


@dataclass(frozen=True)
class IdleItemStatus:
    """The item of a scheduler that has made no progress for longest.

    `state` is reporting, running or waiting; `reason` is why it waits, empty unless it does; `worker` is that of its
    present or last run.
    """

    job: str
    position: int
    state: str
    reason: str
    worker: str
    silent_runs: int
    idle_s: float

    @classmethod
    def from_json(cls, raw: Mapping[str, Any]) -> Self:
        """Parses an item in the status of a scheduler."""
        return cls(
            raw["job"], raw["item"], raw["state"], raw["reason"], raw["worker"], raw["silent_runs"], raw["idle_s"]
        )


@dataclass(frozen=True)
class MachineStatus:
    """A machine that answered.

    `uptime_s` is for how many seconds its process has been running, by its own clock. `unready_reason` is why it isn't ready, empty if
    it is. `name_clash` describes another process that uses its name. `addresses` has `peer`, `http` and `area`, if they
    were reported. `control` is the status of a control member, as `postpass.control.health` reads it. A field is None
    if it wasn't reported.
    """

    name: str
    revision: int
    release: str
    unready_reason: str
    name_clash: str
    duties: tuple[str, ...] | None
    uptime_s: float | None
    addresses: dict[str, str]
    store: StoreStatus | None = None
    control: Mapping[str, Any] | None = None
    workers: dict[str, WorkerStatus] = field(default_factory=dict)
    unkept_jobs: dict[int, int] = field(
        default_factory=dict
    )  # jobs that got no acknowledgement since the process started, by partition
    running_jobs: int | None = None  # None except at the machine that runs the active scheduler
    most_silent_run: ItemRunStatus | None = None  # of all items that run from here, that with the longest silence
    least_progress: IdleItemStatus | None = None  # of all items that are held here

    @classmethod
    def from_json(cls, raw: Mapping[str, Any]) -> Self:
        """Parses the status page of a machine."""
        scheduler = raw.get("sched", {})
        duties = raw.get("duties")
        return cls(
            name=raw["name"],
            revision=raw["edition"],
            release=raw["release"],
            unready_reason=raw.get("ready", ""),
            name_clash=raw.get("clash", ""),
            duties=None if duties is None else tuple(duties),
            uptime_s=raw.get("up"),
            addresses={key: raw[key] for key in ("peer", "http", "area") if key in raw},
            store=StoreStatus.from_json(raw["store"]) if raw.get("store") else None,
            control=raw.get("control"),
            workers={key: WorkerStatus(w["barred"], w["mine"]) for key, w in raw.get("servers", {}).items()},
            unkept_jobs={int(number): count for number, count in raw.get("unkept", {}).items()},
            running_jobs=scheduler["running"] if scheduler.get("active") else None,
            most_silent_run=ItemRunStatus.from_json(run) if (run := scheduler.get("most_silent")) else None,
            least_progress=IdleItemStatus.from_json(item) if (item := scheduler.get("least_progress")) else None,
        )


@dataclass(frozen=True)
class OwnedPartition:
    """A partition and the name of the machine that owns it."""

    owner: str
    partition: PartitionStatus


@dataclass(frozen=True)
class FleetStatus:
    """A snapshot of the fleet.

    `revision` is that of the configuration in force. `names` has all machines in the configuration's order, `machines`
    those that answered, and `unreachable` the reason why each of the others didn't.
    """

    revision: int
    configuration: Configuration
    names: tuple[str, ...]
    machines: dict[str, MachineStatus]
    unreachable: dict[str, str]

    @classmethod
    def from_json(cls, raw: Mapping[str, Any]) -> Self:
        """Parses the result of `fleet_client.fleet_status_pages`."""
        pages = raw["machines"]
        return cls(
            revision=raw["edition"],
            configuration=raw["manifest"],
            names=tuple(pages),
            machines={n: MachineStatus.from_json(page) for n, page in pages.items() if "unreachable" not in page},
            unreachable={n: page["unreachable"] for n, page in pages.items() if "unreachable" in page},
        )

    def owned_partitions(self) -> Iterator[OwnedPartition]:
        """Yields each partition that a machine reports to own, in the order of the machines."""
        for name, machine in self.machines.items():
            for partition in machine.store.partitions if machine.store else ():
                if partition.owning:
                    yield OwnedPartition(name, partition)

    def control_members(self) -> dict[str, Mapping[str, Any]]:
        """Returns the control status of each control member that answered, by name."""
        return {name: m.control for name, m in self.machines.items() if m.control is not None}
