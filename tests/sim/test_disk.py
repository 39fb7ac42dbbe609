"""Tests of sim.disk."""

from __future__ import annotations

import asyncio
import random

from sim.disk import SimDisk


def test_power_loss_keeps_what_was_synced_and_never_more_than_was_written() -> None:
    for seed in range(20):
        disk = SimDisk(random.Random(seed))
        disk.append("log", b"synced")
        asyncio.run(disk.sync("log"))
        disk.append("log", b"-torn")
        disk.append("new", b"x")
        disk.power_off()
        assert disk.read("log").startswith(b"synced") and b"synced-torn".startswith(disk.read("log"))
        disk.wipe()
        assert disk.names() == []
