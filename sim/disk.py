"""A simulated disk whose faults are a power loss, a complete loss, a lack of space, and slow or failing syncs."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from sim.loop import HOST, HostDead


@dataclass
class SimDisk:
    """Invariant: `kept` is what survives a power loss; `files` is what a running process reads.

    Attributes:
        chance: the source of random durations and of the length of torn tails.
        cap: the capacity in bytes.
        pace: the base duration of a sync or a write, in seconds.
        files: the contents of the files by name, with what has not been synced.
        kept: the synced contents of the files by name.
        fails: whether every sync and write raises an input/output error.
        stall: extra duration of each sync and write, in seconds.
        tap: is called with `starts.FILE` before a sync and with `synced.FILE` after it succeeded.
    """

    chance: random.Random
    cap: int = 64 << 20
    pace: float = 0.002
    files: dict[str, bytearray] = field(default_factory=dict)
    kept: dict[str, bytes] = field(default_factory=dict)
    fails: bool = False
    stall: float = 0.0
    tap: Callable[[str], None] = lambda _: None

    def _alive(self) -> None:
        """Raises `HostDead` if the current host is dead."""
        host = HOST.get()
        if host is not None and host.dead:
            raise HostDead

    def _notify(self, event: str, name: str) -> None:
        """Reports an event of a file under the part of its name before the first hyphen.

        Raises:
            HostDead: the host is dead; the reported event may have been what killed it.
        """
        self.tap(f"{event}.{name.partition('-')[0]}")
        self._alive()

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(2, "No such file", name)
        return bytes(self.files[name])

    def _check_space(self, size: int) -> None:
        """Raises `OSError` (ENOSPC) if `size` more bytes do not fit."""
        if sum(map(len, self.files.values())) + size > self.cap:
            raise OSError(28, "No space left on device")

    def append(self, name: str, data: bytes) -> None:
        self._alive()
        self._check_space(len(data))
        self.files.setdefault(name, bytearray()).extend(data)

    async def sync(self, name: str) -> None:
        self._notify("starts", name)
        size = len(self.files.get(name, b""))
        file = self.files.get(name)
        await asyncio.sleep(self.pace * (0.5 + self.chance.random()) + self.stall)
        if self.fails:
            raise OSError(5, "Input/output error")
        if file is not None and self.files.get(name) is file:
            self.kept[name] = bytes(file[:size])
        self._notify("synced", name)

    async def write(self, name: str, data: bytes) -> None:
        self._notify("starts", name)
        self._check_space(len(data))
        await asyncio.sleep(self.pace * (1 + self.chance.random()) + self.stall)
        if self.fails:
            raise OSError(5, "Input/output error")
        self.files[name] = bytearray(data)
        self.kept[name] = bytes(data)
        self._notify("synced", name)

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
        """Returns the free bytes and the capacity."""
        return max(self.cap - sum(map(len, self.files.values())), 0), self.cap

    # --- faults
    def power_off(self) -> None:
        """Drops what was not synced, except for a part of random length at the beginning of each unsynced tail."""
        for name, file in sorted(self.files.items()):
            synced_content = self.kept.get(name, b"")
            tail = bytes(file[len(synced_content) :]) if bytes(file[: len(synced_content)]) == synced_content else b""
            torn_tail = tail[: self.chance.randrange(len(tail) + 1)] if tail else b""
            self.kept[name] = synced_content + torn_tail
        self.files = {n: bytearray(b) for n, b in self.kept.items() if b}
        self.kept = {n: bytes(b) for n, b in self.files.items()}

    def wipe(self) -> None:
        """Loses all files."""
        self.files, self.kept = {}, {}

    def damage(self, name: str, place: int) -> None:
        """Inverts the byte at offset `place` of a file."""
        self.files[name][place] ^= 0xFF
        self.kept[name] = bytes(self.files[name])
