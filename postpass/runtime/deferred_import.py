"""Libraries that are loaded when they are first used, so that a process that starts answers sooner.

After a power loss all daemons start at once, and nothing is served until they listen. On a slow machine, loading a
library for HTTP clients or for parsers takes longer than the rest of the start, and most daemons of an announced fleet
never use such a library.
"""

from __future__ import annotations

import importlib
from typing import Any


class DeferredModule:
    """A placeholder for a module, which is imported when one of its attributes is first read."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __getattr__(self, attribute: str) -> Any:
        return getattr(importlib.import_module(self._name), attribute)
