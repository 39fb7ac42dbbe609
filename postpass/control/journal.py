"""Control's replicated state on disk: a log of changes in segments, with a snapshot beside it.

A change names the state that it builds on and the state that it leads to, each by epoch, version and checksum. It is
taken only by a replica that holds exactly that base, and counts only once it is synced there.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any, Self

from postpass.configuration.json_delta import Delta, delta, patch
from postpass.feed.checksum import parts_sum, parts_sum_difference
from postpass.rpc.codec import IDL, pack, unpack
from postpass.runtime.disk import Disk
from postpass.runtime.errors import BROKE, FULL, Fault, FaultError
from postpass.storage.segmented_log import SegmentedLog

RECORD_FORMAT = 1  # of a record in the log; a later one is left alone
SNAPSHOT, CHANGE = "snapshot", "change"  # operations of the log's entries
CHECKSUM_SPACE = 1 << 64

Tree = dict[str, Any]  # a state as JSON has it; states share the parts that they have in common


class JournalError(ValueError):
    """A record that can't be used: nothing was changed by it."""


class BaseMismatchError(JournalError):
    """A change that builds on another state than the one held."""


class ChecksumMismatchError(JournalError):
    """A state that is not the one its checksum was made of."""


class UnknownFormatError(JournalError):
    """A record of a later release."""


@dataclass(frozen=True)
class Position:
    """Names one state. Invariant: two states with the same position have the same content."""

    epoch: int
    version: int
    checksum: str

    def as_json(self) -> list[Any]:
        """As peers send it."""
        return [self.epoch, self.version, self.checksum]

    @classmethod
    def from_json(cls, raw: Any) -> Self:
        """Reads what a peer sent; raises JournalError if it is no position."""
        if not isinstance(raw, list) or [type(x) for x in raw] != [int, int, str]:
            raise JournalError(f"position: want [epoch, version, checksum], got {raw!r:.80}")
        return cls(*raw)


@dataclass(frozen=True)
class Change:
    """Leads from the state at `base` to the state at `position`."""

    base: Position
    position: Position
    delta: Delta

    def as_json(self) -> Tree:
        """As peers send it."""
        return {"base": self.base.as_json(), "position": self.position.as_json(), "delta": self.delta}

    @classmethod
    def from_json(cls, raw: Any) -> Self:
        """Reads what a peer sent; raises JournalError if it is no change."""
        if not isinstance(raw, dict) or not isinstance(raw.get("delta"), list):
            raise JournalError(f"change: want base, position and delta, got {raw!r:.80}")
        return cls(Position.from_json(raw.get("base")), Position.from_json(raw.get("position")), raw["delta"])


@dataclass(frozen=True)
class Image:
    """A whole state at its position. Invariant: `total` is the sum over the parts of `tree` that the checksum tells."""

    position: Position
    tree: Tree
    total: int

    @classmethod
    def of(cls, epoch: int, version: int, tree: Tree) -> Self:
        """The image of a whole state, whose checksum is made of all its parts."""
        total = parts_sum(tree) % CHECKSUM_SPACE
        return cls(Position(epoch, version, _checksum(total)), tree, total)

    def change_to(self, epoch: int, version: int, tree: Tree) -> tuple[Change, Image]:
        """The change from here to `tree`, and the image that it gives.

        The image is the patched one, so that its keys stand in the same order wherever the change is applied.
        """
        steps = delta(self.tree, tree, splices=True)
        patched: Tree = patch(self.tree, steps)
        total = (self.total + parts_sum_difference(self.tree, patched)) % CHECKSUM_SPACE
        position = Position(epoch, version, _checksum(total))
        return Change(self.position, position, steps), Image(position, patched, total)

    def apply(self, change: Change) -> Image:
        """The image that the change leads to; raises JournalError if it builds on another state or is garbled."""
        if change.base != self.position:
            raise BaseMismatchError(f"the change builds on {change.base}, {self.position} is held")
        try:
            tree = patch(self.tree, change.delta)
            total = (self.total + parts_sum_difference(self.tree, tree)) % CHECKSUM_SPACE
        except (TypeError, KeyError, IndexError, ValueError, AttributeError) as error:
            raise JournalError(f"the change can't be applied: {error!r:.120}") from error
        if _checksum(total) != change.position.checksum:
            raise ChecksumMismatchError(f"the change gives checksum {_checksum(total)}, not {change.position.checksum}")
        return Image(change.position, tree, total)


def _checksum(total: int) -> str:
    return f"{total:016x}"


# --- records of the log
def change_entry(change: Change) -> Any:
    """The entry of the log that holds a change."""
    return _entry(CHANGE, change.position, change.base, change.delta)


def snapshot_entry(image: Image) -> Any:
    """The entry of the log that holds a whole state."""
    return _entry(SNAPSHOT, image.position, Position(0, 0, ""), image.tree)


def _entry(operation: str, position: Position, base: Position, body: Any) -> Any:
    record = IDL.StateRecord(
        format=RECORD_FORMAT, epoch=position.epoch, revision=position.version, checksum=position.checksum,
        base_epoch=base.epoch, base_revision=base.version, base_checksum=base.checksum,
        body=json.dumps(body, separators=(",", ":")).encode(),
    )  # fmt: skip
    return IDL.Entry(part=0, op=operation, seq=position.version, epoch=position.epoch, kind="state", body=pack(record))


def replay(entries: Iterable[Any]) -> Image | None:
    """The state that the log leads to; None if it holds nothing. Raises JournalError where its records don't join."""
    image: Image | None = None
    for entry in entries:
        image = _next_image(image, entry)
    return image


def _next_image(image: Image | None, entry: Any) -> Image:
    try:
        record = unpack(IDL.StateRecord, entry.body)
    except Exception as error:  # the library raises whatever the bytes lead it to
        raise JournalError(f"a record can't be read: {error!r:.120}") from error
    if record.format != RECORD_FORMAT or entry.op not in (SNAPSHOT, CHANGE):
        raise UnknownFormatError(
            f"record {entry.op!r:.20} has format {record.format}, this release reads {RECORD_FORMAT}"
        )
    position = Position(record.epoch, record.revision, record.checksum)
    body = json.loads(record.body)
    if entry.op == CHANGE:
        if image is None:
            raise BaseMismatchError("the log begins with a change")
        base = Position(record.base_epoch, record.base_revision, record.base_checksum)
        return image.apply(Change(base, position, body))
    snapshot = Image.of(position.epoch, position.version, body)
    if snapshot.position != position:
        raise ChecksumMismatchError(f"the snapshot has checksum {snapshot.position.checksum}, not {position.checksum}")
    return snapshot


# --- the journal
@dataclass(eq=False)
class StateJournal:
    """Invariants: `image` is what the log on disk leads to; whatever `append` and `replace` return was synced, and so
    survives a loss of power. After a failed sync every later call raises FaultError, until the folder is opened
    again."""

    who: str
    disk: Disk
    log: SegmentedLog
    image: Image | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @classmethod
    async def open(cls, who: str, disk: Disk, log: SegmentedLog, entries: Iterable[Any]) -> Self:
        """Raises JournalError if the records don't join, which is damage, and FaultError if a later release wrote
        them."""
        try:
            journal = cls(who, disk, log, replay(entries))
        except UnknownFormatError as error:
            raise FaultError(Fault("open data folder", who, f"{error}; nothing was touched", BROKE)) from error
        if journal.image is not None and log.logged_bytes:
            await journal._make_durable()
        return journal

    async def _make_durable(self) -> None:
        """What was read may be in the system's cache alone: left by a killed process, or behind a failed sync."""
        try:
            await self.compact()
        except FaultError as stop:
            if stop.fault.code != FULL:
                raise
            await self._guarded(self.disk.sync(self.log.segment_name))

    async def append(self, change: Change) -> Image:
        """Syncs a change of the state held. One that is held already is synced again. Raises BaseMismatchError for another."""
        return await asyncio.shield(asyncio.create_task(self._append(change)))

    async def replace(self, image: Image) -> Image:
        """Syncs a whole state in place of the one held."""
        return await asyncio.shield(asyncio.create_task(self._replace(image)))

    async def compact_if_due(self) -> bool:
        """Writes a snapshot once the log has outgrown the last one by a ratio, if there is room for it."""
        if self.image is None or not self.log.is_compaction_due():
            return False
        await self.compact()
        return True

    async def compact(self) -> None:
        """Writes a snapshot of the state held; a later start reads only what came after it."""
        await asyncio.shield(asyncio.create_task(self._compact()))

    async def _append(self, change: Change) -> Image:
        async with self.lock:
            self._check_trusted()
            if self.image is None:
                raise BaseMismatchError("no state is held here")
            if self.image.position != change.position:
                image = self.image.apply(change)
                self.log.append([change_entry(change)])
                # From here on the log leads there, whether the sync succeeds or not.
                self.image = image
            await self._guarded(self.log.sync())
            return self.image

    async def _replace(self, image: Image) -> Image:
        async with self.lock:
            await self._write_snapshot(image)
            self.image = image
            return image

    async def _compact(self) -> None:
        async with self.lock:
            if self.image is not None:
                await self._write_snapshot(self.image)

    async def _write_snapshot(self, image: Image) -> None:
        self._check_trusted()
        segment = self.log.segment_number
        await self._guarded(self.log.compact(iter([snapshot_entry(image)])))
        if self.log.segment_number == segment:
            raise FaultError(Fault("write snapshot", self.who, "the disk is full", FULL))

    def _check_trusted(self) -> None:
        if self.log.failure:
            raise FaultError(Fault("sync", self.who, self.log.failure, BROKE))

    async def _guarded(self, write: Coroutine[Any, Any, None]) -> None:
        try:
            await write
        except OSError as error:
            self.log.failure = f"sync failed: {error.strerror}"
            raise FaultError(Fault("sync", self.who, self.log.failure, BROKE)) from error
