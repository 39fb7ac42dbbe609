"""Checks of how the sources read: names, docstrings and imports, read from the syntax trees without running anything.

A package that was moved to the standard terms of the field is named in `MOVED`; each that follows is added there and
to ruff's `per-file-ignores` in `pyproject.toml`.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2] / "postpass"
PLATFORM = ROOT.parent / "platform"  # held to the same terms and rules; it is no package
MOVED = (
    "control", "replication", "batch", "gateway", "worker_api", "membership", "feed", "daemon", "cli", "storage",
    "configuration", "rpc", "runtime", "routing", "tenants", "http_server",
)  # fmt: skip
# House words and metaphors on the left, and what the field calls them.
STANDARD_TERMS = {
    "backlog": "queue", "call": "request", "caller": "client", "area": "zone", "shed": "reject", "way": "route",
    "edition": "version", "beat": "heartbeat", "lapse": "timeout",
}  # fmt: skip
MOVED_TERMS = STANDARD_TERMS | {
    "crew": "members", "fall": "step_down", "held": "replicated state", "hush": "silence", "kick": "wake", "knock": "probe",
    "look": "prepare", "manifest": "configuration", "nap": "wait", "pair": "replica set", "rise": "lead after restart",
    "stand": "run election", "sure": "confirm leadership", "tell": "notify", "tend": "reconcile", "whole": "state epoch",
}  # fmt: skip
INDEX_NAMES = frozenset({"i", "j", "k", "_"})
TYPING_GUARD = "TYPE_CHECKING"


def forms(terms: dict[str, str]) -> dict[str, str]:
    """Each word with its plural and its past, and what to say instead."""
    return {form: want for word, want in terms.items() for form in (word, word + "s", word + "ed", word + "d")}


def words(name: str) -> list[str]:
    """The words of a name in snake case, camel case or capitals."""
    if name.isupper():
        return name.lower().split("_")
    return re.findall("[a-z]+", re.sub("([A-Z])", r"_\1", name).lower())


def defined_names(tree: ast.AST) -> Iterator[str]:
    """Classes, functions, their parameters, fields, attributes of self, and constants."""
    for node in ast.walk(tree):
        match node:
            case ast.ClassDef():
                yield node.name
                yield from (
                    b.target.id for b in node.body if isinstance(b, ast.AnnAssign) and isinstance(b.target, ast.Name)
                )
            case ast.FunctionDef() | ast.AsyncFunctionDef():
                if not node.name.startswith(("test_", "__")):
                    yield node.name
                yield from (a.arg for a in parameters(node))
            case ast.Attribute(value=ast.Name(id="self"), ctx=ast.Store()):
                yield node.attr
            case ast.Module():
                yield from (
                    t.id for n in node.body if isinstance(n, ast.Assign) for t in n.targets if isinstance(t, ast.Name)
                )


def parameters(node: ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda) -> list[ast.arg]:
    """All parameters of a function."""
    spec = node.args
    rest = [a for a in (spec.vararg, spec.kwarg) if a is not None]
    return [*spec.posonlyargs, *spec.args, *spec.kwonlyargs, *rest]


def withdrawn_names(source: str, terms: dict[str, str]) -> set[str]:
    """Names that hold a word which the field has another one for, each with that one."""
    banned = forms(terms)
    return {f"{n}: say {banned[w]}" for n in defined_names(ast.parse(source)) for w in words(n) if w in banned}


def one_letter_names(source: str) -> list[str]:
    """One-letter names with their lines, but for those that are bound by a comprehension, and indices."""
    tree = ast.parse(source)
    in_comprehensions = {
        id(name) for node in ast.walk(tree) if isinstance(node, ast.comprehension) for name in ast.walk(node.target)
    }
    found: list[tuple[int, str]] = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store) and id(node) not in in_comprehensions:
            found.append((node.lineno, node.id))
        elif isinstance(node, ast.arg):
            found.append((node.lineno, node.arg))
    return [f"line {line}: {name}" for line, name in sorted(found) if len(name) == 1 and name not in INDEX_NAMES]


def module_name(path: Path, root: Path) -> str:
    """The dotted name of a source file below a package's folder."""
    parts = [root.name, *path.relative_to(root).with_suffix("").parts]
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports(source: str, known: set[str], typing: bool = True) -> set[str]:
    """The modules among `known` that a source imports, anywhere in it; without `typing`, only those that a run does."""
    found: set[str] = set()

    def walk(node: ast.AST) -> None:
        if not typing and isinstance(node, ast.If) and ast.unparse(node.test).endswith(TYPING_GUARD):
            return
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                full = f"{node.module}.{alias.name}"
                found.add(full if full in known else node.module)
        for child in ast.iter_child_nodes(node):
            walk(child)

    walk(ast.parse(source))
    return found & known


def import_graph(root: Path = ROOT, typing: bool = True) -> dict[str, set[str]]:
    """Each module of a package with the modules of the same package that it imports."""
    sources = {module_name(p, root): p.read_text() for p in sorted(root.rglob("*.py"))}
    return {name: imports(source, set(sources), typing) - {name} for name, source in sources.items()}


def reachable(graph: dict[str, set[str]], start: str) -> set[str]:
    """The modules that one imports, directly or through others."""
    seen: set[str] = set()
    waiting = [start]
    while waiting:
        for module in graph[waiting.pop()] - seen:
            seen.add(module)
            waiting.append(module)
    return seen


def circles(graph: dict[str, set[str]]) -> set[frozenset[str]]:
    """The sets of modules that import each other, directly or through others."""
    reach = {module: reachable(graph, module) for module in graph}
    return {
        frozenset(other for other in graph if other in reach[module] and module in reach[other])
        for module in graph
        if module in reach[module]
    }


def upward_imports(graph: dict[str, set[str]], package: str, layers: tuple[str, ...]) -> list[str]:
    """Imports within a package from a lower layer to a higher one; a module that has no layer is told as well."""
    level = {f"{package}.{name}": number for number, name in enumerate(layers)} | {package: len(layers)}
    mine = [module for module in graph if module == package or module.startswith(package + ".")]
    found = [f"{module} stands in no layer" for module in mine if module not in level]
    for module in mine:
        for other in sorted(graph[module] & level.keys()):
            if module in level and level[other] >= level[module]:
                found.append(f"{module} imports {other}")
    return found
