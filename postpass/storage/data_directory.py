"""A data folder with its identity, made when it is first formatted."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from typing import Any

from postpass.runtime import log_events
from postpass.runtime.disk import Disk
from postpass.runtime.errors import Fault, Stop
from postpass.storage.segmented_log import SegmentedLog

MARK = "identity"
FORMAT = 2  # of the files in a folder that is made now
STATE_FORMAT = 3  # of a folder of control whose state is a log; releases up to 0.2.0 leave it alone


@dataclass(frozen=True)
class DataDirectory:
    """Invariant: `name` names the bytes in the folder, not the machine: a wiped or damaged folder gets
    another one, and with it loses its vote until it has been refilled."""

    name: str
    fresh: bool
    log: SegmentedLog
    entries: list[Any]


async def open_data_directory(
    who: str,
    disk: Disk,
    chance: random.Random,
    segment: int,
    held: int,
    strict: bool = False,
    reads: int = FORMAT,
) -> DataDirectory:
    """Opens or formats a data folder. Damaged files are set aside by name and never served from.

    `strict` is the log's; `reads` is the highest format that the caller reads.
    """
    log = SegmentedLog(who, disk, segment, held=held, strict=strict)
    names = disk.names()
    ident = ""
    if MARK in names:
        try:
            mark = json.loads(disk.read(MARK))
            ident = str(mark["disk"])
            if mark.get("format", 1) > reads:
                why = f"the folder has format {mark['format']}, this release reads up to {reads}; nothing was touched"
                raise Stop(Fault("open data folder", who, why))
        except (ValueError, KeyError, TypeError):
            log_events.emit(112, who, file=MARK, why="unreadable")
    entries: list[Any] = []
    if ident:
        try:
            entries = log.load()
        except Stop as bad:
            log_events.emit(112, who, step=bad.fault.step, why=bad.fault.why)
            ident = ""
            log = SegmentedLog(who, disk, segment, held=held, strict=strict)
    if not ident:
        for name in names:
            if name.startswith(("log-", "snap-", "epochs")):
                disk.rename(name, f"damaged-{name}")
        old = [n for n in disk.names() if n.startswith("damaged-damaged-")]
        for name in old:
            disk.remove(name)
        ident = f"{who}-{chance.getrandbits(48):012x}"
        await mark_format(disk, ident, FORMAT)
        log_events.emit(110, who, disk=ident)
        return DataDirectory(ident, True, log, [])
    return DataDirectory(ident, False, log, entries)


async def mark_format(disk: Disk, name: str, number: int) -> None:
    """Writes the folder's identity with the format that its files have from now on."""
    await disk.write(MARK, json.dumps({"disk": name, "format": number}).encode())


async def raise_format(disk: Disk, number: int) -> None:
    """Marks an older folder, which releases that don't read the format then leave alone."""
    mark = json.loads(disk.read(MARK))
    if mark.get("format", 1) < number:
        await mark_format(disk, str(mark["disk"]), number)


def distrust(disk: Disk) -> None:
    """After a failed sync nothing in the folder may vote again."""
    try:
        disk.remove(MARK)
    except OSError:
        pass
