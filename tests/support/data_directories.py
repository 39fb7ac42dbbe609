"""Data directories: copies of recorded ones, what a daemon reads from them, and what it writes there."""

from __future__ import annotations

import base64
import hashlib
import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

from postpass.batch.job import JobView, decode_record
from postpass.configuration.settings import Settings
from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane import DataPlane
from postpass.membership.registry import with_parts
from postpass.replication.partition import Partition, latest_view
from postpass.replication.store import Store
from postpass.runtime.environment import Environment
from sim.announced import module
from sim.disk import SimDisk

Json = dict[str, Any]
# Small, so that a short run writes snapshots and folds records into bases.
SEGMENT_BYTES = 8192
BUFFER_BYTES = 8192
SEED = 7


def as_json(thing: Any) -> Any:
    """A value as it is after it was written as JSON and read again."""
    return json.loads(json.dumps(thing))


def digest(data: bytes) -> str:
    """Names some bytes."""
    return hashlib.sha256(data).hexdigest()


def configuration_of(settings: Json) -> Settings:
    """The process configuration of a settings file, with short segments and buffers."""
    made: Settings = module("settings").settings_of(settings["role"], settings).unwrap()
    return replace(made, segment_bytes=SEGMENT_BYTES, buffer_bytes=BUFFER_BYTES)


def disk_of(files: dict[str, bytes]) -> SimDisk:
    """A disk with these files, all of them synced."""
    disk = SimDisk(random.Random(SEED))
    disk.kept = dict(files)
    disk.files = {name: bytearray(data) for name, data in files.items()}
    return disk


def copied_disk(disk: SimDisk) -> SimDisk:
    """The files of a disk as they stand now."""
    return disk_of({name: disk.read(name) for name in disk.names()})


def load_disk(folder: Path) -> SimDisk:
    """A copy of a recorded directory; nothing is written to the record itself."""
    return disk_of({path.name: path.read_bytes() for path in sorted(folder.iterdir())})


def save_disk(disk: SimDisk, folder: Path) -> None:
    """Records a directory as it stands."""
    folder.mkdir(parents=True, exist_ok=True)
    for name in disk.names():
        (folder / name).write_bytes(disk.read(name))


def digests(disk: SimDisk) -> dict[str, str]:
    """What stands in each file of a directory."""
    return {name: digest(disk.read(name)) for name in disk.names()}


def environment_of(disk: SimDisk) -> Environment:
    """An environment with nothing but this disk."""
    return Environment(disk=disk, chance=random.Random(SEED))


# --- control
async def opened_control(settings: Json, disk: SimDisk) -> ControlPlane:
    """The daemon of a control machine that has read its directory."""
    daemon: ControlPlane = module("resident").daemon_of("core", configuration_of(settings), environment_of(disk))
    await daemon.open()
    return daemon


def control_state(daemon: ControlPlane) -> Json:
    """All that a control member holds on its disk."""
    image = daemon.journal.image
    assert image is not None
    told: Json = as_json(
        {
            "disk": daemon.disk_id,
            "witness": json.loads(daemon.vote_record.dump()),
            "position": image.position.as_json(),
            "held": daemon.replicated_state.as_json(),
        }
    )
    return told


async def write_control_change(daemon: ControlPlane) -> None:
    """Writes one change of the state, as a primary does at home."""
    held = daemon.replicated_state
    assert held.state.manifest is not None
    changed = with_parts(held.state, evacuated=[held.state.manifest["areas"][0]])
    await daemon.store(replace(held, state=replace(changed, revision=held.state.revision + 1)))


# --- stores
async def opened_store(settings: Json, disk: SimDisk) -> Store:
    """The store of a machine that has read its directory."""
    daemon: DataPlane = module("resident").daemon_of("store", configuration_of(settings), environment_of(disk))
    assert daemon.store is not None
    await daemon.store.open()
    return daemon.store


def view_state(view: JobView) -> Json:
    """Members, lots, their items and results."""
    body, raw = decode_record(view.dump())
    return body | {"bodies": base64.b64encode(raw).decode()}


def partition_state(part: Partition) -> Json:
    """All that a store holds of one partition on its disk."""
    record_log = part.record_log
    return {
        "promised": part.promised,
        "base": [record_log.base_seq, record_log.base_epoch],
        "records": [[record.seq, record.epoch, record.kind, digest(record.body)] for record in record_log.records],
        "persisted": part.persisted,
        "view": view_state(latest_view(record_log)),
    }


def store_state(store: Store) -> Json:
    """All that a store holds on its disk."""
    parts = {str(number): partition_state(part) for number, part in sorted(store.partitions.items())}
    told: Json = as_json({"disk": store.disk_id, "parts": parts})
    return told


async def write_store_snapshot(store: Store) -> None:
    """Writes a snapshot of all partitions in place of the log."""
    await store.log.compact(store.table.snapshot())
