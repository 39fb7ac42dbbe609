"""Promises, grants and the rule of takeover."""

from __future__ import annotations

from postpass.control.epochs import Acknowledgement, Pair, Voters, Witness, may_lead, votes


def test_a_witness_never_goes_back_and_names_one_pair_an_epoch() -> None:
    w = Witness()
    w1 = w.look(3, "c1")
    assert w1 and w1.look(3, "c2") is None and w1.look(2, "c1") is None
    pair = Pair(3, "c1", ("c2",), {"c1": "d1"})
    w2 = w1.grant(pair, "c1")
    assert w2 and w1.grant(Pair(3, "c2", ("c3",)), "c2") is None
    assert Witness.load(w2.dump()) == w2
    w3 = w2.look(4, "c2")
    assert w3 and w3.grant(pair, "c1") is None and w3.pair == pair


def test_a_dropped_backup_cannot_come_back_with_old_state() -> None:
    voters = {f"c{i}": f"d{i}" for i in range(1, 5)}
    old, new = Pair(1, "c1", ("c2",), voters), Pair(2, "c1", ("c3",), voters)

    def rule(me: str, whole: int, own: Pair, pairs: dict[str, Pair], got: Voters) -> str:
        return may_lead(me, whole, own, pairs, voters, got)

    three = {n: voters[n] for n in ("c2", "c3", "c4")}
    # The drop was granted by c1, c3, c4: c2 sees two of them and may not lead.
    assert "epoch 2" in rule("c2", 1, old, {"c2": old, "c3": new, "c4": new}, three)
    # Granted by c3 alone as far as is seen, c1 is missing: two of four are no majority.
    assert rule("c2", 1, old, {"c2": old, "c3": new, "c4": old}, three) == ""
    assert rule("c3", 2, new, {"c2": old, "c3": new, "c4": new}, three) == ""
    assert rule("c4", 1, old, {"c2": old, "c4": old, "c3": old}, three).startswith("not of the pair")
    assert rule("c2", 1, old, {"c2": old, "c4": old}, {"c2": "d2", "c4": "d4"}) == "no majority answered"
    assert rule("c2", 1, old, {"c2": old}, three | {"c3": "wiped"}) == "no majority answered"


def test_an_answer_counts_for_the_disk_and_the_epoch_that_gave_it() -> None:
    pair = Pair(4, "c1", ("c2",), {"c1": "d1", "c2": "d2", "c3": "d3"})
    assert pair.copied_to_all([Acknowledgement("c2", "d2", 4)])
    assert not pair.copied_to_all([Acknowledgement("c2", "new", 4)])
    assert not pair.copied_to_all([Acknowledgement("c2", "d2", 3)])
    assert not pair.copied_to_all([Acknowledgement("c3", "d3", 4)])
    assert votes([Acknowledgement("c2", "d2", 4), Acknowledgement("c3", "d3", 3)], 4) == {"c2": "d2"}


def test_a_disk_that_the_replica_set_does_not_name_may_not_lead_with_its_state() -> None:
    voters = {f"c{i}": f"d{i}" for i in range(1, 6)}
    own = Pair(1, "c1", ("c2",), voters)
    got = {"c2": "new", "c3": "d3", "c4": "d4", "c5": "d5"}
    assert may_lead("c2", 1, own, dict.fromkeys(got, own), voters, got).startswith("not of the pair")
    assert may_lead("c2", 1, own, dict.fromkeys(got, own), voters, got | {"c2": "d2"}) == ""
