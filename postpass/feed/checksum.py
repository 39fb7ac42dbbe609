"""Checksums of a configuration: incremental for an announced fleet, which changes often; else a hash of the document.

The incremental checksum is a sum of hashes over the parts of a JSON tree. It is updated from the parts that changed, so
that the cost of a change of an announced fleet depends only on the size of the change. The control journal
(`postpass.control.journal`) computes the checksums of its trees in the same way.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

from postpass.configuration.configuration import dump

PART_DEPTH = 4  # levels of the tree whose entries are hashed separately: down to the single server of a configuration
SUM_SPACE = 1 << 64


def parts_sum(tree: Any, path: str = "", depth: int = 0) -> int:
    """Returns the sum of the hashes of the parts of a JSON tree, which is at `path`, `depth` levels below the root."""
    if isinstance(tree, dict) and tree and depth < PART_DEPTH:
        return sum(parts_sum(value, f"{path}/{key}", depth + 1) for key, value in tree.items())
    text = f"{path} {json.dumps(tree, separators=(',', ':'), sort_keys=True)}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")


def parts_sum_difference(old: Any, new: Any, path: str = "", depth: int = 0) -> int:
    """Returns `parts_sum(new) - parts_sum(old)`, without visiting objects that both trees share."""
    if old is new:
        return 0
    if not (isinstance(old, dict) and isinstance(new, dict) and old and new and depth < PART_DEPTH):
        return parts_sum(new, path, depth) - parts_sum(old, path, depth)
    below = depth + 1
    changed = sum(parts_sum_difference(old[k], v, f"{path}/{k}", below) for k, v in new.items() if k in old)
    added = sum(parts_sum(v, f"{path}/{k}", below) for k, v in new.items() if k not in old)
    return changed + added - sum(parts_sum(v, f"{path}/{k}", below) for k, v in old.items() if k not in new)


def checksum(configuration: Any, total: int | None = None) -> str:
    """Returns the checksum that the feed sends with a configuration.

    For an announced fleet it is the sum over the configuration's parts, passed as `total` if it is known; for
    any other fleet it is a hash of the complete document.
    """
    if isinstance(configuration, dict) and configuration.get("announced"):
        return f"{(parts_sum(configuration) if total is None else total) % SUM_SPACE:016x}"
    return hashlib.sha256(dump(configuration).encode()).hexdigest()[:16]
