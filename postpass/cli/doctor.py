"""What `postpassctl doctor` finds: a pure function of two looks at the fleet, one after the other.

The codes D02 to D16 are told in `docs/operators.md`; D01, that the configuration can't be read, is the command's own.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from postpass.cli.status_page import FleetStatus, MachineStatus, PartitionStatus, StoreStatus
from postpass.configuration.configuration import Machine
from postpass.control.health import member_health, next_loss_problem

MIN_FREE_SHARE = 0.1  # of a disk
MAX_REPLICA_LAG = 500  # records


@dataclass(frozen=True)
class Finding:
    """One fault. Invariant: `remedy` tells what to do, in words that an operator can act on."""

    code: str
    where: str
    what: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.code} {self.where}: {self.what}\n    remedy: {self.remedy}"


def diagnose(first: FleetStatus, second: FleetStatus) -> list[Finding]:
    """All faults of the second look, each once; the first look tells what has not moved since."""
    remedy = "start it, or declare it gone if it is lost for good"
    findings = [Finding("D02", name, "does not answer", remedy) for name in second.names if name in second.unreachable]
    for name, machine in second.machines.items():
        findings += _machine_findings(name, machine, first, second)
    findings += [*_partition_findings(second), *_control_findings(second), *_release_findings(second)]
    findings += [*_standstill_findings(first, second), *_unkept_findings(first, second)]
    # Several edges see the same worker: of findings about it the first is told.
    once: dict[tuple[str, str, str], Finding] = {}
    for finding in findings:
        once.setdefault((finding.code, finding.where.split(" ")[-1], finding.what), finding)
    return list(once.values())


def _machine_findings(name: str, machine: MachineStatus, first: FleetStatus, second: FleetStatus) -> Iterator[Finding]:
    """What is wrong with one machine that answers."""
    before = first.machines.get(name)
    was_behind = before is not None and before.revision == machine.revision < first.revision
    if machine.revision < second.revision and was_behind:
        yield Finding("D03", name, f"runs edition {machine.revision}, {second.revision} is in force",
                      "see whether it reaches control or any neighbour; restart it if it was frozen")  # fmt: skip
    configured = second.configuration["machines"][name]
    yield from _name_findings(name, machine, configured)
    yield from _settings_findings(name, machine, configured)
    up, up_before = _up(machine, 1.0), _up(before, -1.0)
    if up <= up_before and machine.control is None:
        yield Finding("D06", name, "its own clock did not move, or it restarted between two looks",
                      "see its log; a frozen daemon must be woken or killed")  # fmt: skip
    if machine.store is not None:
        yield from _store_findings(name, machine.store)
    for key, worker in machine.workers.items():
        if worker.barred.startswith("weights"):
            remedy = "load the right weights, or correct them in the manifest"
            yield Finding("D12", f"{name} {key}", worker.barred, remedy)


def _up(machine: MachineStatus | None, default: float) -> float:
    return default if machine is None or machine.up is None else machine.up


def _name_findings(name: str, machine: MachineStatus, configured: Machine) -> Iterator[Finding]:
    """Does another process answer at the machine's address, or go by its name?"""
    if machine.name != name:
        yield Finding("D04", name, f"at {configured['http']} answers {machine.name}",
                      "two processes share an address or a name: correct one config")  # fmt: skip
    if machine.name_clash:
        yield Finding("D04", name, machine.name_clash, "two processes share a name: correct one config")


def _settings_findings(name: str, machine: MachineStatus, configured: Machine) -> Iterator[Finding]:
    """Where a machine's own settings differ from what the configuration says of it."""
    if machine.name != name:
        return
    remedy = "make config and manifest agree, then restart it or apply"
    wanted = {"peer": configured["peer"], "http": configured["http"], "area": configured["area"]}
    for key, value in machine.addresses.items():
        if value != wanted[key]:
            yield Finding("D05", name, f"its config has {key} {value}, the manifest {wanted[key]}", remedy)
    duties = [duty for duty in configured["duties"] if duty != "control"]
    if machine.duties is not None and sorted(machine.duties) != sorted(duties):
        what = f"its config has duties {list(machine.duties)}, the manifest {duties}"
        yield Finding("D05", name, what, remedy)


def _store_findings(name: str, store: StoreStatus) -> Iterator[Finding]:
    """What is wrong with a store's disk, and with the replicas of the partitions that it owns."""
    if store.failure:
        yield Finding("D10", name, store.failure, "replace the disk; it is refilled from its peers")
    if store.free_bytes < max(store.size_bytes * MIN_FREE_SHARE, store.log_bytes * 2):
        yield Finding("D09", name, f"{store.free_bytes} of {store.size_bytes} bytes are free",
                      "give it a larger disk, shorten the retention, or retire the store")  # fmt: skip
    for partition in store.partitions:
        if partition.owning:
            yield from _owned_findings(partition)


def _owned_findings(partition: PartitionStatus) -> Iterator[Finding]:
    """What the owner of a partition tells of its replicas, and of losses."""
    where = f"partition {partition.number}"
    for name, replica in partition.replicas.items():
        lag = partition.last - replica.persisted
        if replica.silent:
            yield Finding("D07", where, f"mirror {name} is silent",
                          "start it, or declare it gone so that another takes its place")  # fmt: skip
        elif lag > MAX_REPLICA_LAG:
            yield Finding("D07", where, f"mirror {name} is {lag} records behind", "look at its disk and its links")
    if partition.losses:
        yield Finding("D13", where, f"more than is tolerated was lost, {partition.losses} time(s)",
                      "tell callers to look their lots up; see event E125 in the owner's log")  # fmt: skip


def _partition_findings(fleet: FleetStatus) -> Iterator[Finding]:
    """Partitions without an owner, or with fewer members than the configuration wants."""
    owned = {row.partition.number: row.partition for row in fleet.owned_partitions()}
    copies = fleet.configuration["copies"]
    for number in range(fleet.configuration["parts"]):
        where, partition = f"partition {number}", owned.get(number)
        if partition is None:
            yield Finding("D08", where, "has no owner", "start stores until most of its members run")
            continue
        members, replicas = partition.members, partition.replicas
        if len(members) < copies:
            yield Finding("D08", where, f"has {len(members)} members, the manifest wants {copies}",
                          "start or add stores; the owner takes them in once they are refilled")  # fmt: skip
        elif any(name in replicas and replicas[name].disk != disk for name, disk in members.items()):
            yield Finding("D08", where, "a member has a new disk and is not refilled yet", "wait; look again")


def _standstill_findings(first: FleetStatus, second: FleetStatus) -> Iterator[Finding]:
    """Partitions whose owner covers nothing more, though it has records to cover."""
    before = {(row.owner, row.partition.number): row.partition for row in first.owned_partitions()}
    for row in second.owned_partitions():
        partition, earlier = row.partition, before.get((row.owner, row.partition.number))
        if earlier is None or earlier.epoch != partition.epoch:
            continue
        if earlier.last > earlier.covered == partition.covered:
            awaited = ", ".join(partition.awaited) or "nobody that is known"
            yield Finding("D15", f"partition {partition.number}",
                          f"covers nothing beyond {partition.covered} of {partition.last} at {row.owner}; waits for {awaited}",
                          "look at these stores, their disks and their links; jobs of this partition are not kept")  # fmt: skip


def _unkept_findings(first: FleetStatus, second: FleetStatus) -> Iterator[Finding]:
    """Partitions whose jobs got no acknowledgement between the two looks."""
    new: Counter[int] = Counter()
    for name, machine in second.machines.items():
        earlier = first.machines.get(name)
        for number, count in machine.unkept_jobs.items():
            # A process that began anew between the looks counts from nothing.
            known = earlier.unkept_jobs.get(number, 0) if earlier is not None else count
            new[number] += max(0, count - known)
    for number, count in sorted(new.items()):
        if count:
            yield Finding("D16", f"partition {number}", f"{count} jobs were handed in and not kept just now",
                          "event E174 in the logs of the edges names who was asked, and why it failed")  # fmt: skip


def _control_findings(fleet: FleetStatus) -> Iterator[Finding]:
    """What is wrong with the control members, as each primary sees it."""
    members = fleet.control_members()
    primaries = [name for name, member in members.items() if member["leads"]]
    if not primaries:
        yield Finding("D11", "control", "no primary", "start control machines until most of them run")
    for name in primaries:
        yield from _primary_findings(name, members)
    for name, member in members.items():
        if member["bad"]:
            yield Finding("D10", name, member["bad"], "replace the disk and restart")


def _primary_findings(name: str, members: Mapping[str, Mapping[str, Any]]) -> Iterator[Finding]:
    """What a primary of control tells of its backups and voters, and of losses."""
    primary = members[name]
    if not primary["backup"]:
        yield Finding("D11", "control", f"primary {name} has no backup", "start another control machine")
    elif silent := [backup for backup in primary.get("backups", [primary["backup"]]) if backup not in members]:
        yield Finding("D11", "control", f"backup {', '.join(silent)} does not answer",
                      "start it; another is taken if it stays away")  # fmt: skip
    without_vote = [other for other, m in members.items() if primary["voters"].get(other) != m["disk"]]
    if without_vote:
        yield Finding("D11", "control", f"{', '.join(without_vote)} may not vote yet", "wait; the primary lets them in")
    isolated = [health.name for health in member_health(members) if not health.in_touch]
    if isolated:
        yield Finding("D11", "control", f"{', '.join(isolated)} lost touch with the primary and hands out nothing",
                      "look at its links and whether it runs; followers and operators go on to the others")  # fmt: skip
    if flaw := next_loss_problem(members):
        yield Finding("D11", "control", f"the next tolerated loss could not be borne: {flaw}",
                      "bring the missing members back, or start new ones, before anything else is stopped")  # fmt: skip
    if primary["losses"]:
        yield Finding("D13", "control", f"acknowledged editions may have been lost, {primary['losses']} time(s)",
                      "compare the manifest in force with your file and apply again")  # fmt: skip


def _release_findings(fleet: FleetStatus) -> Iterator[Finding]:
    """Do daemons of several releases run?"""
    releases = Counter(machine.release for machine in fleet.machines.values())
    if len(releases) > 1:
        told = ", ".join(f"{release}: {count}" for release, count in sorted(releases.items()))
        yield Finding("D14", "fleet", f"daemons of {len(releases)} releases run ({told})",
                      "finish the roll-out, or take it back")  # fmt: skip
