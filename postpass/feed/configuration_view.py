"""The view that a daemon has of the configuration: the newest revision that it has seen. It never goes back one."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from result import Ok

from postpass.configuration.configuration import Configuration, Machine, limit, members, with_duty
from postpass.configuration.configuration_check import check
from postpass.configuration.json_delta import Delta, delta, patch
from postpass.feed.checksum import checksum, parts_sum, parts_sum_difference
from postpass.feed.messages import ChangeBody, FeedAnswer
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.log_events import Event

MAX_CHANGES = 64  # changes a daemon can hand on before it must hand on a snapshot
NEVER = -1e9


@dataclass(frozen=True)
class Change:
    """One entry of the feed: it leads from revision `base` to `revision`, whose checksum is given."""

    revision: int
    base: int
    change: Delta
    checksum: str

    def body(self) -> ChangeBody:
        """The change by its keys in the feed; shares its parts."""
        return {"edition": self.revision, "base": self.base, "change": self.change, "seal": self.checksum}


def is_announced(raw: Any) -> bool:
    """Is this the configuration of an announced fleet, whose machines and workers change it many times a minute?"""
    return isinstance(raw, dict) and raw.get("announced") is True


@dataclass(eq=False)
class ConfigurationView:
    """The newest configuration that a daemon knows; owned by the daemon, read by all that runs in it.

    Invariants: `revision` only grows, and `manifest` is the checked configuration of that revision; `changes` holds the
    last changes, each based on the one before it; `last_contact` is the time at which another daemon was asked that then
    answered and knew no newer revision; `fresh` is set once, when what is known here is proved to be no older than what
    was in force as this process started.
    """

    owner: str
    manifest: Configuration | None = None
    revision: int = 0
    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=MAX_CHANGES))
    last_contact: float = NEVER
    fresh: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    total: int = 0  # the sum over the parts of the configuration of an announced fleet

    def accept(self, revision: int, raw: Any, change: Delta | None = None, total: int | None = None) -> bool:
        """Puts a newer revision in place; False if it is not newer, or if it is flawed.

        Parameters: `raw`, the configuration; `change`, which leads to it from the present one, and `total`, the sum over
        its parts, where these are known already.
        """
        if revision <= self.revision:
            return False
        # Control has checked the configuration of an announced fleet; to do so again with each change would cost too much.
        if not is_announced(raw):
            checked = check(raw)
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

    def note_contact(self, revision: int, asked: float) -> None:
        """Another daemon, asked at that time, answered and told the revision it runs."""
        if revision <= self.revision:
            self.last_contact = max(self.last_contact, asked)

    def is_isolated(self, limit: float) -> bool:
        """Has no other daemon confirmed this view for more than `limit` seconds? Not before there is a configuration."""
        return self.manifest is not None and now() - self.last_contact > limit

    def changes_since(self, revision: int) -> FeedAnswer:
        """What a follower at `revision` lacks: the changes from there on, or a snapshot."""
        if revision >= self.revision or self.manifest is None:
            return {"edition": self.revision}
        tail = [change for change in self.changes if change.base >= revision]
        if tail and tail[0].base == revision:
            return {"edition": self.revision, "changes": [change.body() for change in tail]}
        return {"edition": self.revision, "snapshot": self.manifest, "seal": checksum(self.manifest, self.total)}

    def apply_answer(self, answer: FeedAnswer) -> bool:
        """Accepts what `changes_since` gave; False if it doesn't fit, so that a snapshot is wanted."""
        if "snapshot" in answer:
            snapshot = answer["snapshot"]
            return checksum(snapshot) == answer["seal"] and self.accept(answer["edition"], snapshot)
        return all(self._apply_change(change) for change in answer.get("changes", []))

    def _apply_change(self, change: ChangeBody) -> bool:
        """Applies one change; one that is known already is passed over."""
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
        """The sum over the parts of a newer configuration, made from the present one's if there is one."""
        if self.manifest is None:
            return parts_sum(raw)
        return self.total + parts_sum_difference(self.manifest, raw)

    async def wait(self, past: int, limit: float) -> bool:
        """True once a revision past the given one is here; False after `limit` seconds."""
        try:
            async with asyncio.timeout(limit):
                while self.revision <= past:
                    await self.changed.wait()
        except TimeoutError:
            return False
        return True

    def machine(self, name: str) -> Machine | None:
        """The configuration's record of a machine; None if it has none."""
        return self.manifest["machines"].get(name) if self.manifest else None

    def addr(self, name: str) -> str:
        """Where a machine's peers reach it; empty if it is declared gone or unknown."""
        machine = self.machine(name)
        return machine["peer"] if machine and not machine.get("gone") else ""

    def addresses_of_others(self) -> list[str]:
        """Where the other machines are reached that are not declared gone, in the configuration's order."""
        if self.manifest is None:
            return []
        return [
            machine["peer"]
            for name, machine in self.manifest["machines"].items()
            if name != self.owner and not machine.get("gone")
        ]

    def evacuated(self, name: str) -> bool:
        """Is a machine in a zone that is evacuated?"""
        machine = self.machine(name)
        return bool(machine and self.manifest and machine["area"] in self.manifest.get("evacuated", []))

    def order(self, part: int) -> list[str]:
        """The agreed order of a partition's members; those in evacuated zones stand last."""
        if self.manifest is None:
            return []
        return sorted(members(self.manifest, part), key=self.evacuated)

    def duty(self, duty: str) -> list[str]:
        """The machines that have a duty; those in evacuated zones stand last."""
        return sorted(with_duty(self.manifest, duty), key=self.evacuated) if self.manifest else []

    def limit(self, name: str) -> int:
        """A limit of the configuration by its name; 0 while there is no configuration."""
        return limit(self.manifest, name) if self.manifest else 0
