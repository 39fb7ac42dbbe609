"""Files of one data directory, which last only once they are synced.

`Disk` is what daemons use; `RealDisk` is the file system, and the simulator has one that fails on purpose. Reads block the
event loop; syncs and replacements run in a thread.
"""

from __future__ import annotations

import asyncio
import errno
import os
import threading
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

TEMPORARY_SUFFIX = ".new"  # of a file that is being written; a crash may leave it behind, and nobody reads it


class Disk(Protocol):
    """What the daemons ask of a disk; all of it raises OSError, with ENOSPC if there is no space.

    Invariant: appended bytes are durable only after `sync` has returned.
    """

    def names(self) -> list[str]:
        """The files, sorted; without those that are being written."""
        ...

    def read(self, name: str) -> bytes:
        """A whole file, durable or not."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Adds bytes to a file, which is made if need be: all of them or, if it raises, none."""

    async def sync(self, name: str) -> None:
        """Makes durable what was appended to a file before the call."""

    async def write(self, name: str, data: bytes) -> None:
        """Replaces a file, durably: after a crash the old one is there or the new one, either complete."""

    def truncate(self, name: str, size: int) -> None:
        """Shortens a file to `size` bytes."""

    def remove(self, name: str) -> None:
        """Deletes a file."""

    def rename(self, name: str, new: str) -> None:
        """Gives a file another name."""

    def space(self) -> tuple[int, int]:
        """Bytes free, and in all."""
        ...


@dataclass
class RealDisk:
    """Plain files. Invariant: `root` exists; files are opened for append and stay open.

    A write waits for the disk as a sync does, and a disk may stall for seconds. With a capacity, whether appended bytes
    fit is known without the disk: they stay in memory until the next `sync`, whose thread writes them, and the event loop
    never waits. Without one only the write itself tells that there is no space, so that it is made at once.

    Attributes:
        root: the directory; it is made if need be.
        capacity: the most bytes that the files may take together; 0 for what the file system has.
        descriptors: open files by name.
        used: bytes that the files take, those in memory included.
        pending: appended bytes that aren't written yet, by file, in their order.
        writing: held by the one thread that writes and syncs.
    """

    root: Path
    capacity: int = 0

    def __post_init__(self) -> None:
        self.root.mkdir(parents=True, exist_ok=True)
        self.descriptors: dict[str, int] = {}
        self.pending: dict[str, deque[bytes]] = {}
        self.writing = threading.Lock()
        self.used = self._measure()

    def _measure(self) -> int:
        written = sum(f.stat().st_size for f in self.root.iterdir() if f.is_file())
        return written + sum(len(data) for parts in list(self.pending.values()) for data in list(parts))

    def names(self) -> list[str]:
        """The files, sorted; without those that are being written."""
        files = {f.name for f in self.root.iterdir() if f.is_file() and not f.name.endswith(TEMPORARY_SUFFIX)}
        return sorted(files | {name for name, parts in self.pending.items() if parts})

    def read(self, name: str) -> bytes:
        """A whole file, durable or not."""
        self._write_appended(name)
        return (self.root / name).read_bytes()

    def _descriptor(self, name: str) -> int:
        if name not in self.descriptors:
            is_new = not (self.root / name).exists()
            self.descriptors[name] = os.open(self.root / name, os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o644)
            if is_new:
                self._sync_directory()
        return self.descriptors[name]

    def _sync_directory(self) -> None:
        """Makes new and changed names durable."""
        directory = os.open(self.root, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def append(self, name: str, data: bytes) -> None:
        """Adds bytes to a file. What was written before an error is taken off again."""
        if self.capacity and self.used + len(data) > self.capacity:
            raise OSError(errno.ENOSPC, "No space left under the configured disk_bytes")
        if self.capacity:
            self.pending.setdefault(name, deque()).append(data)
        else:
            with self.writing:
                self._write_out(name, data)
        self.used += len(data)

    def _write_out(self, name: str, data: bytes) -> None:
        """Writes bytes to the end of a file: all of them, or none."""
        descriptor = self._descriptor(name)
        size = os.fstat(descriptor).st_size
        done = 0
        try:
            while done < len(data):
                done += os.write(descriptor, data[done:])
        except OSError:
            os.ftruncate(descriptor, size)
            raise

    def _write_pending(self, name: str) -> None:
        """Writes what was appended to a file; called by the holder of `writing`."""
        parts = self.pending.get(name, deque())
        taken = [parts.popleft() for _ in range(len(parts))]
        if taken:
            self._write_out(name, b"".join(taken))

    def _write_appended(self, name: str) -> None:
        """Writes what was appended to a file, for whoever needs the file itself; waits for the disk."""
        if self.pending.get(name):
            with self.writing:
                self._write_pending(name)

    async def sync(self, name: str) -> None:
        """Writes what was appended to a file and syncs it, in a thread."""
        await asyncio.to_thread(self._write_and_sync, name)

    def _write_and_sync(self, name: str) -> None:
        with self.writing:
            self._write_pending(name)
            os.fsync(self._descriptor(name))

    async def write(self, name: str, data: bytes) -> None:
        """Replaces a file, in a thread: a temporary file is written, synced and renamed, then the directory is synced."""
        await asyncio.to_thread(self._replace, name, data)
        self.used = self._measure()

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self.root / f"{name}{TEMPORARY_SUFFIX}"
        try:
            if self.capacity and self.used + len(data) > self.capacity:
                raise OSError(errno.ENOSPC, "No space left under the configured disk_bytes")
            with temporary.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
        except OSError:
            temporary.unlink(missing_ok=True)
            raise
        temporary.replace(self.root / name)
        self._sync_directory()

    def _close(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def truncate(self, name: str, size: int) -> None:
        """Shortens a file to `size` bytes."""
        self._write_appended(name)
        self.used -= (self.root / name).stat().st_size - size
        os.truncate(self.root / name, size)

    def remove(self, name: str) -> None:
        """Deletes a file."""
        self._write_appended(name)
        self._close(name)
        self.used -= (self.root / name).stat().st_size
        (self.root / name).unlink()

    def rename(self, name: str, new: str) -> None:
        """Renames a file and syncs the directory."""
        self._write_appended(name)
        self._close(name)
        (self.root / name).rename(self.root / new)
        self._sync_directory()

    def space(self) -> tuple[int, int]:
        """Bytes free, and in all: of the configured capacity, or else of the file system."""
        if self.capacity:
            return max(self.capacity - self.used, 0), self.capacity
        stat = os.statvfs(self.root)
        return stat.f_bavail * stat.f_frsize, stat.f_blocks * stat.f_frsize
