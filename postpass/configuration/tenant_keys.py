"""Keys of tenants are compared by digests alone, so that no feed, log or status page holds a key."""

from __future__ import annotations

import hashlib
import re

DIGEST_DIGITS = 32  # hexadecimal digits of the SHA-256 of a key
_DIGEST = re.compile(f"[0-9a-f]{{{DIGEST_DIGITS}}}")


def key_digest(key: bytes) -> str:
    """The digest by which a key is known."""
    return hashlib.sha256(key).hexdigest()[:DIGEST_DIGITS]


def is_digest(text: str) -> bool:
    """Has a text the shape of a digest?"""
    return _DIGEST.fullmatch(text) is not None
