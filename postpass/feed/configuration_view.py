"""A daemon's view of the configuration: the newest revision that it has received, and never again an older one."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from result import Ok

from postpass.configuration.configuration import Configuration, Machine, limit, members, with_duty
from postpass.configuration.configuration_check import check_received
from postpass.configuration.json_delta import Delta, delta, patch
from postpass.feed.checksum import checksum, parts_sum, parts_sum_difference
from postpass.feed.messages import ChangeBody, FeedAnswer
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.log_events import Event

MAX_CHANGES = 64  # changes that a daemon keeps for its followers; one that lacks more gets a snapshot
NEVER = -1e9


@dataclass(frozen=True)
class Change:
    """One entry of the feed: the change from revision `base` to `revision`, and the checksum of the latter."""

    revision: int
    base: int
    change: Delta
    checksum: str

    def body(self) -> ChangeBody:
        """Returns the change in the form that the feed sends, without copying its parts."""
        return {"edition": self.revision, "base": self.base, "change": self.change, "seal": self.checksum}


def is_announced(raw: Any) -> bool:
    """Returns whether a configuration is that of an announced fleet.

    Machines and workers change such a configuration many times a minute.
    """
    return isinstance(raw, dict) and raw.get("announced") is True


@dataclass(eq=False)
class ConfigurationView:
    """The newest configuration that a daemon knows. The daemon owns the view, and all its components read it.

    Invariants: `revision` only grows, and `manifest` is the validated configuration of that revision, or None before
    the first; `changes` holds the last changes, each based on the one before it; `last_contact` is the latest time at
    which a request was sent to another daemon that then answered and had no newer revision; `fresh` is set once, when the
    view is proved to be no older than the configuration that was in force when this process started; `changed` is set,
    and replaced by a new event, with each new revision.
    """

    owner: str
    manifest: Configuration | None = None
    revision: int = 0
    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=MAX_CHANGES))
    last_contact: float = NEVER
    fresh: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    total: int = 0  # the sum over the parts of an announced fleet's configuration (`checksum.parts_sum`)

    def accept(self, revision: int, raw: Any, change: Delta | None = None, total: int | None = None) -> bool:
        """Replaces the configuration by a newer revision; returns False if it is not newer, or invalid.

        Parameters: `raw` is the configuration; `change` is the difference from the present configuration to it, and
        `total` the sum over its parts, if these are known already.
        """
        if revision <= self.revision:
            return False
        # Control has validated the configuration of an announced fleet; repeating that for each change costs too much.
        if not is_announced(raw):
            checked = check_received(raw)
            if not isinstance(checked, Ok):
                log_events.emit(
                    Event.CONFIGURATION_REJECTED, self.owner, revision=revision, flaws=checked.unwrap_err()[:3]
                )
                return False
        elif total is None:
            total = self._total_of(raw)
        if self.manifest is not None:
            change = delta(self.manifest, raw) if change is None else change
            self.changes.append(Change(revision, self.revision, change, checksum(raw, total)))
        self.manifest, self.revision, self.total = raw, revision, total or 0
        log_events.emit(Event.CONFIGURATION_CHANGED, self.owner, revision=revision)
        self.changed.set()
        self.changed = asyncio.Event()
        return True

    def note_contact(self, revision: int, requested_at: float) -> None:
        """Notes that another daemon answered a request that was sent at `requested_at`, and reported its revision.

        It counts as contact only if that revision is not newer than this view's.
        """
        if revision <= self.revision:
            self.last_contact = max(self.last_contact, requested_at)

    def is_isolated(self, limit: float) -> bool:
        """Returns whether no other daemon has confirmed this view for more than `limit` seconds.

        It is False as long as there is no configuration.
        """
        return self.manifest is not None and now() - self.last_contact > limit

    def changes_since(self, revision: int) -> FeedAnswer:
        """Returns what a follower at `revision` is missing: the changes since then, or a snapshot."""
        if revision >= self.revision or self.manifest is None:
            return {"edition": self.revision}
        missing_changes = [change for change in self.changes if change.base >= revision]
        if missing_changes and missing_changes[0].base == revision:
            return {"edition": self.revision, "changes": [change.body() for change in missing_changes]}
        return {"edition": self.revision, "snapshot": self.manifest, "seal": checksum(self.manifest, self.total)}

    def apply_answer(self, answer: FeedAnswer) -> bool:
        """Accepts the answer of another view's `changes_since`.

        Returns False if it can't be applied to this view, which then needs a snapshot.
        """
        if "snapshot" in answer:
            snapshot = answer["snapshot"]
            return checksum(snapshot) == answer["seal"] and self.accept(answer["edition"], snapshot)
        return all(self._apply_change(change) for change in answer.get("changes", []))

    def _apply_change(self, change: ChangeBody) -> bool:
        """Applies one change, and skips one that is known already; returns False if it can't be applied."""
        if change["edition"] <= self.revision:
            return True
        if change["base"] != self.revision:
            return False
        raw = patch(self.manifest, change["change"])
        total = None
        if isinstance(raw, dict) and raw.get("announced"):
            total = self._total_of(raw)
        if checksum(raw, total) != change["seal"]:
            return False
        return self.accept(change["edition"], raw, change["change"], total)

    def _total_of(self, raw: Any) -> int:
        """Returns the sum over the parts of a newer configuration, derived from the present one's if there is one."""
        if self.manifest is None:
            return parts_sum(raw)
        return self.total + parts_sum_difference(self.manifest, raw)

    async def wait(self, past: int, limit: float) -> bool:
        """Waits for a revision newer than `past`; returns False if there is none within `limit` seconds."""
        try:
            async with asyncio.timeout(limit):
                while self.revision <= past:
                    await self.changed.wait()
        except TimeoutError:
            return False
        return True

    def machine(self, name: str) -> Machine | None:
        """Returns the configuration's entry of a machine; None if it has none."""
        return self.manifest["machines"].get(name) if self.manifest else None

    def addr(self, name: str) -> str:
        """Returns the peer address of a machine; empty if it is unknown or declared gone."""
        machine = self.machine(name)
        return machine["peer"] if machine and not machine.get("gone") else ""

    def addresses_of_others(self) -> list[str]:
        """Returns the peer addresses of all other machines that aren't declared gone, in the configuration's order."""
        if self.manifest is None:
            return []
        return [
            machine["peer"]
            for name, machine in self.manifest["machines"].items()
            if name != self.owner and not machine.get("gone")
        ]

    def evacuated(self, name: str) -> bool:
        """Returns whether a machine is in an evacuated zone."""
        machine = self.machine(name)
        return bool(machine and self.manifest and machine["area"] in self.manifest.get("evacuated", []))

    def order(self, part: int) -> list[str]:
        """Returns a partition's members in the agreed order; those in evacuated zones come last."""
        if self.manifest is None:
            return []
        return sorted(members(self.manifest, part), key=self.evacuated)

    def duty(self, duty: str) -> list[str]:
        """Returns the machines that have a duty, in the agreed order; those in evacuated zones come last."""
        return sorted(with_duty(self.manifest, duty), key=self.evacuated) if self.manifest else []

    def limit(self, name: str) -> int:
        """Returns the limit `name` of the configuration; 0 while there is no configuration."""
        return limit(self.manifest, name) if self.manifest else 0
