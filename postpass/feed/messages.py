"""The feed's messages, and the rotation in which a follower polls its sources.

A follower polls one source at a time. A control member that has lost contact to its primary answers `Stale`: it doesn't
know whether a newer version is in force, so the follower turns to another source at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NotRequired, TypedDict

from postpass.configuration.json_delta import Delta

MAX_HOLD_S = 10.0  # the longest that a source holds a poll open
# The first pause after every source has failed, as a fraction of the polling interval; it doubles up to the interval.
FIRST_PAUSE = 1 / 4


class ChangeBody(TypedDict):
    """One change of the configuration, as the feed sends it; the fields are keys of JSON.

    `change` leads from revision `base` to revision `edition`, whose checksum is `seal`.
    """

    edition: int
    base: int
    change: Delta
    seal: str


class FeedAnswer(TypedDict):
    """An ordinary answer of the feed; the fields are keys of JSON.

    `edition` is the revision that the source has. A follower with an older one gets the changes up to it or, if the
    source no longer has these, a snapshot with its checksum.
    """

    edition: int
    changes: NotRequired[list[ChangeBody]]
    snapshot: NotRequired[Any]
    seal: NotRequired[str]


@dataclass(frozen=True)
class Poll:
    """A long poll for changes after version `after`: the source answers when there are any, or after `hold` seconds.

    `follower` is the name of the daemon that polls. It is empty for a plain copy: the requester has heard that the
    source has a newer version, and wants only that.
    """

    after: int
    hold: float = 0.0
    follower: str = ""

    def as_json(self) -> dict[str, Any]:
        """Returns the body of the request."""
        body: dict[str, Any] = {"after": self.after, "wait": self.hold}
        return body | ({"who": self.follower} if self.follower else {})

    @classmethod
    def from_json(cls, body: dict[str, Any]) -> Poll:
        """Returns the poll in a request's body; `hold` is at most `MAX_HOLD_S`, the longest that a source holds one."""
        return cls(int(body["after"]), min(float(body["wait"]), MAX_HOLD_S), str(body.get("who", "")))


@dataclass(frozen=True)
class Stale:
    """The answer of a source without contact to its primary: the version it has, and the addresses of other sources.

    It carries no changes, and a newer version than its own may be in force.
    """

    version: int
    others: tuple[str, ...] = ()

    def as_json(self) -> dict[str, Any]:
        """Returns the body of the answer."""
        return {"stale": True, "edition": self.version, "others": list(self.others)}

    @classmethod
    def from_json(cls, body: dict[str, Any]) -> Stale | None:
        """Returns the stale answer in a response's body; None if the body is an ordinary answer of the feed."""
        if body.get("stale") is not True:
            return None
        return cls(int(body["edition"]), tuple(str(other) for other in body.get("others", ())))


@dataclass(eq=False)
class Rotation:
    """Chooses which source a follower polls next, and the pause once all have failed.

    `turn` counts the polls, `hints` holds the addresses that stale sources named, and `rounds` counts the pauses since
    a source last answered. Invariant: `failed` holds the sources that have failed since a source last answered, or
    since the last pause; the follower pauses only when every known source has failed.
    """

    turn: int = 0
    failed: set[str] = field(default_factory=set)
    hints: tuple[str, ...] = ()
    rounds: int = 0

    def candidates(self, sources: Iterable[str]) -> list[str]:
        """Returns the sources, followed by other addresses that stale sources named."""
        return list(dict.fromkeys([*sources, *self.hints]))

    def next(self, sources: Iterable[str]) -> str:
        """Returns the next source to poll, one that has not failed if there is any; empty if there are no sources."""
        known = self.candidates(sources)
        untried = [s for s in known if s not in self.failed] or known
        self.turn += 1
        return untried[self.turn % len(untried)] if untried else ""

    def answered(self) -> None:
        """Notes that a source answered; all sources may be tried again."""
        self.failed.clear()
        self.hints, self.rounds = (), 0

    def failed_at(self, source: str, others: Iterable[str] = ()) -> None:
        """Notes that a source failed or was stale, and the other sources that it named."""
        self.failed.add(source)
        self.hints = tuple(dict.fromkeys([*self.hints, *others]))

    def exhausted(self, sources: Iterable[str]) -> bool:
        """Returns whether every known source has failed."""
        return set(self.candidates(sources)) <= self.failed

    def pause(self, interval: float) -> float:
        """Begins another round over all sources; returns how many seconds to wait before it."""
        self.failed.clear()
        self.rounds += 1
        return min(interval, interval * FIRST_PAUSE * float(2 ** min(self.rounds - 1, 8)))
