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

    disk, chance = SimDisk(random.Random(1)), random.Random(2)

    def opened() -> DataDirectory:
        return asyncio.run(open_data_directory("s1", disk, chance, 1 << 20, 0))

    first = opened()
    first.log.append([IDL.Entry(part=0, op="rec", seq=n, epoch=1, kind="t", body=b"x" * 50) for n in (1, 2, 3)])
    asyncio.run(first.log.sync())
    again = opened()
    assert (again.name, again.fresh, len(again.entries)) == (first.name, False, 3)
    disk.damage("log-00000000", 40)
    worse = opened()
    assert worse.fresh and worse.name != first.name and worse.entries == []
    assert "damaged-log-00000000" in disk.names()
    revoke_identity(disk)
    assert opened().name not in (first.name, worse.name)


def test_a_folder_of_a_later_format_is_refused_and_left_as_it_was() -> None:
    from sim.disk import SimDisk

    disk = SimDisk(random.Random(1))
    asyncio.run(open_data_directory("s1", disk, random.Random(2), 1 << 20, 0))
    later = json.dumps(json.loads(disk.read(IDENTITY_FILE)) | {"format": FORMAT + 1}).encode()
    asyncio.run(disk.write(IDENTITY_FILE, later))
    before = dict(disk.kept)
    try:
        asyncio.run(open_data_directory("s1", disk, random.Random(2), 1 << 20, 0))
    except FaultError as bad:
        assert (bad.fault.step, bad.fault.peer) == (
            "open data folder",
            "s1",
        ) and f"format {FORMAT + 1}" in bad.fault.why
    else:
        raise AssertionError("a later format was taken")
    assert disk.kept == before
