"""Tests of postpass.storage.segmented_log."""

from __future__ import annotations

import asyncio
from typing import Any

from postpass.rpc.codec import IDL
from postpass.runtime.errors import NO_SPACE, FaultError
from postpass.storage.segmented_log import SegmentedLog


def _entry(seq: int, body: bytes = b"x") -> Any:
    return IDL.Entry(part=0, op="rec", seq=seq, epoch=1, kind="t", body=body)


def test_a_torn_tail_is_cut_and_damage_in_the_middle_is_a_fault() -> None:
    import random

    from sim.disk import SimDisk

    disk = SimDisk(random.Random(3))
    log = SegmentedLog("s1", disk)
    log.append([_entry(n, b"body%d" % n) for n in range(1, 6)])
    asyncio.run(log.sync())
    synced_bytes = len(disk.read("log-00000000"))
    log.append([_entry(6)])
    disk.files["log-00000000"] = disk.files["log-00000000"][: synced_bytes + 9]
    reopened = SegmentedLog("s1", disk)
    assert [e.seq for e in reopened.load()] == [1, 2, 3, 4, 5]
    assert len(disk.read("log-00000000")) == synced_bytes
    disk.damage("log-00000000", synced_bytes // 2)
    try:
        SegmentedLog("s1", disk).load()
    except FaultError as error:
        assert "log-00000000 is damaged at byte" in error.fault.why
    else:
        raise AssertionError("the damage was not detected")


def test_snapshots_replace_older_segments_and_only_vital_entries_use_the_reserve() -> None:
    import random

    from sim.disk import SimDisk

    disk = SimDisk(random.Random(1), cap=2100)
    log = SegmentedLog("s1", disk, reserve=1000)
    log.append([_entry(n, b"y" * 100) for n in range(1, 4)], vital=False)
    asyncio.run(log.compact(iter([_entry(3)])))
    log.append([_entry(4)])
    assert disk.names() == ["log-00000001", "snap-00000001"]
    assert [e.seq for e in SegmentedLog("s1", disk).load()] == [3, 4]
    try:
        log.append([_entry(5, b"z" * 900)], vital=False)
    except FaultError as error:
        assert error.fault.code == NO_SPACE
    else:
        raise AssertionError("an entry that is not vital used the reserved bytes")
    log.append([_entry(5, b"z" * 900)], vital=True)
    disk.fails = True
    try:
        asyncio.run(log.sync())
    except FaultError as error:
        assert "sync of log-00000001 failed" in error.fault.why
    try:
        log.append([_entry(6)])
    except FaultError as error:
        assert "failed" in error.fault.why
    else:
        raise AssertionError("an append succeeded after a failed sync")
