"""The journal of control's state: records, replay, and what a torn, damaged, full, failing or stalled disk leads to."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from typing import Any

import pytest

from postpass.control.journal import (
    BaseMismatchError,
    Change,
    ChecksumMismatchError,
    Image,
    JournalError,
    Position,
    StateJournal,
    UnknownFormatError,
    change_entry,
    replay,
    snapshot_entry,
)
from postpass.rpc.codec import IDL, pack, unpack
from postpass.runtime.errors import BROKE, FULL, FaultError
from postpass.storage.data_directory import (
    IDENTITY_FILE,
    STATE_FORMAT,
    DataDirectory,
    open_data_directory,
    write_identity,
)
from postpass.storage.segmented_log import HEAD, SegmentedLog, read_entries
from sim.disk import SimDisk
from sim.loop import SimLoop, run_sim

SEGMENT = 4096


def tree(version: int, routes: int = 3, **more: Any) -> dict[str, Any]:
    """A small state of the shape that control keeps."""
    machines = {f"m{n}": {"area": "a", "born": n} for n in range(3)}
    named = {f"r{n}": {"host": "x.example", "prefix": f"/{n}/", "timeout": 5.0} for n in range(routes)}
    pools = {"llm": {"servers": {"w1": {"slots": version}}}}
    manifest = {"machines": machines, "routes": named, "pools": pools}
    return {"whole": 1, "pair": {"epoch": 1}, "state": {"edition": version, "manifest": manifest, **more}}


def advanced(image: Image, version: int, **more: Any) -> tuple[Change, Image]:
    return image.change_to(1, version, tree(version, **more))


async def opened(disk: SimDisk) -> tuple[DataDirectory, StateJournal]:
    data_directory = await open_data_directory(
        "c1", disk, random.Random(2), SEGMENT, 0, strict=True, highest_format=STATE_FORMAT
    )
    return data_directory, await StateJournal.open("c1", disk, data_directory.log, data_directory.entries)


async def filled(disk: SimDisk, versions: int) -> StateJournal:
    """A journal with a snapshot of version 1 and a change for each version up to the last."""
    _, journal = await opened(disk)
    await journal.replace(Image.of(1, 1, tree(1)))
    for version in range(2, versions + 1):
        assert journal.image is not None
        await journal.append(advanced(journal.image, version)[0])
    return journal


def segment_of(disk: SimDisk) -> str:
    return next(name for name in disk.names() if name.startswith("log-"))


class Test_images:
    def test_a_change_leads_to_the_same_image_wherever_it_is_applied(self) -> None:
        chance = random.Random(4)
        here = Image.of(1, 1, tree(1))
        there = Image.of(1, 1, json.loads(json.dumps(here.tree)))
        for version in range(2, 200):
            new = tree(version, chance.randrange(6), left=[chance.randrange(4) for _ in range(chance.randrange(5))])
            change, here = here.change_to(1, version, new)
            there = there.apply(Change.from_json(json.loads(json.dumps(change.as_json()))))
            assert here.tree == new
            assert json.dumps(there.tree) == json.dumps(here.tree)  # in the same order as well
            assert there.position == here.position == Image.of(1, version, new).position

    def test_a_change_is_taken_on_its_base_alone(self) -> None:
        base = Image.of(1, 1, tree(1))
        change, _ = advanced(base, 2)
        others = (
            Image.of(1, 2, tree(2)),  # another version
            Image.of(2, 1, tree(1)),  # another epoch
            Image.of(1, 1, tree(1, source="other")),  # the same version of another content
        )
        for other in others:
            with pytest.raises(BaseMismatchError):
                other.apply(change)

    def test_a_garbled_change_is_refused(self) -> None:
        base = Image.of(1, 1, tree(1))
        change, _ = advanced(base, 2)
        with pytest.raises(ChecksumMismatchError):
            base.apply(Change(change.base, change.position, change.delta[1:]))
        garbled: list[Any] = [[[["state", "edition", "deeper"], 3]], [[3]], [["ab"]], [[]]]
        for delta in garbled:
            with pytest.raises(JournalError):
                base.apply(Change(change.base, change.position, delta))

    @pytest.mark.parametrize("raw", [None, [], {}, {"base": [1, 1, "a"], "position": [1, "2", "b"], "delta": []},
                                     {"base": [1, 1], "position": [1, 2, "b"], "delta": []},
                                     {"base": [1, 1, "a"], "position": [1, 2, "b"], "delta": {}}])  # fmt: skip
    def test_a_message_that_is_no_change_is_refused(self, raw: Any) -> None:
        with pytest.raises(JournalError):
            Change.from_json(raw)

    def test_the_size_of_a_change_does_not_grow_with_what_it_leaves_alone(self) -> None:
        sizes = []
        for routes in (60, 6400):
            listed = {"routes": [{"name": f"r{n}"} for n in range(routes)]}
            old = Image.of(1, 1, tree(1, routes, source=listed))
            touched = {"routes": [{"name": f"r{n}", "more": 1} if n == 7 else {"name": f"r{n}"} for n in range(routes)]}
            change, _ = old.change_to(1, 2, tree(2, routes, source=touched))
            sizes.append(len(json.dumps(change.as_json())))
        assert sizes[1] <= sizes[0] + 8 and sizes[1] < 400, sizes


class Test_records:
    def test_records_are_replayed_in_order(self) -> None:
        image = Image.of(1, 1, tree(1))
        entries = [snapshot_entry(image)]
        for version in range(2, 9):
            change, image = advanced(image, version)
            entries.append(change_entry(change))
        assert replay(entries) == image
        assert replay([]) is None
        with pytest.raises(BaseMismatchError):
            replay([*entries[:3], *entries[4:]])
        with pytest.raises(BaseMismatchError, match="begins with a change"):
            replay(entries[1:])

    def test_a_record_of_a_later_release_is_not_taken_for_damage(self) -> None:
        entry = snapshot_entry(Image.of(1, 1, tree(1)))
        record = unpack(IDL.StateRecord, entry.body)
        record.format = 2
        entry.body = pack(record)
        with pytest.raises(UnknownFormatError, match="format 2, this release reads 1"):
            replay([entry])

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            with pytest.raises(FaultError, match="nothing was touched"):
                await StateJournal.open("c1", disk, SegmentedLog("c1", disk), [entry])

        asyncio.run(run())

    def test_a_folder_of_a_later_format_is_left_alone(self) -> None:
        async def run() -> None:
            disk = SimDisk(random.Random(1))
            data_directory, _ = await opened(disk)
            await write_identity(disk, data_directory.name, 4)
            with pytest.raises(FaultError, match="format 4, this release reads up to 3; nothing was touched"):
                await opened(disk)
            assert json.loads(disk.read(IDENTITY_FILE)) == {"disk": data_directory.name, "format": 4}

        asyncio.run(run())

    def test_zeros_behind_the_last_entry_are_no_entries(self) -> None:
        assert read_entries(b"\0" * 64) == ([], 0)


class Test_a_restart:
    @pytest.mark.parametrize("versions", [1, 2, 50, 400])
    def test_finds_the_last_state_that_was_synced(self, versions: int) -> None:
        async def run() -> None:
            disk = SimDisk(random.Random(versions))
            journal = await filled(disk, versions)
            disk.power_off()
            data_directory, again = await opened(disk)
            assert not data_directory.fresh and again.image == journal.image
            assert again.image is not None and again.image.position.version == versions

        asyncio.run(run())

    def test_cuts_a_torn_tail_wherever_it_was_torn(self) -> None:
        """Each length of an unsynced entry: the state before it stands, and the next change is taken."""

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled(disk, 5)
            before = journal.image
            assert before is not None
            name, whole = segment_of(disk), bytes(disk.read(segment_of(disk)))
            change, after = advanced(before, 6)
            await journal.append(change)
            entry = bytes(disk.read(name))[len(whole) :]
            for size in range(len(entry) + 1):
                torn = SimDisk(random.Random(1))
                torn.files = {n: bytearray(b) for n, b in disk.files.items()}
                torn.files[name] = bytearray(whole + entry[:size])
                data_directory, again = await opened(torn)
                assert not data_directory.fresh
                assert again.image == (after if size == len(entry) else before), size
                if size < len(entry):
                    assert (await again.append(change)) == after
                assert (await opened(torn))[1].image == after
            zeros = SimDisk(random.Random(1))
            zeros.files = {n: bytearray(b) for n, b in disk.files.items()}
            zeros.files[name] = bytearray(whole + bytes(len(entry)))
            data_directory, again = await opened(zeros)
            assert not data_directory.fresh and again.image == before

        asyncio.run(run())

    def test_takes_damage_anywhere_else_for_damage(self) -> None:
        """One flipped byte at each place, the last entry's body included: the folder loses its identity, and with it its
        vote and its copy. Only the length of the last entry can't be told from a torn tail."""

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            await filled(disk, 4)
            name = segment_of(disk)
            data = disk.read(name)
            last = len(data)
            at = 0
            while at < len(data):
                last, at = at, at + HEAD.size + HEAD.unpack_from(data, at)[0]
            for file in [n for n in disk.names() if n.startswith(("log-", "snap-"))]:
                for place in range(len(disk.read(file))):
                    if file == name and last <= place < last + 4:
                        continue
                    bad = SimDisk(random.Random(1))
                    bad.files = {n: bytearray(b) for n, b in disk.files.items()}
                    bad.damage(file, place)
                    data_directory, journal = await opened(bad)
                    assert data_directory.fresh and journal.image is None, (file, place)
                    assert f"damaged-{file}" in bad.names()

        asyncio.run(run())

    def test_syncs_what_a_killed_process_left_unsynced(self) -> None:
        """A change that was written but not synced is found after a kill; then it survives a loss of power too."""

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled(disk, 5)
            assert journal.image is not None
            change, after = advanced(journal.image, 6)
            journal.log.append([change_entry(change)])
            for cap in (sum(map(len, disk.files.values())), 1 << 20):
                other = SimDisk(random.Random(1), cap=cap, kept=dict(disk.kept))
                other.files = {n: bytearray(b) for n, b in disk.files.items()}
                _, again = await opened(other)
                assert again.image == after
                other.power_off()
                assert (await opened(other))[1].image == after

        asyncio.run(run())

    def test_after_a_crash_at_any_write_of_a_snapshot_finds_the_state(self) -> None:
        """The files as they are before and after each step of a compaction."""

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled(disk, 5)
            states: list[dict[str, bytearray]] = []
            remove = disk.remove

            def removing(name: str) -> None:
                states.append({n: bytearray(b) for n, b in disk.files.items()})
                remove(name)

            disk.remove = removing  # type: ignore[method-assign]
            await journal.compact()
            states.append({n: bytearray(b) for n, b in disk.files.items()})
            assert len(states) >= 3
            for files in states:
                other = SimDisk(random.Random(1), files=files)
                data_directory, again = await opened(other)
                assert not data_directory.fresh and again.image == journal.image

        asyncio.run(run())


class Test_a_disk_in_trouble:
    def test_that_is_full_refuses_a_change_and_takes_it_once_there_is_room(self) -> None:
        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled(disk, 5)
            before = journal.image
            assert before is not None
            change, after = advanced(before, 6)
            disk.cap = sum(map(len, disk.files.values()))
            with pytest.raises(FaultError) as full:
                await journal.append(change)
            assert full.value.fault.code == FULL and journal.image == before
            with pytest.raises(FaultError) as full:
                await journal.replace(after)
            assert full.value.fault.code == FULL and journal.image == before
            with pytest.raises(FaultError):
                await journal.replace(after)
            assert (await opened(disk))[1].image == before
            disk.cap = 1 << 20
            assert await journal.append(change) == after
            disk.power_off()
            data_directory, again = await opened(disk)
            assert not data_directory.fresh and again.image == after

        asyncio.run(run())

    @pytest.mark.parametrize("write", ["append", "replace", "compact"])
    def test_whose_sync_fails_takes_nothing_more_until_it_is_opened_again(self, write: str) -> None:
        """What is found then is made durable before it is used, whether the failed write is part of it or not."""

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled(disk, 5)
            before = journal.image
            assert before is not None
            change, after = advanced(before, 6)
            calls = {
                "append": lambda: journal.append(change),
                "replace": lambda: journal.replace(after),
                "compact": journal.compact,
            }
            disk.fails = True
            with pytest.raises(FaultError) as failed:
                await calls[write]()
            assert failed.value.fault.code == BROKE
            with pytest.raises(FaultError):
                await opened(disk)
            disk.fails = False
            for call in calls.values():
                with pytest.raises(FaultError):
                    await call()
            data_directory, again = await opened(disk)
            assert not data_directory.fresh and again.image in (before, after)
            found = again.image
            disk.power_off()
            assert (await opened(disk))[1].image == found

        asyncio.run(run())

    def test_that_stalls_answers_late_and_nothing_counts_before(self) -> None:
        async def main(loop: SimLoop) -> tuple[bool, float]:
            disk = SimDisk(random.Random(1))
            journal = await filled(disk, 5)
            assert journal.image is not None
            change, after = advanced(journal.image, 6)
            disk.stall = 3.0
            task = asyncio.create_task(journal.append(change))
            await asyncio.sleep(2.0)
            early = task.done()
            # One who gives up waiting leaves nothing half done.
            task.cancel()
            await asyncio.sleep(2.0)
            disk.power_off()
            assert (await opened(disk))[1].image == after
            return early, loop.clock

        early, _ = run_sim(main)
        assert not early

    def test_keeps_its_files_within_a_bound_over_ten_thousand_changes(self) -> None:
        async def run() -> None:
            disk = SimDisk(random.Random(1), pace=0.0)
            journal = await filled(disk, 1)
            biggest = 0
            for version in range(2, 10_001):
                assert journal.image is not None
                await journal.append(advanced(journal.image, version)[0])
                await journal.compact_if_due()
                biggest = max(biggest, sum(map(len, disk.files.values())))
            snapshot = journal.log.snapshot_bytes
            assert biggest < 2 * snapshot + SEGMENT + 1024, (biggest, snapshot)
            assert (await opened(disk))[1].image == journal.image

        asyncio.run(run())


class Test_a_resent_change:
    def test_that_is_held_already_is_synced_again_and_another_is_refused(self) -> None:
        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled(disk, 5)
            before = journal.image
            assert before is not None
            change, after = advanced(before, 6)
            assert await journal.append(change) == after
            size = len(disk.read(segment_of(disk)))
            assert await journal.append(change) == after
            assert len(disk.read(segment_of(disk))) == size
            twin, _ = advanced(before, 6, source="another content")
            with pytest.raises(BaseMismatchError):
                await journal.append(twin)
            assert journal.image == after

        asyncio.run(run())


def test_a_change_without_any_state_is_refused() -> None:
    async def run() -> None:
        _, journal = await opened(SimDisk(random.Random(1)))
        with pytest.raises(BaseMismatchError, match="no state"):
            await journal.append(advanced(Image.of(1, 1, tree(1)), 2)[0])

    asyncio.run(run())


def test_a_checksum_of_frames_catches_what_a_flip_does_to_one() -> None:
    """The frame's own checksum is of its body: a body that changed never passes for the same."""
    body = pack(change_entry(advanced(Image.of(1, 1, tree(1)), 2)[0]))
    for place in range(len(body)):
        other = bytearray(body)
        other[place] ^= 0xFF
        assert zlib.crc32(bytes(other)) != zlib.crc32(body)


def test_positions_are_read_as_they_are_written() -> None:
    position = Position(3, 7, "00ff")
    assert Position.from_json(json.loads(json.dumps(position.as_json()))) == position
