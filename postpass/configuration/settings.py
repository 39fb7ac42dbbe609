"""Settings of one process: a JSON file, with command-line flags laid over it.

To add a setting: give its key and type to `SettingsFile`, and its default and unit to the field of the same name in
`Settings` (or `Bounds`, for a promise in seconds); `parse` hands it over by that name. `schema.validation_errors` then
rejects other types and unknown keys; if not every value of the type will do, add a check to `_value_errors` and a case
to `tests/configuration/test_settings.py`. A key that has another name here (`area`, `areas`, `tolerate`) is mapped at the
end of `parse`. Operators read about it in `docs/operators.md`. What the whole fleet shares is not a setting but part of
the configuration (see `configuration_check`).
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, Literal, NotRequired, TypedDict, cast

from result import Err, Ok, Result

from postpass.configuration.schema import validation_errors
from postpass.membership.safe_change import Tolerance

# Figures of `Bounds` that may be 0; all others are above it.
MAY_BE_ZERO = ("sync", "grace", "keep", "quota_excess", "quota_extra")
MINIMUM_BYTES = (("buffer_bytes", 65536), ("segment_bytes", 4096), ("disk_bytes", 0))


class BoundsFile(TypedDict, total=False):
    """Promises, in seconds but for the excess and the extra; what is left out has the default of `Bounds`."""

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
    """How many machines with a disk, or whole zones (`areas`), may be lost at once."""

    disks: int
    areas: int


class SettingsFile(TypedDict):
    """The file as it stands on disk. Addresses are IP:PORT; `Settings` says what each key means.

    :ivar area: the zone of the machine.
    :ivar areas: all zones of the fleet.
    :ivar tolerate: what may be lost at once while every promise still holds.
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


@dataclass(frozen=True)
class Bounds:
    """The promises, in seconds where nothing else is said. Every timer is a ratio of one of them.

    :ivar end: from the end of a job to the last start of one of its items.
    :ivar leave: from when a worker is told to leave to the last request that it is given.
    :ivar evacuate: from when a zone is evacuated to the last request that is started there.
    :ivar manifest: from when a configuration is accepted until every daemon follows it.
    :ivar recover: from the loss of an owner or a primary until another serves in its place.
    :ivar silent: until a silence is noticed; no timer depends on it.
    :ivar acknowledge: until an operator's order is acknowledged in a calm time.
    :ivar sync: until a machine that is back counts again; 0 where no platform sets it.
    :ivar grace: from SIGTERM to the end of the process; 0 where no platform sets it.
    :ivar keep: for which a job's results are read, from when it was sent; 0 where no platform sets it.
    :ivar quota_window: over any time of this length, a tenant's requests are counted against its limit.
    :ivar quota_excess: by which share of its limit a tenant's requests may go over it; 0 or more.
    :ivar quota_extra: by how many requests they may, beside that; 0 or more.

    Invariants, checked in `tests/configuration/test_settings.py`:
    - beat * 3 <= detect: three heartbeats are missed before a live owner is suspected.
    - beat * 5 / 2 + promise / 2 <= contact < detect * 9 / 10: one late heartbeat of a primary costs no member its contact, and
      a member without contact says so before it would back another primary.
    - detect + stagger * 5 + promise + refill <= recover: even the fifth in the order serves in time.
    - lease + poll <= end: an ended job's items stop before its bound.
    - follow * 2 <= manifest: a daemon polls twice within the bound.
    - probe * 3 <= leave: a worker's state is read thrice within the bound.
    - acknowledge * 10 <= resend: an order is known again long after its sender must have had an answer.
    - follow * 2 < deaf < leave: who hears nobody is sure of it, and stops, before the leaving of a worker binds it.
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
    def beat(self) -> float:
        """Seconds between two heartbeats of the owner of a partition or the primary of control."""
        return self.recover / 40

    @property
    def detect(self) -> float:
        """Seconds of silence after which an owner or primary is suspected."""
        return self.recover / 8

    @property
    def contact(self) -> float:
        """The lease time of a control member: for how long it counts as in touch after it last heard the primary."""
        return self.detect * 5 / 6

    @property
    def turn(self) -> float:
        """Seconds within which a follower goes on from a source that is stale to another."""
        return self.manifest / 10

    @property
    def stagger(self) -> float:
        """Seconds that each later candidate of the agreed order waits longer before it runs for election."""
        return self.recover / 24

    @property
    def drain(self) -> float:
        """Seconds that requests under way may take to come to their end once the daemon was told to leave."""
        return self.recover * 2

    @property
    def hand(self) -> float:
        """Seconds that a leaving daemon without proxied routes leaves to others to notice it, before it stops."""
        return self.leave / 2

    @property
    def promise(self) -> float:
        """Time limit of a request between peers that ends with a sync."""
        return self.recover / 12

    @property
    def resend(self) -> float:
        """Seconds for which an operator's order may be sent again and is known as one that was accepted."""
        return self.acknowledge * 60

    @property
    def refill(self) -> float:
        """Seconds that `recover` leaves for an owner to fetch what it lacks."""
        return self.recover / 3

    @property
    def lease(self) -> float:
        """Seconds for which a scheduler may run the items of a partition, from when it asked the owner for them."""
        return self.end / 3

    @property
    def deaf(self) -> float:
        """Seconds after which a daemon that hears no other counts as isolated."""
        return self.leave * 3 / 4

    @property
    def poll(self) -> float:
        """The longest pause, in seconds, between two rounds of a scheduler."""
        return self.end / 12

    @property
    def follow(self) -> float:
        """Seconds between two polls of the configuration feed, and the time limit of a quick request."""
        return self.manifest / 4

    @property
    def exchange(self) -> float:
        """Seconds between two exchanges of the load of workers."""
        return self.leave / 25

    @property
    def probe(self) -> float:
        """Seconds between two probes of a worker."""
        return self.leave / 4


@dataclass(frozen=True)
class Settings:
    """The settings of one process.

    Invariant: `data` is set for every process with the store duty and for every control process.

    :ivar peer: IP:PORT for links between processes.
    :ivar http: IP:PORT for clients and operators.
    :ivar seeds: peer addresses of processes from which it finds the others.
    :ivar data: the data directory; empty if it keeps nothing.
    :ivar announce: nobody lists the machines: this one announces itself to control.
    :ivar bootstrap: in an announced fleet, the seeds may found control if their disks are blank.
    :ivar zones: all zones of an announced fleet.
    :ivar ready: IP:PORT at which readiness is told, beside `http`; empty for none.
    :ivar disks_lost: machines with a disk that may be lost at once.
    :ivar zones_lost: zones that may be lost at once.
    :ivar beat: seconds between two heartbeats of a worker.
    :ivar buffer_bytes: memory for records not yet delivered to every replica; one that is behind by more is refilled from
        the log.
    :ivar segment_bytes: the size of a segment of the log.
    :ivar disk_bytes: what the data directory may hold; 0: as much as the file system.
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

    @property
    def tolerance(self) -> Tolerance:
        """What may be lost at once while every promise still holds."""
        return Tolerance(self.disks_lost, self.zones_lost)


def split_address(addr: str) -> tuple[str, int]:
    """Host and port of an address."""
    host, _, port = addr.rpartition(":")
    return host, int(port)


def address_errors(key: str, addr: str) -> list[str]:
    """What is wrong with an address, as a line that begins with its key; empty for IP:PORT by number."""
    host, _, port = addr.rpartition(":")
    good = host.count(".") == 3 and all(p.isdigit() and int(p) < 256 for p in host.split("."))
    good = good and port.isdigit() and 0 < int(port) < 65536
    return [] if good else [f"{key}: want IP:PORT by number, got {addr!r:.40}"]


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
    """What is wrong with the values of a file of the right shape."""
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
        for key, minimum in MINIMUM_BYTES
        if key in values and values[key] < minimum
    ]


def parse(raw: Any, want_data: bool = False) -> Result[Settings, list[str]]:
    """The settings that a JSON document holds, or all errors. `want_data` asks for a data directory in any case."""
    errors = validation_errors(SettingsFile, raw)
    if errors:
        return Err(errors)
    file = cast(SettingsFile, raw)
    errors = _value_errors(file, want_data)
    if errors:
        return Err(errors)
    rest: Any = {k: v for k, v in file.items() if k not in ("bounds", "seeds", "duties", "area", "areas", "tolerate")}
    lost = file.get("tolerate", {})
    return Ok(
        Settings(
            zone=file["area"],
            seeds=tuple(file["seeds"]),
            duties=tuple(file.get("duties", [])),
            bounds=Bounds(**file.get("bounds", {})),
            zones=tuple(file.get("areas", [])),
            disks_lost=lost.get("disks", 1),
            zones_lost=lost.get("areas", 1),
            **rest,
        )
    )


def load(path: str, flags: dict[str, Any], want_data: bool = False) -> Result[Settings, list[str]]:
    """Reads the file and lays flags over it; every error names the file and the key."""
    if not path:
        raw: Any = {}
    else:
        try:
            with open(path, encoding="utf-8") as file:
                raw = json.load(file)
        except OSError as bad:
            return Err([f"{path}: cannot be read: {bad.strerror}"])
        except ValueError as bad:
            return Err([f"{path}: not JSON: {bad}"])
    if isinstance(raw, dict):
        raw = raw | {k: v for k, v in flags.items() if v is not None}
    return parse(raw, want_data).map_err(lambda errors: [f"{path or 'flags'}: {e}" for e in errors])
