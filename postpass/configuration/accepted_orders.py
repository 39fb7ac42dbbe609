"""The memory of accepted configuration orders, so that one that is sent again is acknowledged again.

An accepted order is kept as `VERSION.DIGEST`, in the order of acceptance; versions only grow. The memory is bounded.
Once something was dropped, a mark without a digest, `VERSION.`, comes first: of the orders up to that version only those
that are listed are known. Releases up to 0.2.0 kept the last 16 digests alone, longer ones and without the version.
"""

from __future__ import annotations

import enum
import hashlib
import json
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from postpass.configuration.settings import Bounds

ORDERS_PER_SECOND = 10
MINIMUM, MAXIMUM = 1_000, 10_000
SLACK = 4  # the memory grows by one part in so many beyond its limit before it is shortened
DIGEST_LENGTH = 12  # hexadecimal digits; only orders of one version number are told apart by them
UNVERSIONED_LENGTH = 24
UNVERSIONED_LIMIT = 16


class Recollection(enum.Enum):
    """What is known of an order that arrives."""

    ACCEPTED = "taken"
    NOT_ACCEPTED = "not taken"
    FORGOTTEN = "forgotten"  # it may have been accepted, longer ago than the memory reaches


@dataclass(frozen=True)
class ConfigurationOrder:
    """A whole configuration, or a change of the one of a version. A whole one is the same whatever it builds on."""

    version: int
    digest: str

    @property
    def entry(self) -> str:
        """The order as the memory lists it: its version and the head of its digest."""
        return f"{self.version}.{self.digest[:DIGEST_LENGTH]}"

    @classmethod
    def of(cls, body: Any, patch_base: int | None = None) -> ConfigurationOrder:
        """`patch_base` is the version that a change builds on, None for a whole configuration."""
        what = "source" if patch_base is None else f"patch {patch_base}"
        text = f"{what} {json.dumps(body, sort_keys=True)}"
        version = body.get("version") if isinstance(body, dict) else None
        digest = hashlib.sha256(text.encode()).hexdigest()[:UNVERSIONED_LENGTH]
        return cls(version if type(version) is int else 0, digest)


def limit_of(bounds: Bounds) -> int:
    """How many orders are remembered: all that may be accepted while one of them is still sent again, within reason."""
    return min(MAXIMUM, max(MINIMUM, math.ceil(bounds.resend * ORDERS_PER_SECOND)))


def _version(entry: str) -> int | None:
    """The version of an entry or a mark; None for an entry of releases up to 0.2.0."""
    version, separator, _ = entry.partition(".")
    return int(version) if separator else None


def forgotten_up_to(version: int) -> list[str]:
    """The memory after a loss: nothing is known of the orders up to a version."""
    return [f"{version}."]


def _forgotten(entries: Sequence[str], current: int) -> int:
    """Up to which version orders that aren't listed may have been accepted; 0 if all are listed."""
    if entries and entries[0].endswith("."):
        return _version(entries[0]) or 0
    unversioned = sum(_version(e) is None for e in entries[:UNVERSIONED_LIMIT])
    if unversioned < UNVERSIONED_LIMIT:
        return 0
    return next((version - 1 for e in entries if (version := _version(e)) is not None), current)


def recall(entries: Sequence[str], order: ConfigurationOrder, current: int) -> Recollection:
    """Whether an order was accepted before; `current` is the version in force."""
    if order.entry in entries or order.digest in entries:
        return Recollection.ACCEPTED
    if 0 < order.version <= _forgotten(entries, current):
        return Recollection.FORGOTTEN
    return Recollection.NOT_ACCEPTED


def remember(entries: Sequence[str], order: ConfigurationOrder, limit: int) -> list[str]:
    """The memory with one more accepted order, and the newest `limit` of the others at least. It is shortened now and
    then only, so that most changes just add to its end."""
    forgotten = _forgotten(entries, order.version - 1)
    kept = [e for e in entries if not e.endswith(".")] + [order.entry]
    if len(kept) > limit + max(1, limit // SLACK):
        kept = kept[-limit:]
        first = next(version for e in kept if (version := _version(e)) is not None)
        forgotten = max(forgotten, first - 1)
    return [*(forgotten_up_to(forgotten) if forgotten else []), *kept]
