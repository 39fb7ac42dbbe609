"""An append-only log in numbered segment files, together with a snapshot that replaces the older segments.

A store keeps one log for all of its partitions; a control member keeps one for the replicated state.

File format
    `log-NNNNNNNN` is segment N, `snap-NNNNNNNN` the snapshot that replaces every segment below N. Both are a sequence
    of frames: payload length and CRC-32 of the payload, each an unsigned 32-bit integer in network order (`HEAD`), and
    then the payload, a thrift `Entry` (`postpass/rpc/idl/peer.thrift`). The last frame of a snapshot is an entry with
    the operation `sealed`; a snapshot without it is damaged.

What is synced when
    `append` writes to the current segment and returns at once; the bytes are durable only after the next `sync`, which
    covers all that was appended before it began (group commit). Whoever promises durability waits with `wait_synced` for the
    offset that `append` returned. A snapshot is written to a temporary file, synced and renamed (`Disk.write`); the
    files it replaces are removed only after that.

Why a torn write is harmless
    A loss of power can leave part of the bytes that were appended after the last sync. Those were never reported as
    durable, so `load` truncates the segment at the first frame that is short or does not match its checksum. This is
    done in the last segment only, and only if no complete frame follows: anything else is damage to bytes that had been
    synced, which raises `FaultError`, and the data directory is then formatted anew (see `data_directory`).
"""

from __future__ import annotations

import asyncio
import errno
import struct
import zlib
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NoReturn

from postpass.rpc.codec import IDL, pack, unpack
from postpass.runtime import log_events
from postpass.runtime.disk import Disk
from postpass.runtime.errors import NO_SPACE, PEER_FAILED, Fault, FaultError
from postpass.runtime.log_events import Event

HEAD = struct.Struct("!II")  # length of the payload, its CRC-32
MAXIMUM_ENTRY_BYTES = 64 << 20
DEFAULT_SEGMENT_BYTES = 1 << 20
SEGMENT_PREFIX = "log-"
SNAPSHOT_PREFIX = "snap-"
SEALED = "sealed"  # operation of the entry that ends a snapshot


def encode_frame(entry: Any) -> bytes:
    """Encodes an `IDL.Entry` as a frame of a file: head and payload."""
    payload = pack(entry)
    return HEAD.pack(len(payload), zlib.crc32(payload)) + payload


def read_entries(data: bytes) -> tuple[list[Any], int]:
    """Returns the complete entries from the start of a file, and the offset at which the last of them ends."""
    entries: list[Any] = []
    offset = 0
    while offset + HEAD.size <= len(data):
        size, checksum = HEAD.unpack_from(data, offset)
        payload = data[offset + HEAD.size : offset + HEAD.size + size]
        # No entry is empty. Without this check, zeros that a file system may leave after the tail would be read as one.
        if size == 0 or size > MAXIMUM_ENTRY_BYTES or len(payload) < size or zlib.crc32(payload) != checksum:
            break
        entries.append(unpack(IDL.Entry, payload))
        offset += HEAD.size + size
    return entries, offset


def is_complete_but_damaged(data: bytes, offset: int) -> bool:
    """Returns whether there is a frame of full length with a wrong checksum at an offset, which means damage: a torn write
    leaves a short frame, or zeros."""
    if offset + HEAD.size > len(data):
        return False
    size, checksum = HEAD.unpack_from(data, offset)
    payload = data[offset + HEAD.size : offset + HEAD.size + size]
    return 0 < size == len(payload) and any(payload) and zlib.crc32(payload) != checksum


def has_entry_after(data: bytes, offset: int) -> bool:
    """Returns whether there is a complete frame anywhere after an unreadable one: then that is damage, not a torn tail."""
    return any(
        0 < size <= len(data) - start - HEAD.size
        and zlib.crc32(data[start + HEAD.size : start + HEAD.size + size]) == checksum
        for start in range(offset + 1, len(data) - HEAD.size)
        for size, checksum in (HEAD.unpack_from(data, start),)
    )


def _segment_number(name: str) -> int:
    return int(name.removeprefix(SEGMENT_PREFIX))


def _snapshot_number(name: str) -> int:
    return int(name.removeprefix(SNAPSHOT_PREFIX))


@dataclass(eq=False)
class SegmentedLog:
    """The log of one data directory. One process owns it; one task of that process runs `sync_forever`, or the owner
    calls `sync` itself.

    Offsets count the bytes appended since the process started, over all segments.

    Invariants: `synced` <= `end`; entries up to `synced` survive a loss of power; once `failure` is set, nothing more
    is reported as synced and every operation raises `FaultError`, because a failed sync may have dropped pages that a
    later one reports as written.

    Attributes:
        process: name of the process, for events and errors.
        segment_bytes: a segment that is longer than this (and than half the last snapshot) is due for compaction.
        end: offset after the last byte appended.
        synced: offset up to which everything is durable.
        segment_number: number of the segment that is appended to; segment_size: its length in bytes.
        logged_bytes: bytes in all the segments since the last snapshot.
        snapshot_bytes: length of the last snapshot.
        failure: why the disk is no longer trusted; empty while it is.
        reserve: bytes of the disk that only vital entries (ends, results, trims) may use.
        group_commit: False only in measurements, where each append gets a sync of its own.
        strict: whether a last frame of full length with a wrong checksum counts as damage instead of a torn tail.
        unsynced_offsets: without group commit, the end offsets of the appends that still wait for their sync.
        unsynced: set while there is something to sync.
        sync_done: set after each sync, and then replaced by a new event.
        lock: locked while a file is synced or a snapshot is written.
    """

    process: str
    disk: Disk
    segment_bytes: int = DEFAULT_SEGMENT_BYTES
    end: int = 0
    synced: int = 0
    segment_number: int = 0
    segment_size: int = 0
    logged_bytes: int = 0
    failure: str = ""
    reserve: int = 0
    snapshot_bytes: int = 0
    group_commit: bool = True
    strict: bool = False
    unsynced_offsets: deque[int] = field(default_factory=deque)
    unsynced: asyncio.Event = field(default_factory=asyncio.Event)
    sync_done: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def segment_name(self) -> str:
        """Name of the file that is appended to."""
        return f"{SEGMENT_PREFIX}{self.segment_number:08d}"

    def load(self) -> list[Any]:
        """Reads the last snapshot and the segments after it, truncates a torn tail and removes the files that the snapshot
        replaces.

        Returns all entries in the order in which they were appended. Raises `FaultError`, whose fault names the file
        and the offset, if a file is damaged or missing; the files are left unchanged then.
        """
        names = self.disk.names()
        snapshots = [n for n in names if n.startswith(SNAPSHOT_PREFIX)]
        segments = [n for n in names if n.startswith(SEGMENT_PREFIX)]
        first = _snapshot_number(snapshots[-1]) if snapshots else 0
        entries = self._load_snapshot(snapshots[-1]) if snapshots else []
        current = [n for n in segments if _segment_number(n) >= first]
        if [_segment_number(n) for n in current] != list(range(first, first + len(current))):
            raise FaultError(Fault("read log", self.process, f"a segment is missing: found {current}", PEER_FAILED))
        for name in current:
            entries += self._load_segment(name, is_last=name == current[-1])
        for name in [n for n in segments if _segment_number(n) < first] + snapshots[:-1]:
            self.disk.remove(name)
        self.segment_number = max([first, *map(_segment_number, current)])
        return entries

    def _load_snapshot(self, name: str) -> list[Any]:
        """Returns the entries of a snapshot, without the one that ends it. Raises `FaultError` if it is damaged."""
        data = self.disk.read(name)
        entries, end = read_entries(data)
        if end != len(data) or not entries or entries[-1].op != SEALED:
            raise FaultError(Fault("read snapshot", self.process, f"{name} is damaged at byte {end}", PEER_FAILED))
        self.snapshot_bytes = len(data)
        return entries[:-1]

    def _load_segment(self, name: str, is_last: bool) -> list[Any]:
        """Returns the entries of a segment; truncates a torn tail of the last one. Raises `FaultError` if it is damaged."""
        data = self.disk.read(name)
        entries, end = read_entries(data)
        if end != len(data):
            damaged = has_entry_after(data, end) or (self.strict and is_complete_but_damaged(data, end))
            if not is_last or damaged:
                raise FaultError(Fault("read log", self.process, f"{name} is damaged at byte {end}", PEER_FAILED))
            log_events.emit(Event.DISK_TORN_TAIL, self.process, file=name, at=end, bytes=len(data) - end)
            self.disk.truncate(name, end)
        self.segment_size = end
        self.logged_bytes += end
        return entries

    def append(self, entries: Iterable[Any], vital: bool = True) -> int:
        """Appends entries to the current segment, without a sync; returns the offset to pass to `wait_synced`.

        Entries that aren't `vital` leave `reserved_bytes` of the disk free. Raises `FaultError`: with code NO_SPACE if
        the disk is full, with code PEER_FAILED if it failed before.
        """
        if self.failure:
            raise self._failure_at("append")
        data = b"".join(map(encode_frame, entries))
        free, _ = self.disk.space()
        if not vital and free - len(data) < self.reserved_bytes:
            raise FaultError(Fault("append", self.process, "the disk is full", NO_SPACE))
        try:
            self.disk.append(self.segment_name, data)
        except OSError as error:
            raise FaultError(
                Fault("append", self.process, f"{self.segment_name}: {error.strerror}", NO_SPACE)
            ) from error
        self.end += len(data)
        self.segment_size += len(data)
        self.logged_bytes += len(data)
        if not self.group_commit:
            self.unsynced_offsets.append(self.end)
        self.unsynced.set()
        return self.end

    async def sync_forever(self) -> None:
        """Syncs whenever something was appended, for ever; what is appended during one sync is synced by the next."""
        while True:
            await self.unsynced.wait()
            self.unsynced.clear()
            await self.sync()

    async def sync(self) -> None:
        """Makes all bytes durable that were appended before it began. Raises `FaultError` if the disk fails; see `failure`."""
        async with self.lock:
            offset = self.end
            if not self.group_commit and self.unsynced_offsets:
                offset = self.unsynced_offsets.popleft()
                self.unsynced.set()
            if offset == self.synced:
                return
            try:
                await self.disk.sync(self.segment_name)
            except OSError as error:
                self._fail("sync", f"sync of {self.segment_name} failed: {error.strerror}", error)
            self.synced = max(self.synced, offset)
        self._notify_sync()

    async def wait_synced(self, offset: int) -> None:
        """Waits until everything below an offset is durable. Raises `FaultError` if the disk has failed before that."""
        while self.synced < offset:
            if self.failure:
                raise self._failure_at("sync")
            await self.sync_done.wait()

    def is_compaction_due(self) -> bool:
        """Returns whether the segment is large compared to the last snapshot, and the disk has space for another one."""
        outgrown = self.segment_size > max(self.segment_bytes, self.snapshot_bytes // 2)
        return outgrown and self.disk.space()[0] > self.next_snapshot_bytes

    @property
    def next_snapshot_bytes(self) -> int:
        """Upper bound of the size of the next snapshot: the last one and everything logged since."""
        return self.snapshot_bytes + self.logged_bytes

    @property
    def reserved_bytes(self) -> int:
        """Free bytes that new jobs may not use: for ends, results and trims, and for the snapshot that will free space."""
        return self.reserve + self.next_snapshot_bytes

    async def compact(self, entries: Iterator[Any]) -> None:
        """Writes a snapshot of all entries, begins a new segment and removes the older files.

        If the disk has no space for it, nothing is lost: the segments are kept, and event 114 is logged. Raises
        `FaultError` if the disk fails for another reason.
        """
        async with self.lock:
            data = b"".join(map(encode_frame, entries)) + encode_frame(IDL.Entry(part=-1, op=SEALED))
            # From here on nothing is appended to the old segment: whatever is appended while the snapshot is written
            # goes to the new segment, which is read after the snapshot.
            old_number, old_size, old_name, offset = self.segment_number, self.segment_size, self.segment_name, self.end
            new_number = old_number + 1
            self.segment_number, self.segment_size = new_number, 0
            try:
                await self.disk.sync(old_name)
                await self.disk.write(f"{SNAPSHOT_PREFIX}{new_number:08d}", data)
            except OSError as error:
                if error.errno != errno.ENOSPC:
                    self._fail("snapshot", f"snapshot failed: {error.strerror}", error)
                log_events.emit(Event.DISK_FULL, self.process, step="snapshot", bytes=len(data))
                if self.segment_size == 0:
                    # Nothing was appended meanwhile, so the new segment has no file: its number would be a gap, which
                    # `load` takes for a missing segment.
                    self.segment_number, self.segment_size = old_number, old_size
                return
            self.synced = max(self.synced, offset)
            self.snapshot_bytes = len(data)
            self._remove_before(new_number)
            self.logged_bytes = self.segment_size
        self._notify_sync()

    def _remove_before(self, number: int) -> None:
        """Removes the files that the snapshot of this number replaces."""
        for name in self.disk.names():
            if name.startswith(SEGMENT_PREFIX) and _segment_number(name) < number:
                self.disk.remove(name)
            if name.startswith(SNAPSHOT_PREFIX) and _snapshot_number(name) < number:
                self.disk.remove(name)

    def _notify_sync(self) -> None:
        """Wakes those who wait for a sync."""
        self.sync_done.set()
        self.sync_done = asyncio.Event()

    def _failure_at(self, step: str) -> FaultError:
        """Returns the error to raise for a step that is not possible, because the disk has failed."""
        return FaultError(Fault(step, self.process, self.failure, PEER_FAILED))

    def _fail(self, step: str, failure: str, error: OSError) -> NoReturn:
        """Marks the disk as failed, logs an event and raises `FaultError`."""
        self.failure = failure
        log_events.emit(Event.DISK_FAILED, self.process, why=failure)
        raise self._failure_at(step) from error
