"""Tests of postpass.storage.data_directory."""

from __future__ import annotations

import asyncio
import json
import random

from postpass.runtime.errors import FaultError
from postpass.storage.data_directory import FORMAT, IDENTITY_FILE, DataDirectory, open_data_directory, revoke_identity


def test_a_damaged_folder_gets_a_new_identity_and_its_files_are_set_aside() -> None:
    from postpass.rpc.codec import IDL
    from sim.disk import SimDisk

    disk, random_source = SimDisk(random.Random(1)), random.Random(2)

    def open_directory() -> DataDirectory:
        return asyncio.run(open_data_directory("s1", disk, random_source, 1 << 20, 0))

    first = open_directory()
    first.log.append([IDL.Entry(part=0, op="rec", seq=n, epoch=1, kind="t", body=b"x" * 50) for n in (1, 2, 3)])
    asyncio.run(first.log.sync())
    reopened = open_directory()
    assert (reopened.name, reopened.fresh, len(reopened.entries)) == (first.name, False, 3)
    disk.damage("log-00000000", 40)
    after_damage = open_directory()
    assert after_damage.fresh and after_damage.name != first.name and after_damage.entries == []
    assert "damaged-log-00000000" in disk.names()
    revoke_identity(disk)
    assert open_directory().name not in (first.name, after_damage.name)


def test_a_folder_of_a_later_format_is_refused_and_left_unchanged() -> None:
    from sim.disk import SimDisk

    disk = SimDisk(random.Random(1))
    asyncio.run(open_data_directory("s1", disk, random.Random(2), 1 << 20, 0))
    later = json.dumps(json.loads(disk.read(IDENTITY_FILE)) | {"format": FORMAT + 1}).encode()
    asyncio.run(disk.write(IDENTITY_FILE, later))
    before = dict(disk.kept)
    try:
        asyncio.run(open_data_directory("s1", disk, random.Random(2), 1 << 20, 0))
    except FaultError as error:
        assert (error.fault.step, error.fault.peer) == (
            "open data folder",
            "s1",
        ) and f"format {FORMAT + 1}" in error.fault.why
    else:
        raise AssertionError("a directory of a later format was opened")
    assert disk.kept == before
