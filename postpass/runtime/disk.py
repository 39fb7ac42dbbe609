"""Files under one data folder, which last only once they are synced."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """What the daemons ask of a disk. Invariant: bytes count as kept only after `sync` has returned."""

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def append(self, name: str, data: bytes) -> None: ...
    async def sync(self, name: str) -> None: ...
    async def write(self, name: str, data: bytes) -> None: ...
    def cut(self, name: str, size: int) -> None: ...
    def remove(self, name: str) -> None: ...
    def rename(self, name: str, new: str) -> None: ...
    def room(self) -> tuple[int, int]: ...


@dataclass
class RealDisk:
    """Plain files. Invariant: `root` exists; file handles are opened for append and kept."""

    root: Path
    cap: int = 0

    def __post_init__(self) -> None:
        self.root.mkdir(parents=True, exist_ok=True)
        self.open: dict[str, int] = {}
        self.used = sum(f.stat().st_size for f in self.root.iterdir() if f.is_file())

    def names(self) -> list[str]:
        return sorted(f.name for f in self.root.iterdir() if f.is_file() and not f.name.endswith(".new"))

    def read(self, name: str) -> bytes:
        return (self.root / name).read_bytes()

    def _handle(self, name: str) -> int:
        if name not in self.open:
            fresh = not (self.root / name).exists()
            self.open[name] = os.open(self.root / name, os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o644)
            if fresh:
                self._sync_folder()
        return self.open[name]

    def _sync_folder(self) -> None:
        folder = os.open(self.root, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def append(self, name: str, data: bytes) -> None:
        if self.cap and self.used + len(data) > self.cap:
            raise OSError(28, "No space left under the configured disk_bytes")
        fd = self._handle(name)
        size = os.fstat(fd).st_size
        done = 0
        try:
            while done < len(data):
                done += os.write(fd, data[done:])
        except OSError:
            os.ftruncate(fd, size)
            raise
        self.used += len(data)

    async def sync(self, name: str) -> None:
        await asyncio.to_thread(os.fsync, self._handle(name))

    async def write(self, name: str, data: bytes) -> None:
        await asyncio.to_thread(self._replace, name, data)
        self.used = sum(f.stat().st_size for f in self.root.iterdir() if f.is_file())

    def _replace(self, name: str, data: bytes) -> None:
        temp = self.root / f"{name}.new"
        try:
            if self.cap and self.used + len(data) > self.cap:
                raise OSError(28, "No space left under the configured disk_bytes")
            with temp.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
        except OSError:
            temp.unlink(missing_ok=True)
            raise
        temp.replace(self.root / name)
        self._sync_folder()

    def _drop(self, name: str) -> None:
        fd = self.open.pop(name, None)
        if fd is not None:
            os.close(fd)

    def cut(self, name: str, size: int) -> None:
        self.used -= (self.root / name).stat().st_size - size
        os.truncate(self.root / name, size)

    def remove(self, name: str) -> None:
        self._drop(name)
        self.used -= (self.root / name).stat().st_size
        (self.root / name).unlink()

    def rename(self, name: str, new: str) -> None:
        self._drop(name)
        (self.root / name).rename(self.root / new)
        self._sync_folder()

    def room(self) -> tuple[int, int]:
        """Bytes free and in all."""
        if self.cap:
            return max(self.cap - self.used, 0), self.cap
        stat = os.statvfs(self.root)
        return stat.f_bavail * stat.f_frsize, stat.f_blocks * stat.f_frsize
