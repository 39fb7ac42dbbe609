"""Records the data of a release: `python -m tests.support.record_release FOLDER`, at the sources of that release.

FOLDER gets the directories of control machines and stores, `state.json` with what the release reads from them and writes
there, `formatted.json` with what a new directory gets, `frames.json` with messages between peers, and `keys.json` with the names of all of these.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from sim.disk import SimDisk
from tests.support import data_directories as directories
from tests.support.peer_frames import message_keys, samples
from tests.support.release_day import RecordedDay, play_release_day
from tests.support.release_keys import release_keys


def write_json(path: Path, thing: Any) -> None:
    """Writes a file that reads well in a comparison of two."""
    path.write_text(json.dumps(thing, indent=1) + "\n")


async def control_record(settings: directories.Json, disk: SimDisk) -> directories.Json:
    """What a control machine reads from its directory, and the files after that and after one change."""
    daemon = await directories.opened_control(settings, disk)
    opened = directories.digests(disk)
    state = directories.control_state(daemon)
    await directories.write_control_change(daemon)
    return {"settings": settings, "state": state, "opened": opened, "changed": directories.digests(disk)}


async def store_record(settings: directories.Json, disk: SimDisk) -> directories.Json:
    """What a store reads from its directory, and the files after that and after a snapshot."""
    store = await directories.opened_store(settings, disk)
    opened = directories.digests(disk)
    state = directories.store_state(store)
    await directories.write_store_snapshot(store)
    return {"settings": settings, "state": state, "opened": opened, "changed": directories.digests(disk)}


def record_directories(day: RecordedDay, folder: Path) -> directories.Json:
    """Saves the directories; what the release reads from copies of them."""
    told = {}
    for name, disk in day.disks.items():
        directories.save_disk(disk, folder / name)
        read = control_record if name.startswith("control") else store_record
        told[name] = asyncio.run(read(day.settings[name], directories.load_disk(folder / name)))
    return told


async def formatted_directories(day: RecordedDay) -> directories.Json:
    """The files that a new directory gets, by the kind of machine."""
    control, store = directories.disk_of({}), directories.disk_of({})
    await directories.opened_control(day.settings["control-primary"], control)
    await directories.opened_store(day.settings["store-1"], store)
    return {"control": directories.digests(control), "store": directories.digests(store)}


def record(folder: Path) -> None:
    """Writes all data of the running release."""
    folder.mkdir(parents=True)
    day = play_release_day()
    write_json(folder / "state.json", record_directories(day, folder))
    write_json(folder / "formatted.json", asyncio.run(formatted_directories(day)))
    write_json(folder / "frames.json", [frame.as_json() for frame in samples(day.frames)])
    write_json(folder / "keys.json", release_keys() | {"messages": message_keys(day.frames)})


if __name__ == "__main__":
    record(Path(sys.argv[1]))
