"""Promises, grants, acknowledgements and the rules of elections."""

from __future__ import annotations

from postpass.control.epochs import (
    Acknowledgement,
    PreVote,
    ReplicaSet,
    VoteRecord,
    Voters,
    acknowledging_disks,
    in_touch,
    majority,
    may_campaign,
    may_lead,
    previous_voters,
    voters_after,
)


def test_a_vote_record_never_goes_back_and_grants_an_epoch_to_one_replica_set() -> None:
    record = VoteRecord()
    promised = record.prepare(3, "c1")
    assert promised and promised.prepare(3, "c2") is None and promised.prepare(2, "c1") is None
    replica_set = ReplicaSet(3, "c1", ("c2",), {"c1": "d1"})
    granted = promised.grant(replica_set, "c1")
    assert granted and promised.grant(ReplicaSet(3, "c2", ("c3",)), "c2") is None
    assert VoteRecord.load(granted.dump()) == granted
    assert granted.dump() == (
        b'{"promised": 3, "to": "c1", "pair": {"epoch": 3, "primary": "c1", "backups": ["c2"], '
        b'"voters": {"c1": "d1"}, "previous_voters": {}}}'
    )
    promised_later = granted.prepare(4, "c2")
    assert (
        promised_later and promised_later.grant(replica_set, "c1") is None and promised_later.replica_set == replica_set
    )


def test_a_dropped_backup_cannot_come_back_with_old_state() -> None:
    voters = {f"c{i}": f"d{i}" for i in range(1, 5)}
    old, new = ReplicaSet(1, "c1", ("c2",), voters), ReplicaSet(2, "c1", ("c3",), voters)

    def may_lead_reason(
        candidate: str,
        state_epoch: int,
        own_replica_set: ReplicaSet,
        granted_replica_sets: dict[str, ReplicaSet],
        promised_disks: Voters,
    ) -> str:
        return may_lead(candidate, state_epoch, own_replica_set, granted_replica_sets, voters, promised_disks)

    three_voters = {n: voters[n] for n in ("c2", "c3", "c4")}
    # The epoch without c2 was granted by c1, c3 and c4: c2 hears two of them and may not lead.
    assert "epoch 2" in may_lead_reason("c2", 1, old, {"c2": old, "c3": new, "c4": new}, three_voters)
    # Of those heard only c3 granted it, and c1 is missing: two of four are no majority.
    assert may_lead_reason("c2", 1, old, {"c2": old, "c3": new, "c4": old}, three_voters) == ""
    assert may_lead_reason("c3", 2, new, {"c2": old, "c3": new, "c4": new}, three_voters) == ""
    assert may_lead_reason("c4", 1, old, {"c2": old, "c4": old, "c3": old}, three_voters).startswith("not of the pair")
    assert may_lead_reason("c2", 1, old, {"c2": old, "c4": old}, {"c2": "d2", "c4": "d4"}) == "no majority answered"
    assert may_lead_reason("c2", 1, old, {"c2": old}, three_voters | {"c3": "wiped"}) == "no majority answered"


def test_an_answer_counts_for_the_disk_and_the_epoch_that_gave_it() -> None:
    replica_set = ReplicaSet(4, "c1", ("c2",), {"c1": "d1", "c2": "d2", "c3": "d3"})
    assert replica_set.acknowledged_by_all_backups([Acknowledgement("c2", "d2", 4)])
    assert not replica_set.acknowledged_by_all_backups([Acknowledgement("c2", "new", 4)])
    assert not replica_set.acknowledged_by_all_backups([Acknowledgement("c2", "d2", 3)])
    assert not replica_set.acknowledged_by_all_backups([Acknowledgement("c3", "d3", 4)])
    assert acknowledging_disks([Acknowledgement("c2", "d2", 4), Acknowledgement("c3", "d3", 3)], 4) == {"c2": "d2"}


def test_a_disk_that_the_replica_set_does_not_name_may_not_lead_with_its_state() -> None:
    voters = {f"c{i}": f"d{i}" for i in range(1, 6)}
    own = ReplicaSet(1, "c1", ("c2",), voters)
    promised_disks = {"c2": "new", "c3": "d3", "c4": "d4", "c5": "d5"}
    assert may_lead("c2", 1, own, dict.fromkeys(promised_disks, own), voters, promised_disks).startswith(
        "not of the pair"
    )
    assert may_lead("c2", 1, own, dict.fromkeys(promised_disks, own), voters, promised_disks | {"c2": "d2"}) == ""


def test_a_prevote_needs_most_voters_by_disk_or_every_member() -> None:
    voters = {f"c{i}": f"d{i}" for i in range(1, 5)}

    def is_won(*answers: PreVote) -> bool:
        return may_campaign(voters, voters, answers)

    supporters = [PreVote(n, d, False) for n, d in voters.items()]
    assert not is_won() and not is_won(*supporters[:2]) and is_won(*supporters[:3])
    assert not is_won(*supporters[:2], PreVote("c3", "d3", True)), "c3 hears a primary"
    assert not is_won(*supporters[:2], PreVote("c3", "new", False)), "another disk has no vote"
    # Half of the disks are lost: a campaign needs all members.
    assert is_won(*supporters[:2], PreVote("c3", "new", False), PreVote("c4", "new", False))
    assert not may_campaign([], {}, []) and may_campaign(["c1"], {}, [PreVote("c1", "d1", False)])


def test_two_campaigns_and_a_primary_heard_by_most_exclude_each_other() -> None:
    for size in range(1, 8):
        voters = {f"c{i}": f"d{i}" for i in range(size)}
        for hearing in range(size + 1):
            answers = [PreVote(n, d, i < hearing) for i, (n, d) in enumerate(voters.items())]
            assert may_campaign(voters, voters, answers) == (2 * (size - hearing) > size)


def test_a_primary_is_in_touch_while_most_voters_answered_since() -> None:
    voters = {f"c{i}": f"d{i}" for i in range(1, 5)}
    assert in_touch(voters, {"c1": 5.0, "c2": 4.0, "c3": 3.0}, 3.0)
    assert not in_touch(voters, {"c1": 5.0, "c2": 4.0, "c3": 2.9}, 3.0)
    assert not in_touch(voters, {"c1": 5.0, "c2": 4.0, "stranger": 5.0}, 3.0)


def test_an_acknowledgement_rests_on_all_holders_and_most_voters() -> None:
    for size in range(1, 8):
        voters = {f"c{i}": f"d{i}" for i in range(size)}
        for backups in range(min(size, 3)):
            replica_set = ReplicaSet(4, "c0", tuple(f"c{i}" for i in range(1, backups + 1)), voters)
            for selection in range(1 << size):
                members = [f"c{i}" for i in range(size) if selection >> i & 1]
                answers = [Acknowledgement(n, voters[n], 4) for n in members]
                expected = set(replica_set.holders) <= set(members) and 2 * len(members) > size
                assert replica_set.confirmed_by(answers) == expected, (size, backups, members)
                others = [Acknowledgement(n, "new", 4) for n in members] + [
                    Acknowledgement(n, voters[n], 3) for n in members
                ]
                assert not replica_set.confirmed_by(others)
                assert (
                    not replica_set.confirmed_by([*others, Acknowledgement("c0", voters["c0"], 4)])
                    or size == 1
                    and not backups
                )


# --- voters of an epoch that is not known to be granted
THREE: Voters = {"c1": "d1", "c2": "d2", "c3": "d3"}
WIPED: Voters = THREE | {"c3": "new"}


def test_a_replica_set_without_previous_voters_is_settled_also_in_the_form_of_earlier_releases() -> None:
    raw = {"epoch": 3, "primary": "c1", "backups": ["c2"], "voters": THREE}
    assert (
        ReplicaSet.from_json(raw)
        == ReplicaSet(3, "c1", ("c2",), THREE)
        == ReplicaSet.from_json(raw | {"previous_voters": {}})
    )
    unsettled = ReplicaSet(3, "c1", ("c2",), WIPED, THREE)
    assert ReplicaSet.from_json(raw | {"voters": WIPED, "previous_voters": THREE}) == unsettled
    assert unsettled.settled() == ReplicaSet(3, "c1", ("c2",), WIPED)
    promised = VoteRecord().prepare(3, "c1")
    assert promised is not None
    granted = promised.grant(unsettled, "c1")
    assert granted is not None and VoteRecord.load(granted.dump()) == granted


def test_an_epoch_carries_the_voters_before_it_only_where_they_differ() -> None:
    settled = ReplicaSet(1, "c1", ("c2",), THREE)
    assert previous_voters(settled, THREE) == {}
    assert previous_voters(settled, WIPED) == THREE
    assert voters_after(settled, WIPED) == WIPED


def test_voters_change_only_from_a_settled_replica_set() -> None:
    unsettled = ReplicaSet(2, "c2", ("c3",), WIPED, THREE)
    assert voters_after(unsettled, {"c2": "d2", "c3": "new"}) == WIPED
    assert previous_voters(unsettled, WIPED) == THREE


def test_an_unsettled_epoch_is_granted_by_majorities_of_both_sets_of_voters() -> None:
    unsettled = ReplicaSet(2, "c2", ("c3",), WIPED, THREE)
    for selection in range(1 << 4):
        answers = [("c1", "d1"), ("c2", "d2"), ("c3", "d3"), ("c3", "new")]
        granted = dict(a for i, a in enumerate(answers) if selection >> i & 1)
        both_majorities = majority(THREE, granted) and majority(WIPED, granted)
        assert unsettled.elected_by(granted) == both_majorities
        assert unsettled.settled().elected_by(granted) == majority(WIPED, granted)


def test_the_new_voters_of_an_epoch_that_nobody_granted_elect_no_primary() -> None:
    # c1 leads epoch 3, granted by c1 and the disk that c3 had; c2's epoch 2 names the disk that c3 has now.
    first, third = ReplicaSet(1, "c1", ("c2",), THREE), ReplicaSet(3, "c1", ("c3",), THREE)
    proposed = ReplicaSet(2, "c2", ("c3",), WIPED, THREE)
    promised_disks = {"c2": "d2", "c3": "new"}
    assert (
        may_lead("c3", 2, proposed, {"c2": first, "c3": ReplicaSet()}, WIPED, promised_disks) == "no majority answered"
    )
    # With c1 a majority of both sets answers, and epoch 3 prevents the takeover, since the previous voters granted it.
    granted_replica_sets = {"c1": third, "c2": first, "c3": ReplicaSet()}
    assert "epoch 3" in may_lead("c3", 2, proposed, granted_replica_sets, WIPED, promised_disks | {"c1": "d1"})
    assert may_lead("c3", 2, proposed.settled(), granted_replica_sets, WIPED, promised_disks | {"c1": "d1"}) == ""
