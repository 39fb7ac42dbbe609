"""The files of one data directory, whose contents are durable only once they are synced.

`Disk` is the interface that daemons use; `RealDisk` implements it on the file system, and the simulator has an
implementation that injects failures. Reads block the event loop; syncs and replacements run in a thread.
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

TEMPORARY_SUFFIX = ".new"  # of a file that is being written; one that a crash leaves behind is never read


class Disk(Protocol):
    """The disk operations that daemons use. All of them raise OSError, with errno ENOSPC if there is no space.

    Invariant: appended bytes are durable only after `sync` has returned.
    """

    def names(self) -> list[str]:
        """Returns the names of the files, sorted, without those that are being written."""
        ...

    def read(self, name: str) -> bytes:
        """Returns the contents of a file, including bytes that aren't durable yet."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Appends bytes to a file, which is created if needed: all of them or, if it raises, none."""

    async def sync(self, name: str) -> None:
        """Makes all bytes durable that were appended to a file before the call."""

    async def write(self, name: str, data: bytes) -> None:
        """Replaces a file durably and atomically: after a crash either the old or the new contents are complete."""

    def truncate(self, name: str, size: int) -> None:
        """Shortens a file to `size` bytes."""

    def remove(self, name: str) -> None:
        """Deletes a file."""

    def rename(self, name: str, new: str) -> None:
        """Renames a file."""

    def space(self) -> tuple[int, int]:
        """Returns the number of free bytes, and of all bytes."""
        ...


@dataclass
class RealDisk:
    """A disk of plain files. Invariant: `root` exists; files are opened for append and stay open.

    A write waits for the disk just as a sync does, and a disk may stall for seconds. With a capacity, it is known
    without the disk whether appended bytes fit: they stay in memory until the next `sync`, whose thread writes them, so
    that the event loop never waits. Without a capacity only the write itself shows that there is no space, so appended
    bytes are written at once.

    Attributes:
        root: the directory; it is created if needed.
        capacity: the most bytes that all files together may take; 0 for all that the file system has.
        descriptors: the descriptors of open files, by name.
        used: the bytes that all files take, including those in memory.
        pending: appended bytes that aren't written yet, by file, in the order of the appends.
        writing: the lock of the one thread that writes and syncs.
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
        return written + sum(len(data) for chunks in list(self.pending.values()) for data in list(chunks))

    def names(self) -> list[str]:
        """Returns the names of the files, sorted, without those that are being written."""
        files = {f.name for f in self.root.iterdir() if f.is_file() and not f.name.endswith(TEMPORARY_SUFFIX)}
        return sorted(files | {name for name, chunks in self.pending.items() if chunks})

    def read(self, name: str) -> bytes:
        """Returns the contents of a file, including bytes that aren't durable yet."""
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
        """Makes created and renamed directory entries durable."""
        directory = os.open(self.root, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def append(self, name: str, data: bytes) -> None:
        """Appends bytes to a file. If writing fails, the part that was written is removed again."""
        if self.capacity and self.used + len(data) > self.capacity:
            raise OSError(errno.ENOSPC, "No space left under the configured disk_bytes")
        if self.capacity:
            self.pending.setdefault(name, deque()).append(data)
        else:
            with self.writing:
                self._write_out(name, data)
        self.used += len(data)

    def _write_out(self, name: str, data: bytes) -> None:
        """Writes bytes to the end of a file: all of them or, if it raises, none."""
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
        """Writes the pending bytes of a file; the lock `writing` must be held."""
        chunks = self.pending.get(name, deque())
        data = [chunks.popleft() for _ in range(len(chunks))]
        if data:
            self._write_out(name, b"".join(data))

    def _write_appended(self, name: str) -> None:
        """Writes the pending bytes of a file, for an operation on the file itself; waits for the disk."""
        if self.pending.get(name):
            with self.writing:
                self._write_pending(name)

    async def sync(self, name: str) -> None:
        """Writes the pending bytes of a file and syncs it, in a thread."""
        await asyncio.to_thread(self._write_and_sync, name)

    def _write_and_sync(self, name: str) -> None:
        with self.writing:
            self._write_pending(name)
            os.fsync(self._descriptor(name))

    async def write(self, name: str, data: bytes) -> None:
        """Replaces a file, in a thread: writes, syncs and renames a temporary file, then syncs the directory."""
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
        """Returns the free and the total bytes: of the capacity if there is one, else of the file system."""
        if self.capacity:
            return max(self.capacity - self.used, 0), self.capacity
        stat = os.statvfs(self.root)
        return stat.f_bavail * stat.f_frsize, stat.f_blocks * stat.f_frsize
