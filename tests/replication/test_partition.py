"""Tests of postpass.replication.partition."""

from __future__ import annotations

from postpass.batch.job import JobView
from postpass.replication.partition import MirrorProgress, Partition, latest_view
from postpass.replication.record_log import RecordLog


def _owner(persisted: bool = True) -> Partition:
    part = Partition(0, "s1", "d1")
    part.zones = {f"s{i}": c for i, c in zip(range(1, 5), "abcd", strict=True)}
    part.lead(1)
    part.sequence_record("crew", {"crew": {f"s{i}": f"d{i}" for i in range(1, 5)}})
    part.epoch_mark = part.sequence_record("mark", {}).seq
    part.acknowledgements.update("s1", "d1", "persisted", 2 if persisted else 0)
    return part


def test_the_owners_own_copy_counts_only_once_it_is_synced() -> None:
    part = _owner(persisted=False)
    for name in ("s2", "s3"):
        part.acknowledgements.update(name, name.replace("s", "d"), "persisted", 2)
    assert not part.advance() and part.covered == 0
    part.unsynced.append((10, 2))
    assert not part.mark_synced(9) and part.mark_synced(10) and part.advance() and part.covered == 2


def test_four_stores_cover_with_three_synced_copies_never_two() -> None:
    part = _owner()
    part.acknowledgements.update("s2", "d2", "persisted", 2)
    part.acknowledgements.update("s3", "d3", "received", 2)
    part.acknowledgements.update("s4", "other", "persisted", 2)  # acknowledgements of a wiped disk don't count
    assert not part.advance()
    part.acknowledgements.update("s3", "d3", "persisted", 2)
    assert part.advance() and part.covered == 2


def test_nothing_counts_until_the_epoch_mark_does() -> None:
    part = _owner()
    for name in ("s2", "s3"):
        part.acknowledgements.update(name, name.replace("s", "d"), "persisted", 1)
    assert not part.advance() and not part.ready
    part.acknowledgements.update("s2", "d2", "persisted", 2)
    part.acknowledgements.update("s3", "d3", "persisted", 2)
    assert part.advance() and part.ready


def test_while_a_change_is_not_covered_the_frontier_is_the_lower_of_old_and_new() -> None:
    part = _owner()
    for name in ("s2", "s3"):
        part.acknowledgements.update(name, name.replace("s", "d"), "persisted", 2)
    part.advance()
    part.sequence_record("predicate", {"text": "MIN($ALLWNODES)"})
    part.acknowledgements.update("s1", "d1", "persisted", 3)
    for name in ("s2", "s3"):
        part.acknowledgements.update(name, name.replace("s", "d"), "persisted", 3)
    assert not part.advance() and part.covered == 2  # the old predicate is satisfied, the new one isn't
    part.acknowledgements.update("s4", "d4", "persisted", 3)
    assert part.advance() and part.covered == 3
    part.sequence_record("predicate", {"text": ""})
    part.acknowledgements.update("s1", "d1", "persisted", 4)
    for name in ("s2", "s3"):
        part.acknowledgements.update(name, name.replace("s", "d"), "persisted", 4)
    assert not part.advance()  # the new predicate is satisfied, the old one isn't
    part.acknowledgements.update("s4", "d4", "persisted", 4)
    assert part.advance() and part.covered == 4
    part.sequence_record("mark", {})
    part.acknowledgements.update("s1", "d1", "persisted", 5)
    for name in ("s2", "s3"):
        part.acknowledgements.update(name, name.replace("s", "d"), "persisted", 5)
    assert part.advance() and part.covered == 5  # from here on three copies suffice again


def test_a_change_of_members_needs_promises_under_the_old_and_the_new_members() -> None:
    part = _owner()
    part.covered = 2
    part.sequence_record("crew", {"crew": {"s1": "d1", "s2": "new", "s3": "d3", "s4": "d4"}})
    view = part.view
    assert not part.may_lead(view, {"s1": "d1", "s2": "new", "s3": "d3"})
    assert part.may_lead(view, {"s1": "d1", "s3": "d3", "s4": "d4"})
    part.covered = 3
    assert part.may_lead(view, {"s1": "d1", "s2": "new", "s3": "d3"})
    assert not part.may_lead(view, {"s1": "d1", "s2": "d2", "s3": "d3"})


def test_a_store_that_leaves_counts_as_a_member_until_the_change_is_covered() -> None:
    part = _owner()
    part.covered = 2
    part.sequence_record("crew", {"crew": {"s1": "d1", "s2": "d2", "s3": "d3"}})
    assert set(part.members) == {"s1", "s2", "s3", "s4"}
    part.covered = 3
    assert set(part.members) == {"s1", "s2", "s3"}


def _restarted(part: Partition) -> tuple[Partition, JobView]:
    """Returns a partition with the same log after a loss of power, and its view: what was known of `covered` is lost."""
    fresh = Partition(0, "s1", "d1", RecordLog(base=JobView(), records=list(part.record_log.records)), zones=part.zones)
    return fresh, latest_view(fresh.record_log)


def test_a_log_that_settles_a_change_needs_no_promises_of_the_old_members() -> None:
    part = _owner()
    part.covered = 2
    part.sequence_record("crew", {"crew": {"s1": "d1", "s2": "new", "s3": "d3", "s4": "d4"}})
    assert not part.settleable_seq()  # a change that isn't covered can't be settled
    part.covered = 3
    remaining = {"s1": "d1", "s2": "new", "s3": "d3"}  # of the four disks before the change only two are left
    fresh, view = _restarted(part)
    assert not fresh.may_lead(view, remaining)
    assert part.settleable_seq() == 3
    part.sequence_record("mark", {"settled": 3})
    assert not part.settleable_seq()
    fresh, view = _restarted(part)
    assert fresh.may_lead(view, remaining) and not fresh.may_lead(view, {"s1": "d1", "s2": "d2", "s3": "d3"})
    fresh.lead(2)
    assert not fresh.is_uncoverable(remaining)
    fresh.epoch_mark = fresh.sequence_record("mark", {}).seq
    for name, disk in remaining.items():
        fresh.acknowledgements.update(name, disk, "persisted", fresh.epoch_mark)
    assert fresh.advance() and fresh.covered == fresh.epoch_mark


def test_a_change_is_proven_once_the_mark_that_settles_it_is_covered() -> None:
    part = _owner()
    members = {"s1": "d1", "s2": "d2", "s3": "d3"}
    for name, disk in members.items():
        part.acknowledgements.update(name, disk, "persisted", 2)
    assert (
        not part.is_membership_proven() and part.advance() and part.is_membership_proven()
    )  # the first members: there is nothing to settle
    change = part.sequence_record("crew", {"crew": members | {"s4": "new"}}).seq
    assert not part.is_membership_proven()
    for name, disk in members.items():
        part.acknowledgements.update(name, disk, "persisted", change)
    assert part.advance() and not part.is_membership_proven()
    mark = part.sequence_record("mark", {"settled": change}).seq
    assert not part.is_membership_proven()
    for name, disk in members.items():
        part.acknowledgements.update(name, disk, "persisted", mark)
    assert part.advance() and part.is_membership_proven()
    part.sequence_record("mark", {})
    assert part.is_membership_proven()  # records after the proof need not be covered
    part.record_log.rebase(mark)
    part.record_log.base = JobView.load(part.base_dump())
    part.view = latest_view(part.record_log)
    assert part.is_membership_proven()  # a base contains only covered records


def test_a_mark_settles_only_changes_up_to_what_was_covered_when_it_was_written() -> None:
    part = _owner()
    part.covered = 2
    part.sequence_record("predicate", {"text": "MIN($ALLWNODES)"})
    part.sequence_record("mark", {"settled": 2})
    part.sequence_record("crew", {"crew": {"s1": "d1", "s2": "new", "s3": "d3", "s4": "d4"}})
    fresh, view = _restarted(part)
    assert len(fresh.active_rules(view)) == 4 and view.unsettled() == 5
    part.sequence_record("mark", {"settled": 3})
    fresh, view = _restarted(part)
    assert [c["s2"] for c, _ in fresh.active_rules(view)] == ["new", "d2"] and {
        t for _, t in fresh.active_rules(view)
    } == {"MIN($ALLWNODES)"}
    assert JobView.load(view.dump()).unsettled() == 5
    part.sequence_record("mark", {"settled": 5})
    fresh, view = _restarted(part)
    assert (
        fresh.active_rules(view) == [(view.members, "MIN($ALLWNODES)")] and JobView.load(view.dump()).unsettled() == 0
    )


def test_records_are_folded_once_sent_to_all_mirrors_and_beyond_the_budget_once_covered() -> None:
    part = _owner()
    for _ in range(100):
        part.sequence_record("mark", {})
    part.persisted = part.covered = 102
    part.mirrors = {"s2": MirrorProgress(next_seq=103), "s3": MirrorProgress(next_seq=70)}
    assert part.trim(1 << 20) and part.record_log.base_seq == 69
    part.mirrors["s3"].silent = True
    assert not part.trim(1 << 20)  # fewer than 64 records are not worth folding while the log is within the budget
    assert part.trim(10) and part.record_log.base_seq == 102 and not part.record_log.records
