"""The decisions of a candidate, case by case."""

from __future__ import annotations

from dataclasses import replace

from postpass.control.election_rules import (
    FOUNDED_BY_ALL,
    NO_MAJORITY,
    NOTHING_TO_BEGIN_FROM,
    Campaign,
    Cause,
    ElectionReason,
    FoundFleet,
    Placement,
    Rebuild,
    Refused,
    RestartTurn,
    Resume,
    better_backups,
    choose_backups,
    choose_electorate,
    decide,
    may_run_for_election,
    prevote_failure_reason,
    restart_turn,
)
from postpass.control.epochs import ReplicaSet
from postpass.control.messages import VoteAnswer
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State

VOTERS = {"c1": "d1", "c2": "d2", "c3": "d3"}
OLD, NEW = ReplicaSet(1, "c1", ("c2",), VOTERS), ReplicaSet(2, "c1", ("c3",), VOTERS)
FIRST = State(1, None)
LOST = ElectionReason(Cause.PRIMARY_LOST)


def answer(number: int, granted: ReplicaSet, state_epoch: int, disk: str = "", revision: int = 5) -> VoteAnswer:
    return VoteAnswer(True, disk or f"d{number}", 3, granted, state_epoch, revision, revision, False)


def campaign(
    candidate: str, own: ReplicatedState, promises: dict[str, VoteAnswer], is_complete: bool = False
) -> Campaign:
    return Campaign(candidate, 3, own, promises, is_complete)


def blank_campaign(is_complete: bool) -> Campaign:
    promises = {f"c{i}": answer(i, ReplicaSet(), 0, revision=0) for i in (1, 2, 3)}
    return campaign("c1", ReplicatedState(), promises, is_complete)


def test_a_blank_fleet_is_founded_by_all_its_members_or_rebuilt_from_its_daemons() -> None:
    assert decide(blank_campaign(False), False, FIRST) == Refused(FOUNDED_BY_ALL)
    assert decide(blank_campaign(True), False, FIRST) == FoundFleet(FIRST)
    assert decide(blank_campaign(True), False, None) == Refused(NOTHING_TO_BEGIN_FROM)
    assert decide(blank_campaign(True), True, FIRST) == Rebuild(0, 1)
    assert prevote_failure_reason(blank_campaign(False).promises) == FOUNDED_BY_ALL


def test_a_holder_of_the_newest_epoch_goes_on_with_a_majority() -> None:
    own = ReplicatedState(2, NEW, State(5, None))
    promises = {"c3": answer(3, NEW, 2), "c2": answer(2, OLD, 1)}
    assert decide(campaign("c3", own, promises), True, None) == Resume(unanimous=False)
    assert prevote_failure_reason(promises) == NO_MAJORITY


def test_a_holder_of_an_older_epoch_is_refused_while_a_later_one_may_stand() -> None:
    own = ReplicatedState(1, OLD, State(4, None))
    promises = {"c2": answer(2, OLD, 1), "c3": answer(3, NEW, 2)}
    decision = decide(campaign("c2", own, promises), True, None)
    assert isinstance(decision, Refused) and "epoch 2" in decision.why
    # The same if all members answered, since the one that has the newest state goes first.
    everyone = promises | {"c1": answer(1, NEW, 0, "wiped")}
    decision = decide(campaign("c2", own, everyone, True), True, None)
    assert isinstance(decision, Refused) and "epoch 2" in decision.why


def test_where_no_disk_holds_the_newest_state_it_is_rebuilt_by_all() -> None:
    own = ReplicatedState(1, OLD, State(4, None, 2))
    promises = {"c1": answer(1, NEW, 0, "new1"), "c2": answer(2, OLD, 1, revision=4), "c3": answer(3, NEW, 0, "new3")}
    assert isinstance(decide(campaign("c2", own, promises), True, None), Refused)
    assert decide(campaign("c2", own, promises, True), True, None) == Rebuild(5, 3)


def test_the_last_holder_goes_on_with_all_members_where_most_voters_lost_their_disks() -> None:
    own = ReplicatedState(2, NEW, State(5, None))
    promises = {"c1": answer(1, NEW, 0, "new1"), "c2": answer(2, OLD, 0, "new2"), "c3": answer(3, NEW, 2)}
    assert isinstance(decide(campaign("c3", own, promises), True, None), Refused)
    everyone = campaign("c3", own, promises, True)
    assert decide(everyone, True, None) == Resume(unanimous=True)
    assert choose_electorate(everyone, True, ["c1", "c2", "c3"], None) == (everyone.disks, {})
    # It has another state than when it promised, so its answer doesn't describe its state any more.
    older = replace(everyone, own=ReplicatedState(1, OLD, State(4, None)))
    assert isinstance(decide(older, True, None), Refused)


def test_backups_are_voters_by_their_disks_and_the_lost_primary_is_the_last_choice() -> None:
    own = ReplicatedState(2, NEW, State(5, None))
    promises = {"c3": answer(3, NEW, 2), "c1": answer(1, NEW, 2), "c2": answer(2, OLD, 1)}
    candidacy = campaign("c3", own, promises)
    placement = Placement({"c1": "a", "c2": "a", "c3": "b"}, "b", 1, spread=False)
    assert choose_backups(candidacy, VOTERS, placement, LOST) == ("c2",)
    assert choose_backups(candidacy, VOTERS, placement, ElectionReason(Cause.BACKUP_LOST)) == ("c1",)
    assert choose_backups(candidacy, VOTERS | {"c2": "before"}, placement, LOST) == ("c1",)
    leaving = replace(candidacy, promises=promises | {"c2": replace(promises["c2"], leaving=True)})
    assert choose_backups(leaving, VOTERS, placement, LOST) == ("c1",)
    # If backups are spread over zones, one in a zone other than the primary's goes first.
    spread = Placement({"c1": "b", "c2": "a", "c3": "b"}, "b", 1, spread=True)
    assert choose_backups(candidacy, VOTERS, spread, ElectionReason(Cause.BACKUP_LOST)) == ("c2",)
    assert better_backups(ReplicaSet(2, "c3", ("c1",), VOTERS), ["c2"], spread)
    assert not better_backups(ReplicaSet(2, "c3", ("c2",), VOTERS), ["c1"], spread)


def test_which_member_may_run_and_which_is_first_after_a_restart() -> None:
    members = ["c1", "c2", "c3"]
    answers = {"c2": answer(2, OLD, 1), "c3": answer(3, NEW, 2)}
    assert may_run_for_election("c3", "d3", 2, members, answers)
    assert not may_run_for_election("c2", "d2", 1, members, answers)
    all_holders_wiped = {"c1": answer(1, NEW, 0, "new1"), "c2": answer(2, OLD, 1), "c3": answer(3, NEW, 0, "new3")}
    assert may_run_for_election("c2", "d2", 1, members, all_holders_wiped)
    # After a restart the former primary goes first, then its backup; a member without the newest state has no turn.
    assert restart_turn("c3", 2, answers) == RestartTurn(1, is_first=False)
    assert restart_turn("c3", 2, answers | {"c1": answer(1, NEW, 0, "new1")}) == RestartTurn(1, is_first=True)
    assert restart_turn("c1", 2, answers | {"c1": answer(1, NEW, 2)}) == RestartTurn(0, is_first=True)
    assert restart_turn("c2", 1, answers) is None


def test_a_reason_reads_as_events_tell_it() -> None:
    change = ElectionReason(Cause.VOTERS_CHANGE, ("c3", "c4"))
    assert str(change) == "voters ['c3', 'c4']" and str(LOST) == "primary lost"
    assert change.keeps_primary and not LOST.keeps_primary and LOST.replaces_primary and not change.replaces_primary
