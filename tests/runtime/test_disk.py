"""Tests of postpass.runtime.disk."""

from __future__ import annotations

import asyncio
import os
import threading
from pathlib import Path
from types import SimpleNamespace

import pytest

from postpass.runtime.disk import RealDisk


def test_a_disk_appends_replaces_renames_and_limits_its_size(tmp_path: Path) -> None:
    disk = RealDisk(tmp_path / "d", capacity=64)
    disk.append("log", b"one")
    asyncio.run(disk.sync("log"))
    asyncio.run(disk.write("mark", b"first"))
    asyncio.run(disk.write("mark", b"second"))
    assert (disk.names(), disk.read("mark"), disk.read("log")) == (["log", "mark"], b"second", b"one")
    disk.truncate("log", 1)
    assert disk.read("log") == b"o" and disk.space() == (64 - 7, 64)
    try:
        disk.append("log", b"x" * 64)
    except OSError as error:
        assert error.errno == 28
    else:
        raise AssertionError("a full disk accepted more bytes")
    assert disk.read("log") == b"o"
    disk.rename("log", "bad-log")
    disk.remove("mark")
    assert RealDisk(tmp_path / "d").names() == ["bad-log"]


def test_appended_bytes_are_read_renamed_and_removed_before_and_after_they_are_written(tmp_path: Path) -> None:
    disk = RealDisk(tmp_path / "d", capacity=64)
    disk.append("log", b"one")
    assert (disk.names(), disk.space()) == (["log"], (61, 64))
    assert disk.read("log") == b"one"
    disk.append("log", b"two")
    asyncio.run(disk.write("mark", b"m"))
    assert disk.space() == (64 - 7, 64)
    disk.rename("log", "old")
    assert (disk.names(), disk.read("old")) == (["mark", "old"], b"onetwo")
    disk.append("log", b"three")
    disk.truncate("log", 2)
    assert (disk.read("log"), disk.space()) == (b"th", (64 - 9, 64))
    disk.append("log", b"x")
    disk.remove("log")
    assert (disk.names(), disk.space()) == (["mark", "old"], (64 - 7, 64))
    asyncio.run(disk.sync("old"))
    assert RealDisk(tmp_path / "d").read("old") == b"onetwo"


def test_appends_keep_their_order_while_others_are_written(tmp_path: Path) -> None:
    async def main() -> None:
        disk = RealDisk(tmp_path / "d", capacity=1 << 20)
        syncs = []
        for number in range(200):
            disk.append("log", b"%04d" % number)
            if number % 7 == 0:
                syncs.append(asyncio.create_task(disk.sync("log")))
            await asyncio.sleep(0)
        await asyncio.gather(*syncs)
        await disk.sync("log")
        assert (tmp_path / "d" / "log").read_bytes() == b"".join(b"%04d" % number for number in range(200))
        assert disk.used == 800

    asyncio.run(main())


def test_a_stalled_disk_does_not_block_the_event_loop(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A stalled disk delays a write as well as a sync, so the event loop's thread must not wait for either."""
    disk_resumes, loop_thread, write, fsync = threading.Event(), threading.get_ident(), os.write, os.fsync

    def wait_for_the_disk() -> None:
        assert threading.get_ident() != loop_thread, "the event loop waits for the disk"
        assert disk_resumes.wait(10)

    def stalled_write(descriptor: int, data: bytes) -> int:
        wait_for_the_disk()
        return write(descriptor, data)

    def stalled_fsync(descriptor: int) -> None:
        wait_for_the_disk()
        fsync(descriptor)

    async def main() -> None:
        disk = RealDisk(tmp_path / "d", capacity=1 << 20)
        # Only the disk module's `os` is replaced: the event loop uses `os.write` too, for its own pipe.
        monkeypatch.setattr("postpass.runtime.disk.os", SimpleNamespace(**vars(os)))
        monkeypatch.setattr("postpass.runtime.disk.os.write", stalled_write)
        monkeypatch.setattr("postpass.runtime.disk.os.fsync", stalled_fsync)
        disk.append("log", b"one")
        synced = asyncio.create_task(disk.sync("log"))
        await asyncio.sleep(0.01)
        disk.append("log", b"two")
        await asyncio.sleep(0.01)
        assert not synced.done()
        disk_resumes.set()
        await synced
        await disk.sync("log")
        assert (tmp_path / "d" / "log").read_bytes() == b"onetwo"

    asyncio.run(main())
