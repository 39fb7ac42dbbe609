"""Settings of one process: a JSON file, whose values command-line flags override.

To add a setting: add its key and type to `SettingsFile`, and its default and unit to the field of the same name in
`Settings` (or in `Bounds`, for a guaranteed time in seconds); `parse` passes it on by that name.
`schema.validation_errors` then rejects other types and unknown keys; if some values of the type are invalid, add a
check to `_value_errors` and a case to `tests/configuration/test_settings.py`. A key whose field has another name
(`area`, `areas`, `tolerate`) is mapped at the end of `parse`. The documentation for operators is `docs/operators.md`. Values
that
the whole fleet shares are no settings, but part of the configuration (see `configuration_check`).
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, Literal, NotRequired, TypedDict, cast

from result import Err, Ok, Result

from postpass.configuration.schema import validation_errors
from postpass.membership.safe_change import Tolerance

# Fields of `Bounds` that may be 0; all others must be above 0.
MAY_BE_ZERO = ("sync", "grace", "keep", "quota_excess", "quota_extra")
MINIMUM_VALUES = (
    ("buffer_bytes", 65536), ("segment_bytes", 4096), ("disk_bytes", 0), ("memory_bytes", 1), ("descriptors", 1),
)  # fmt: skip


class BoundsFile(TypedDict, total=False):
    """Bounds, in seconds except `quota_excess` and `quota_extra`; those left out have the defaults of `Bounds`."""

    end: float
    leave: float
    evacuate: float
    manifest: float
    recover: float
    silent: float
    sync: float
    grace: float
    keep: float
    acknowledge: float
    quota_window: float
    quota_excess: float
    quota_extra: float


class ToleranceFile(TypedDict, total=False):
    """How many machines with a disk, or how many complete zones (`areas`), may be lost at once."""

    disks: int
    areas: int


class SettingsFile(TypedDict):
    """The contents of the settings file. Addresses are IP:PORT; `Settings` describes all other keys.

    :ivar area: the zone of the machine.
    :ivar areas: all zones of the fleet.
    :ivar tolerate: what may be lost at once without breaking any guarantee.
    """

    name: str
    area: str
    peer: str
    http: str
    seeds: list[str]
    duties: NotRequired[list[Literal["edge", "sched", "store"]]]
    data: NotRequired[str]
    bounds: NotRequired[BoundsFile]
    announce: NotRequired[bool]
    bootstrap: NotRequired[bool]
    areas: NotRequired[list[str]]
    ready: NotRequired[str]
    tolerate: NotRequired[ToleranceFile]
    beat: NotRequired[float]
    buffer_bytes: NotRequired[int]
    segment_bytes: NotRequired[int]
    disk_bytes: NotRequired[int]
    memory_bytes: NotRequired[int]
    descriptors: NotRequired[int]


@dataclass(frozen=True)
class Bounds:
    """The guaranteed bounds, in seconds unless stated otherwise. Every timer is a fixed fraction or multiple of one.

    :ivar end: the longest time from the end of a job to the last start of one of its items.
    :ivar leave: the longest time from the order that a worker leave to the last request that is sent to it.
    :ivar evacuate: the longest time from the evacuation of a zone to the last request that is started there.
    :ivar manifest: the longest time from the acceptance of a configuration until every daemon has applied it.
    :ivar recover: the longest time from the loss of an owner or a primary until another one serves in its place.
    :ivar silent: the longest time until it is noticed that a peer has fallen silent; no timer depends on it.
    :ivar acknowledge: the longest time until an operator's order is acknowledged while there are no failures.
    :ivar sync: the longest time until a machine that has returned counts again; 0 where no platform sets it.
    :ivar grace: the longest time from SIGTERM to the end of the process; 0 where no platform sets it.
    :ivar keep: how long a job's results can be read, from when it was sent; 0 where no platform sets it.
    :ivar quota_window: a tenant's requests are counted against its limit over any period of this length.
    :ivar quota_excess: the fraction of its limit by which a tenant's requests may exceed it; 0 or more.
    :ivar quota_extra: the number of requests by which they may exceed it in addition; 0 or more.

    Invariants, checked in `tests/configuration/test_settings.py`:
    - heartbeat_interval * 3 <= detection_time: three heartbeats are missed before a live owner is suspected.
    - heartbeat_interval * 5 / 2 + sync_request_limit / 2 <= contact_lease < detection_time * 9 / 10: no member loses
      contact because of one late heartbeat of the primary, and a member without contact reports that before it would
      vote for another primary.
    - detection_time + candidate_delay * 5 + sync_request_limit + refill_time <= recover: even the fifth candidate in
      the order serves within the bound.
    - item_lease + scheduling_pause <= end: the items of an ended job stop within its bound.
    - feed_interval * 2 <= manifest: a daemon polls twice within the bound.
    - overtaken_silence_limit < silence_limit < longest_silence_limit, and longest_silence_limit + silence_check_interval +
      scheduling_pause <= recover: an item whose answer is lost runs again within the bound, however often that happens.
    - probe_interval * 3 <= leave: a worker's state is read three times within the bound.
    - acknowledge * 10 <= resend_period: an order is still recognised long after its sender must have received an
      answer.
    - feed_interval * 2 < isolation_time < leave: a daemon that hears no other establishes that it is isolated, and
      stops giving new work, before it must have heard that a worker leaves.
    """

    end: float = 3.0
    leave: float = 2.0
    evacuate: float = 5.0
    manifest: float = 2.0
    recover: float = 12.0
    silent: float = 2.0
    acknowledge: float = 4.0
    sync: float = 0.0
    grace: float = 0.0
    keep: float = 0.0
    quota_window: float = 5.0
    quota_excess: float = 0.1
    quota_extra: float = 20.0

    @property
    def heartbeat_interval(self) -> float:
        """The interval, in seconds, between heartbeats of the owner of a partition or of the primary of control."""
        return self.recover / 40

    @property
    def detection_time(self) -> float:
        """The failure detection time: seconds of silence after which an owner or primary is suspected to be down."""
        return self.recover / 8

    @property
    def contact_lease(self) -> float:
        """The lease of a control member: seconds for which it is in contact after the last message of the primary."""
        return self.detection_time * 5 / 6

    @property
    def turn(self) -> float:
        """Seconds within which a follower turns from a stale source to another one."""
        return self.manifest / 10

    @property
    def pause_threshold(self) -> float:
        """Seconds without a run of the event loop after which a process counts as having stood still. It is less than
        the time for which senders of orders and workers' heartbeats wait, and more than the longest computation."""
        return self.detection_time / 3

    @property
    def candidate_delay(self) -> float:
        """Seconds that each candidate waits longer than the one before it in the agreed order, before its election."""
        return self.recover / 24

    @property
    def drain_time(self) -> float:
        """Seconds that open requests have to finish after the daemon was told to stop."""
        return self.recover * 2

    @property
    def leave_notice(self) -> float:
        """Seconds that a stopping daemon without proxied routes waits, so that others notice that it leaves."""
        return self.leave / 2

    @property
    def sync_request_limit(self) -> float:
        """The time limit, in seconds, of a request between peers that ends with a disk sync."""
        return self.recover / 12

    @property
    def resend_period(self) -> float:
        """Seconds for which an operator's order may be sent again and is recognised as already accepted."""
        return self.acknowledge * 60

    @property
    def refill_time(self) -> float:
        """Seconds within `recover` in which a new owner fetches the records that it is missing."""
        return self.recover / 3

    @property
    def item_lease(self) -> float:
        """Seconds for which a scheduler may run items of a partition, counted from its request to the owner."""
        return self.end / 3

    @property
    def silence_limit(self) -> float:
        """Seconds without a byte from its worker after which the first run of an item is given up."""
        return self.recover / 2

    @property
    def overtaken_silence_limit(self) -> float:
        """The same if the worker has meanwhile completed an item that it got later."""
        return self.recover / 6

    @property
    def longest_silence_limit(self) -> float:
        """The same after any number of silent runs of the item, whose limit grows with each."""
        return self.recover * 5 / 6

    @property
    def silence_check_interval(self) -> float:
        """Seconds between two checks of whether the worker of an item is silent."""
        return self.recover / 24

    @property
    def isolation_time(self) -> float:
        """Seconds without contact to any other daemon after which a daemon is isolated."""
        return self.leave * 3 / 4

    @property
    def scheduling_pause(self) -> float:
        """The longest pause, in seconds, between two scheduling rounds of a scheduler."""
        return self.end / 12

    @property
    def feed_interval(self) -> float:
        """Seconds between polls of the configuration feed; also the time limit of a request that is answered at once."""
        return self.manifest / 4

    @property
    def load_exchange_interval(self) -> float:
        """Seconds between two exchanges of the workers' load among edges."""
        return self.leave / 25

    @property
    def probe_interval(self) -> float:
        """Seconds between two probes of a worker."""
        return self.leave / 4


@dataclass(frozen=True)
class Settings:
    """The settings of one process.

    Invariant: `data` is set for every process with the store duty and for every control process.

    :ivar peer: IP:PORT at which this process accepts links from its peers.
    :ivar http: IP:PORT for clients and operators.
    :ivar seeds: peer addresses of the processes from which it learns about all others.
    :ivar data: the data directory; empty if the process stores nothing.
    :ivar announce: whether this machine announces itself to control, instead of being listed by the operator.
    :ivar bootstrap: in an announced fleet, whether the seeds may found a control group if their disks are blank.
    :ivar zones: all zones of an announced fleet.
    :ivar ready: IP:PORT of a second endpoint for readiness, in addition to `http`; empty for none.
    :ivar disks_lost: how many machines with a disk may be lost at once.
    :ivar zones_lost: how many zones may be lost at once.
    :ivar beat: seconds between two heartbeats of a worker.
    :ivar buffer_bytes: memory for records that aren't delivered to every replica yet; a replica that is behind by more
        is refilled from the log.
    :ivar segment_bytes: the size of a segment of the log.
    :ivar disk_bytes: the most bytes that the data directory may take; 0 for all that the file system has.
    :ivar memory_bytes: the memory that the process may use; what clients may occupy of it is a share.
    :ivar descriptors: the file descriptors that the process may use; what clients may occupy of them is a share.
    """

    name: str
    zone: str
    peer: str
    http: str
    seeds: tuple[str, ...]
    duties: tuple[str, ...] = ()
    data: str = ""
    bounds: Bounds = field(default_factory=Bounds)
    announce: bool = False
    bootstrap: bool = False
    zones: tuple[str, ...] = ()
    ready: str = ""
    disks_lost: int = 1
    zones_lost: int = 1
    beat: float = 1.0
    buffer_bytes: int = 4 << 20
    segment_bytes: int = 1 << 20
    disk_bytes: int = 0
    memory_bytes: int = 300 << 20
    descriptors: int = 4096

    @property
    def tolerance(self) -> Tolerance:
        """What may be lost at once without breaking any guarantee."""
        return Tolerance(self.disks_lost, self.zones_lost)


def split_address(addr: str) -> tuple[str, int]:
    """Returns the host and the port of an address (HOST:PORT)."""
    host, _, port = addr.rpartition(":")
    return host, int(port)


def address_errors(key: str, addr: str) -> list[str]:
    """Returns the errors of an address, as lines that begin with `key`; empty if it is a numeric IP:PORT."""
    host, _, port = addr.rpartition(":")
    is_valid = host.count(".") == 3 and all(p.isdigit() and int(p) < 256 for p in host.split("."))
    is_valid = is_valid and port.isdigit() and 0 < int(port) < 65536
    return [] if is_valid else [f"{key}: want IP:PORT by number, got {addr!r:.40}"]


def _seed_errors(file: SettingsFile) -> list[str]:
    count = len(file["seeds"])
    if count != 3 and not file.get("announce"):
        return [f"seeds: want three addresses, got {count}"]
    return [] if 1 <= count <= 3 else [f"seeds: want one to three addresses, got {count}"]


def _bounds_errors(bounds: dict[str, float]) -> list[str]:
    errors = [
        f"bounds.{key}: want a number above 0, got {value}"
        for key, value in bounds.items()
        if key not in MAY_BE_ZERO and not value > 0
    ]
    return errors + [
        f"bounds.{key}: want 0 or more, got {value}"
        for key, value in bounds.items()
        if key in MAY_BE_ZERO and not value >= 0
    ]


def _value_errors(file: SettingsFile, want_data: bool) -> list[str]:
    """Returns the errors in the values of a file that has the right shape."""
    errors = [
        *address_errors("peer", file["peer"]),
        *address_errors("http", file["http"]),
        *(address_errors("ready", file["ready"]) if file.get("ready") else []),
        *(e for i, seed in enumerate(file["seeds"]) for e in address_errors(f"seeds[{i}]", seed)),
        *_seed_errors(file),
    ]
    if not file["name"]:
        errors.append("name: want a name, got an empty string")
    if (want_data or "store" in file.get("duties", [])) and not file.get("data"):
        errors.append("data: missing, want a folder (the store duty and control processes keep files)")
    errors += _bounds_errors(cast(dict[str, float], file.get("bounds", {})))
    values = cast(dict[str, Any], file)
    return errors + [
        f"{key}: want at least {minimum}, got {values[key]}"
        for key, minimum in MINIMUM_VALUES
        if key in values and values[key] < minimum
    ]


def parse(raw: Any, want_data: bool = False) -> Result[Settings, list[str]]:
    """Returns the settings in a JSON document, or all errors.

    With `want_data` a data directory is required, whatever the duties are.
    """
    errors = validation_errors(SettingsFile, raw)
    if errors:
        return Err(errors)
    file = cast(SettingsFile, raw)
    errors = _value_errors(file, want_data)
    if errors:
        return Err(errors)
    same_named: Any = {
        k: v for k, v in file.items() if k not in ("bounds", "seeds", "duties", "area", "areas", "tolerate")
    }
    tolerance = file.get("tolerate", {})
    return Ok(
        Settings(
            zone=file["area"],
            seeds=tuple(file["seeds"]),
            duties=tuple(file.get("duties", [])),
            bounds=Bounds(**file.get("bounds", {})),
            zones=tuple(file.get("areas", [])),
            disks_lost=tolerance.get("disks", 1),
            zones_lost=tolerance.get("areas", 1),
            **same_named,
        )
    )


def load(path: str, flags: dict[str, Any], want_data: bool = False) -> Result[Settings, list[str]]:
    """Returns the settings of the file at `path`, overridden by the flags that aren't None.

    Without a path the flags alone are the settings. Each error names the file and the key.
    """
    if not path:
        raw: Any = {}
    else:
        try:
            with open(path, encoding="utf-8") as file:
                raw = json.load(file)
        except OSError as error:
            return Err([f"{path}: cannot be read: {error.strerror}"])
        except ValueError as error:
            return Err([f"{path}: not JSON: {error}"])
    if isinstance(raw, dict):
        raw = raw | {k: v for k, v in flags.items() if v is not None}
    return parse(raw, want_data).map_err(lambda errors: [f"{path or 'flags'}: {e}" for e in errors])
