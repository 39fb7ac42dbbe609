"""Control's replicated state on disk: a segmented log of changes, and a snapshot that the log continues from.

A change names its base state and the state that results from it, each by epoch, version and checksum. A replica accepts
a change only if its own state is exactly that base, and acknowledges the change only once it is synced.
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
from postpass.runtime.errors import NO_SPACE, PEER_FAILED, Fault, FaultError
from postpass.storage.segmented_log import SegmentedLog

RECORD_FORMAT = 1  # format of a record in the log; records of a later format are neither read nor overwritten
SNAPSHOT, CHANGE = "snapshot", "change"  # values of the field `op` of a log entry
CHECKSUM_SPACE = 1 << 64

Tree = dict[str, Any]  # a state as a JSON object; trees share the parts that they have in common


class JournalError(ValueError):
    """A record or change can't be applied; nothing was changed."""


class BaseMismatchError(JournalError):
    """A change has another base than the current state."""


class ChecksumMismatchError(JournalError):
    """A state does not have the checksum that was recorded for it."""


class UnknownFormatError(JournalError):
    """A record has a format that only a later release can read."""


@dataclass(frozen=True)
class Position:
    """The identity of a state. Invariant: two states with the same position have the same content."""

    epoch: int
    version: int
    checksum: str

    def as_json(self) -> list[Any]:
        """Returns the JSON value that peers send."""
        return [self.epoch, self.version, self.checksum]

    @classmethod
    def from_json(cls, raw: Any) -> Self:
        """Decodes what a peer sent; raises JournalError if it is not a position."""
        if not isinstance(raw, list) or [type(x) for x in raw] != [int, int, str]:
            raise JournalError(f"position: want [epoch, version, checksum], got {raw!r:.80}")
        return cls(*raw)


@dataclass(frozen=True)
class Change:
    """The difference between the state at `base` and the state at `position` that results from applying it."""

    base: Position
    position: Position
    delta: Delta

    def as_json(self) -> Tree:
        """Returns the JSON object that peers send."""
        return {"base": self.base.as_json(), "position": self.position.as_json(), "delta": self.delta}

    @classmethod
    def from_json(cls, raw: Any) -> Self:
        """Decodes what a peer sent; raises JournalError if it is not a change."""
        if not isinstance(raw, dict) or not isinstance(raw.get("delta"), list):
            raise JournalError(f"change: want base, position and delta, got {raw!r:.80}")
        return cls(Position.from_json(raw.get("base")), Position.from_json(raw.get("position")), raw["delta"])


@dataclass(frozen=True)
class Image:
    """A complete state and its position.

    Invariant: `checksum_sum` is the sum of the checksums of all parts of `tree`, modulo `CHECKSUM_SPACE`;
    `position.checksum` is its text.
    """

    position: Position
    tree: Tree
    checksum_sum: int

    @classmethod
    def of(cls, epoch: int, version: int, tree: Tree) -> Self:
        """Returns the image of a complete state; its checksum is computed from all its parts."""
        checksum_sum = parts_sum(tree) % CHECKSUM_SPACE
        return cls(Position(epoch, version, _format_checksum(checksum_sum)), tree, checksum_sum)

    def change_to(self, epoch: int, version: int, tree: Tree) -> tuple[Change, Image]:
        """Returns the change from this state to `tree`, and the image that results from applying it.

        The image holds the patched tree rather than `tree` itself, so that the order of its keys is the same wherever
        the change is applied.
        """
        operations = delta(self.tree, tree, splices=True)
        patched: Tree = patch(self.tree, operations)
        checksum_sum = (self.checksum_sum + parts_sum_difference(self.tree, patched)) % CHECKSUM_SPACE
        position = Position(epoch, version, _format_checksum(checksum_sum))
        return Change(self.position, position, operations), Image(position, patched, checksum_sum)

    def apply(self, change: Change) -> Image:
        """Returns the image that results from the change; raises JournalError if the change has another base or is
        garbled."""
        if change.base != self.position:
            raise BaseMismatchError(f"the change builds on {change.base}, {self.position} is held")
        try:
            tree = patch(self.tree, change.delta)
            checksum_sum = (self.checksum_sum + parts_sum_difference(self.tree, tree)) % CHECKSUM_SPACE
        except (TypeError, KeyError, IndexError, ValueError, AttributeError) as error:
            raise JournalError(f"the change can't be applied: {error!r:.120}") from error
        if _format_checksum(checksum_sum) != change.position.checksum:
            raise ChecksumMismatchError(
                f"the change gives checksum {_format_checksum(checksum_sum)}, not {change.position.checksum}"
            )
        return Image(change.position, tree, checksum_sum)


def check_storable(before: Tree, after: Tree) -> None:
    """Raises ValueError, TypeError or another error if a state can't be stored as a change of the state before it.

    Costs what the change costs that leads from one to the other.
    """
    parts_sum_difference(before, after)
    json.dumps(delta(before, after, splices=True)).encode()


def _format_checksum(checksum_sum: int) -> str:
    return f"{checksum_sum:016x}"


# --- records of the log
def change_entry(change: Change) -> Any:
    """Returns the log entry for a change."""
    return _entry(CHANGE, change.position, change.base, change.delta)


def snapshot_entry(image: Image) -> Any:
    """Returns the log entry for a complete state."""
    return _entry(SNAPSHOT, image.position, Position(0, 0, ""), image.tree)


def _entry(operation: str, position: Position, base: Position, body: Any) -> Any:
    record = IDL.StateRecord(
        format=RECORD_FORMAT, epoch=position.epoch, revision=position.version, checksum=position.checksum,
        base_epoch=base.epoch, base_revision=base.version, base_checksum=base.checksum,
        body=json.dumps(body, separators=(",", ":")).encode(),
    )  # fmt: skip
    return IDL.Entry(part=0, op=operation, seq=position.version, epoch=position.epoch, kind="state", body=pack(record))


def replay(entries: Iterable[Any]) -> Image | None:
    """Returns the state that results from the log's entries; None if there are none. Raises JournalError if a record
    doesn't continue from the one before it."""
    image: Image | None = None
    for entry in entries:
        image = _next_image(image, entry)
    return image


def _next_image(image: Image | None, entry: Any) -> Image:
    try:
        record = unpack(IDL.StateRecord, entry.body)
    except Exception as error:  # the thrift library may raise any exception on damaged bytes
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
    """The control state of one member, with its log on disk.

    Invariants: `image` is the state that results from replaying the log on disk; each image that `append` or `replace`
    returns was synced before, and so survives a loss of power. After a failed sync every later write raises FaultError,
    until the data directory is opened again.
    """

    member: str
    disk: Disk
    log: SegmentedLog
    image: Image | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @classmethod
    async def open(cls, member: str, disk: Disk, log: SegmentedLog, entries: Iterable[Any]) -> Self:
        """Replays the entries and syncs what they contain. Raises JournalError if a record doesn't continue from the one
        before it, which means that the log is damaged, and FaultError if a later release wrote the records."""
        try:
            journal = cls(member, disk, log, replay(entries))
        except UnknownFormatError as error:
            raise FaultError(Fault("open data folder", member, f"{error}; nothing was touched", PEER_FAILED)) from error
        if journal.image is not None and log.logged_bytes:
            await journal._make_durable()
        return journal

    async def _make_durable(self) -> None:
        """Makes sure that what was read at the start survives a loss of power. It may exist in the operating system's
        cache alone, because a process was killed before its sync or because its sync failed. Writes a snapshot, or
        syncs the log if the disk has no space for one."""
        try:
            await self.compact()
        except FaultError as error:
            if error.fault.code != NO_SPACE:
                raise
            await self._await_write(self.disk.sync(self.log.segment_name))

    async def append(self, change: Change) -> Image:
        """Applies a change and syncs it; a change that led to the current state already is only synced again. Raises
        BaseMismatchError if the change has another base."""
        return await asyncio.shield(asyncio.create_task(self._append(change)))

    async def replace(self, image: Image) -> Image:
        """Replaces the current state by another complete one, and syncs it."""
        return await asyncio.shield(asyncio.create_task(self._replace(image)))

    async def compact_if_due(self) -> bool:
        """Writes a snapshot if the log has outgrown the last one by a given ratio and the disk has space for another;
        returns whether it did."""
        if self.image is None or not self.log.is_compaction_due():
            return False
        await self.compact()
        return True

    async def compact(self) -> None:
        """Writes a snapshot of the current state; a later start reads it and only the entries after it."""
        await asyncio.shield(asyncio.create_task(self._compact()))

    async def _append(self, change: Change) -> Image:
        async with self.lock:
            self._raise_if_failed()
            if self.image is None:
                raise BaseMismatchError("no state is held here")
            if self.image.position != change.position:
                image = self.image.apply(change)
                self.log.append([change_entry(change)])
                # From here on a replay of the log may give this image, whether the sync succeeds or not.
                self.image = image
            await self._await_write(self.log.sync())
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
        self._raise_if_failed()
        segment = self.log.segment_number
        await self._await_write(self.log.compact(iter([snapshot_entry(image)])))
        if self.log.segment_number == segment:
            raise FaultError(Fault("write snapshot", self.member, "the disk is full", NO_SPACE))

    def _raise_if_failed(self) -> None:
        if self.log.failure:
            raise FaultError(Fault("sync", self.member, self.log.failure, PEER_FAILED))

    async def _await_write(self, write: Coroutine[Any, Any, None]) -> None:
        try:
            await write
        except OSError as error:
            self.log.failure = f"sync failed: {error.strerror}"
            raise FaultError(Fault("sync", self.member, self.log.failure, PEER_FAILED)) from error
