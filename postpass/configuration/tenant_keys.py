"""Digests of tenant keys. Keys are compared only by digest, so that no feed, log or status page contains a key."""

from __future__ import annotations

import hashlib
import re

DIGEST_DIGITS = 32  # hexadecimal digits of the SHA-256 of a key
_DIGEST = re.compile(f"[0-9a-f]{{{DIGEST_DIGITS}}}")


def key_digest(key: bytes) -> str:
    """Returns the digest that stands for a key."""
    return hashlib.sha256(key).hexdigest()[:DIGEST_DIGITS]


def is_digest(text: str) -> bool:
    """Returns whether a text has the format of a digest."""
    return _DIGEST.fullmatch(text) is not None
