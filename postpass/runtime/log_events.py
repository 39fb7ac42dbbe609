"""Numbered log events: each log line of an event begins with the number of its kind.

To add an event: add a member with an unused number to `Event`, in numerical order, and its text to `DESCRIPTIONS`; then
regenerate the page `docs/events.md` with `python -m postpass.runtime.log_events`. A test checks that the page agrees
with this module. Numbers never change and are never reused; when a name changes, the old one stays in `FORMER_NAMES`.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from enum import IntEnum, unique
from pathlib import Path

from absl import logging

RECENT_EVENTS = 400


@unique
class Event(IntEnum):
    """The kinds of events, numbered by subject.

    The subjects are: 100 process and links, 110 disk, 120 partitions, 130 control, 140 configuration, 150 scheduling
    and workers, 160 live requests, 170 proxied requests.
    """

    STARTED = 100
    STOPPING = 101
    LINK_CLOSED = 102
    TASK_FAILED = 103
    HANDLER_FAILED = 104
    HANDING_OVER = 105
    WIRE_VERSION_MISMATCH = 106
    SEEDS_CHANGED = 107
    SETTINGS_REJECTED = 108
    CLIENT_LIMITED = 109
    DISK_FORMATTED = 110
    DISK_TORN_TAIL = 111
    DISK_DAMAGED = 112
    DISK_FAILED = 113
    DISK_FULL = 114
    OWNER_ELECTED = 120
    OWNER_STEPPED_DOWN = 121
    MIRROR_SILENT = 122
    MIRROR_REFILLED = 123
    MEMBERS_CHANGED = 124
    PARTITION_DATA_LOSS = 125
    OWNERSHIP_HANDED_OVER = 126
    COVER_STALLED = 127
    TENANT_HOME_READY = 128
    PRIMARY_ELECTED = 130
    PRIMARY_STEPPED_DOWN = 131
    BACKUP_CHANGED = 132
    CONTROL_DATA_LOSS = 133
    VOTER_ADMITTED = 134
    FLEET_FOUNDED = 135
    MACHINE_JOINED = 136
    MACHINE_DROPPED = 137
    ORDER_ACCEPTED = 138
    CONFIGURATION_CHANGED = 140
    CONFIGURATION_REJECTED = 141
    CONFIGURATION_VIEW_FRESH = 142
    ISOLATED = 143
    REVISION_IN_FORCE = 144
    CHANGE_MISMATCH = 145
    CHANGE_FAILED = 146
    ROUTES_NOT_APPLIED = 147
    SCHEDULER_STARTED = 150
    SCHEDULER_STOPPED = 151
    CAPACITY_RECLAIMED = 152
    WORKER_STATE_CHANGED = 153
    PLUGIN_FAILED = 154
    ITEM_RUN_SILENT = 155
    ITEM_RUN_FAILED = 156
    ITEM_FAILURE_COUNTED = 157
    ITEM_ABANDONED = 158
    REQUEST_BROKEN = 160
    REQUEST_CLAIMED = 161
    PROXY_BROKEN = 170
    WORKER_AVOIDED = 171
    PROXY_LATE = 172
    PROXY_REJECTED = 173
    JOB_NOT_KEPT = 174


DESCRIPTIONS: dict[Event, str] = {
    Event.STARTED: "A daemon serves; its duties and addresses follow.",
    Event.STOPPING: "SIGTERM or SIGINT was taken; open requests come to their end, then the process leaves.",
    Event.LINK_CLOSED: "An internal link was closed; step and peer follow. Foreign or oversized bytes end here too.",
    Event.TASK_FAILED: "A task of the daemon ended with an error it did not expect; the process ends, a primary or store at once.",
    Event.HANDLER_FAILED: "A message of a peer met an error in its handler; step and peer follow, the peer is told.",
    Event.HANDING_OVER: "This daemon leaves: what it owns, schedules or leads goes to another before it stops.",
    Event.WIRE_VERSION_MISMATCH: "A peer speaks no wire version that this release speaks; the link is closed.",
    Event.SEEDS_CHANGED: "The settings name other seeds, which are used from now on.",
    Event.SETTINGS_REJECTED: "The settings were read again and can't be used; the process goes on with what it had.",
    Event.CLIENT_LIMITED: "Clients met limits of the HTTP server, and were refused or disconnected; `limits` tells which, and how often since the last such line.",
    Event.DISK_FORMATTED: "A data folder was formatted; the disk has a new identity and votes only once refilled.",
    Event.DISK_TORN_TAIL: "A torn tail was cut from the last segment; nothing in it had been called synced.",
    Event.DISK_DAMAGED: "A file is damaged in the middle; it is set aside, nothing is served from it, peers refill.",
    Event.DISK_FAILED: "A sync failed; the data is not trusted again and the process leaves.",
    Event.DISK_FULL: "The disk is full, but for the space reserved for ends, results and trims.",
    Event.OWNER_ELECTED: "This store became a partition's owner under a new epoch.",
    Event.OWNER_STEPPED_DOWN: "This store is no longer a partition's owner: a higher epoch was seen.",
    Event.MIRROR_SILENT: "A mirror has not acknowledged for the silent bound; it left the memory stream.",
    Event.MIRROR_REFILLED: "A mirror is refilled from a snapshot.",
    Event.MEMBERS_CHANGED: "A partition's members changed; the record that says so is covered under both.",
    Event.PARTITION_DATA_LOSS: "More was lost than is tolerated: the partition resumes with the best log there is.",
    Event.OWNERSHIP_HANDED_OVER: "An owner handed its partition to the one that stands before it in the agreed order.",
    Event.COVER_STALLED: (
        "Records of a partition are not covered for the detection time; whose acknowledgements are missing follows."
    ),
    Event.PRIMARY_ELECTED: "This control machine is the primary of a new epoch.",
    Event.PRIMARY_STEPPED_DOWN: "This control machine is no longer the primary: a higher epoch was seen.",
    Event.BACKUP_CHANGED: "The primary took another backup, under a new epoch.",
    Event.CONTROL_DATA_LOSS: "Primary and backup lost their state: rebuilt from the newest revision that daemons hold.",
    Event.VOTER_ADMITTED: "A control machine with a new disk was admitted to vote.",
    Event.FLEET_FOUNDED: "The seeds have founded an announced fleet; its first control machines follow.",
    Event.MACHINE_JOINED: "A machine that announced itself is known to control.",
    Event.MACHINE_DROPPED: "Machines or workers not heard any more were dropped, or the number of copies was settled.",
    Event.ORDER_ACCEPTED: "An order of the operator was taken and is durable.",
    Event.CONFIGURATION_CHANGED: "A newer revision of the configuration is in force here.",
    Event.CONFIGURATION_REJECTED: "A configuration was rejected; the validation errors follow.",
    Event.CONFIGURATION_VIEW_FRESH: (
        "A started daemon's configuration view is proved fresh; only now does it take or place any work."
    ),
    Event.ISOLATED: "This daemon hears neither control nor any other daemon and gives no new work, or hears one again.",
    Event.REVISION_IN_FORCE: (
        "All that serve have said that they run a new revision, or some have not within the bound."
    ),
    Event.CHANGE_MISMATCH: (
        "A change of the control state did not fit the state replicated here; the complete state is asked for."
    ),
    Event.CHANGE_FAILED: (
        "A change of the control state met an unexpected error, and is refused; the other changes are written."
    ),
    Event.ROUTES_NOT_APPLIED: (
        "An edge can't derive its routes from a new revision, and goes on with those of the former one; the cause follows."
    ),
    Event.TENANT_HOME_READY: (
        "The new owner of a partition has heard from every edge what it holds of the limits of the partition's tenants."
    ),
    Event.SCHEDULER_STARTED: "This daemon schedules jobs from now on.",
    Event.SCHEDULER_STOPPED: ("This daemon schedules no longer: one before it in the order is back, or it is fenced."),
    Event.CAPACITY_RECLAIMED: "Batch items were cancelled at a worker to hand capacity back to live requests.",
    Event.WORKER_STATE_CHANGED: "A worker's state as seen here changed: up, down, leaving, odd weights, ramping.",
    Event.PLUGIN_FAILED: "A plug-in raised or answered nonsense; the default was taken.",
    Event.ITEM_RUN_SILENT: "A worker sent nothing for too long in the run of an item, which goes on at another one.",
    Event.ITEM_RUN_FAILED: "A worker answered the run of an item with a failure of its own. `run` identifies the run, `after` "
    "has the seconds since it began, `reused` tells whether its connection had carried other requests before.",
    Event.ITEM_FAILURE_COUNTED: "An owner counted a failed run of an item, which is tried again; `failures` are all so far.",
    Event.ITEM_ABANDONED: "An owner recorded items of a job as abandoned; the cause follows, and the run if it was one.",
    Event.REQUEST_BROKEN: "A live request's stream ended with an explicit error; step and peer follow.",
    Event.REQUEST_CLAIMED: "A request that may not be repeated was claimed, or refused because it had been.",
    Event.PROXY_BROKEN: "A proxied request may have run and got no complete answer; route, worker and cause follow.",
    Event.WORKER_AVOIDED: "A worker refused or broke a connection, or is another one; it is avoided for a moment.",
    Event.PROXY_LATE: "A proxied request was answered after its target, or with a longer pause than its route's gap. "
    "`chosen` tells why its worker was taken (home, least loaded, none free), `used` and `unread` the requests and the "
    "prompt tokens that were known there, `shared_load` whether the others' were known.",
    Event.PROXY_REJECTED: (
        "Proxied requests were rejected, none of which ran; their number by cause since the last such line."
    ),
    Event.JOB_NOT_KEPT: (
        "A job that was handed in got no acknowledgement; its partition, who was asked last and the cause follow."
    ),
}

# Names in the logs of releases up to 0.2.0, for searches in older logs.
FORMER_NAMES: dict[Event, str] = {
    Event.WIRE_VERSION_MISMATCH: "wire-unmet", Event.SEEDS_CHANGED: "seeds", Event.SETTINGS_REJECTED: "settings-bad",
    Event.DISK_FORMATTED: "disk-new", Event.DISK_TORN_TAIL: "disk-torn", Event.OWNER_ELECTED: "owner",
    Event.OWNER_STEPPED_DOWN: "owner-lost", Event.MIRROR_REFILLED: "mirror-refill", Event.MEMBERS_CHANGED: "members",
    Event.PARTITION_DATA_LOSS: "loss", Event.OWNERSHIP_HANDED_OVER: "handed-on", Event.PRIMARY_ELECTED: "primary",
    Event.PRIMARY_STEPPED_DOWN: "primary-lost", Event.BACKUP_CHANGED: "backup", Event.CONTROL_DATA_LOSS: "control-loss",
    Event.VOTER_ADMITTED: "voter", Event.FLEET_FOUNDED: "founded", Event.MACHINE_JOINED: "joined",
    Event.MACHINE_DROPPED: "dropped", Event.ORDER_ACCEPTED: "ordered", Event.CONFIGURATION_CHANGED: "manifest",
    Event.CONFIGURATION_REJECTED: "manifest-shed", Event.CONFIGURATION_VIEW_FRESH: "fresh", Event.ISOLATED: "deaf",
    Event.REVISION_IN_FORCE: "in-force", Event.CHANGE_MISMATCH: "change-unfit", Event.SCHEDULER_STARTED: "sched-on",
    Event.SCHEDULER_STOPPED: "sched-off", Event.CAPACITY_RECLAIMED: "loan-back", Event.WORKER_STATE_CHANGED: "worker",
    Event.PLUGIN_FAILED: "plug-failed", Event.REQUEST_BROKEN: "call-broken", Event.REQUEST_CLAIMED: "claim",
    Event.PROXY_BROKEN: "relay-broken", Event.PROXY_LATE: "relay-late", Event.PROXY_REJECTED: "relay-refused",
}  # fmt: skip

# Logged as warnings, since an operator has to deal with them.
WARNINGS = frozenset(
    {
        Event.TASK_FAILED,
        Event.DISK_DAMAGED,
        Event.DISK_FAILED,
        Event.PARTITION_DATA_LOSS,
        Event.CONTROL_DATA_LOSS,
        Event.CHANGE_FAILED,
        Event.ROUTES_NOT_APPLIED,
    }
)


@dataclass(frozen=True)
class CatalogueEntry:
    """A kind of event, as `docs/events.md` lists it. `former_name` equals `name` if the name never changed."""

    name: str
    former_name: str
    description: str


def _name_of(event: Event) -> str:
    return event.name.lower().replace("_", "-")


CATALOGUE: dict[int, CatalogueEntry] = {
    int(event): CatalogueEntry(_name_of(event), FORMER_NAMES.get(event, _name_of(event)), DESCRIPTIONS[event])
    for event in Event
}
# This process's latest events (number and text), oldest first, and the count of its events by number.
RECENT: deque[tuple[int, str]] = deque(maxlen=RECENT_EVENTS)
COUNTS: Counter[int] = Counter()


def emit(number: int, process: str, /, **details: object) -> None:
    """Logs and counts an event.

    Parameters: `number` is its kind, a member of `Event`; `process` is the name of the process that it concerns, or the
    address of the peer; `details` are appended to the line as `key=value`. Raises KeyError for a number that is not in
    the catalogue.
    """
    name = CATALOGUE[number].name
    details_text = " ".join(f"{key}={value}" for key, value in details.items())
    COUNTS[number] += 1
    RECENT.append((number, f"{process} {details_text}"))
    (logging.warning if number in WARNINGS else logging.info)("E%03d %s %s %s", number, name, process, details_text)


def catalogue() -> str:
    """Returns the contents of the page `docs/events.md`."""
    rows = "\n".join(
        f"| E{number:03d} | {entry.name} | {entry.former_name} | {entry.description} |"
        for number, entry in sorted(CATALOGUE.items())
    )
    return (
        "# Events\n\nEach line of a daemon's log that tells of an event begins with its number.\n\n"
        "The third column is the name in the logs of releases up to 0.2.0.\n\n"
        f"| number | name | name up to 0.2.0 | what it says |\n|---|---|---|---|\n{rows}\n"
    )


if __name__ == "__main__":
    (Path(__file__).parents[2] / "docs" / "events.md").write_text(catalogue())
