"""Checksums of a configuration: by the sum over its parts where it changes often, else of the whole.

The sum over the parts of a tree is brought up to date by what changed, so that a change of an announced fleet costs no
more than its own size. The control journal (`postpass.control.journal`) sums its trees in the same way.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

from postpass.configuration.configuration import dump

PART_DEPTH = 4  # a configuration's parts down to the single server are summed each for itself
SUM_SPACE = 1 << 64


def parts_sum(tree: Any, path: str = "", depth: int = 0) -> int:
    """The sum over the parts of a JSON tree that stands at `path`, `depth` levels below the root."""
    if isinstance(tree, dict) and tree and depth < PART_DEPTH:
        return sum(parts_sum(value, f"{path}/{key}", depth + 1) for key, value in tree.items())
    text = f"{path} {json.dumps(tree, separators=(',', ':'), sort_keys=True)}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")


def parts_sum_difference(old: Any, new: Any, path: str = "", depth: int = 0) -> int:
    """`parts_sum(new) - parts_sum(old)`, without a look at what both share."""
    if old is new:
        return 0
    if not (isinstance(old, dict) and isinstance(new, dict) and old and new and depth < PART_DEPTH):
        return parts_sum(new, path, depth) - parts_sum(old, path, depth)
    below = depth + 1
    changed = sum(parts_sum_difference(old[k], v, f"{path}/{k}", below) for k, v in new.items() if k in old)
    added = sum(parts_sum(v, f"{path}/{k}", below) for k, v in new.items() if k not in old)
    return changed + added - sum(parts_sum(v, f"{path}/{k}", below) for k, v in old.items() if k not in new)


def checksum(configuration: Any, total: int | None = None) -> str:
    """The checksum that the feed tells of a configuration; `total` is the sum over its parts, if that is known.

    Of an announced fleet it is the sum over the parts, of any other a hash of the whole.
    """
    if isinstance(configuration, dict) and configuration.get("announced"):
        return f"{(parts_sum(configuration) if total is None else total) % SUM_SPACE:016x}"
    return hashlib.sha256(dump(configuration).encode()).hexdigest()[:16]
