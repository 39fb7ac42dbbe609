"""Shared parts at the start of prompts, and the workers that requests with the same ones tend to."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Prefix:
    """The shared parts at the start of a prompt. `tokens`: how many they have together; 0 if there are none."""

    key: bytes
    tokens: int


NO_PREFIX = Prefix(b"", 0)


def prefix_of(parts: bytes) -> Prefix:
    """The prefix of a header "ID:TOKENS,ID:TOKENS": all parts but the last, which is the request's own."""
    shared = parts.split(b",")[:-1]
    if not shared:
        return NO_PREFIX
    tokens = 0
    for part in shared:
        count = part.rpartition(b":")[2].strip()
        tokens += int(count) if count.isdigit() else 0
    return Prefix(b",".join(p.partition(b":")[0].strip() for p in shared), tokens)


def rendezvous(key: bytes, names: Sequence[str], most: int) -> list[str]:
    """The first names of an order that depends on the key alone: a name more or less moves few keys."""

    def weight(name: str) -> bytes:
        return hashlib.blake2b(key + b"\0" + name.encode(), digest_size=8).digest()

    return sorted(names, key=weight)[:most]
