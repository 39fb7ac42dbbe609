"""The journal of control's state: records, replay, and its behaviour on a torn, damaged, full, failing or stalled
disk."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from types import SimpleNamespace
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
from postpass.control.member import ControlMember
from postpass.rpc.codec import IDL, pack, unpack
from postpass.runtime.errors import NO_SPACE, PEER_FAILED, FaultError
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
    """A small state with the structure of a control state."""
    machines = {f"m{n}": {"area": "a", "born": n} for n in range(3)}
    named = {f"r{n}": {"host": "x.example", "prefix": f"/{n}/", "timeout": 5.0} for n in range(routes)}
    pools = {"llm": {"servers": {"w1": {"slots": version}}}}
    manifest = {"machines": machines, "routes": named, "pools": pools}
    return {"whole": 1, "pair": {"epoch": 1}, "state": {"edition": version, "manifest": manifest, **more}}


def change_to_version(image: Image, version: int, **more: Any) -> tuple[Change, Image]:
    return image.change_to(1, version, tree(version, **more))


async def open_journal(disk: SimDisk) -> tuple[DataDirectory, StateJournal]:
    data_directory = await open_data_directory(
        "c1", disk, random.Random(2), SEGMENT, 0, strict=True, highest_format=STATE_FORMAT
    )
    return data_directory, await StateJournal.open("c1", disk, data_directory.log, data_directory.entries)


async def filled_journal(disk: SimDisk, versions: int) -> StateJournal:
    """A journal with a snapshot of version 1 and a change for each version up to the last."""
    _, journal = await open_journal(disk)
    await journal.replace(Image.of(1, 1, tree(1)))
    for version in range(2, versions + 1):
        assert journal.image is not None
        await journal.append(change_to_version(journal.image, version)[0])
    return journal


def segment_of(disk: SimDisk) -> str:
    return next(name for name in disk.names() if name.startswith("log-"))


class Test_images:
    def test_a_change_leads_to_the_same_image_wherever_it_is_applied(self) -> None:
        rng = random.Random(4)
        sender_image = Image.of(1, 1, tree(1))
        receiver_image = Image.of(1, 1, json.loads(json.dumps(sender_image.tree)))
        for version in range(2, 200):
            new = tree(version, rng.randrange(6), left=[rng.randrange(4) for _ in range(rng.randrange(5))])
            change, sender_image = sender_image.change_to(1, version, new)
            receiver_image = receiver_image.apply(Change.from_json(json.loads(json.dumps(change.as_json()))))
            assert sender_image.tree == new
            assert json.dumps(receiver_image.tree) == json.dumps(sender_image.tree)  # in the same order as well
            assert receiver_image.position == sender_image.position == Image.of(1, version, new).position

    def test_a_change_is_taken_on_its_base_alone(self) -> None:
        base = Image.of(1, 1, tree(1))
        change, _ = change_to_version(base, 2)
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
        change, _ = change_to_version(base, 2)
        with pytest.raises(ChecksumMismatchError):
            base.apply(Change(change.base, change.position, change.delta[1:]))
        garbled_deltas: list[Any] = [[[["state", "edition", "deeper"], 3]], [[3]], [["ab"]], [[]]]
        for delta in garbled_deltas:
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
            source = {"routes": [{"name": f"r{n}"} for n in range(routes)]}
            old = Image.of(1, 1, tree(1, routes, source=source))
            changed = {"routes": [{"name": f"r{n}", "more": 1} if n == 7 else {"name": f"r{n}"} for n in range(routes)]}
            change, _ = old.change_to(1, 2, tree(2, routes, source=changed))
            sizes.append(len(json.dumps(change.as_json())))
        assert sizes[1] <= sizes[0] + 8 and sizes[1] < 400, sizes


class Test_records:
    def test_records_are_replayed_in_order(self) -> None:
        image = Image.of(1, 1, tree(1))
        entries = [snapshot_entry(image)]
        for version in range(2, 9):
            change, image = change_to_version(image, version)
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
            data_directory, _ = await open_journal(disk)
            await write_identity(disk, data_directory.name, 4)
            with pytest.raises(FaultError, match="format 4, this release reads up to 3; nothing was touched"):
                await open_journal(disk)
            assert json.loads(disk.read(IDENTITY_FILE)) == {"disk": data_directory.name, "format": 4}

        asyncio.run(run())

    def test_zeros_behind_the_last_entry_are_no_entries(self) -> None:
        assert read_entries(b"\0" * 64) == ([], 0)


class Test_a_restart:
    @pytest.mark.parametrize("versions", [1, 2, 50, 400])
    def test_finds_the_last_state_that_was_synced(self, versions: int) -> None:
        async def run() -> None:
            disk = SimDisk(random.Random(versions))
            journal = await filled_journal(disk, versions)
            disk.power_off()
            data_directory, reopened = await open_journal(disk)
            assert not data_directory.fresh and reopened.image == journal.image
            assert reopened.image is not None and reopened.image.position.version == versions

        asyncio.run(run())

    def test_cuts_a_torn_tail_wherever_it_was_torn(self) -> None:
        """For each length of an unsynced entry: the state before it is found, and the next change is accepted."""

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled_journal(disk, 5)
            before = journal.image
            assert before is not None
            name, intact_bytes = segment_of(disk), bytes(disk.read(segment_of(disk)))
            change, after = change_to_version(before, 6)
            await journal.append(change)
            entry = bytes(disk.read(name))[len(intact_bytes) :]
            for size in range(len(entry) + 1):
                torn_disk = SimDisk(random.Random(1))
                torn_disk.files = {n: bytearray(b) for n, b in disk.files.items()}
                torn_disk.files[name] = bytearray(intact_bytes + entry[:size])
                data_directory, reopened = await open_journal(torn_disk)
                assert not data_directory.fresh
                assert reopened.image == (after if size == len(entry) else before), size
                if size < len(entry):
                    assert (await reopened.append(change)) == after
                assert (await open_journal(torn_disk))[1].image == after
            zeros = SimDisk(random.Random(1))
            zeros.files = {n: bytearray(b) for n, b in disk.files.items()}
            zeros.files[name] = bytearray(intact_bytes + bytes(len(entry)))
            data_directory, reopened = await open_journal(zeros)
            assert not data_directory.fresh and reopened.image == before

        asyncio.run(run())

    def test_detects_damage_anywhere_but_at_a_torn_tail(self) -> None:
        """One byte is flipped at each offset, the last entry's body included: the directory gets a new identity, so
        that the member loses its vote and its copy of the state. Only damage to the length of the last entry can't be
        distinguished from a torn tail."""

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            await filled_journal(disk, 4)
            name = segment_of(disk)
            data = disk.read(name)
            last = len(data)
            at = 0
            while at < len(data):
                last, at = at, at + HEAD.size + HEAD.unpack_from(data, at)[0]
            for file in [n for n in disk.names() if n.startswith(("log-", "snap-"))]:
                for damaged_at in range(len(disk.read(file))):
                    if file == name and last <= damaged_at < last + 4:
                        continue
                    damaged_disk = SimDisk(random.Random(1))
                    damaged_disk.files = {n: bytearray(b) for n, b in disk.files.items()}
                    damaged_disk.damage(file, damaged_at)
                    data_directory, journal = await open_journal(damaged_disk)
                    assert data_directory.fresh and journal.image is None, (file, damaged_at)
                    assert f"damaged-{file}" in damaged_disk.names()

        asyncio.run(run())

    def test_syncs_what_a_killed_process_left_unsynced(self) -> None:
        """A change that was written but not synced when the process was killed is found at the next start. From then on
        it survives a loss of power too."""

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled_journal(disk, 5)
            assert journal.image is not None
            change, after = change_to_version(journal.image, 6)
            journal.log.append([change_entry(change)])
            for cap in (sum(map(len, disk.files.values())), 1 << 20):
                other = SimDisk(random.Random(1), cap=cap, kept=dict(disk.kept))
                other.files = {n: bytearray(b) for n, b in disk.files.items()}
                _, reopened = await open_journal(other)
                assert reopened.image == after
                other.power_off()
                assert (await open_journal(other))[1].image == after

        asyncio.run(run())

    def test_after_a_crash_at_any_write_of_a_snapshot_finds_the_state(self) -> None:
        """A start from the files as they are before and after each step of a compaction."""

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled_journal(disk, 5)
            saved_files: list[dict[str, bytearray]] = []
            original_remove = disk.remove

            def removing(name: str) -> None:
                saved_files.append({n: bytearray(b) for n, b in disk.files.items()})
                original_remove(name)

            disk.remove = removing  # type: ignore[method-assign]
            await journal.compact()
            saved_files.append({n: bytearray(b) for n, b in disk.files.items()})
            assert len(saved_files) >= 3
            for files in saved_files:
                other = SimDisk(random.Random(1), files=files)
                data_directory, reopened = await open_journal(other)
                assert not data_directory.fresh and reopened.image == journal.image

        asyncio.run(run())


class Test_a_disk_in_trouble:
    def test_that_is_full_refuses_a_change_and_takes_it_once_there_is_room(self) -> None:
        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled_journal(disk, 5)
            before = journal.image
            assert before is not None
            change, after = change_to_version(before, 6)
            disk.cap = sum(map(len, disk.files.values()))
            with pytest.raises(FaultError) as full:
                await journal.append(change)
            assert full.value.fault.code == NO_SPACE and journal.image == before
            with pytest.raises(FaultError) as full:
                await journal.replace(after)
            assert full.value.fault.code == NO_SPACE and journal.image == before
            with pytest.raises(FaultError):
                await journal.replace(after)
            assert (await open_journal(disk))[1].image == before
            disk.cap = 1 << 20
            assert await journal.append(change) == after
            disk.power_off()
            data_directory, reopened = await open_journal(disk)
            assert not data_directory.fresh and reopened.image == after

        asyncio.run(run())

    @pytest.mark.parametrize("write", ["append", "replace", "compact"])
    def test_whose_sync_fails_takes_nothing_more_until_it_is_opened_again(self, write: str) -> None:
        """What is found when it is opened again is made durable before it is used, whether it includes the failed write
        or not."""

        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled_journal(disk, 5)
            before = journal.image
            assert before is not None
            change, after = change_to_version(before, 6)
            writes = {
                "append": lambda: journal.append(change),
                "replace": lambda: journal.replace(after),
                "compact": journal.compact,
            }
            disk.fails = True
            with pytest.raises(FaultError) as failed:
                await writes[write]()
            assert failed.value.fault.code == PEER_FAILED
            with pytest.raises(FaultError):
                await open_journal(disk)
            disk.fails = False
            for write_again in writes.values():
                with pytest.raises(FaultError):
                    await write_again()
            data_directory, reopened = await open_journal(disk)
            assert not data_directory.fresh and reopened.image in (before, after)
            found = reopened.image
            disk.power_off()
            assert (await open_journal(disk))[1].image == found

        asyncio.run(run())

    def test_that_stalls_answers_only_once_the_change_is_synced(self) -> None:
        async def main(loop: SimLoop) -> tuple[bool, float]:
            disk = SimDisk(random.Random(1))
            journal = await filled_journal(disk, 5)
            assert journal.image is not None
            change, after = change_to_version(journal.image, 6)
            disk.stall = 3.0
            task = asyncio.create_task(journal.append(change))
            await asyncio.sleep(2.0)
            done_early = task.done()
            # Cancelling the task that waits for a write doesn't interrupt the write.
            task.cancel()
            await asyncio.sleep(2.0)
            disk.power_off()
            assert (await open_journal(disk))[1].image == after
            return done_early, loop.clock

        done_early, _ = run_sim(main)
        assert not done_early

    def test_keeps_its_files_within_a_bound_over_ten_thousand_changes(self) -> None:
        async def run() -> None:
            disk = SimDisk(random.Random(1), pace=0.0)
            journal = await filled_journal(disk, 1)
            max_bytes = 0
            for version in range(2, 10_001):
                assert journal.image is not None
                await journal.append(change_to_version(journal.image, version)[0])
                await journal.compact_if_due()
                max_bytes = max(max_bytes, sum(map(len, disk.files.values())))
            snapshot = journal.log.snapshot_bytes
            assert max_bytes < 2 * snapshot + SEGMENT + 1024, (max_bytes, snapshot)
            assert (await open_journal(disk))[1].image == journal.image

        asyncio.run(run())


class Test_a_resent_change:
    def test_that_is_held_already_is_synced_again_and_another_is_refused(self) -> None:
        async def run() -> None:
            disk = SimDisk(random.Random(1))
            journal = await filled_journal(disk, 5)
            before = journal.image
            assert before is not None
            change, after = change_to_version(before, 6)
            assert await journal.append(change) == after
            size = len(disk.read(segment_of(disk)))
            assert await journal.append(change) == after
            assert len(disk.read(segment_of(disk))) == size
            conflicting_change, _ = change_to_version(before, 6, source="another content")
            with pytest.raises(BaseMismatchError):
                await journal.append(conflicting_change)
            assert journal.image == after

        asyncio.run(run())


def test_a_change_without_any_state_is_refused() -> None:
    async def run() -> None:
        _, journal = await open_journal(SimDisk(random.Random(1)))
        with pytest.raises(BaseMismatchError, match="no state"):
            await journal.append(change_to_version(Image.of(1, 1, tree(1)), 2)[0])

    asyncio.run(run())


def test_the_checksum_of_a_frame_detects_any_changed_byte_of_its_body() -> None:
    """The checksum of a frame covers its body, so a body that changed is never accepted."""
    body = pack(change_entry(change_to_version(Image.of(1, 1, tree(1)), 2)[0]))
    for place in range(len(body)):
        other = bytearray(body)
        other[place] ^= 0xFF
        assert zlib.crc32(bytes(other)) != zlib.crc32(body)


def test_positions_are_read_as_they_are_written() -> None:
    position = Position(3, 7, "00ff")
    assert Position.from_json(json.loads(json.dumps(position.as_json()))) == position


def test_a_state_that_waited_while_another_was_stored_is_refused_and_ends_no_task() -> None:
    async def run() -> None:
        _, journal = await open_journal(SimDisk(random.Random(1)))
        await journal.replace(Image.of(2, 26, tree(26)))
        member: Any = SimpleNamespace(
            journal=journal, settings=SimpleNamespace(name="c1"), write_journal=lambda write: write
        )
        state: Any = SimpleNamespace(epoch=2, state=SimpleNamespace(revision=27), as_json=lambda: tree(27))
        of_the_next_epoch = asyncio.create_task(journal.replace(Image.of(3, 26, tree(26, routes=4))))
        while not journal.lock.locked():
            await asyncio.sleep(0)
        with pytest.raises(FaultError) as refused:
            await ControlMember.store(member, state)
        assert refused.value.fault.step == "store state"
        assert journal.image == await of_the_next_epoch

    asyncio.run(run())
