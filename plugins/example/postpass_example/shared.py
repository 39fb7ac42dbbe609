"""Reuses a prefix only by calls that have every shared part in common, not just the first."""

from __future__ import annotations

import hashlib

from postpass.plug import Ask


def all_shared(ask: Ask) -> str:
    return hashlib.sha256("\n".join(ask.shared).encode()).hexdigest()[:16] if ask.shared else ""


def test_the_key_is_of_all_shared_parts() -> None:
    one, two = Ask("ask", ("a", "b"), 1, "x"), Ask("ask", ("a", "c"), 1, "x")
    assert all_shared(one) != all_shared(two) and all_shared(Ask("ask", (), 1, "x")) == ""
