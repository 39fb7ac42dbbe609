"""Libraries that are loaded when they are first used: a process that is started anew answers sooner without them.

After a loss of power all daemons start at once, and nothing is served until they listen; on a slow machine loading a library
for HTTP clients or for parsers takes longer than all else, and most daemons of an announced fleet never use it.
"""

from __future__ import annotations

import importlib
from typing import Any


class DeferredModule:
    """Stands for a module by its name; looking anything up in it loads it."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __getattr__(self, attribute: str) -> Any:
        return getattr(importlib.import_module(self._name), attribute)
