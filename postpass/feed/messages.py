"""The feed's messages, and the rotation in which a follower polls its sources.

A follower polls one source at a time. A control member that has lost touch with its primary answers `Stale`: it can't
tell whether a newer version is in force, so the follower turns to another source at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NotRequired, TypedDict

from postpass.configuration.json_delta import Delta

MAX_HOLD_S = 10.0  # the longest that a source holds a poll open
FIRST_PAUSE = 1 / 4  # of the polling interval, once every source was tried in vain; it doubles up to the interval


class ChangeBody(TypedDict):
    """One change of the configuration, as the feed tells it; the fields are keys of JSON.

    `change` leads from revision `base` to revision `edition`, whose checksum is `seal`.
    """

    edition: int
    base: int
    change: Delta
    seal: str


class FeedAnswer(TypedDict):
    """An ordinary answer of the feed; the fields are keys of JSON.

    `edition` is the revision that the source runs. A follower that runs an older one is told the changes up to it or,
    where these are no longer known, a snapshot with its checksum.
    """

    edition: int
    changes: NotRequired[list[ChangeBody]]
    snapshot: NotRequired[Any]
    seal: NotRequired[str]


@dataclass(frozen=True)
class Poll:
    """A question for what came after version `after`, held open for `hold` seconds until there is something.

    `follower` names the daemon that polls. It is empty for a plain copy: the asker has been told that a newer version is
    known there, and wants just that.
    """

    after: int
    hold: float = 0.0
    follower: str = ""

    def as_json(self) -> dict[str, Any]:
        """The body of the request."""
        body: dict[str, Any] = {"after": self.after, "wait": self.hold}
        return body | ({"who": self.follower} if self.follower else {})

    @classmethod
    def from_json(cls, body: dict[str, Any]) -> Poll:
        """The poll of a request's body; no source holds it open for longer than `MAX_HOLD_S`."""
        return cls(int(body["after"]), min(float(body["wait"]), MAX_HOLD_S), str(body.get("who", "")))


@dataclass(frozen=True)
class Stale:
    """The answer of a source without contact: the version it holds, and the addresses of other sources.

    It carries no changes, and its version is no claim that none is newer.
    """

    version: int
    others: tuple[str, ...] = ()

    def as_json(self) -> dict[str, Any]:
        """The body of the answer."""
        return {"stale": True, "edition": self.version, "others": list(self.others)}

    @classmethod
    def from_json(cls, body: dict[str, Any]) -> Stale | None:
        """None if the body is an ordinary answer of the feed."""
        if body.get("stale") is not True:
            return None
        return cls(int(body["edition"]), tuple(str(other) for other in body.get("others", ())))


@dataclass(eq=False)
class Rotation:
    """Whom a follower polls next, and after which pause.

    Invariant: `failed` holds the sources that were tried in vain since one last answered; no pause is made before all
    that are known were.
    """

    turn: int = 0
    failed: set[str] = field(default_factory=set)
    hints: tuple[str, ...] = ()
    rounds: int = 0

    def candidates(self, sources: Iterable[str]) -> list[str]:
        """The sources, then those that a stale one named beside them."""
        return list(dict.fromkeys([*sources, *self.hints]))

    def next(self, sources: Iterable[str]) -> str:
        """The next source to poll: one that has not failed yet, if there is any. Empty if there are no sources."""
        every = self.candidates(sources)
        left = [s for s in every if s not in self.failed] or every
        self.turn += 1
        return left[self.turn % len(left)] if left else ""

    def answered(self) -> None:
        """Notes that a source answered: all may be tried again."""
        self.failed.clear()
        self.hints, self.rounds = (), 0

    def failed_at(self, source: str, others: Iterable[str] = ()) -> None:
        """Notes a source that gave nothing, and others that it named."""
        self.failed.add(source)
        self.hints = tuple(dict.fromkeys([*self.hints, *others]))

    def exhausted(self, sources: Iterable[str]) -> bool:
        """Was every known source tried in vain?"""
        return set(self.candidates(sources)) <= self.failed

    def pause(self, interval: float) -> float:
        """How long to wait before another round over all sources."""
        self.failed.clear()
        self.rounds += 1
        return min(interval, interval * FIRST_PAUSE * float(2 ** min(self.rounds - 1, 8)))
