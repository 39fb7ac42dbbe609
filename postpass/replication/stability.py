"""The language of stability predicates, as in the Stabilizer paper (section III-C).

A predicate computes, from the sequence numbers that the nodes have acknowledged, the sequence number up to which records
are covered: the stability frontier. The operators have the meaning that they have in the paper: KTH_MAX(k, x) is the k-th
largest of x, KTH_MIN(k, x) the k-th smallest. A value is reached by k nodes for KTH_MAX and by n-k+1 for KTH_MIN; the
sizes of the quorums follow from that and not from the names (docs/stabilizer.md shows the arithmetic).
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

DEFAULT_PREDICATE = "KTH_MAX(SIZEOF($ALLWNODES)/2+1, $ALLWNODES.persisted)"
ACKNOWLEDGEMENT_TYPES = ("received", "persisted")

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

# Returns the highest sequence number that a node has acknowledged: (node, type of acknowledgement) -> sequence number.
AcknowledgedSeq = Callable[[str, str], int]


@lru_cache(maxsize=1)
def _parser() -> Lark:
    """Returns the parser of predicates, which is created on first use."""
    return lark.Lark(GRAMMAR, parser="earley", propagate_positions=True)


@dataclass(frozen=True)
class PredicateScope:
    """The nodes and zones that a predicate may refer to. Invariant: `own_node` is in `zones`.

    Attributes:
        nodes: Names of the nodes, in the order in which $1, $2, … refer to them.
        zones: The zone of each node.
        own_node: Name of the node that evaluates the predicate.
    """

    nodes: tuple[str, ...]
    zones: tuple[tuple[str, str], ...]  # (node, zone)
    own_node: str

    def zone(self, node: str) -> str:
        """Returns the zone of a node; empty if it is unknown."""
        return dict(self.zones).get(node, "")


@dataclass(frozen=True)
class NodeSet:
    """A set of nodes in a predicate, with the type of acknowledgement that counts; an empty type is `persisted`."""

    names: tuple[str, ...]
    kind: str = ""


class PredicateError(Exception):
    """Raised for a predicate that can be parsed but not evaluated; the message says where and why."""


def _location(tree: Tree[Token] | Token) -> str:
    """Returns the column of a syntax node, for error messages."""
    if isinstance(tree, str):
        return f"column {tree.column}"
    return f"column {getattr(tree.meta, 'column', 1)}"


def _resolve_nodes(tree: Tree[Token], scope: PredicateScope) -> NodeSet:
    """Returns the nodes that a name such as $ALLWNODES refers to. Raises `PredicateError` for an unknown name or type."""
    name = str(tree.children[0])
    suffix = tree.children[1] if len(tree.children) > 1 else None
    kind = str(suffix)[1:] if suffix is not None else ""
    if kind and kind not in ACKNOWLEDGEMENT_TYPES:
        raise PredicateError(f"{_location(tree)}: unknown type .{kind}; known are {', '.join(ACKNOWLEDGEMENT_TYPES)}")
    if name == "ALLWNODES":
        names = scope.nodes
    elif name == "MYWNODE":
        names = (scope.own_node,)
    elif name == "MYAZWNODES":
        names = tuple(n for n in scope.nodes if scope.zone(n) == scope.zone(scope.own_node))
    elif name.startswith("WNODE_"):
        names = tuple(n for n in scope.nodes if n == name[6:])
        if not names:
            raise PredicateError(f"{_location(tree)}: unknown node {name[6:]}; known are {', '.join(scope.nodes)}")
    elif name.startswith("AZ_"):
        names = tuple(n for n in scope.nodes if scope.zone(n) == name[3:])
        if not names:
            raise PredicateError(f"{_location(tree)}: unknown or empty area {name[3:]}")
    elif name.isdigit():
        if not 1 <= int(name) <= len(scope.nodes):
            raise PredicateError(f"{_location(tree)}: ${name} is outside 1..{len(scope.nodes)}")
        names = (scope.nodes[int(name) - 1],)
    else:
        raise PredicateError(f"{_location(tree)}: unknown name ${name}")
    return NodeSet(names, kind)


def _evaluate(tree: Tree[Token] | Token, scope: PredicateScope) -> int | NodeSet:
    """Evaluates an expression to a number or a set of nodes, both of which are known once the scope is."""
    assert not isinstance(tree, str)
    if tree.data == "num":
        return int(str(tree.children[0]))
    if tree.data == "node":
        return _resolve_nodes(tree, scope)
    if tree.data == "group":
        operand = _evaluate(tree.children[0], scope)
        if len(tree.children) > 1 and tree.children[1] is not None:
            kind = str(tree.children[1])[1:]
            if not isinstance(operand, NodeSet):
                raise PredicateError(f"{_location(tree)}: .{kind} belongs to nodes, not to a number")
            if kind not in ACKNOWLEDGEMENT_TYPES:
                raise PredicateError(
                    f"{_location(tree)}: unknown type .{kind}; known are {', '.join(ACKNOWLEDGEMENT_TYPES)}"
                )
            return NodeSet(operand.names, kind)
        return operand
    if tree.data == "size":
        operand = _evaluate(tree.children[0], scope)
        if not isinstance(operand, NodeSet):
            raise PredicateError(f"{_location(tree)}: SIZEOF wants nodes")
        return len(operand.names)
    left, right = _evaluate(tree.children[0], scope), _evaluate(tree.children[1], scope)
    if isinstance(left, NodeSet) and isinstance(right, NodeSet) and tree.data == "minus":
        return NodeSet(tuple(n for n in left.names if n not in right.names), left.kind or right.kind)
    if isinstance(left, NodeSet) or isinstance(right, NodeSet):
        raise PredicateError(f"{_location(tree)}: nodes and numbers don't mix")
    if tree.data == "over" and right == 0:
        raise PredicateError(f"{_location(tree)}: division by zero")
    operators: dict[str, Callable[[int, int], int]] = {
        "plus": operator.add,
        "minus": operator.sub,
        "times": operator.mul,
        "over": operator.floordiv,
    }
    return operators[str(tree.data)](left, right)


def _compile(tree: Tree[Token], scope: PredicateScope) -> Callable[[AcknowledgedSeq], int]:
    """Compiles an operator with its operands. Raises `PredicateError` if it can't be evaluated in this scope."""
    operator_name = str(tree.children[0])
    operand_list = tree.children[1]
    assert not isinstance(operand_list, str)
    args = list(operand_list.children)
    rank = 1
    if operator_name.startswith("KTH"):
        if len(args) < 2:
            raise PredicateError(f"{_location(tree)}: {operator_name} wants a number and a set")
        first_value = _evaluate(args[0], scope) if not isinstance(args[0], str) and args[0].data != "pred" else None
        if not isinstance(first_value, int):
            raise PredicateError(f"{_location(args[0])}: {operator_name} wants a number first")
        rank, args = first_value, args[1:]
    operands: list[Callable[[AcknowledgedSeq], int]] = []
    for arg in args:
        assert not isinstance(arg, str)
        if arg.data == "pred":
            operands.append(_compile(arg, scope))
            continue
        value = _evaluate(arg, scope)
        if isinstance(value, int):
            raise PredicateError(f"{_location(arg)}: a bare number is no operand of {operator_name}")
        kind = value.kind or "persisted"
        operands += [lambda count, node=node, kind=kind: count(node, kind) for node in value.names]  # type: ignore[misc]
    if not operands:
        raise PredicateError(f"{_location(tree)}: {operator_name} over an empty set")
    if not 1 <= rank <= len(operands):
        raise PredicateError(f"{_location(tree)}: k is {rank}, outside 1..{len(operands)}")
    descending = operator_name.endswith("MAX")
    return lambda count: sorted((operand(count) for operand in operands), reverse=descending)[rank - 1]


@lru_cache(maxsize=256)
def compile_predicate(text: str, scope: PredicateScope) -> Result[Callable[[AcknowledgedSeq], int], str]:
    """Compiles a predicate.

    Args:
        text: The predicate.
        scope: The nodes and zones that it may refer to.

    Returns:
        A function that computes the sequence number up to which the predicate holds, from a function that yields the
        acknowledged sequence number of a node; or an error message that says what is wrong and where.
    """
    try:
        tree = _parser().parse(text)
        root = tree.children[0]
        assert not isinstance(root, str)
        return Ok(_compile(root, scope))
    except lark.exceptions.UnexpectedInput as error:
        return Err(f"column {getattr(error, 'column', len(text))}: cannot be read as a predicate")
    except PredicateError as error:
        return Err(str(error))


def covers(predicate: Callable[[AcknowledgedSeq], int], synced: Iterable[str]) -> bool:
    """Returns whether the predicate holds for a record that only the nodes in `synced` have on disk."""
    synced_nodes = frozenset(synced)
    return predicate(lambda node, kind: 1 if node in synced_nodes else 0) >= 1


def minimal_quorums(predicate: Callable[[AcknowledgedSeq], int], nodes: tuple[str, ...]) -> list[frozenset[str]]:
    """Returns the minimal sets of nodes that cover a record, that is, those without a smaller covering subset."""
    covering_sets = [
        frozenset(c) for n in range(1, len(nodes) + 1) for c in itertools.combinations(nodes, n) if covers(predicate, c)
    ]
    return [s for s in covering_sets if not any(t < s for t in covering_sets)]


def loss_flaw(text: str, scope: PredicateScope) -> str:
    """Returns a message that names a tolerated loss (one disk, or one zone) that could destroy a covered record.

    Returns an empty string if no such loss can, and the compiler's message for an invalid predicate. Copies that are only
    `received` are lost with the power, so only synced copies are counted as copies; the worst case is assumed, in which
    every node has received the record.
    """
    compiled = compile_predicate(text, scope)
    if isinstance(compiled, Err):
        return compiled.unwrap_err()
    predicate = compiled.unwrap()
    zones = sorted({a for n, a in scope.zones if n in scope.nodes})
    losses = [(f"the disk of {n}", frozenset({n})) for n in scope.nodes] + [
        (f"area {a}", frozenset(n for n in scope.nodes if scope.zone(n) == a)) for a in zones
    ]
    for synced in (frozenset(c) for n in range(len(scope.nodes) + 1) for c in itertools.combinations(scope.nodes, n)):
        covered = predicate(lambda node, kind, synced=synced: 1 if kind == "received" or node in synced else 0) >= 1  # type: ignore[misc]
        if not covered:
            continue
        for loss_name, lost in losses:
            if synced <= lost:
                holders = ", ".join(sorted(synced)) or "no synced disk at all"
                return f"does not survive the loss of {loss_name}: it holds with copies on {holders} alone"
    return ""


def promises_suffice(
    predicate: Callable[[AcknowledgedSeq], int], nodes: tuple[str, ...], voters: Iterable[str]
) -> bool:
    """Returns whether promises of the nodes in `voters` suffice to lead: whether this set intersects every covering set,
    so that it knows every covered record, and every other set of promises that suffices."""
    voting_nodes = frozenset(voters) & frozenset(nodes)
    return 2 * len(voting_nodes) > len(nodes) and not covers(predicate, frozenset(nodes) - voting_nodes)


def confirm_suffice(predicate: Callable[[AcknowledgedSeq], int], nodes: tuple[str, ...], voters: Iterable[str]) -> bool:
    """Returns whether confirmations of the nodes in `voters` suffice: whether no new owner can have been elected without
    the promise of one of them."""
    voting_nodes = frozenset(voters) & frozenset(nodes)
    return not promises_suffice(predicate, nodes, frozenset(nodes) - voting_nodes)
