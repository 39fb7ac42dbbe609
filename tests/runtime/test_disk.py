"""Tests of postpass.runtime.disk."""

from __future__ import annotations

import asyncio
from pathlib import Path

from postpass.runtime.disk import RealDisk


def test_real_disk_keeps_replaces_and_caps(tmp_path: Path) -> None:
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
    except OSError as bad:
        assert bad.errno == 28
    else:
        raise AssertionError("a full disk took more")
    assert disk.read("log") == b"o"
    disk.rename("log", "bad-log")
    disk.remove("mark")
    assert RealDisk(tmp_path / "d").names() == ["bad-log"]
