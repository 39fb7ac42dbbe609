"""The follower: how a daemon learns newer revisions of the configuration, and whether it is in touch with others.

It polls one source of the feed at a time, turning from one that fails to the next. Beside that it asks around when
nobody confirmed its view for a while, and proves after a start that its view is no older than what was in force then.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, cast

from prometheus_client import Counter
from result import Err, Ok, Result

from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import NEVER, ConfigurationView
from postpass.feed.messages import FeedAnswer, Poll, Rotation, Stale
from postpass.membership.partial_view import PartialView
from postpass.rpc.codec import Body
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, gather_until, now
from postpass.runtime.errors import Fault
from postpass.runtime.log_events import Event

MAX_ASKED_AROUND = 16  # machines that are asked at once when nobody is heard
SOURCES_ASKED_FOR_PROOF = 3  # sources that are asked at once which revision is in force
FIRST_TURNS = 64  # where a follower starts in the rotation is drawn from so many
MISSED_FOR = 2  # how long a source that did not answer stands back, as a multiple of the failure detection time


def any_answered(answers: Mapping[str, Result[Body, Fault]]) -> bool:
    """Has at least one of those asked at once answered?"""
    return any(isinstance(answer, Ok) for answer in answers.values())


@dataclass(eq=False)
class Follower:
    """Keeps a daemon's view of the configuration up to date; owned by the daemon.

    `polls` counts polls by their end. `missed` holds the sources that did not answer, and when that was.
    `settings` is replaced by the daemon when its file has changed.
    """

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    partial_view: PartialView
    polls: Counter
    missed: dict[str, float] = field(default_factory=dict)

    def sources(self) -> list[str]:
        """The addresses to follow: those of the control machines once they are known, else of the seeds.

        In an announced fleet control machines come and go: seeds are followed as well, and sources that did not answer
        lately stand back while others do.
        """
        control = [
            addr
            for name in self.configuration_view.duty("control")
            if name != self.settings.name and (addr := self.configuration_view.addr(name))
        ]
        seeds = [seed for seed in self.settings.seeds if seed != self.settings.peer]
        if not self.settings.announce:
            return control or seeds
        every = list(dict.fromkeys([*control, *seeds]))
        oldest_miss = now() - self.settings.bounds.detect * MISSED_FOR
        return [addr for addr in every if self.missed.get(addr, NEVER) < oldest_miss] or every

    async def follow(self) -> None:
        """Polls the feed from the own revision on, turning from one source to the next; runs until it is cancelled."""
        interval, chance = self.settings.bounds.follow, self.environment.chance
        rotation = Rotation(chance.randrange(FIRST_TURNS))
        while True:
            sources = self.sources()
            addr = rotation.next(sources)
            if not addr:
                await asyncio.sleep(interval)
                continue
            poll = Poll(self.configuration_view.revision, interval * (1 + chance.random()), self.settings.name)
            if await self.poll(addr, poll, rotation):
                rotation.answered()
            elif rotation.exhausted(sources):
                # No source is in touch; perhaps none can be. A neighbour may know more.
                await self.fetch_from_neighbour(sources)
                await asyncio.sleep(rotation.pause(interval) * (0.8 + 0.4 * chance.random()))

    async def poll(self, addr: str, poll: Poll, rotation: Rotation) -> bool:
        """One poll of the feed; True if the source is in touch and what it gave was accepted."""
        asked = now()
        got = await self.peer_links.request(addr, "follow", poll.as_json(), poll.hold + self.settings.bounds.follow)
        if isinstance(got, Err):
            self.missed[addr] = now()
            self.polls.labels("failed").inc()
            rotation.failed_at(addr)
            return False
        body = got.unwrap()
        stale = Stale.from_json(body)
        self.polls.labels("stale" if stale else "ok").inc()
        if stale:
            rotation.failed_at(addr, (other for other in stale.others if other != self.settings.peer))
            if stale.version > self.configuration_view.revision and rotation.exhausted(self.sources()):
                await self.fetch(addr)
        elif not self.configuration_view.apply_answer(cast(FeedAnswer, body)):
            await self.fetch(addr)
        self.configuration_view.note_contact(body["edition"], asked)
        return stale is None

    async def fetch(self, addr: str, limit: float = 0.0) -> None:
        """Copies what a daemon knows beyond the own revision, and all of it if the changes don't fit.

        `limit` is how many seconds the first answer may take; 0 stands for the bound on applying a configuration. A
        daemon that doesn't answer changes nothing.
        """
        limit = limit or self.settings.bounds.manifest
        got = await self.peer_links.request(addr, "follow", Poll(self.configuration_view.revision).as_json(), limit)
        if isinstance(got, Ok) and not self.configuration_view.apply_answer(cast(FeedAnswer, got.unwrap())):
            again = await self.peer_links.request(addr, "follow", Poll(0).as_json(), self.settings.bounds.manifest)
            if isinstance(again, Ok):
                self.configuration_view.apply_answer(cast(FeedAnswer, again.unwrap()))

    async def fetch_from_neighbour(self, sources: list[str]) -> None:
        """Copies what one neighbour knows that is none of the sources."""
        neighbours = [addr for addr in self.partial_view.addresses() if addr not in sources]
        if neighbours:
            await self.fetch(self.environment.chance.choice(neighbours), self.settings.bounds.follow / 2)

    async def ask_around(self, addrs: list[str]) -> int:
        """Asks many daemons which revision they run, and fetches the newest; returns how many answered."""
        asked = now()
        wait = self.settings.bounds.follow
        got = await asyncio.gather(*(self.peer_links.request(addr, "ping", {}, wait) for addr in addrs))
        answers = zip(addrs, got, strict=True)
        seen = {addr: answer.unwrap()["edition"] for addr, answer in answers if isinstance(answer, Ok)}
        best = max(seen, key=lambda addr: seen[addr], default="")
        if best and seen[best] > self.configuration_view.revision:
            await self.fetch(best)
        if best:
            self.configuration_view.note_contact(seen[best], asked)
        return len(seen)

    async def watch_contact(self) -> None:
        """Notices that nobody is heard any more: asks around before it is too late, and logs when it is; runs until it
        is cancelled."""
        view, limit = self.configuration_view, self.settings.bounds.deaf
        logged = False
        while True:
            await asyncio.sleep(limit / 4)
            if view.is_isolated(limit / 2):
                others = sorted(view.addresses_of_others())
                await self.ask_around(self.environment.chance.sample(others, min(len(others), MAX_ASKED_AROUND)))
            isolated = view.is_isolated(limit)
            if isolated != logged:
                logged = isolated
                log_events.emit(Event.ISOLATED, self.settings.name, hears="nobody" if isolated else "others")

    async def prove_fresh(self) -> None:
        """Before a started daemon serves: what it knows must be no older than what was in force at its start.

        Control confirms the revision in force by a round trip between its machines. Without control, a revision that
        was acknowledged runs at all that serve: more than half of the other machines are asked for theirs.
        """
        bounds, view = self.settings.bounds, self.configuration_view
        began = now()
        while not view.fresh:
            await self._ask_control_for_proof()
            if view.fresh:
                break
            await asyncio.sleep(bounds.follow / 4 * (0.8 + 0.4 * self.environment.chance.random()))
            if view.manifest is not None and not view.fresh and now() - began > bounds.manifest:
                others, revision = view.addresses_of_others(), view.revision
                view.fresh = 2 * await self.ask_around(others) > len(others) and revision == view.revision
        log_events.emit(
            Event.CONFIGURATION_VIEW_FRESH, self.settings.name, revision=view.revision, after=f"{now() - began:.2f}"
        )

    async def _ask_control_for_proof(self) -> None:
        """Asks a few sources at once, which hold the question until there is a primary that confirms a revision."""
        view, interval = self.configuration_view, self.settings.bounds.follow
        sources = self.sources()
        asked = self.environment.chance.sample(sources, min(SOURCES_ASKED_FOR_PROOF, len(sources)))
        question: dict[str, Any] = {"brief": 1, "wait": interval}
        asks = {addr: self.peer_links.request(addr, "read", question, interval * 1.5) for addr in asked}
        answers = await gather_until(asks, any_answered, 0.0)
        for addr, answer in answers.items():
            if isinstance(answer, Ok):
                revision = answer.unwrap()["edition"]
                if revision > view.revision:
                    await self.fetch(addr, interval)
                view.fresh = revision <= view.revision
