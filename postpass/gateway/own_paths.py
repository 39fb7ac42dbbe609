"""The paths that an edge serves itself at every host, before any route of the configuration.

Clients read and end their jobs at these paths. A route whose prefix begins such a path, as one at the root of a host does,
must not take these requests: jobs stay readable whatever routes come and go.
"""

from __future__ import annotations

from dataclasses import dataclass

from starlette.types import ASGIApp

READING = frozenset({"GET", "HEAD"})
READING_AND_ENDING = READING | {"DELETE"}


@dataclass(frozen=True)
class OwnPath:
    """The paths of one segment below `prefix`, which begins and ends with a slash, for requests with these methods.

    Paths are compared raw, as routes are: one that is written with percent signs is another path.
    """

    prefix: bytes
    methods: frozenset[str]

    def includes(self, method: str, raw_path: bytes) -> bool:
        """Returns whether a request is for one of these paths."""
        if method not in self.methods or not raw_path.startswith(self.prefix):
            return False
        segment = raw_path[len(self.prefix) :]
        return bool(segment) and b"/" not in segment


@dataclass(frozen=True)
class OwnPages:
    """What an edge serves at its own paths: `app` handles every request that one of `paths` includes."""

    paths: tuple[OwnPath, ...]
    app: ASGIApp

    def include(self, method: str, raw_path: bytes) -> bool:
        """Returns whether a request is for one of the paths."""
        return any(path.includes(method, raw_path) for path in self.paths)
