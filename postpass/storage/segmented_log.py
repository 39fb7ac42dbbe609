"""On disk: a log in segments with snapshots beside it, one for all the partitions of a store.

Each entry is its length, its CRC and a thrift struct. One sync covers whatever was appended before it.
"""

from __future__ import annotations

import asyncio
import struct
import zlib
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from postpass.rpc.peer_links import IDL, pack, unpack
from postpass.runtime import log_events
from postpass.runtime.disk import Disk
from postpass.runtime.errors import BROKE, FULL, Fault, Stop

HEAD = struct.Struct("!II")
ENTRY_MOST = 64 << 20


def frame(entry: Any) -> bytes:
    data = pack(entry)
    return HEAD.pack(len(data), zlib.crc32(data)) + data


def scan(data: bytes) -> tuple[list[Any], int]:
    """The whole entries from the start on, and where they end."""
    out: list[Any] = []
    at = 0
    while at + HEAD.size <= len(data):
        size, crc = HEAD.unpack_from(data, at)
        body = data[at + HEAD.size : at + HEAD.size + size]
        # No entry is empty, but zeros, which a file system may leave behind a tail, would pass for one.
        if size == 0 or size > ENTRY_MOST or len(body) < size or zlib.crc32(body) != crc:
            break
        out.append(unpack(IDL.Entry, body))
        at += HEAD.size + size
    return out, at


def whole_but_damaged(data: bytes, at: int) -> bool:
    """Does an entry of full length with a wrong checksum stand there? A torn write leaves a short one, or zeros."""
    if at + HEAD.size > len(data):
        return False
    size, crc = HEAD.unpack_from(data, at)
    body = data[at + HEAD.size : at + HEAD.size + size]
    return 0 < size == len(body) and any(body) and zlib.crc32(body) != crc


def any_entry_after(data: bytes, at: int) -> bool:
    """Does a whole entry stand anywhere behind a broken place? Then it is no torn tail."""
    return any(
        0 < size <= len(data) - spot - HEAD.size and zlib.crc32(data[spot + HEAD.size : spot + HEAD.size + size]) == crc
        for spot in range(at + 1, len(data) - HEAD.size)
        for size, crc in (HEAD.unpack_from(data, spot),)
    )


@dataclass(eq=False)
class SegmentedLog:
    """Invariants: `synced` <= `ends`; entries up to `synced` survive the power; once `bad` is set nothing
    more is called synced. `held` bytes of room are kept for entries marked vital (ends, results, trims).
    `strict`: a last entry of full length whose checksum is wrong counts as damage instead of a torn tail."""

    who: str
    disk: Disk
    segment: int = 1 << 20
    ends: int = 0
    synced: int = 0
    number: int = 0
    size: int = 0
    total: int = 0
    bad: str = ""
    held: int = 0
    snap: int = 0  # bytes of the last snapshot
    group: bool = True  # off only for measurements: a sync for each append
    strict: bool = False
    marks: deque[int] = field(default_factory=deque)
    dirty: asyncio.Event = field(default_factory=asyncio.Event)
    moved: asyncio.Event = field(default_factory=asyncio.Event)
    busy: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def name(self) -> str:
        return f"log-{self.number:08d}"

    def load(self) -> list[Any]:
        """Reads snapshot and segments; raises Stop naming file and place if one is damaged in the middle."""
        names = self.disk.names()
        snaps = [n for n in names if n.startswith("snap-")]
        logs = [n for n in names if n.startswith("log-")]
        first = int(snaps[-1][5:]) if snaps else 0
        out: list[Any] = []
        if snaps:
            data = self.disk.read(snaps[-1])
            entries, at = scan(data)
            if at != len(data) or not entries or entries[-1].op != "sealed":
                raise Stop(Fault("read snapshot", self.who, f"{snaps[-1]} is damaged at byte {at}", BROKE))
            out += entries[:-1]
            self.snap = len(data)
        live = [n for n in logs if int(n[4:]) >= first]
        want = list(range(first, first + len(live)))
        if [int(n[4:]) for n in live] != want:
            raise Stop(Fault("read log", self.who, f"a segment is missing: found {live}", BROKE))
        for i, name in enumerate(live):
            data = self.disk.read(name)
            entries, at = scan(data)
            if at != len(data):
                damaged = any_entry_after(data, at) or (self.strict and whole_but_damaged(data, at))
                if i < len(live) - 1 or damaged:
                    raise Stop(Fault("read log", self.who, f"{name} is damaged at byte {at}", BROKE))
                log_events.emit(111, self.who, file=name, at=at, bytes=len(data) - at)
                self.disk.cut(name, at)
            out += entries
            self.size = at
            self.total += at
        for name in [n for n in logs if int(n[4:]) < first] + snaps[:-1]:
            self.disk.remove(name)
        self.number = max([first, *(int(n[4:]) for n in live)])
        return out

    def append(self, entries: Iterable[Any], vital: bool = True) -> int:
        """Appends, unsynced; returns the place to wait for. A full disk raises Stop with code FULL."""
        if self.bad:
            raise Stop(Fault("append", self.who, self.bad, BROKE))
        data = b"".join(map(frame, entries))
        free, _ = self.disk.room()
        if not vital and free - len(data) < self.hold:
            raise Stop(Fault("append", self.who, "the disk is full", FULL))
        try:
            self.disk.append(self.name, data)
        except OSError as bad:
            raise Stop(Fault("append", self.who, f"{self.name}: {bad.strerror}", FULL)) from bad
        self.ends += len(data)
        self.size += len(data)
        self.total += len(data)
        if not self.group:
            self.marks.append(self.ends)
        self.dirty.set()
        return self.ends

    async def keep(self) -> None:
        """The task that syncs: whatever came in while the last sync ran goes with the next."""
        while True:
            await self.dirty.wait()
            self.dirty.clear()
            await self.sync()

    async def sync(self) -> None:
        async with self.busy:
            mark = self.ends
            if not self.group and self.marks:
                mark = self.marks.popleft()
                self.dirty.set()
            if mark == self.synced:
                return
            try:
                await self.disk.sync(self.name)
            except OSError as bad:
                self.bad = f"sync of {self.name} failed: {bad.strerror}"
                log_events.emit(113, self.who, why=self.bad)
                raise Stop(Fault("sync", self.who, self.bad, BROKE)) from bad
            self.synced = max(self.synced, mark)
        self.moved.set()
        self.moved = asyncio.Event()

    async def wait(self, place: int) -> None:
        while self.synced < place:
            if self.bad:
                raise Stop(Fault("sync", self.who, self.bad, BROKE))
            await self.moved.wait()

    def heavy(self) -> bool:
        """Is it time for a snapshot, and is there room for one?"""
        return self.size > max(self.segment, self.snap // 2) and self.disk.room()[0] > self.need

    @property
    def need(self) -> int:
        """What the next snapshot can take at the most: the last one and all that was logged since."""
        return self.snap + self.total

    @property
    def hold(self) -> int:
        """Room that new lots may not use: ends, results and trims, and the snapshot that frees space."""
        return self.held + self.need

    async def compact(self, entries: Iterator[Any]) -> None:
        """Writes a snapshot of everything and begins a new segment; older files go."""
        async with self.busy:
            data = b"".join(map(frame, entries)) + frame(IDL.Entry(part=-1, op="sealed"))
            # From here on the old segment takes no more: whatever is appended while the snapshot is
            # written goes to the new one, which is read after it.
            old, last, fresh, mark, size = self.number, self.name, self.number + 1, self.ends, self.size
            self.number, self.size = fresh, 0
            try:
                await self.disk.sync(last)
                await self.disk.write(f"snap-{fresh:08d}", data)
            except OSError as bad:
                if bad.errno == 28:
                    # No room for it: the segments so far stay, nothing is lost but the space.
                    log_events.emit(114, self.who, step="snapshot", bytes=len(data))
                    if self.size == 0:
                        # Nothing came meanwhile: without a file of its own the number would be a gap.
                        self.number, self.size = old, size
                    return
                self.bad = f"snapshot failed: {bad.strerror}"
                log_events.emit(113, self.who, why=self.bad)
                raise Stop(Fault("snapshot", self.who, self.bad, BROKE)) from bad
            self.synced = max(self.synced, mark)
            self.snap = len(data)
            for name in self.disk.names():
                if name.startswith("log-") and int(name[4:]) <= old:
                    self.disk.remove(name)
                if name.startswith("snap-") and int(name[5:]) < fresh:
                    self.disk.remove(name)
            self.total = self.size
        self.moved.set()
        self.moved = asyncio.Event()
