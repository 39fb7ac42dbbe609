"""The page that `postpassctl status` shows, as pure functions of the machines' status pages."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from postpass.cli.status_page import FleetStatus, MachineStatus, OwnedPartition
from postpass.configuration.configuration import Machine
from postpass.control.health import health_lines


def pending(fleet: FleetStatus) -> list[str]:
    """Returns a line for each operation that the configuration asks for: whether it is complete, or what it waits for.

    There is no line for the configuration itself once all machines run the revision in force.
    """
    owned = {o.partition.number: o for o in fleet.owned_partitions()}
    lines = [
        _removal_line(fleet, name, machine, owned)
        for name, machine in fleet.configuration["machines"].items()
        if machine.get("retire") or machine.get("gone")
    ]
    lines += [_evacuation_line(fleet, zone, owned) for zone in fleet.configuration.get("evacuated", [])]
    behind = sorted(name for name, machine in fleet.machines.items() if machine.revision < fleet.revision)
    if behind:
        lines.append(f"edition {fleet.revision}: pending at {', '.join(behind)}")
    return lines


def _removal_line(fleet: FleetStatus, name: str, machine: Machine, owned: Mapping[int, OwnedPartition]) -> str:
    """Returns the progress of retiring a machine, or of replacing one that was declared gone, as one line."""
    operation = "retire" if machine.get("retire") else "gone"
    member_of = sorted(number for number, o in owned.items() if name in o.partition.members)
    if member_of:
        return f"{operation} {name}: pending, still a member of partitions {member_of}"
    without_owner = fleet.configuration["parts"] - len(owned)
    if without_owner:
        return f"{operation} {name}: pending, {without_owner} partitions have no owner that could tell"
    unsynced = sorted(number for number, o in owned.items() if machine.get("retire") and not o.partition.fully_synced)
    if unsynced:
        return f"{operation} {name}: pending, not all members of partitions {unsynced} have synced that it left"
    return f"{operation} {name}: complete, no partition counts on it"


def _evacuation_line(fleet: FleetStatus, zone: str, owned: Mapping[int, OwnedPartition]) -> str:
    """Returns the progress of evacuating a zone, as one line."""
    configuration = fleet.configuration
    edges_with_requests = 0
    for machine in fleet.machines.values():
        for key, worker in machine.workers.items():
            pool, server = key.split("/")[:2]
            # A worker that is no longer in the configuration is in no zone.
            server_entry = configuration["pools"][pool]["servers"].get(server) if worker.requests else None
            edges_with_requests += server_entry is not None and server_entry["area"] == zone
    owned_in_zone = sorted(number for number, o in owned.items() if configuration["machines"][o.owner]["area"] == zone)
    if edges_with_requests or owned_in_zone:
        return f"evacuate {zone}: pending, {edges_with_requests} edges still have calls there, partitions owned there: {owned_in_zone}"
    return f"evacuate {zone}: complete"


def overview(fleet: FleetStatus) -> list[str]:
    """Returns the lines of the page: machines, control members, partitions, and the operations in progress."""
    lines = [
        f"manifest {fleet.configuration['name']} edition {fleet.revision}",
        "",
        f"{'machine':10} {'area':8} {'edition':>7} {'release':>8} duties / state",
        *(_machine_line(fleet, name) for name in fleet.names),
    ]
    members = fleet.control_members()
    lines += ["", *health_lines(members)] if members else []
    lines += [
        "",
        f"{'part':>4} {'owner':8} {'epoch':>5} {'last':>7} {'covered':>7} {'lots':>5} {'open':>5} members (behind)",
    ]
    rows = sorted(fleet.owned_partitions(), key=lambda row: (row.partition.number, row.owner))
    lines += [_partition_line(row) for row in rows]
    without_owner = sorted(set(range(fleet.configuration["parts"])) - {row.partition.number for row in rows})
    if without_owner:
        lines.append(f"NO OWNER: partitions {without_owner}")
    operations = pending(fleet)
    return lines + (["", *operations] if operations else [])


def _machine_line(fleet: FleetStatus, name: str) -> str:
    """Returns a machine as a row of the table."""
    zone = fleet.configuration["machines"][name]["area"]
    if name in fleet.unreachable:
        return f"{name:10} {zone:8} {'-':>7} {'-':>8} UNREACHABLE {fleet.unreachable[name]}"
    machine = fleet.machines[name]
    state = " ".join(_machine_state(name, machine))
    return f"{name:10} {zone:8} {machine.revision:>7} {machine.release:>8} {state}"


def _machine_state(name: str, machine: MachineStatus) -> list[str]:
    """Returns the duties of a machine, its role in control, and why it isn't ready if it isn't."""
    labels = list(machine.duties or ()) or ["control"]
    if machine.control:
        labels = ["control", f"epoch {machine.control['epoch']}", _control_role(name, machine.control)]
        if machine.control["losses"]:
            labels.append(f"LOSSES {machine.control['losses']}")
    if machine.running_jobs is not None:
        labels.append(f"scheduling, {machine.running_jobs} running")
    if machine.unready_reason:
        labels.append(f"NOT READY: {machine.unready_reason}")
    return labels


def _control_role(name: str, control: Mapping[str, Any]) -> str:
    """Returns a control member's role; releases up to 0.2.0 report `backup`, a single name, instead of `backups`."""
    if control["leads"]:
        return "primary"
    return "backup" if name in control.get("backups", [control["backup"]]) else "witness"


def _partition_line(row: OwnedPartition) -> str:
    """Returns a partition as a row of the table, with the number of records by which each member lags behind."""
    partition = row.partition

    def member(name: str) -> str:
        if name == row.owner:
            return name
        replica = partition.replicas.get(name)
        return f"{name} ({'silent' if replica is None else partition.last - replica.persisted})"

    members = ", ".join(member(name) for name in partition.members)
    losses = f" LOSSES {partition.losses}" if partition.losses else ""
    return (
        f"{partition.number:>4} {row.owner:8} {partition.epoch:>5} {partition.last:>7} {partition.covered:>7} "
        f"{partition.jobs:>5} {partition.open_jobs:>5} {members}{losses}"
    )
