"""The data directory of a process: its log, and the identity under which its contents count for others.

File format
    The file `identity` is a JSON object: `disk`, the name that the directory got when it was formatted, and `format`,
    the highest number among the formats of its files (1 if left out). It is replaced atomically and synced
    (`Disk.write`), so a crash leaves the old or the new one. The log in the same directory is described in `segmented_log`; a control
    member also stores its promised epochs in `epochs`.

Formats
    `FORMAT` is written into a new directory. A process raises the number (`raise_format`) before it first writes
    something that older releases would misread; those refuse the directory then and leave it unchanged.

Damage
    A directory whose identity or log can't be read is formatted anew: its files get the prefix `damaged-`, and the new
    identity has a new name. Other processes count votes and acknowledgements by that name, so what the old directory had
    acknowledged is not counted for the new one until it has been refilled from other replicas.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from typing import Any

from postpass.runtime import log_events
from postpass.runtime.disk import Disk
from postpass.runtime.errors import Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.storage.segmented_log import SEGMENT_PREFIX, SNAPSHOT_PREFIX, SegmentedLog

IDENTITY_FILE = "identity"
EPOCHS_FILE_PREFIX = "epochs"
DAMAGED_PREFIX = "damaged-"
IDENTITY_BITS = 48  # random part of a directory's name
FORMAT = 2  # format of the files in a newly created directory
STATE_FORMAT = 3  # format with a control member's state as a log; releases up to 0.2.0 refuse such a directory


@dataclass(frozen=True)
class DataDirectory:
    """An opened data directory.

    Attributes:
        name: identity of the contents of the directory, not of the machine: a directory that was wiped or damaged gets
            another name, and has no vote under it until it has been refilled.
        fresh: whether the directory was formatted just now, and is empty.
        log: its log, ready for appends.
        entries: the entries that the log held when it was opened, in order.
    """

    name: str
    fresh: bool
    log: SegmentedLog
    entries: list[Any]


async def open_data_directory(
    process: str,
    disk: Disk,
    random_source: random.Random,
    segment_bytes: int,
    reserve: int,
    strict: bool = False,
    highest_format: int = FORMAT,
) -> DataDirectory:
    """Opens a data directory, or formats it if it is new or damaged.

    Parameters: `process` is the name of the process; `random_source` generates the identity; `segment_bytes`, `reserve`
    and `strict` are those of `SegmentedLog`; `highest_format` is the highest format that this process can read.

    Raises `FaultError`, without having changed anything, if the directory has a higher format.
    """
    log = SegmentedLog(process, disk, segment_bytes, reserve=reserve, strict=strict)
    names = disk.names()
    identity = _read_identity(process, disk, highest_format) if IDENTITY_FILE in names else ""
    if identity:
        try:
            return DataDirectory(identity, False, log, log.load())
        except FaultError as error:
            log_events.emit(Event.DISK_DAMAGED, process, step=error.fault.step, why=error.fault.why)
            log = SegmentedLog(process, disk, segment_bytes, reserve=reserve, strict=strict)
    _set_aside(disk, names)
    identity = f"{process}-{random_source.getrandbits(IDENTITY_BITS):012x}"
    await write_identity(disk, identity, FORMAT)
    log_events.emit(Event.DISK_FORMATTED, process, disk=identity)
    return DataDirectory(identity, True, log, [])


def _read_identity(process: str, disk: Disk, highest_format: int) -> str:
    """Returns the directory's name; empty if the file is unreadable. Raises `FaultError` for too high a format."""
    identity = ""
    try:
        record = json.loads(disk.read(IDENTITY_FILE))
        identity = str(record["disk"])
        if record.get("format", 1) > highest_format:
            reason = f"the folder has format {record['format']}, this release reads up to {highest_format}; nothing was touched"
            raise FaultError(Fault("open data folder", process, reason))
    except (ValueError, KeyError, TypeError):
        log_events.emit(Event.DISK_DAMAGED, process, file=IDENTITY_FILE, why="unreadable")
    return identity


def _set_aside(disk: Disk, names: list[str]) -> None:
    """Renames the files of a damaged directory, so that they are never read again; removes those renamed twice already."""
    for name in names:
        if name.startswith((SEGMENT_PREFIX, SNAPSHOT_PREFIX, EPOCHS_FILE_PREFIX)):
            disk.rename(name, f"{DAMAGED_PREFIX}{name}")
    for name in disk.names():
        if name.startswith(DAMAGED_PREFIX * 2):
            disk.remove(name)


async def write_identity(disk: Disk, name: str, format_number: int) -> None:
    """Replaces the directory's identity file: its name, and the format that its files have from now on."""
    await disk.write(IDENTITY_FILE, json.dumps({"disk": name, "format": format_number}).encode())


async def raise_format(disk: Disk, format_number: int) -> None:
    """Raises the format of an older directory; releases that can't read the new format refuse the directory from then on."""
    record = json.loads(disk.read(IDENTITY_FILE))
    if record.get("format", 1) < format_number:
        await write_identity(disk, str(record["disk"]), format_number)


def revoke_identity(disk: Disk) -> None:
    """Removes the directory's identity after a failed sync: the next start formats it, so that nothing in it counts."""
    try:
        disk.remove(IDENTITY_FILE)
    except OSError:
        # A disk that can't even remove a file is left as it is; the process ends.
        pass
