"""What a control member serves to daemons: the feed of configurations, confirmed reads, and which machines run a version."""

from __future__ import annotations

import asyncio
from typing import cast

from result import Err, Ok

from postpass.configuration.configuration import Configuration, used_keys
from postpass.control.in_force import ContactTimes, VersionWait, awaited_senders
from postpass.control.member import INFINITY
from postpass.control.read_messages import ConfigurationAnswer, ReadRequest, RevisionAnswer, SourceAnswer
from postpass.control.writer import Writer
from postpass.feed.messages import Poll
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import NOT_RESPONSIBLE, REJECTED, TIMED_OUT, Fault
from postpass.runtime.log_events import Event

MIN_WAIT_S = 0.001  # shortest wait for a new configuration within a poll


class Feed(Writer):
    """Serves the configuration to followers, confirms reads, and finds out which machines run a version.

    Owns `next_confirmation` with `confirmation_lock`: the confirmation round that has not begun yet, which all reads
    that arrive until then share. Records in `machine_heartbeats` when a follower polled. Decides whether a poll is
    answered with changes or with `Stale`, whether a read is confirmed, and whether a version is in force.
    """

    async def on_ping(self, body: Body) -> PeerResponse:
        """Answers a ping. One that asks for an entry gets this member's announcement and whether its disk is blank."""
        if "entry" in body:
            return Ok({"entry": self.announcer.announcement(), "blank": self.knows_no_fleet()})
        return await super().on_ping(body)

    async def on_follow(self, body: Body) -> PeerResponse:
        """Answers a follower's poll with the changes after its revision, once there are any or its hold time is over.

        The answer is `Stale` as soon as this member's lease ends without contact to the primary, also during a poll.
        """
        poll = Poll.from_json(body)
        if not poll.follower:
            return await super().on_follow(body)
        self.machine_heartbeats[poll.follower] = now()
        deadline = now() + poll.hold
        while self.in_touch() and self.configuration_view.revision <= poll.after and now() < deadline:
            lease_end = self.last_contact() + self.settings.bounds.contact_lease
            await self.configuration_view.wait(poll.after, max(min(deadline, lease_end) - now(), MIN_WAIT_S))
        answer = (
            cast(Body, self.configuration_view.changes_since(poll.after))
            if self.in_touch()
            else self.stale_answer().as_json()
        )
        return Ok(answer)

    async def wait_until_in_force(
        self,
        revision: int,
        old_configuration: Configuration | None,
        new_configuration: Configuration,
        requested_at: float,
        timeout: float = 0.0,
    ) -> list[str]:
        """Waits until a revision is in force; returns the machines that are not known to run it, nor to be down, in time.

        Where machines announce themselves, only those that send requests to workers and may be connected are waited
        for; elsewhere all machines of the old and the new configuration are. The time runs from `requested_at`, for
        `timeout` seconds; 0 stands for the bound on configuration changes.
        """
        bounds, me = self.settings.bounds, self.settings.name
        if new_configuration.get("announced"):
            contact_times = ContactTimes(self.machine_heartbeats, self.member_reported_at, self.leading_since)
            machines = awaited_senders(
                new_configuration, me, contact_times, now(), bounds.detection_time, 4 * self.patience
            )
        else:
            all_machines = {
                name: machine
                for configuration in (old_configuration, new_configuration)
                if configuration
                for name, machine in configuration["machines"].items()
            }
            gone_names = {name for name, machine in new_configuration["machines"].items() if machine.get("gone")}
            machines = {
                name: machine["peer"] for name, machine in all_machines.items() if name != me and name not in gone_names
            }
        version_wait = VersionWait(
            self.peer_links,
            self.environment.chance,
            bounds,
            revision,
            self.configuration_view.addr(me),
            requested_at + (timeout or bounds.manifest),
            machines,
        )
        unconfirmed = await version_wait.run()
        log_events.emit(Event.REVISION_IN_FORCE, me, revision=revision, waits=",".join(unconfirmed) or "for nobody")
        return unconfirmed

    @property
    def patience(self) -> float:
        """Seconds for which a machine must be silent before another one may take its place."""
        return min(self.settings.bounds.sync or INFINITY, self.settings.bounds.recover / 2) / 2

    async def rejections_by_daemons(
        self, old_configuration: Configuration | None, new_configuration: Configuration
    ) -> list[str]:
        """Returns the errors of the daemons that reject a new configuration, up to three for each daemon.

        Daemons are asked only if the new configuration uses keys or plug-ins that the old one doesn't, since daemons of
        an older release don't know them.
        """
        if old_configuration is None or used_keys(new_configuration) <= used_keys(old_configuration):
            return []
        names = [
            name
            for name, machine in new_configuration["machines"].items()
            if name != self.settings.name and not machine.get("gone")
        ]
        responses = await asyncio.gather(
            *(
                self.peer_links.request(
                    new_configuration["machines"][name]["peer"],
                    "ping",
                    {"fits": new_configuration},
                    self.settings.bounds.feed_interval,
                )
                for name in names
            )
        )
        return [
            f"machines.{name}: it does not know this manifest: {flaw}"
            for name, response in zip(names, responses, strict=True)
            if isinstance(response, Ok)
            for flaw in response.unwrap().get("flaws", [])[:3]
        ]

    async def confirmed_revision(self) -> int:
        """Returns the revision in force, confirmed by a round trip that begins after this call; 0 if it can't be confirmed.

        All calls that come before the next round begins share that round.
        """

        async def run_round() -> int:
            async with self.confirmation_lock:
                self.next_confirmation = None
                if self.epoch:
                    # A write in progress holds the lock, so the round begins after it and its revision counts as well.
                    async with self.lock:
                        revision = self.committed.state.revision
                        return revision if await self.confirm_leadership() else 0
                address = self.peer_address(self.leader) if self.leader != self.settings.name else ""
                if not address:
                    return 0
                response = await self.peer_links.request(
                    address, "read", ReadRequest(brief=True).as_json(), self.settings.bounds.feed_interval
                )
                if isinstance(response, Err):
                    return 0
                revision = RevisionAnswer.from_json(response.unwrap()).revision
                if revision > self.configuration_view.revision:
                    await self.follower.fetch(address, self.settings.bounds.feed_interval)
                return revision

        if self.next_confirmation is None:
            self.next_confirmation = asyncio.create_task(run_round())
            self.background_tasks.add(self.next_confirmation)
            self.next_confirmation.add_done_callback(self.background_tasks.discard)
        return await asyncio.shield(self.next_confirmation)

    async def read_when_confirmed(self, max_wait: float) -> PeerResponse:
        """Returns the revision in force to a daemon that starts, as soon as there is a primary that confirms it.

        Waits at most `max_wait` seconds, and no longer than the bound on configuration changes.
        """
        deadline = now() + min(max_wait, self.settings.bounds.manifest)
        while True:
            if self.has_lost_contact():
                return Err(self.out_of_touch_fault("read"))
            event = self.leader_heard_event
            revision = await self.confirmed_revision()
            if revision:
                return Ok(RevisionAnswer(revision).as_json())
            if not await self.wait_for_leader(event, deadline):
                return Err(Fault("read", self.settings.name, "no primary now; ask again", REJECTED))

    async def on_read(self, body: Body) -> PeerResponse:
        """Returns the configuration, its revision alone or the operator's document, once this member has proved that it leads.

        Any other member answers with a fault that names the primary; only a read with `wait` is answered by every
        member.
        """
        request = ReadRequest.from_json(body)
        if request.wait is not None:
            return await self.read_when_confirmed(request.wait)
        if request.brief and self.epoch:
            revision = await self.confirmed_revision()
            if not revision:
                return Err(self.unconfirmed_fault("read"))
            return Ok(RevisionAnswer(revision).as_json())
        if not self.epoch:
            primary = self.vote_record.replica_set.primary
            hint = primary if primary != self.settings.name else ""
            return Err(Fault("read", self.settings.name, "not the primary", NOT_RESPONSIBLE, hint))
        async with self.lock:
            state = self.committed.state
            if not await self.confirm_leadership():
                return Err(self.unconfirmed_fault("read"))
        if request.source:
            version = state.configuration.get("version", 0)
            return Ok(SourceAnswer(state.revision, state.source, version).as_json())
        return Ok(ConfigurationAnswer(state.revision, state.manifest, state.losses).as_json())

    def unconfirmed_fault(self, step: str) -> Fault:
        """Returns the fault of a member that believes to be the primary, but could not prove it in time."""
        return Fault(step, self.settings.name, "could not be confirmed; ask again", TIMED_OUT)
