"""What the status pages of a fleet's machines tell, as typed records read from their JSON.

Pages of releases before this one may leave out what their records give a default for.
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
    """A partition at one store.

    `members` gives the identity of each member's disk; `replicas` holds those of them that follow the owner;
    `fully_synced` tells whether all members have synced the record that names them; `last` and `covered` are numbers
    of records.
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
    awaited: tuple[str, ...] = ()  # whose acknowledgements the first uncovered record lacks

    @classmethod
    def from_json(cls, raw: Mapping[str, Any]) -> Self:
        """The partition of a row of a store's page."""
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
    """A store: `failure` says why its disk may not be used, empty if it may; the sizes are in bytes."""

    failure: str
    free_bytes: int
    size_bytes: int
    log_bytes: int
    partitions: tuple[PartitionStatus, ...]

    @classmethod
    def from_json(cls, raw: Mapping[str, Any]) -> Self:
        """The store of a machine's page."""
        partitions = tuple(PartitionStatus.from_json(row) for row in raw["parts"])
        return cls(raw["bad"], raw["free"], raw["size"], raw["held"], partitions)


@dataclass(frozen=True)
class WorkerStatus:
    """A worker, as an edge sees it: `barred` says why it gets no requests, `requests` counts those of this edge."""

    barred: str
    requests: int


@dataclass(frozen=True)
class MachineStatus:
    """A machine that answered.

    `up` is how long its process runs by its own clock, in seconds; `lack` what it lacks to be ready; `addresses` holds
    `peer`, `http` and `area` as far as it told them; `control` is what a control member says of itself, as
    `postpass.control.health` reads it. What is None was not told.
    """

    name: str
    revision: int
    release: str
    lack: str
    name_clash: str
    duties: tuple[str, ...] | None
    up: float | None
    addresses: dict[str, str]
    store: StoreStatus | None = None
    control: Mapping[str, Any] | None = None
    workers: dict[str, WorkerStatus] = field(default_factory=dict)
    unkept_jobs: dict[int, int] = field(
        default_factory=dict
    )  # without an acknowledgement since the start, by partition
    running_jobs: int | None = None  # at the machine that schedules, else None

    @classmethod
    def from_json(cls, raw: Mapping[str, Any]) -> Self:
        """The machine of its status page."""
        scheduler = raw.get("sched", {})
        duties = raw.get("duties")
        return cls(
            name=raw["name"],
            revision=raw["edition"],
            release=raw["release"],
            lack=raw.get("ready", ""),
            name_clash=raw.get("clash", ""),
            duties=None if duties is None else tuple(duties),
            up=raw.get("up"),
            addresses={key: raw[key] for key in ("peer", "http", "area") if key in raw},
            store=StoreStatus.from_json(raw["store"]) if raw.get("store") else None,
            control=raw.get("control"),
            workers={key: WorkerStatus(w["barred"], w["mine"]) for key, w in raw.get("servers", {}).items()},
            unkept_jobs={int(number): count for number, count in raw.get("unkept", {}).items()},
            running_jobs=scheduler["running"] if scheduler.get("active") else None,
        )


@dataclass(frozen=True)
class OwnedPartition:
    """A partition with the machine that owns it."""

    owner: str
    partition: PartitionStatus


@dataclass(frozen=True)
class FleetStatus:
    """All machines at one moment: `machines` are those that answered, `unreachable` why each of the others didn't, and
    `names` all of them in the configuration's order. `revision` is the one in force."""

    revision: int
    configuration: Configuration
    names: tuple[str, ...]
    machines: dict[str, MachineStatus]
    unreachable: dict[str, str]

    @classmethod
    def from_json(cls, raw: Mapping[str, Any]) -> Self:
        """The fleet of what `fleet_client.fleet_status_pages` gathered."""
        pages = raw["machines"]
        return cls(
            revision=raw["edition"],
            configuration=raw["manifest"],
            names=tuple(pages),
            machines={n: MachineStatus.from_json(page) for n, page in pages.items() if "unreachable" not in page},
            unreachable={n: page["unreachable"] for n, page in pages.items() if "unreachable" in page},
        )

    def owned_partitions(self) -> Iterator[OwnedPartition]:
        """Every partition that a machine says it owns, in the order of the machines."""
        for name, machine in self.machines.items():
            for partition in machine.store.partitions if machine.store else ():
                if partition.owning:
                    yield OwnedPartition(name, partition)

    def control_members(self) -> dict[str, Mapping[str, Any]]:
        """What the control members say of themselves."""
        return {name: m.control for name, m in self.machines.items() if m.control is not None}
