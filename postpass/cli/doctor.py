"""The faults that `postpassctl doctor` finds, as a pure function of two snapshots of the fleet, taken one after the other.

The codes D02 to D18 are described in `docs/operators.md`. D01, that the configuration can't be read, is reported by the
command itself, since there is no snapshot without the configuration.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from postpass.batch.leased_items import WaitReason
from postpass.cli.status_page import FleetStatus, IdleItemStatus, MachineStatus, PartitionStatus, StoreStatus
from postpass.configuration.configuration import Machine
from postpass.control.health import member_health, next_loss_problem

MIN_FREE_SHARE = 0.1  # of a disk's size
MAX_REPLICA_LAG = 500  # records
MAX_SILENT_S = 10.0  # seconds in which the worker of an item sends nothing
MAX_IDLE_S = 12.0  # seconds in which an item makes no progress, in one run or over several


@dataclass(frozen=True)
class Finding:
    """One fault: its code, the part of the fleet that has it, what is wrong, and what the operator can do about it.

    Invariant: `remedy` describes what to do, in words that an operator can act on.
    """

    code: str
    where: str
    what: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.code} {self.where}: {self.what}\n    remedy: {self.remedy}"


def diagnose(earlier_fleet: FleetStatus, later_fleet: FleetStatus) -> list[Finding]:
    """Returns all faults of the second snapshot, each once; the first one shows what has made no progress since."""
    remedy = "start it, or declare it gone if it is lost for good"
    findings = [
        Finding("D02", name, "does not answer", remedy) for name in later_fleet.names if name in later_fleet.unreachable
    ]
    for name, machine in later_fleet.machines.items():
        findings += _machine_findings(name, machine, earlier_fleet, later_fleet)
    findings += [*_partition_findings(later_fleet), *_control_findings(later_fleet), *_release_findings(later_fleet)]
    findings += [*_stalled_findings(earlier_fleet, later_fleet), *_unacknowledged_findings(earlier_fleet, later_fleet)]
    # Several edges may report the same fault of a worker: only the first of these findings is kept.
    unique_findings: dict[tuple[str, str, str], Finding] = {}
    for finding in findings:
        unique_findings.setdefault((finding.code, finding.where.split(" ")[-1], finding.what), finding)
    return list(unique_findings.values())


def _machine_findings(
    name: str, machine: MachineStatus, earlier_fleet: FleetStatus, later_fleet: FleetStatus
) -> Iterator[Finding]:
    """Yields the faults of one machine that answers."""
    earlier_status = earlier_fleet.machines.get(name)
    was_behind = earlier_status is not None and earlier_status.revision == machine.revision < earlier_fleet.revision
    if machine.revision < later_fleet.revision and was_behind:
        yield Finding("D03", name, f"runs edition {machine.revision}, {later_fleet.revision} is in force",
                      "see whether it reaches control or any neighbour; restart it if it was frozen")  # fmt: skip
    configured = later_fleet.configuration["machines"][name]
    yield from _name_findings(name, machine, configured)
    yield from _settings_findings(name, machine, configured)
    uptime, earlier_uptime = _uptime(machine, 1.0), _uptime(earlier_status, -1.0)
    if uptime <= earlier_uptime and machine.control is None:
        yield Finding("D06", name, "its own clock did not move, or it restarted between the two snapshots",
                      "see its log; a frozen daemon must be woken or killed")  # fmt: skip
    if machine.store is not None:
        yield from _store_findings(name, machine.store)
    run = machine.most_silent_run
    if run is not None and run.silent_s > MAX_SILENT_S:
        yield Finding("D17", name, f"item {run.position} of job {run.job} has run at {run.worker} for {run.running_s:.0f} s, "
                      f"of which it sent nothing for the last {run.silent_s:.0f} s",
                      "look at this worker; if it is stuck, restart it: its items then go on elsewhere")  # fmt: skip
    yield from _idle_item_findings(name, machine.least_progress)
    for key, worker in machine.workers.items():
        if worker.blocked_reason.startswith("weights"):
            remedy = "load the right weights, or correct them in the manifest"
            yield Finding("D12", f"{name} {key}", worker.blocked_reason, remedy)


def _idle_item_findings(name: str, item: IdleItemStatus | None) -> Iterator[Finding]:
    """Yields a fault if an item makes no progress; that it waits for a free slot is none."""
    if item is None or item.idle_s <= MAX_IDLE_S or item.reason == WaitReason.NO_FREE_SLOT:
        return
    where = f"last at {item.worker}" if item.worker else "at no worker yet"
    why = f", because: {item.reason}" if item.reason else ""
    yield Finding("D18", name, f"item {item.position} of job {item.job} is {item.state}{why}; it has made no progress for "
                  f"{item.idle_s:.0f} s, after {item.silent_runs} silent runs, {where}",
                  "look at this worker and at what the reason names; restart the scheduler's daemon if the item stays")  # fmt: skip


def _uptime(machine: MachineStatus | None, default: float) -> float:
    return default if machine is None or machine.uptime_s is None else machine.uptime_s


def _name_findings(name: str, machine: MachineStatus, configured: Machine) -> Iterator[Finding]:
    """Yields a fault if another process answers at the machine's address, or uses its name."""
    if machine.name != name:
        yield Finding("D04", name, f"at {configured['http']} answers {machine.name}",
                      "two processes share an address or a name: correct one config")  # fmt: skip
    if machine.name_clash:
        yield Finding("D04", name, machine.name_clash, "two processes share a name: correct one config")


def _settings_findings(name: str, machine: MachineStatus, configured: Machine) -> Iterator[Finding]:
    """Yields a fault for each of the machine's own settings that differs from its entry in the configuration."""
    if machine.name != name:
        return
    remedy = "make config and manifest agree, then restart it or apply"
    configured_addresses = {"peer": configured["peer"], "http": configured["http"], "area": configured["area"]}
    for key, value in machine.addresses.items():
        if value != configured_addresses[key]:
            yield Finding(
                "D05", name, f"its config has {key} {value}, the manifest {configured_addresses[key]}", remedy
            )
    duties = [duty for duty in configured["duties"] if duty != "control"]
    if machine.duties is not None and sorted(machine.duties) != sorted(duties):
        what = f"its config has duties {list(machine.duties)}, the manifest {duties}"
        yield Finding("D05", name, what, remedy)


def _store_findings(name: str, store: StoreStatus) -> Iterator[Finding]:
    """Yields the faults of a store's disk, and of the replicas of the partitions that it owns."""
    if store.failure:
        yield Finding("D10", name, store.failure, "replace the disk; it is refilled from its peers")
    if store.free_bytes < max(store.size_bytes * MIN_FREE_SHARE, store.log_bytes * 2):
        yield Finding("D09", name, f"{store.free_bytes} of {store.size_bytes} bytes are free",
                      "give it a larger disk, shorten the retention, or retire the store")  # fmt: skip
    for partition in store.partitions:
        if partition.owning:
            yield from _owned_partition_findings(partition)


def _owned_partition_findings(partition: PartitionStatus) -> Iterator[Finding]:
    """Yields the faults that a partition's owner reports: replicas that don't answer or lag behind, and lost data.

    In the printed texts a mirror is a replica, and a lot is a job.
    """
    where = f"partition {partition.number}"
    for name, replica in partition.replicas.items():
        lag = partition.last - replica.persisted  # `last` is the number of the owner's last record
        if replica.silent:
            yield Finding("D07", where, f"mirror {name} is silent",
                          "start it, or declare it gone so that another takes its place")  # fmt: skip
        elif lag > MAX_REPLICA_LAG:
            yield Finding("D07", where, f"mirror {name} is {lag} records behind", "look at its disk and its links")
    if partition.losses:
        yield Finding("D13", where, f"more than is tolerated was lost, {partition.losses} time(s)",
                      "tell clients to look their lots up; see event E125 in the owner's log")  # fmt: skip


def _partition_findings(fleet: FleetStatus) -> Iterator[Finding]:
    """Yields the partitions without an owner, with too few members, or with a member whose new disk has no data yet."""
    owned_partitions = {row.partition.number: row.partition for row in fleet.owned_partitions()}
    wanted_members = fleet.configuration["copies"]
    for number in range(fleet.configuration["parts"]):
        where, partition = f"partition {number}", owned_partitions.get(number)
        if partition is None:
            yield Finding("D08", where, "has no owner", "start stores until most of its members run")
            continue
        members, replicas = partition.members, partition.replicas
        if len(members) < wanted_members:
            yield Finding("D08", where, f"has {len(members)} members, the manifest wants {wanted_members}",
                          "start or add stores; the owner takes them in once they are refilled")  # fmt: skip
        elif any(name in replicas and replicas[name].disk != disk for name, disk in members.items()):
            yield Finding("D08", where, "a member has a new disk and is not refilled yet", "wait; look again")


def _stalled_findings(earlier_fleet: FleetStatus, later_fleet: FleetStatus) -> Iterator[Finding]:
    """Yields the owned partitions in which no record became durably replicated between the snapshots, though some wait."""
    earlier_partitions = {(row.owner, row.partition.number): row.partition for row in earlier_fleet.owned_partitions()}
    for row in later_fleet.owned_partitions():
        partition, earlier_partition = row.partition, earlier_partitions.get((row.owner, row.partition.number))
        if earlier_partition is None or earlier_partition.epoch != partition.epoch:
            continue
        if earlier_partition.last > earlier_partition.covered == partition.covered:
            awaited = ", ".join(partition.awaited_members) or "nobody that is known"
            yield Finding("D15", f"partition {partition.number}",
                          f"covers nothing beyond {partition.covered} of {partition.last} at {row.owner}; waits for {awaited}",
                          "look at these stores, their disks and their links; jobs of this partition are not kept")  # fmt: skip


def _unacknowledged_findings(earlier_fleet: FleetStatus, later_fleet: FleetStatus) -> Iterator[Finding]:
    """Yields the partitions for which edges submitted jobs between the snapshots that were not acknowledged."""
    new_counts: Counter[int] = Counter()
    for name, machine in later_fleet.machines.items():
        earlier_status = earlier_fleet.machines.get(name)
        for number, count in machine.unkept_jobs.items():
            # A process that restarted between the snapshots counts from zero again.
            earlier_count = earlier_status.unkept_jobs.get(number, 0) if earlier_status is not None else count
            new_counts[number] += max(0, count - earlier_count)
    for number, count in sorted(new_counts.items()):
        if count:
            yield Finding("D16", f"partition {number}", f"{count} jobs were submitted just now and not acknowledged",
                          "event E174 in the logs of the edges names who was asked, and why it failed")  # fmt: skip


def _control_findings(fleet: FleetStatus) -> Iterator[Finding]:
    """Yields the faults of the control members, as each primary sees them."""
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
    """Yields the faults that a primary of control reports of its backups and voters, and lost revisions."""
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
    if problem := next_loss_problem(members):
        yield Finding("D11", "control", f"the next tolerated loss could not be borne: {problem}",
                      "bring the missing members back, or start new ones, before anything else is stopped")  # fmt: skip
    if primary["losses"]:
        yield Finding("D13", "control", f"acknowledged editions may have been lost, {primary['losses']} time(s)",
                      "compare the manifest in force with your file and apply again")  # fmt: skip


def _release_findings(fleet: FleetStatus) -> Iterator[Finding]:
    """Yields a fault if daemons of different releases run."""
    releases = Counter(machine.release for machine in fleet.machines.values())
    if len(releases) > 1:
        release_counts = ", ".join(f"{release}: {count}" for release, count in sorted(releases.items()))
        yield Finding("D14", "fleet", f"daemons of {len(releases)} releases run ({release_counts})",
                      "finish the roll-out, or roll it back")  # fmt: skip
