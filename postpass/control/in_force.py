"""Waits until the machines that must know a version of the configuration run it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from result import Err

from postpass.configuration.configuration import Configuration, with_duty
from postpass.configuration.settings import Bounds
from postpass.rpc.codec import PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import gather_until, now

RELAYS = 3  # other machines through which one is asked whose direct link may be cut
HEAD_START = 1 / 4  # of a try's time, for the direct link before others are asked
SENDER_DUTIES = {"edge", "sched"}


@dataclass(frozen=True)
class Hearing:
    """When machines were last heard, as the primary knows it: `machines` by any control member, `reports` holds when each
    control member last told whom it heard, and `since` is when this primary began to listen."""

    machines: Mapping[str, float]
    reports: Mapping[str, float]
    since: float

    def last(self, name: str) -> float:
        """When a machine was last heard; at the earliest when this primary began to listen."""
        return max(self.machines.get(name, self.since), self.since)

    def complete_until(self, members: list[str], clock: float) -> float:
        """Up to this time whatever any control member heard is known here: a member that is cut off may have heard more
        after its last report."""
        return min([clock, *(max(self.reports.get(m, self.since), self.since) for m in members)])


def awaited_senders(
    configuration: Configuration, me: str, hearing: Hearing, clock: float, window: float, patience: float
) -> dict[str, str]:
    """The machines that send to workers and may be in touch with someone, with their addresses.

    One is left out if no control member heard it for `window`. Of a time for which a member's report is missing this is
    not known, so the window ends where the reports do. A machine that was not heard for `patience` is left out in any case,
    for a control member may be gone for good.
    """
    members = [n for n in with_duty(configuration, "control") if n != me]
    horizon = max(hearing.complete_until(members, clock) - window, clock - patience)
    return {
        name: machine["peer"]
        for name, machine in configuration["machines"].items()
        if name != me
        and not machine.get("gone")
        and SENDER_DUTIES & set(machine["duties"])
        and hearing.last(name) > horizon
    }


@dataclass(eq=False)
class VersionWait:
    """Asks machines for a version until each runs it or is shown not to run, or the time is up.

    A process whose address refuses is not there; one that starts later serves only by a fresh configuration view, which is no older than
    this version, since it was taken before. Invariant: `waits` holds the machines that are not settled yet.
    """

    lines: PeerLinks
    chance: random.Random
    bounds: Bounds
    version: int
    source: str  # where the version can be fetched
    until: float
    machines: Mapping[str, str]  # name -> address
    waits: dict[str, str] = field(default_factory=dict)

    async def run(self) -> list[str]:
        """The machines that are not settled when the time is up."""
        self.waits = dict(self.machines)
        await asyncio.gather(*(self._settle(name) for name in self.machines))
        return sorted(self.waits)

    async def _settle(self, name: str) -> None:
        while name in self.waits and (left := self.until - now()) > 0:
            limit = min(left, self.bounds.follow)
            asks = {"direct": self._ask(name, limit), "relayed": self._ask_through_others(name, limit)}
            heard = await gather_until(asks, lambda got: any(got.values()), 0.0)
            if any(heard.values()):
                self.waits.pop(name, None)
                return
            await asyncio.sleep(max(0.0, min(self.until - now(), self.bounds.follow / 8)))

    async def _ask(self, name: str, limit: float) -> bool:
        ask = {"want": self.version, "at": self.source, "wait": limit * 0.9}
        return self._settles(await self.lines.request(self.machines[name], "ping", ask, limit))

    async def _ask_through_others(self, name: str, limit: float) -> bool:
        """Asks others to ask it: the link from here may be cut, and theirs not."""
        await asyncio.sleep(limit * HEAD_START)
        ask = {"reach": self.machines[name], "want": self.version, "at": self.source}
        relays = self._relays(name)
        asks = {r: self.lines.request(self.machines[r], "ping", ask, limit * (1 - HEAD_START)) for r in relays}
        heard = await gather_until(asks, lambda got: any(map(self._settles_relayed, got.values())), 0.0)
        return any(map(self._settles_relayed, heard.values()))

    def _relays(self, name: str) -> list[str]:
        """Machines to ask through; those that run the version go first, for it can be fetched from them."""
        others = sorted(n for n in self.machines if n != name)
        sound = [n for n in others if n not in self.waits]
        pool = sound if len(sound) >= RELAYS else others
        return self.chance.sample(pool, min(RELAYS, len(pool)))

    def _settles(self, got: PeerResponse) -> bool:
        """Does the answer tell that the version runs there, or that nothing does?"""
        if isinstance(got, Err):
            return got.unwrap_err().hint == "refused"
        return int(got.unwrap().get("edition", 0)) >= self.version

    def _settles_relayed(self, got: PeerResponse) -> bool:
        """As `_settles`, of what another machine found; its own refusal tells nothing of the one that is asked for."""
        return got.is_ok() and (bool(got.unwrap().get("refused")) or self._settles(got))
