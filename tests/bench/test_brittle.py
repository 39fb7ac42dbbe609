"""Tests of bench.brittle."""

from __future__ import annotations

import asyncio
from pathlib import Path

from bench.brittle import BrittleDisk


def test_what_was_not_synced_is_gone_with_the_process(tmp_path: Path) -> None:
    disk = BrittleDisk(tmp_path / "d")
    disk.append("log", b"one")
    asyncio.run(disk.sync("log"))
    disk.append("log", b"two")
    assert disk.read("log") == b"onetwo" and disk.names() == ["log"]
    assert BrittleDisk(tmp_path / "d").read("log") == b"one"
    (tmp_path / "d.room").write_text(f"4 {disk.used}")
    disk.append("log", b"1234")
    try:
        disk.append("log", b"5")
    except OSError as bad:
        assert bad.errno == 28 and disk.space()[0] == 0
    else:
        raise AssertionError("a full disk took more")
