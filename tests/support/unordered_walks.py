"""Finds walks over sets whose order could reach the outside, from the syntax trees alone.

A set of strings is walked in the order of a hash that differs from process to process, a set of objects in that of
their addresses. Sets of numbers are walked alike everywhere. What is known to be a set is known by its form: a display,
a call of `set` or `frozenset`, an operation of sets, or a name, attribute or function that is annotated as one. This
finds no set that comes from a function of a library, nor one that is handed on as a collection.
"""

from __future__ import annotations

import ast
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

SET_TYPES = frozenset({"set", "frozenset", "Set", "AbstractSet", "MutableSet"})
NUMBERS = frozenset({"int", "float", "bool"})
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef, ast.Lambda)
SET_OPERATORS = (ast.BitOr, ast.BitAnd, ast.Sub, ast.BitXor)
SET_METHODS = frozenset({"union", "difference", "intersection", "symmetric_difference"})
# Whoever takes a walk and gives the same for each order of it.
ORDERLESS = frozenset({"set", "frozenset", "sorted", "any", "all", "len", "sum"})
# Whoever walks what it is given and keeps or follows the order.
WALKERS = frozenset({"list", "tuple", "iter", "enumerate", "zip", "map", "filter", "reversed", "next", "join", "extend",
                     "fromkeys", "chain", "min", "max", "deque", "OrderedSet"})  # fmt: skip


def _is_set_type(annotation: ast.expr | None) -> bool:
    match annotation:
        case ast.BinOp(left=left, op=ast.BitOr(), right=right):
            return _is_set_type(left) or _is_set_type(right)
        case ast.Subscript(value=ast.Name(id=name), slice=element):
            return name in SET_TYPES and not (isinstance(element, ast.Name) and element.id in NUMBERS)
        case ast.Name(id=name):
            return name in SET_TYPES
    return False


def _is_map_to_sets(annotation: ast.expr | None) -> bool:
    match annotation:
        case ast.Subscript(value=ast.Name(), slice=ast.Tuple(elts=[_, value])):
            return _is_set_type(value)
    return False


def _is_number(annotation: ast.expr | None) -> bool:
    return isinstance(annotation, ast.Name) and annotation.id in NUMBERS


@dataclass(frozen=True)
class Declarations:
    """What modules declare, by name alone: a name counts only if each declaration of it is of the kind."""

    sets: frozenset[str]  # attributes
    maps: frozenset[str]  # attributes that map to sets
    numbers: frozenset[str]  # attributes
    functions: frozenset[str]  # functions that return sets


def declarations(trees: Iterable[ast.AST]) -> Declarations:
    """Attributes of classes and of `self`, and functions."""
    attributes: defaultdict[str, list[ast.expr]] = defaultdict(list)
    functions: defaultdict[str, list[ast.expr | None]] = defaultdict(list)
    for node in (node for tree in trees for node in ast.walk(tree)):
        match node:
            case ast.ClassDef(body=body):
                for field in body:
                    if isinstance(field, ast.AnnAssign) and isinstance(field.target, ast.Name):
                        attributes[field.target.id].append(field.annotation)
            case ast.AnnAssign(target=ast.Attribute(attr=name), annotation=annotation):
                attributes[name].append(annotation)
            case ast.FunctionDef(name=name, returns=returns) | ast.AsyncFunctionDef(name=name, returns=returns):
                functions[name].append(returns)
    return Declarations(
        frozenset(name for name, found in attributes.items() if all(map(_is_set_type, found))),
        frozenset(name for name, found in attributes.items() if all(map(_is_map_to_sets, found))),
        frozenset(name for name, found in attributes.items() if all(map(_is_number, found))),
        frozenset(name for name, found in functions.items() if all(map(_is_set_type, found))),
    )


@dataclass(frozen=True)
class Scope:
    """One function, or what stands outside of all; `local` are its names that hold sets."""

    declared: Declarations
    local: frozenset[str] = frozenset()

    def is_set(self, node: ast.expr) -> bool:
        """Is it a set of something but numbers?"""
        match node:
            case ast.Name(id=name):
                return name in self.local
            case ast.Attribute(attr=name):
                return name in self.declared.sets
            case ast.Subscript(value=ast.Attribute(attr=name)):
                return name in self.declared.maps
            case ast.Set(elts=elements):
                return not all(map(self.is_number, elements))
            case ast.SetComp(elt=element):
                return not self.is_number(element)
            case ast.Call(func=ast.Name(id="set" | "frozenset")):
                return True
            case ast.Call(func=ast.Name(id=name) | ast.Attribute(attr=name)):
                return name in self.declared.functions or name in SET_METHODS
            case ast.BinOp(left=left, op=op, right=right) if isinstance(op, SET_OPERATORS):
                return self.is_set(left) or self.is_set(right)
        return False

    def is_number(self, node: ast.expr) -> bool:
        """Is it sure to be one?"""
        match node:
            case ast.Attribute(attr=name):
                return name in self.declared.numbers
            case ast.Constant(value=value):
                return isinstance(value, int)
        return False

    def within(self, nodes: list[ast.AST]) -> Scope:
        """This one, with what these nodes assign or annotate; a name that is a set once counts as one all along."""
        local = set(self.local)
        for node in nodes:
            match node:
                case ast.AnnAssign(target=ast.Name(id=name), annotation=annotation) if _is_set_type(annotation):
                    local.add(name)
                case ast.arg(arg=name, annotation=annotation) if _is_set_type(annotation):
                    local.add(name)
                case ast.Assign(targets=[ast.Name(id=name)], value=value) if self.is_set(value):
                    local.add(name)
        return Scope(self.declared, frozenset(local))


def _own_nodes(function: ast.AST) -> list[ast.AST]:
    """What belongs to a function or module but not to a function in it, nor to a method."""
    nodes, left = [], list(ast.iter_child_nodes(function))
    while left:
        node = left.pop()
        nodes.append(node)
        if not isinstance(node, FUNCTIONS):
            left += ast.iter_child_nodes(node)
    return nodes


def _walked(node: ast.AST) -> list[ast.expr]:
    """What a node walks, if it does so in an order that may count."""
    match node:
        case ast.For(iter=walked) | ast.AsyncFor(iter=walked) | ast.Starred(value=walked, ctx=ast.Load()):
            return [walked]
        case ast.ListComp(generators=parts) | ast.DictComp(generators=parts) | ast.GeneratorExp(generators=parts):
            return [part.iter for part in parts]
        case ast.Call(func=ast.Name(id=name) | ast.Attribute(attr=name), args=args) if name in WALKERS:
            return args
    return []


def _orderless(node: ast.AST) -> list[ast.expr]:
    """What of a node may be walked in any order."""
    match node:
        case ast.Call(func=ast.Name(id=name), args=args) if name in ORDERLESS:
            return args
        case ast.Set(elts=elements):
            return elements
        case ast.Expr(value=ast.Await(value=ast.Call(func=ast.Attribute(attr="gather"), args=args))):
            # Tasks that run already are waited for, and what they gave isn't asked.
            return [arg for arg in args if isinstance(arg, ast.Starred) and isinstance(arg.value, ast.Attribute)]
    return []


def _walks(function: ast.AST, outer: Scope) -> Iterator[ast.expr]:
    nodes = _own_nodes(function)
    scope = outer.within(nodes)
    harmless = {id(part) for node in nodes for part in _orderless(node)}
    for node in nodes:
        if isinstance(node, FUNCTIONS):
            yield from _walks(node, scope)
        elif id(node) not in harmless:
            yield from filter(scope.is_set, _walked(node))


def walked_sets(source: str, declared: Declarations | None = None) -> list[str]:
    """Each walk over a set in a module's text, as line and expression."""
    tree = ast.parse(source)
    found = _walks(tree, Scope(declared if declared is not None else declarations([tree])))
    return [f"{walked.lineno}: {ast.unparse(walked)}" for walked in sorted(found, key=lambda walked: walked.lineno)]
