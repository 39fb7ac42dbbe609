"""Tests of postpass.replication.stability."""

from __future__ import annotations

from postpass.replication.stability import (
    DEFAULT,
    PredicateScope,
    build,
    confirm_suffice,
    loss_flaw,
    minimal_quorums,
    promises_suffice,
)


def four(*zones: str) -> PredicateScope:
    names = tuple(f"s{i + 1}" for i in range(len(zones)))
    return PredicateScope(names, tuple(zip(names, zones, strict=True)), "s1")


SCENE = four("a", "b", "c", "d")


def test_operators_keep_the_sources_meaning() -> None:
    have = {"s1": 18, "s2": 28, "s3": 5, "s4": 9}

    def run(text: str) -> int:
        return build(text, SCENE).unwrap()(lambda n, k: have[n] if k == "persisted" else have[n] + 100)

    assert run("MAX($ALLWNODES-$MYWNODE)") == 28
    assert run("MIN($ALLWNODES)") == 5
    assert run("KTH_MAX(2, $ALLWNODES)") == 18
    assert run("KTH_MIN(2, $ALLWNODES)") == 9
    assert run("MIN(MAX($AZ_b, $3), $WNODE_s4.received)") == 28
    assert run("KTH_MAX(SIZEOF($ALLWNODES - $MYWNODE)/2+1, ($ALLWNODES-$MYWNODE).received)") == 109
    assert run("MAX($MYAZWNODES)") == 18


def test_trap_one_kth_min_is_no_majority_of_four() -> None:
    source = build("KTH_MIN(SIZEOF($ALLWNODES)/2+1, $ALLWNODES)", SCENE).unwrap()
    ours = build(DEFAULT, SCENE).unwrap()
    assert {len(q) for q in minimal_quorums(source, SCENE.nodes)} == {2}
    assert {len(q) for q in minimal_quorums(ours, SCENE.nodes)} == {3}
    for n in range(1, 8):
        scene = four(*"abcdefg"[:n])
        assert {len(q) for q in minimal_quorums(build(DEFAULT, scene).unwrap(), scene.nodes)} == {n // 2 + 1}


def test_faults_are_named_with_their_place() -> None:
    def why(text: str) -> str:
        return str(build(text, SCENE).unwrap_err())

    assert why("MAX($NOPE)") == "column 5: unknown name $NOPE"
    assert why("KTH_MAX(5, $ALLWNODES)") == "column 1: k is 5, outside 1..4"
    assert why("MIN($MYWNODE - $ALLWNODES)") == "column 1: MIN over an empty set"
    assert "cannot be read" in why("MAX(")
    assert "unknown type .sealed" in why("MAX($1.sealed)")
    assert "outside 1..4" in why("MAX($9)")
    assert "unknown or empty area z" in why("MAX($AZ_z)")
    assert "unknown node s9" in why("MAX($WNODE_s9)")
    assert "division by zero" in why("KTH_MAX(1/0, $ALLWNODES)")
    assert "bare number" in why("MAX(3)")


def test_loss_check_names_the_loss() -> None:
    assert loss_flaw(DEFAULT, SCENE) == ""
    assert loss_flaw("MAX($ALLWNODES)", SCENE).startswith("does not survive the loss of the disk of s1")
    assert "no synced disk" in loss_flaw("MIN($ALLWNODES.received)", SCENE)
    pair = four("a", "a", "b", "c")
    assert "loss of area a" in loss_flaw("KTH_MAX(2, $ALLWNODES)", pair)
    assert loss_flaw(DEFAULT, four("a", "a", "a", "b")).startswith("does not survive the loss of area a")


def test_promises_meet_covering_sets_and_each_other() -> None:
    pred = build(DEFAULT, SCENE).unwrap()
    assert promises_suffice(pred, SCENE.nodes, ("s1", "s2", "s3"))
    assert not promises_suffice(pred, SCENE.nodes, ("s1", "s2"))
    assert confirm_suffice(pred, SCENE.nodes, ("s1", "s2"))
    assert not confirm_suffice(pred, SCENE.nodes, ("s1",))
    weak = build("KTH_MAX(2, $ALLWNODES)", SCENE).unwrap()
    assert not promises_suffice(weak, SCENE.nodes, ("s1", "s2"))
    assert promises_suffice(weak, SCENE.nodes, ("s1", "s2", "s3"))
