"""Keys of tenants are compared by digests alone, so that no feed, log or status page holds a key."""

from __future__ import annotations

import hashlib

DIGEST_DIGITS = 32  # hexadecimal digits of the SHA-256 of a key


def key_digest(key: bytes) -> str:
    """The digest by which a key is known."""
    return hashlib.sha256(key).hexdigest()[:DIGEST_DIGITS]
