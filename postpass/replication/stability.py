"""The predicate language of the stability frontier, after Stabilizer (section III-C of the paper).

Operators keep the source's meaning: KTH_MAX(k, x) is the k-th largest of x, KTH_MIN(k, x) the k-th
smallest. A value is reached by k nodes for KTH_MAX and by n-k+1 for KTH_MIN; the quorum counts follow
from that and not from the names (docs/stabilizer.md shows the arithmetic).
"""

from __future__ import annotations

import itertools
import operator
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from postpass.runtime.deferred_import import DeferredModule

if TYPE_CHECKING:
    import lark
    from lark import Lark, Token, Tree
else:
    lark = DeferredModule("lark")

DEFAULT = "KTH_MAX(SIZEOF($ALLWNODES)/2+1, $ALLWNODES.persisted)"
TYPES = ("received", "persisted")

GRAMMAR = r"""
start: pred
pred: OP "(" args ")"
args: arg ("," arg)*
?arg: pred | sum
?sum: sum "+" term -> plus | sum "-" term -> minus | term
?term: term "*" atom -> times | term "/" atom -> over | atom
?atom: INT -> num | "SIZEOF" "(" sum ")" -> size | node | "(" sum ")" SUFFIX? -> group
node: "$" NAME SUFFIX?
OP: "KTH_MAX" | "KTH_MIN" | "MAX" | "MIN"
SUFFIX: "." /[a-z]+/
NAME: /[A-Za-z0-9_]+(-[A-Za-z0-9_]+)*/
INT: /[0-9]+/
%ignore /\s+/
"""

# What a node has reached: (node, type) -> sequence number.
Count = Callable[[str, str], int]


@lru_cache(maxsize=1)
def _parser() -> Lark:
    return lark.Lark(GRAMMAR, parser="earley", propagate_positions=True)


@dataclass(frozen=True)
class PredicateScope:
    """The nodes a predicate speaks of. Invariant: `me` is in `zones`; the order of `nodes` gives $1, $2, …"""

    nodes: tuple[str, ...]
    zones: tuple[tuple[str, str], ...]  # (node, zone)
    me: str

    def zone(self, node: str) -> str:
        """The zone of a node; empty if it is unknown."""
        return dict(self.zones).get(node, "")


@dataclass(frozen=True)
class NodeSet:
    """A set of nodes in a predicate, with the type of acknowledgement asked of them."""

    names: tuple[str, ...]
    kind: str = ""


class PredicateError(Exception):
    """A predicate that can be parsed and means nothing; its text says where and why."""


def _at(tree: Tree[Token] | Token) -> str:
    if isinstance(tree, str):
        return f"column {tree.column}"
    return f"column {getattr(tree.meta, 'column', 1)}"


def _nodes(tree: Tree[Token], scope: PredicateScope) -> NodeSet:
    name = str(tree.children[0])
    tail = tree.children[1] if len(tree.children) > 1 else None
    kind = str(tail)[1:] if tail is not None else ""
    if kind and kind not in TYPES:
        raise PredicateError(f"{_at(tree)}: unknown type .{kind}; known are {', '.join(TYPES)}")
    if name == "ALLWNODES":
        names = scope.nodes
    elif name == "MYWNODE":
        names = (scope.me,)
    elif name == "MYAZWNODES":
        names = tuple(n for n in scope.nodes if scope.zone(n) == scope.zone(scope.me))
    elif name.startswith("WNODE_"):
        names = tuple(n for n in scope.nodes if n == name[6:])
        if not names:
            raise PredicateError(f"{_at(tree)}: unknown node {name[6:]}; known are {', '.join(scope.nodes)}")
    elif name.startswith("AZ_"):
        names = tuple(n for n in scope.nodes if scope.zone(n) == name[3:])
        if not names:
            raise PredicateError(f"{_at(tree)}: unknown or empty area {name[3:]}")
    elif name.isdigit():
        if not 1 <= int(name) <= len(scope.nodes):
            raise PredicateError(f"{_at(tree)}: ${name} is outside 1..{len(scope.nodes)}")
        names = (scope.nodes[int(name) - 1],)
    else:
        raise PredicateError(f"{_at(tree)}: unknown name ${name}")
    return NodeSet(names, kind)


def _value(tree: Tree[Token] | Token, scope: PredicateScope) -> int | NodeSet:
    """Folds numbers and node sets; both are known once the scene is."""
    assert not isinstance(tree, str)
    if tree.data == "num":
        return int(str(tree.children[0]))
    if tree.data == "node":
        return _nodes(tree, scope)
    if tree.data == "group":
        inner = _value(tree.children[0], scope)
        if len(tree.children) > 1 and tree.children[1] is not None:
            kind = str(tree.children[1])[1:]
            if not isinstance(inner, NodeSet):
                raise PredicateError(f"{_at(tree)}: .{kind} belongs to nodes, not to a number")
            if kind not in TYPES:
                raise PredicateError(f"{_at(tree)}: unknown type .{kind}; known are {', '.join(TYPES)}")
            return NodeSet(inner.names, kind)
        return inner
    if tree.data == "size":
        inner = _value(tree.children[0], scope)
        if not isinstance(inner, NodeSet):
            raise PredicateError(f"{_at(tree)}: SIZEOF wants nodes")
        return len(inner.names)
    left, right = _value(tree.children[0], scope), _value(tree.children[1], scope)
    if isinstance(left, NodeSet) and isinstance(right, NodeSet) and tree.data == "minus":
        return NodeSet(tuple(n for n in left.names if n not in right.names), left.kind or right.kind)
    if isinstance(left, NodeSet) or isinstance(right, NodeSet):
        raise PredicateError(f"{_at(tree)}: nodes and numbers don't mix")
    if tree.data == "over" and right == 0:
        raise PredicateError(f"{_at(tree)}: division by zero")
    sums: dict[str, Callable[[int, int], int]] = {
        "plus": operator.add,
        "minus": operator.sub,
        "times": operator.mul,
        "over": operator.floordiv,
    }
    return sums[str(tree.data)](left, right)


def _fold(tree: Tree[Token], scope: PredicateScope) -> Callable[[Count], int]:
    op = str(tree.children[0])
    inner = tree.children[1]
    assert not isinstance(inner, str)
    args = list(inner.children)
    rank = 1
    if op.startswith("KTH"):
        if len(args) < 2:
            raise PredicateError(f"{_at(tree)}: {op} wants a number and a set")
        head = _value(args[0], scope) if not isinstance(args[0], str) and args[0].data != "pred" else None
        if not isinstance(head, int):
            raise PredicateError(f"{_at(args[0])}: {op} wants a number first")
        rank, args = head, args[1:]
    leaves: list[Callable[[Count], int]] = []
    for arg in args:
        assert not isinstance(arg, str)
        if arg.data == "pred":
            leaves.append(_fold(arg, scope))
            continue
        val = _value(arg, scope)
        if isinstance(val, int):
            raise PredicateError(f"{_at(arg)}: a bare number is no operand of {op}")
        kind = val.kind or "persisted"
        leaves += [lambda count, node=node, kind=kind: count(node, kind) for node in val.names]  # type: ignore[misc]
    if not leaves:
        raise PredicateError(f"{_at(tree)}: {op} over an empty set")
    if not 1 <= rank <= len(leaves):
        raise PredicateError(f"{_at(tree)}: k is {rank}, outside 1..{len(leaves)}")
    most = op.endswith("MAX")
    return lambda count: sorted((leaf(count) for leaf in leaves), reverse=most)[rank - 1]


@lru_cache(maxsize=256)
def build(text: str, scope: PredicateScope) -> Result[Callable[[Count], int], str]:
    """Folds a predicate into a closure, or says what is wrong and where."""
    try:
        tree = _parser().parse(text)
        root = tree.children[0]
        assert not isinstance(root, str)
        return Ok(_fold(root, scope))
    except lark.exceptions.UnexpectedInput as bad:
        return Err(f"column {getattr(bad, 'column', len(text))}: cannot be read as a predicate")
    except PredicateError as bad:
        return Err(str(bad))


def covers(predicate: Callable[[Count], int], synced: Iterable[str]) -> bool:
    """Does the predicate hold for a record that just the nodes in `synced` keep on disk?"""
    have = frozenset(synced)
    return predicate(lambda node, kind: 1 if node in have else 0) >= 1


def quorums(predicate: Callable[[Count], int], nodes: tuple[str, ...]) -> list[frozenset[str]]:
    """The smallest sets that cover."""
    sets = [
        frozenset(c) for n in range(1, len(nodes) + 1) for c in itertools.combinations(nodes, n) if covers(predicate, c)
    ]
    return [s for s in sets if not any(t < s for t in sets)]


def loss_flaw(text: str, scope: PredicateScope) -> str:
    """Names the tolerated loss (one disk, or one zone) that could take a covered record; empty if none can.

    `received` copies vanish with the power, so only synced ones are counted: a node counts for
    `received` as it does for nothing.
    """
    built = build(text, scope)
    if isinstance(built, Err):
        return built.unwrap_err()
    predicate = built.unwrap()
    zones = sorted({a for n, a in scope.zones if n in scope.nodes})
    losses = [(f"the disk of {n}", frozenset({n})) for n in scope.nodes] + [
        (f"area {a}", frozenset(n for n in scope.nodes if scope.zone(n) == a)) for a in zones
    ]
    for synced in (frozenset(c) for n in range(len(scope.nodes) + 1) for c in itertools.combinations(scope.nodes, n)):
        covered = predicate(lambda node, kind, synced=synced: 1 if kind == "received" or node in synced else 0) >= 1  # type: ignore[misc]
        if not covered:
            continue
        for what, lost in losses:
            if synced <= lost:
                where = ", ".join(sorted(synced)) or "no synced disk at all"
                return f"does not survive the loss of {what}: it holds with copies on {where} alone"
    return ""


def promises_suffice(predicate: Callable[[Count], int], nodes: tuple[str, ...], got: Iterable[str]) -> bool:
    """True if `got` meets every covering set and every other set of promises."""
    have = frozenset(got) & frozenset(nodes)
    return 2 * len(have) > len(nodes) and not covers(predicate, frozenset(nodes) - have)


def confirm_suffice(predicate: Callable[[Count], int], nodes: tuple[str, ...], got: Iterable[str]) -> bool:
    """True if no new owner can have been promised without one of `got` knowing."""
    have = frozenset(got) & frozenset(nodes)
    return not promises_suffice(predicate, nodes, frozenset(nodes) - have)
