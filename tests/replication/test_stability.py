"""Tests of postpass.replication.stability."""

from __future__ import annotations

from postpass.replication.stability import (
    DEFAULT_PREDICATE,
    PredicateScope,
    compile_predicate,
    confirm_suffice,
    loss_flaw,
    minimal_quorums,
    promises_suffice,
)


def scope_over(*zones: str) -> PredicateScope:
    """Returns a scope with one node in each of the zones, evaluated by the first of them."""
    names = tuple(f"s{i + 1}" for i in range(len(zones)))
    return PredicateScope(names, tuple(zip(names, zones, strict=True)), "s1")


FOUR_ZONES = scope_over("a", "b", "c", "d")


def test_operators_have_the_meaning_of_the_paper() -> None:
    acknowledged = {"s1": 18, "s2": 28, "s3": 5, "s4": 9}

    def evaluate(text: str) -> int:
        return compile_predicate(text, FOUR_ZONES).unwrap()(
            lambda n, k: acknowledged[n] if k == "persisted" else acknowledged[n] + 100
        )

    assert evaluate("MAX($ALLWNODES-$MYWNODE)") == 28
    assert evaluate("MIN($ALLWNODES)") == 5
    assert evaluate("KTH_MAX(2, $ALLWNODES)") == 18
    assert evaluate("KTH_MIN(2, $ALLWNODES)") == 9
    assert evaluate("MIN(MAX($AZ_b, $3), $WNODE_s4.received)") == 28
    assert evaluate("KTH_MAX(SIZEOF($ALLWNODES - $MYWNODE)/2+1, ($ALLWNODES-$MYWNODE).received)") == 109
    assert evaluate("MAX($MYAZWNODES)") == 18


def test_kth_min_is_no_majority_of_four_and_the_default_is() -> None:
    kth_min = compile_predicate("KTH_MIN(SIZEOF($ALLWNODES)/2+1, $ALLWNODES)", FOUR_ZONES).unwrap()
    default = compile_predicate(DEFAULT_PREDICATE, FOUR_ZONES).unwrap()
    assert {len(q) for q in minimal_quorums(kth_min, FOUR_ZONES.nodes)} == {2}
    assert {len(q) for q in minimal_quorums(default, FOUR_ZONES.nodes)} == {3}
    for n in range(1, 8):
        scope = scope_over(*"abcdefg"[:n])
        assert {len(q) for q in minimal_quorums(compile_predicate(DEFAULT_PREDICATE, scope).unwrap(), scope.nodes)} == {
            n // 2 + 1
        }


def test_errors_name_their_column() -> None:
    def error(text: str) -> str:
        return str(compile_predicate(text, FOUR_ZONES).unwrap_err())

    assert error("MAX($NOPE)") == "column 5: unknown name $NOPE"
    assert error("KTH_MAX(5, $ALLWNODES)") == "column 1: k is 5, outside 1..4"
    assert error("MIN($MYWNODE - $ALLWNODES)") == "column 1: MIN over an empty set"
    assert "cannot be read" in error("MAX(")
    assert "unknown type .sealed" in error("MAX($1.sealed)")
    assert "outside 1..4" in error("MAX($9)")
    assert "unknown or empty area z" in error("MAX($AZ_z)")
    assert "unknown node s9" in error("MAX($WNODE_s9)")
    assert "division by zero" in error("KTH_MAX(1/0, $ALLWNODES)")
    assert "bare number" in error("MAX(3)")


def test_loss_check_names_the_loss() -> None:
    assert loss_flaw(DEFAULT_PREDICATE, FOUR_ZONES) == ""
    assert loss_flaw("MAX($ALLWNODES)", FOUR_ZONES).startswith("does not survive the loss of the disk of s1")
    assert "no synced disk" in loss_flaw("MIN($ALLWNODES.received)", FOUR_ZONES)
    two_in_one_zone = scope_over("a", "a", "b", "c")
    assert "loss of area a" in loss_flaw("KTH_MAX(2, $ALLWNODES)", two_in_one_zone)
    assert loss_flaw(DEFAULT_PREDICATE, scope_over("a", "a", "a", "b")).startswith(
        "does not survive the loss of area a"
    )


def test_promises_intersect_covering_sets_and_each_other() -> None:
    default = compile_predicate(DEFAULT_PREDICATE, FOUR_ZONES).unwrap()
    assert promises_suffice(default, FOUR_ZONES.nodes, ("s1", "s2", "s3"))
    assert not promises_suffice(default, FOUR_ZONES.nodes, ("s1", "s2"))
    assert confirm_suffice(default, FOUR_ZONES.nodes, ("s1", "s2"))
    assert not confirm_suffice(default, FOUR_ZONES.nodes, ("s1",))
    weak = compile_predicate("KTH_MAX(2, $ALLWNODES)", FOUR_ZONES).unwrap()
    assert not promises_suffice(weak, FOUR_ZONES.nodes, ("s1", "s2"))
    assert promises_suffice(weak, FOUR_ZONES.nodes, ("s1", "s2", "s3"))
