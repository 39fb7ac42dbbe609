"""What daemons are told: confirmed reads, and who runs a version of the configuration."""

from __future__ import annotations

import asyncio
from typing import cast

from result import Err, Ok

from postpass.configuration.configuration import Configuration, used_keys
from postpass.control.in_force import Hearing, VersionWait, awaited_senders
from postpass.control.member import INFINITY
from postpass.control.read_messages import ConfigurationAnswer, ReadRequest, RevisionAnswer, SourceAnswer
from postpass.control.writer import Writer
from postpass.feed.messages import Poll
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import MOVED, REJECTED, SLOW, Fault
from postpass.runtime.log_events import Event

SHORTEST_WAIT_S = 0.001


class Feed(Writer):
    """Serves followers, confirms reads, and asks who runs a version.

    Owns `next_confirmation` with `confirmation_lock`: the round of confirmation that the reads which come meanwhile share.
    Notes in `machine_heartbeats` that a follower was heard. Decides whether a poll is answered or told `Stale`, whether a
    read is confirmed, and whether a version is in force.
    """

    async def on_ping(self, body: Body) -> PeerResponse:
        """Answers a ping; one that asks for an entry is told of this member and whether its disk is blank."""
        if "entry" in body:
            return Ok({"entry": self.announcer.announcement(), "blank": self.blank()})
        return await super().on_ping(body)

    async def on_follow(self, body: Body) -> PeerResponse:
        """A follower is told `Stale` as soon as this member is out of touch, also in the middle of a poll."""
        poll = Poll.from_json(body)
        if not poll.follower:
            return await super().on_follow(body)
        self.machine_heartbeats[poll.follower] = now()
        until = now() + poll.hold
        while self.in_touch() and self.configuration_view.revision <= poll.after and now() < until:
            lease_end = self.last_contact() + self.settings.bounds.contact
            await self.configuration_view.wait(poll.after, max(min(until, lease_end) - now(), SHORTEST_WAIT_S))
        answer = (
            cast(Body, self.configuration_view.changes_since(poll.after)) if self.in_touch() else self.stale().as_json()
        )
        return Ok(answer)

    async def in_force(
        self, revision: int, before: Configuration | None, after: Configuration, asked: float, limit: float = 0.0
    ) -> list[str]:
        """Who of the old and the new configuration has neither said that it runs this revision nor is shown not to run."""
        bounds, me = self.settings.bounds, self.settings.name
        if after.get("announced"):
            hearing = Hearing(self.machine_heartbeats, self.member_reports, self.leading_since)
            machines = awaited_senders(after, me, hearing, now(), bounds.detect, 4 * self.patience)
        else:
            every = {
                n: m for configuration in (before, after) if configuration for n, m in configuration["machines"].items()
            }
            gone = {n for n, m in after["machines"].items() if m.get("gone")}
            machines = {n: m["peer"] for n, m in every.items() if n != me and n not in gone}
        wait = VersionWait(
            self.peer_links,
            self.environment.chance,
            bounds,
            revision,
            self.configuration_view.addr(me),
            asked + (limit or bounds.manifest),
            machines,
        )
        waits = await wait.run()
        log_events.emit(Event.REVISION_IN_FORCE, me, revision=revision, waits=",".join(waits) or "for nobody")
        return waits

    @property
    def patience(self) -> float:
        """How long a machine is not heard before another may take its place."""
        return min(self.settings.bounds.sync or INFINITY, self.settings.bounds.recover / 2) / 2

    async def daemons_that_reject(self, before: Configuration | None, after: Configuration) -> list[str]:
        """If keys or plug-ins come that were not used before: which daemons refuse them, as they don't know them."""
        if before is None or used_keys(after) <= used_keys(before):
            return []
        names = [n for n, m in after["machines"].items() if n != self.settings.name and not m.get("gone")]
        got = await asyncio.gather(
            *(
                self.peer_links.request(
                    after["machines"][n]["peer"], "ping", {"fits": after}, self.settings.bounds.follow
                )
                for n in names
            )
        )
        return [
            f"machines.{n}: it does not know this manifest: {flaw}"
            for n, g in zip(names, got, strict=True)
            if isinstance(g, Ok)
            for flaw in g.unwrap().get("flaws", [])[:3]
        ]

    async def confirmed(self) -> int:
        """The revision in force, confirmed by a round trip that begins after this call; 0 if that can't be had now.
        Those who ask meanwhile share the next round."""

        async def one_round() -> int:
            async with self.confirmation_lock:
                self.next_confirmation = None
                if self.epoch:
                    # What is being written now counts as well: the round comes after it.
                    async with self.lock:
                        revision = self.committed.state.revision
                        return revision if await self.confirm_leadership() else 0
                addr = self.addr(self.leader) if self.leader != self.settings.name else ""
                if not addr:
                    return 0
                got = await self.peer_links.request(
                    addr, "read", ReadRequest(brief=True).as_json(), self.settings.bounds.follow
                )
                if isinstance(got, Err):
                    return 0
                revision = RevisionAnswer.from_json(got.unwrap()).revision
                if revision > self.configuration_view.revision:
                    await self.follower.fetch(addr, self.settings.bounds.follow)
                return revision

        if self.next_confirmation is None:
            self.next_confirmation = asyncio.create_task(one_round())
            self.fetches.add(self.next_confirmation)
            self.next_confirmation.add_done_callback(self.fetches.discard)
        return await asyncio.shield(self.next_confirmation)

    async def read_waiting(self, wait: float) -> PeerResponse:
        """For a daemon that starts: held until there is a primary that confirms what is in force."""
        until = now() + min(wait, self.settings.bounds.manifest)
        while True:
            if self.lost_touch():
                return Err(self.out_of_touch("read"))
            event = self.leader_heard_event
            revision = await self.confirmed()
            if revision:
                return Ok(RevisionAnswer(revision).as_json())
            if not await self.wait_for_leader(event, until):
                return Err(Fault("read", self.settings.name, "no primary now; ask again", REJECTED))

    async def on_read(self, body: Body) -> PeerResponse:
        """Tells the configuration, or only its version, once this member has proved that it leads."""
        request = ReadRequest.from_json(body)
        if request.wait is not None:
            return await self.read_waiting(request.wait)
        if request.brief and self.epoch:
            revision = await self.confirmed()
            if not revision:
                return Err(self.unconfirmed("read"))
            return Ok(RevisionAnswer(revision).as_json())
        if not self.epoch:
            primary = self.vote_record.replica_set.primary
            hint = primary if primary != self.settings.name else ""
            return Err(Fault("read", self.settings.name, "not the primary", MOVED, hint))
        async with self.lock:
            state = self.committed.state
            if not await self.confirm_leadership():
                return Err(self.unconfirmed("read"))
        if request.source:
            version = state.configuration.get("version", 0)
            return Ok(SourceAnswer(state.revision, state.source, version).as_json())
        return Ok(ConfigurationAnswer(state.revision, state.manifest, state.losses).as_json())

    def unconfirmed(self, step: str) -> Fault:
        """The error of a member that leads as far as it knows, and couldn't prove it in time."""
        return Fault(step, self.settings.name, "could not be confirmed; ask again", SLOW)
