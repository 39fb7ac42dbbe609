"""The list of accepted configuration orders, by which an order that is sent again is recognised and acknowledged again.

An accepted order is listed as `VERSION.DIGEST`, in the order of acceptance; versions only grow. The list is bounded.
Once entries were dropped, it begins with a marker, `VERSION.` without a digest: orders up to that version that aren't
listed may have been accepted all the same. Releases up to 0.2.0 kept only the last 16 digests, which were longer and
had no version.
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
SLACK = 4  # the list may exceed its limit by a quarter (1/SLACK) before it is shortened
DIGEST_LENGTH = 12  # hexadecimal digits; they only have to distinguish orders of the same version
UNVERSIONED_LENGTH = 24
UNVERSIONED_LIMIT = 16


class Recollection(enum.Enum):
    """Whether an order that arrives was accepted before."""

    ACCEPTED = "taken"
    NOT_ACCEPTED = "not taken"
    FORGOTTEN = "forgotten"  # it may have been accepted, but its entry would have been dropped by now


@dataclass(frozen=True)
class ConfigurationOrder:
    """An operator's order: a complete configuration, or a change to the configuration of a given version.

    The digest of a complete configuration doesn't depend on the version that it replaces; that of a change does.
    """

    version: int
    digest: str

    @property
    def entry(self) -> str:
        """The list entry of the order: its version and the first digits of its digest."""
        return f"{self.version}.{self.digest[:DIGEST_LENGTH]}"

    @classmethod
    def of(cls, body: Any, patch_base: int | None = None) -> ConfigurationOrder:
        """Returns the order that a request's body carries.

        `patch_base` is the version to which a change applies, and None for a complete configuration.
        """
        order_kind = "source" if patch_base is None else f"patch {patch_base}"
        text = f"{order_kind} {json.dumps(body, sort_keys=True)}"
        version = body.get("version") if isinstance(body, dict) else None
        digest = hashlib.sha256(text.encode()).hexdigest()[:UNVERSIONED_LENGTH]
        return cls(version if type(version) is int else 0, digest)


def limit_of(bounds: Bounds) -> int:
    """Returns how many accepted orders are listed.

    That is as many as may be accepted while one of them may still be sent again (`Bounds.resend_period`), but no fewer than
    `MINIMUM` and no more than `MAXIMUM`.
    """
    return min(MAXIMUM, max(MINIMUM, math.ceil(bounds.resend_period * ORDERS_PER_SECOND)))


def _version(entry: str) -> int | None:
    """Returns the version of an entry or marker; None for an entry of releases up to 0.2.0."""
    version, separator, _ = entry.partition(".")
    return int(version) if separator else None


def forgotten_up_to(version: int) -> list[str]:
    """Returns the list after its loss: it says only that any order up to a version may have been accepted."""
    return [f"{version}."]


def _forgotten(entries: Sequence[str], current: int) -> int:
    """Returns the version up to which unlisted orders may have been accepted; 0 if all accepted orders are listed."""
    if entries and entries[0].endswith("."):
        return _version(entries[0]) or 0
    unversioned = sum(_version(e) is None for e in entries[:UNVERSIONED_LIMIT])
    if unversioned < UNVERSIONED_LIMIT:
        return 0
    return next((version - 1 for e in entries if (version := _version(e)) is not None), current)


def recall(entries: Sequence[str], order: ConfigurationOrder, current: int) -> Recollection:
    """Returns whether an order was accepted before; `current` is the version in force."""
    if order.entry in entries or order.digest in entries:
        return Recollection.ACCEPTED
    if 0 < order.version <= _forgotten(entries, current):
        return Recollection.FORGOTTEN
    return Recollection.NOT_ACCEPTED


def remember(entries: Sequence[str], order: ConfigurationOrder, limit: int) -> list[str]:
    """Returns the list with one more accepted order, which still has at least its newest `limit` entries.

    It is shortened only occasionally, so that most changes just append to it.
    """
    forgotten = _forgotten(entries, order.version - 1)
    listed = [e for e in entries if not e.endswith(".")] + [order.entry]
    if len(listed) > limit + max(1, limit // SLACK):
        listed = listed[-limit:]
        oldest_version = next(version for e in listed if (version := _version(e)) is not None)
        forgotten = max(forgotten, oldest_version - 1)
    return [*(forgotten_up_to(forgotten) if forgotten else []), *listed]
