"""What a daemon knows of the desired state: the newest edition it has seen. It never goes back one."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from result import Ok

from postpass.configuration.configuration import Configuration, Machine, dump, limit, members, with_duty
from postpass.configuration.configuration_check import check
from postpass.configuration.json_delta import Delta, delta, patch
from postpass.runtime import log_events

KEPT = 64  # changes a daemon can hand on before it must hand on a snapshot


DEPTH = 4  # a manifest's parts down to the single server are summed each for itself


def mass(tree: Any, path: str = "", depth: int = 0) -> int:
    """A sum over the parts of a tree, which can be brought up to date by what changed."""
    if isinstance(tree, dict) and tree and depth < DEPTH:
        return sum(mass(v, f"{path}/{k}", depth + 1) for k, v in tree.items())
    text = f"{path} {json.dumps(tree, separators=(',', ':'), sort_keys=True)}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")


def shift(old: Any, new: Any, path: str = "", depth: int = 0) -> int:
    """mass(new) - mass(old), without a look at what both share."""
    if old is new:
        return 0
    if not (isinstance(old, dict) and isinstance(new, dict) and old and new and depth < DEPTH):
        return mass(new, path, depth) - mass(old, path, depth)
    out = sum(shift(old[k], v, f"{path}/{k}", depth + 1) for k, v in new.items() if k in old)
    out += sum(mass(v, f"{path}/{k}", depth + 1) for k, v in new.items() if k not in old)
    return out - sum(mass(v, f"{path}/{k}", depth + 1) for k, v in old.items() if k not in new)


def seal(configuration: Any, weight: int | None = None) -> str:
    """Of an announced fleet, which changes often, the sum of the parts; else of the whole."""
    if isinstance(configuration, dict) and configuration.get("announced"):
        return f"{(mass(configuration) if weight is None else weight) % (1 << 64):016x}"
    return hashlib.sha256(dump(configuration).encode()).hexdigest()[:16]


@dataclass(frozen=True)
class Change:
    """One entry of the feed: leads from the edition before it to its own, whose seal is given."""

    revision: int
    base: int
    change: Delta
    seal: str

    def body(self) -> dict[str, Any]:
        """The change by its keys in the feed; shares its parts."""
        return {"edition": self.revision, "base": self.base, "change": self.change, "seal": self.seal}


@dataclass(eq=False)
class ConfigurationView:
    """Invariants: `edition` only grows, and `manifest` is the checked one of that edition; `feed` holds the
    last changes, each based on the one before it; `heard` is the time of the last question that another daemon
    answered which knew no newer edition; `fresh` is set once, when what is known here is proved to be no older
    than what was in force as this process started."""

    who: str
    manifest: Configuration | None = None
    revision: int = 0
    feed: deque[Change] = field(default_factory=lambda: deque(maxlen=KEPT))
    heard: float = -1e9
    fresh: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    weight: int = 0  # the mass of the manifest of an announced fleet

    def take(self, revision: int, raw: Any, change: Delta | None = None, weight: int | None = None) -> bool:
        """Takes a newer edition; `change` leads to it from the present one, `weight` is its mass, if these are known."""
        if revision <= self.revision:
            return False
        # Of an announced fleet control has checked it, and machines and workers change it many times a minute.
        announced = isinstance(raw, dict) and raw.get("announced") is True
        if not announced:
            got = check(raw)
            if not isinstance(got, Ok):
                log_events.emit(141, self.who, revision=revision, flaws=got.unwrap_err()[:3])
                return False
        elif weight is None:
            weight = mass(raw) if self.manifest is None else self.weight + shift(self.manifest, raw)
        if self.manifest is not None:
            change = delta(self.manifest, raw) if change is None else change
            self.feed.append(Change(revision, self.revision, change, seal(raw, weight)))
        self.manifest, self.revision, self.weight = raw, revision, weight or 0
        log_events.emit(140, self.who, revision=revision)
        self.changed.set()
        self.changed = asyncio.Event()
        return True

    def hear(self, revision: int, asked: float) -> None:
        """Another daemon, asked at that time, answered and told the edition it runs."""
        if revision <= self.revision:
            self.heard = max(self.heard, asked)

    def since(self, place: int) -> dict[str, Any]:
        """What a follower at `place` lacks: the changes from there on, or a snapshot."""
        if place >= self.revision or self.manifest is None:
            return {"edition": self.revision}
        tail = [c for c in self.feed if c.base >= place]
        if tail and tail[0].base == place:
            return {"edition": self.revision, "changes": [change.body() for change in tail]}
        return {"edition": self.revision, "snapshot": self.manifest, "seal": seal(self.manifest, self.weight)}

    def follow(self, got: dict[str, Any]) -> bool:
        """Takes what `since` gave; False if it doesn't fit, so that a snapshot is wanted."""
        if "snapshot" in got:
            return seal(got["snapshot"]) == got["seal"] and self.take(got["edition"], got["snapshot"])
        for c in got.get("changes", []):
            if c["edition"] <= self.revision:
                continue
            if c["base"] != self.revision:
                return False
            raw = patch(self.manifest, c["change"])
            weight = None
            if isinstance(raw, dict) and raw.get("announced"):
                weight = self.weight + shift(self.manifest, raw) if self.manifest is not None else mass(raw)
            if seal(raw, weight) != c["seal"] or not self.take(c["edition"], raw, c["change"], weight):
                return False
        return True

    async def wait(self, past: int, limit: float) -> bool:
        """True once an edition past the given one is here."""
        try:
            async with asyncio.timeout(limit):
                while self.revision <= past:
                    await self.changed.wait()
        except TimeoutError:
            return False
        return True

    def machine(self, name: str) -> Machine | None:
        return self.manifest["machines"].get(name) if self.manifest else None

    def addr(self, name: str) -> str:
        """Where a machine's peers reach it; empty if it is declared gone or unknown."""
        m = self.machine(name)
        return m["peer"] if m and not m.get("gone") else ""

    def evacuated(self, name: str) -> bool:
        m = self.machine(name)
        return bool(m and self.manifest and m["area"] in self.manifest.get("evacuated", []))

    def order(self, part: int) -> list[str]:
        """The agreed order of a partition's members; those in evacuated areas stand last."""
        if self.manifest is None:
            return []
        return sorted(members(self.manifest, part), key=self.evacuated)

    def duty(self, duty: str) -> list[str]:
        return sorted(with_duty(self.manifest, duty), key=self.evacuated) if self.manifest else []

    def limit(self, name: str) -> int:
        return limit(self.manifest, name) if self.manifest else 0
