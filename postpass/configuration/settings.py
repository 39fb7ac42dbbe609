"""Settings of one process: a JSON file, with command-line flags laid over it.

To add a setting: give its key and type to `SettingsFile`, and its default and unit to the field of the same name in
`Settings` (or `Bounds`, for a promise in seconds); `parse` hands it over by that name. `schema.validation_errors` then rejects other
types and unknown keys; if not every value of the type will do, add a check to `parse` and a case to
`tests/configuration/test_settings.py`. A key that has another name here (`area`, `areas`, `tolerate`) is mapped at the
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


class BoundsFile(TypedDict, total=False):
    """Promises in seconds, all above 0; what is left out has the default of `Bounds`."""

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


class ToleranceFile(TypedDict, total=False):
    """How many machines with a disk, or whole areas, may be lost at once."""

    disks: int
    areas: int


class SettingsFile(TypedDict):
    """The file as it stands on disk. Addresses are IP:PORT."""

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
    """The promises in seconds. Every timer is a ratio of one of them.

    Invariants, checked in `tests/configuration/test_settings.py`:
    - beat * 3 <= detect: three beats are missed before a live owner is doubted.
    - beat * 5 / 2 + promise / 2 <= contact < detect * 9 / 10: one late word of a primary costs no member its contact, and
      a member without contact says so before it would back another primary.
    - detect + stagger * 5 + promise + refill <= recover: even the fifth in the order serves in time.
    - lease + poll <= end: an ended lot's items stop before its bound.
    - follow * 2 <= manifest: a daemon asks twice within the bound.
    - probe * 3 <= leave: a worker's leaving is read thrice within the bound.
    - acknowledge * 10 <= resend: an order is known again long after its sender must have had an answer.
    - follow * 2 < deaf < leave: who hears nobody is sure of it, and stops, before the leaving of a worker binds it.
    """

    end: float = 3.0
    leave: float = 2.0
    evacuate: float = 5.0
    manifest: float = 2.0
    recover: float = 12.0
    silent: float = 2.0
    acknowledge: float = 4.0  # inside which an operator's order is acknowledged in a calm time
    # Set by platforms that tell them; 0 where none does.
    sync: float = 0.0  # inside which a machine that is back counts again
    grace: float = 0.0  # from SIGTERM to the end of the process
    keep: float = 0.0  # how long a lot's results are read, from when it was sent

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
        """Within this time a follower goes on from a source that is stale to another."""
        return self.manifest / 10

    @property
    def stagger(self) -> float:
        """Seconds that each later candidate of the agreed order waits longer before it runs for election."""
        return self.recover / 24

    @property
    def drain(self) -> float:
        """How long calls under way may take to come to their end once the daemon was told to leave."""
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
        """How long an operator's order may be sent again and is known as one that was taken."""
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
    def probe(self) -> float:
        """Seconds between two probes of a worker."""
        return self.leave / 4


@dataclass(frozen=True)
class Settings:
    """Invariant: `data` is set for every process with the store duty and for every control process."""

    name: str
    zone: str
    peer: str
    http: str
    seeds: tuple[str, ...]
    duties: tuple[str, ...] = ()
    data: str = ""
    bounds: Bounds = field(default_factory=Bounds)
    # Nobody lists the machines: this one announces itself to control, which the seeds found if `bootstrap` is set and
    # their disks are blank.
    announce: bool = False
    bootstrap: bool = False
    zones: tuple[str, ...] = ()
    ready: str = ""  # IP:PORT at which readiness is told, beside `http`
    disks_lost: int = 1  # what may be lost at once
    zones_lost: int = 1
    beat: float = 1.0  # how often workers beat, in seconds
    # Memory for records not yet delivered everywhere; a mirror past it is refilled from the log.
    buffer_bytes: int = 4 << 20
    segment_bytes: int = 1 << 20
    # What the data folder may hold; zero: as much as the file system.
    disk_bytes: int = 0

    @property
    def tolerance(self) -> Tolerance:
        """What may be lost at once while every promise still holds."""
        return Tolerance(self.disks_lost, self.zones_lost)


def split(addr: str) -> tuple[str, int]:
    """Host and port of an address."""
    host, _, port = addr.rpartition(":")
    return host, int(port)


def address_errors(key: str, addr: str) -> list[str]:
    """What is wrong with an address, as a line that begins with its key; empty for IP:PORT by number."""
    host, _, port = addr.rpartition(":")
    good = host.count(".") == 3 and all(p.isdigit() and int(p) < 256 for p in host.split("."))
    good = good and port.isdigit() and 0 < int(port) < 65536
    return [] if good else [f"{key}: want IP:PORT by number, got {addr!r:.40}"]


def parse(raw: Any, want_data: bool = False) -> Result[Settings, list[str]]:
    """The settings that a JSON document holds, or all errors. `want_data` asks for a data directory in any case."""
    seen = validation_errors(SettingsFile, raw)
    if seen:
        return Err(seen)
    file = cast(SettingsFile, raw)
    seen = [
        *address_errors("peer", file["peer"]),
        *address_errors("http", file["http"]),
        *(address_errors("ready", file["ready"]) if file.get("ready") else []),
        *(f for i, s in enumerate(file["seeds"]) for f in address_errors(f"seeds[{i}]", s)),
    ]
    if len(file["seeds"]) != 3 and not file.get("announce"):
        seen.append(f"seeds: want three addresses, got {len(file['seeds'])}")
    elif not 1 <= len(file["seeds"]) <= 3:
        seen.append(f"seeds: want one to three addresses, got {len(file['seeds'])}")
    if not file["name"]:
        seen.append("name: want a name, got an empty string")
    if (want_data or "store" in file.get("duties", [])) and not file.get("data"):
        seen.append("data: missing, want a folder (the store duty and control processes keep files)")
    seen += [
        f"bounds.{k}: want a number above 0, got {v}"
        for k, v in file.get("bounds", {}).items()
        if not cast(float, v) > 0
    ]
    seen += [
        f"{k}: want at least {low}, got {file[k]}"  # type: ignore[literal-required]
        for k, low in (("buffer_bytes", 65536), ("segment_bytes", 4096), ("disk_bytes", 0))
        if k in file and file[k] < low  # type: ignore[literal-required]
    ]
    if seen:
        return Err(seen)
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
    """Reads the file and lays flags over it; every complaint names the file and the key."""
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
    return parse(raw, want_data).map_err(lambda seen: [f"{path or 'flags'}: {s}" for s in seen])
