"""A disk that loses whatever was not synced, loses everything, fills up, stalls or fails a sync."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from sim.loop import HOST, Gone


@dataclass
class SimDisk:
    """Invariant: `kept` is what survives the power; `files` is what a running process reads."""

    chance: random.Random
    cap: int = 64 << 20
    pace: float = 0.002
    files: dict[str, bytearray] = field(default_factory=dict)
    kept: dict[str, bytes] = field(default_factory=dict)
    fails: bool = False
    stall: float = 0.0
    tap: Callable[[str], None] = lambda _: None  # told of syncs that begin and that held

    def _alive(self) -> None:
        host = HOST.get()
        if host is not None and host.dead:
            raise Gone

    def _told(self, what: str, name: str) -> None:
        self.tap(f"{what}.{name.partition('-')[0]}")
        self._alive()

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(2, "No such file", name)
        return bytes(self.files[name])

    def _need(self, size: int) -> None:
        if sum(map(len, self.files.values())) + size > self.cap:
            raise OSError(28, "No space left on device")

    def append(self, name: str, data: bytes) -> None:
        self._alive()
        self._need(len(data))
        self.files.setdefault(name, bytearray()).extend(data)

    async def sync(self, name: str) -> None:
        self._told("starts", name)
        size = len(self.files.get(name, b""))
        file = self.files.get(name)
        await asyncio.sleep(self.pace * (0.5 + self.chance.random()) + self.stall)
        if self.fails:
            raise OSError(5, "Input/output error")
        if file is not None and self.files.get(name) is file:
            self.kept[name] = bytes(file[:size])
        self._told("synced", name)

    async def write(self, name: str, data: bytes) -> None:
        self._told("starts", name)
        self._need(len(data))
        await asyncio.sleep(self.pace * (1 + self.chance.random()) + self.stall)
        if self.fails:
            raise OSError(5, "Input/output error")
        self.files[name] = bytearray(data)
        self.kept[name] = bytes(data)
        self._told("synced", name)

    def truncate(self, name: str, size: int) -> None:
        self._alive()
        del self.files[name][size:]
        self.kept[name] = self.kept.get(name, b"")[:size]

    def remove(self, name: str) -> None:
        self._alive()
        del self.files[name]
        self.kept.pop(name, None)

    def rename(self, name: str, new: str) -> None:
        self._alive()
        self.files[new] = self.files.pop(name)
        self.kept[new] = self.kept.pop(name, b"")

    def space(self) -> tuple[int, int]:
        return max(self.cap - sum(map(len, self.files.values())), 0), self.cap

    # --- faults
    def power_off(self) -> None:
        """Keeps what was synced and, of each unsynced tail, some torn part."""
        for name, file in sorted(self.files.items()):
            kept = self.kept.get(name, b"")
            tail = bytes(file[len(kept) :]) if bytes(file[: len(kept)]) == kept else b""
            torn = tail[: self.chance.randrange(len(tail) + 1)] if tail else b""
            self.kept[name] = kept + torn
        self.files = {n: bytearray(b) for n, b in self.kept.items() if b}
        self.kept = {n: bytes(b) for n, b in self.files.items()}

    def wipe(self) -> None:
        self.files, self.kept = {}, {}

    def damage(self, name: str, place: int) -> None:
        self.files[name][place] ^= 0xFF
        self.kept[name] = bytes(self.files[name])
