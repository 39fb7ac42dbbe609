"""Shared prefixes of prompts, and the workers that requests with the same prefix prefer."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Prefix:
    """The shared parts at the start of a prompt. `tokens` is the number of their tokens; 0 if there are no shared parts."""

    key: bytes
    tokens: int


NO_PREFIX = Prefix(b"", 0)


def parse_prefix(parts: bytes) -> Prefix:
    """Parses the prefix from a header "ID:TOKENS,ID:TOKENS".

    All parts but the last are shared; the last one is the request's own. A part without a valid count has 0 tokens.
    """
    shared = parts.split(b",")[:-1]
    if not shared:
        return NO_PREFIX
    tokens = 0
    for part in shared:
        count = part.rpartition(b":")[2].strip()
        tokens += int(count) if count.isdigit() else 0
    return Prefix(b",".join(p.partition(b":")[0].strip() for p in shared), tokens)


def rendezvous(key: bytes, names: Sequence[str], most: int) -> list[str]:
    """Returns the first `most` names in their order for this key, by rendezvous hashing.

    The order depends only on the key and the names, so that adding or removing a name moves few keys to other names.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(key + b"\0" + name.encode(), digest_size=8).digest()

    return sorted(names, key=weight)[:most]
