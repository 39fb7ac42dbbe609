"""The follower: fetches newer revisions of the configuration for a daemon, and watches its contact with other daemons.

It polls one source of the feed at a time, and turns to the next one if a source fails. In addition it asks many daemons
for their revision when none has confirmed its view for a while, and proves after a start that its view is no older than
the configuration that was in force then.
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

MAX_ASKED_AROUND = 16  # machines that are asked at once when no other daemon has confirmed the view
MAX_CONFIRMING_SOURCES = 3  # sources that are asked concurrently which revision is in force
FIRST_POSITIONS = 64  # number of positions in the rotation, one of which is drawn at random as a follower's first
AVOIDANCE_FACTOR = 2  # for how many failure detection times a source that did not answer is avoided


def any_answered(answers: Mapping[str, Result[Body, Fault]]) -> bool:
    """Returns whether at least one of several concurrent requests was answered."""
    return any(isinstance(answer, Ok) for answer in answers.values())


@dataclass(eq=False)
class Follower:
    """Keeps a daemon's view of the configuration up to date; owned by the daemon.

    `polls` counts polls by their outcome. `missed` maps each source that did not answer to the time when that last
    happened. The daemon replaces `settings` when its settings file has changed.
    """

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    partial_view: PartialView
    polls: Counter
    missed: dict[str, float] = field(default_factory=dict)

    def sources(self) -> list[str]:
        """Returns the addresses to poll: those of the control machines once they are known, else those of the seeds.

        In an announced fleet control machines come and go. The seeds are therefore polled as well, and sources that did
        not answer lately are left out as long as there are others.
        """
        control = [
            addr
            for name in self.configuration_view.duty("control")
            if name != self.settings.name and (addr := self.configuration_view.addr(name))
        ]
        seeds = [seed for seed in self.settings.seeds if seed != self.settings.peer]
        if not self.settings.announce:
            return control or seeds
        all_sources = list(dict.fromkeys([*control, *seeds]))
        oldest_miss = now() - self.settings.bounds.detection_time * AVOIDANCE_FACTOR
        return [addr for addr in all_sources if self.missed.get(addr, NEVER) < oldest_miss] or all_sources

    async def follow(self) -> None:
        """Polls the feed for changes after the view's revision, from one source after another; runs until cancelled."""
        interval, chance = self.settings.bounds.feed_interval, self.environment.chance
        rotation = Rotation(chance.randrange(FIRST_POSITIONS))
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
                # No source has contact to its primary, and perhaps none can have it. A neighbour may know a newer
                # revision.
                await self.fetch_from_neighbour(sources)
                await asyncio.sleep(rotation.pause(interval) * (0.8 + 0.4 * chance.random()))

    async def poll(self, addr: str, poll: Poll, rotation: Rotation) -> bool:
        """Polls the feed once and applies the answer; returns False if the source did not answer, or is stale.

        An answer that doesn't fit the view is replaced by a snapshot.
        """
        requested_at = now()
        response = await self.peer_links.request(
            addr, "follow", poll.as_json(), poll.hold + self.settings.bounds.feed_interval
        )
        if isinstance(response, Err):
            self.missed[addr] = now()
            self.polls.labels("failed").inc()
            rotation.failed_at(addr)
            return False
        body = response.unwrap()
        stale = Stale.from_json(body)
        self.polls.labels("stale" if stale else "ok").inc()
        if stale:
            rotation.failed_at(addr, (other for other in stale.others if other != self.settings.peer))
            if stale.version > self.configuration_view.revision and rotation.exhausted(self.sources()):
                await self.fetch(addr)
        elif not self.configuration_view.apply_answer(cast(FeedAnswer, body)):
            await self.fetch(addr)
        self.configuration_view.note_contact(body["edition"], requested_at)
        return stale is None

    async def fetch(self, addr: str, limit: float = 0.0) -> None:
        """Copies newer revisions from a daemon: changes since the view's revision or, if they don't fit, a snapshot.

        `limit` is the time limit of the first request in seconds; 0 stands for the bound within which every daemon
        applies a configuration (`Bounds.manifest`). If the daemon doesn't answer, the view stays unchanged.
        """
        limit = limit or self.settings.bounds.manifest
        response = await self.peer_links.request(
            addr, "follow", Poll(self.configuration_view.revision).as_json(), limit
        )
        if isinstance(response, Ok) and not self.configuration_view.apply_answer(cast(FeedAnswer, response.unwrap())):
            snapshot_response = await self.peer_links.request(
                addr, "follow", Poll(0).as_json(), self.settings.bounds.manifest
            )
            if isinstance(snapshot_response, Ok):
                self.configuration_view.apply_answer(cast(FeedAnswer, snapshot_response.unwrap()))

    async def fetch_from_neighbour(self, sources: list[str]) -> None:
        """Copies newer revisions from one neighbour, drawn at random, that is none of the sources."""
        neighbours = [addr for addr in self.partial_view.addresses() if addr not in sources]
        if neighbours:
            await self.fetch(self.environment.chance.choice(neighbours), self.settings.bounds.feed_interval / 2)

    async def poll_revisions(self, addrs: list[str]) -> int:
        """Asks many daemons at once for their revision, and fetches the newest; returns how many answered."""
        requested_at = now()
        limit = self.settings.bounds.feed_interval
        responses = await asyncio.gather(*(self.peer_links.request(addr, "ping", {}, limit) for addr in addrs))
        response_by_address = zip(addrs, responses, strict=True)
        revisions = {addr: answer.unwrap()["edition"] for addr, answer in response_by_address if isinstance(answer, Ok)}
        newest = max(revisions, key=lambda addr: revisions[addr], default="")
        if newest and revisions[newest] > self.configuration_view.revision:
            await self.fetch(newest)
        if newest:
            self.configuration_view.note_contact(revisions[newest], requested_at)
        return len(revisions)

    async def watch_contact(self) -> None:
        """Watches whether other daemons confirm the view; runs until it is cancelled.

        It asks other daemons after half the time without a confirmation that makes this daemon isolated, and logs when
        the daemon becomes isolated and when it no longer is.
        """
        view, limit = self.configuration_view, self.settings.bounds.isolation_time
        was_isolated = False
        while True:
            await asyncio.sleep(limit / 4)
            if view.is_isolated(limit / 2):
                others = sorted(view.addresses_of_others())
                await self.poll_revisions(self.environment.chance.sample(others, min(len(others), MAX_ASKED_AROUND)))
            isolated = view.is_isolated(limit)
            if isolated != was_isolated:
                was_isolated = isolated
                log_events.emit(Event.ISOLATED, self.settings.name, hears="nobody" if isolated else "others")

    async def prove_fresh(self) -> None:
        """Waits until the view is proved no older than the configuration in force when the daemon started.

        `Bounds.manifest` is the longest time, in seconds, until every daemon has applied an accepted configuration.

        A daemon that starts serves nothing before. Control confirms the revision in force by a round trip between its
        machines. If control doesn't answer for `Bounds.manifest`, the other machines are asked: a revision that was
        acknowledged to the operator has been applied by every machine that serves, so the view is fresh once more than
        half of the other machines have answered and the view was not updated from one of them.
        """
        bounds, view = self.settings.bounds, self.configuration_view
        started_at = now()
        while not view.fresh:
            await self._confirm_with_control()
            if view.fresh:
                break
            await asyncio.sleep(bounds.feed_interval / 4 * (0.8 + 0.4 * self.environment.chance.random()))
            if view.manifest is not None and not view.fresh and now() - started_at > bounds.manifest:
                others, revision = view.addresses_of_others(), view.revision
                view.fresh = 2 * await self.poll_revisions(others) > len(others) and revision == view.revision
        log_events.emit(
            Event.CONFIGURATION_VIEW_FRESH,
            self.settings.name,
            revision=view.revision,
            after=f"{now() - started_at:.2f}",
        )

    async def _confirm_with_control(self) -> None:
        """Asks a few sources at once for the revision in force, and sets `fresh` on the view if it has that revision.

        A source holds the request until there is a primary that confirms a revision.
        """
        view, interval = self.configuration_view, self.settings.bounds.feed_interval
        sources = self.sources()
        chosen = self.environment.chance.sample(sources, min(MAX_CONFIRMING_SOURCES, len(sources)))
        body: dict[str, Any] = {"brief": 1, "wait": interval}
        requests = {addr: self.peer_links.request(addr, "read", body, interval * 1.5) for addr in chosen}
        answers = await gather_until(requests, any_answered, 0.0)
        for addr, answer in answers.items():
            if isinstance(answer, Ok):
                revision = answer.unwrap()["edition"]
                if revision > view.revision:
                    await self.fetch(addr, interval)
                view.fresh = revision <= view.revision
