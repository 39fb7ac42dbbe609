"""Leadership over time: the heartbeat of a primary, the watch of the others, and handing over."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from postpass.configuration.configuration import Configuration
from postpass.control.epochs import Acknowledgement, ReplicaSet, in_touch, majority
from postpass.control.member import INFINITY
from postpass.control.registry import Registry
from postpass.membership.safe_change import gives_up_vote
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import Stop


class Leadership(Registry):
    """Keeps this member a primary, or makes it one when there is none."""

    async def tick(self) -> None:
        b = self.settings.bounds
        while True:
            await asyncio.sleep(b.beat * (0.8 + 0.4 * self.environment.chance.random()))
            configuration = self.known()
            if configuration is None or self.settings.name not in self.members(configuration):
                continue
            self.note_newcomers(configuration)
            try:
                if self.epoch:
                    await self.lead_heartbeat(configuration)
                elif not self.leaving or self.settings.name in self.witness.pair:
                    # One that holds the state may be the only one that can lead, also while it leaves.
                    await self.watch_for_leader(configuration)
            except Stop as bad:
                log_events.emit(103, self.settings.name, step=bad.fault.step, why=bad.fault.why)

    async def lead_heartbeat(self, configuration: Configuration) -> None:
        """The primary's heartbeat to all members; steps down without a majority, and mends the replica set."""
        b, epoch, pair = self.settings.bounds, self.epoch, self.held.pair
        answers = await self.heartbeat(epoch, configuration)
        if self.epoch != epoch:
            return
        self.answered[self.settings.name] = now()
        if not in_touch(pair.voters, self.answered, now() - b.detect):
            self.step_down("no majority answers")
            return
        if configuration.get("announced"):
            self.spoke |= dict.fromkeys([self.settings.name, *(a.member for a in answers)], now())
            self.spawn(self.reconcile())
        why = self.flaw_of_replica_set(configuration, answers)
        if why:
            async with self.lock:
                if self.epoch == epoch:
                    await self.renew_replica_set(configuration, why)
        elif self.unsettled_epoch == epoch and not self.lock.locked():
            async with self.lock:
                await self.settle()

    def flaw_of_replica_set(self, configuration: Configuration, answers: list[Acknowledgement]) -> str:
        """Why another replica set or other voters are wanted; empty if they are not."""
        oldest = now() - self.settings.bounds.detect
        if self.wiped_backups or self.backup_leaves(answers) or any(at < oldest for at in self.copied.values()):
            return "backup lost"
        if self.better_replica_set(configuration, [a.member for a in answers]):
            return "too few backups"
        changed = self.voters_to_change(configuration, answers)
        return f"voters {changed}" if changed else ""

    def backup_leaves(self, answers: list[Acknowledgement]) -> bool:
        """Was a backup told to leave, while another member could hold the state in its place?"""
        pair = self.held.pair
        others = [a for a in answers if a.member not in pair and a.member not in self.departing]
        return bool(others) and bool(self.departing & set(pair.backups))

    async def lead_after_restart(self) -> None:
        """After a start: where most have started as well and nobody has heard a primary since, there is none to wait for.

        The primary of the newest epoch stands at once. Each backup lets those before it, for a beat, unless it is seen that they
        lost their disks; anyone else leaves it to the ordinary watch. A mistake costs an epoch and no more.
        """
        b, began, seen = self.settings.bounds, now(), INFINITY
        while now() - began < b.detect and not (self.epoch or self.leaving) and self.led < began:
            configuration, me = self.known(), self.settings.name
            if configuration is not None and self.held.whole and me in self.members(configuration):
                every = await self.collect_prevotes(configuration, True)
                if any(not a["ok"] for a in every.values()):
                    return
                best = max((ReplicaSet.of(a["pair"]) for a in every.values()), key=lambda p: p.epoch)
                got = {n: str(a["disk"]) for n, a in every.items()}
                able = [n for n in best.holders if n in got and best.voters.get(n) == got[n]]
                if majority(best.voters, got) and me in able and self.held.whole == best.epoch:
                    seen = min(seen, now())
                    # The primary went first if its disk is here; one that is not heard yet may be starting.
                    first = all(n in got for n in best.holders[: best.holders.index(me)])
                    if (me == able[0] and first) or now() - seen > b.beat * best.holders.index(me):
                        async with self.lock:
                            done = (
                                await self.run_election(configuration, "restarted", prevotes=every)
                                if not self.epoch and self.led < began
                                else Ok(None)
                            )
                        if isinstance(done, Ok):
                            return
            await asyncio.sleep(b.beat / 4 * (0.8 + 0.4 * self.environment.chance.random()))

    async def watch_for_leader(self, configuration: Configuration) -> None:
        """Takes over if no primary is heard: those of the pair first, then in the agreed order."""
        b = self.settings.bounds
        order = sorted(
            self.members(configuration), key=lambda n: (n not in self.held.pair, self.members(configuration).index(n))
        )
        rank = order.index(self.settings.name)
        if now() - self.heard <= b.detect + rank * b.stagger or now() < self.candidate_until + rank * b.stagger:
            return
        if self.held.whole == 0 and self.configuration_view.manifest is None:
            return
        if self.disk_busy:
            # It could not sync its own promise, and would only hold up those that can.
            return
        async with self.lock:
            if self.epoch:
                return
            prevotes = await self.collect_prevotes(configuration)
            if not self.prevote_won(configuration, prevotes) or not self.may_try_to_lead(configuration, prevotes):
                self.heard = now() - b.detect + b.stagger * self.environment.chance.random()
                return
            got = await self.run_election(configuration, "primary lost", prevotes=prevotes)
            if isinstance(got, Err):
                self.heard = now() - b.detect + b.stagger * self.environment.chance.random()

    async def depart(self) -> None:
        """Goes only once others hold the state without this one, or once the time for leaving is over.

        A primary hands over to a backup, which takes a backup of its own; if none does, it first takes another backup.
        A backup waits until the primary, which hears of its leaving with the next heartbeat, has taken another one.
        """
        handed_over = False
        while self.epoch or self.needed():
            if self.epoch:
                handed_over = await self.hand_over()
            configuration = self.known()
            if configuration is None or self.members(configuration) == [self.settings.name]:
                return
            if not handed_over and self.settings.name == self.witness.pair.primary:
                async with self.lock:
                    got = await self.run_election(configuration, "too few backups", change_voters=True)
                if isinstance(got, Err):
                    await asyncio.sleep(self.settings.bounds.promise)
            await asyncio.sleep(self.settings.bounds.beat / 4)

    @property
    def leave_limit(self) -> float:
        """How long this member waits for others to hold what it holds; then it goes with its disk as it is."""
        return max(super().leave_limit, self.settings.bounds.grace * 0.75)

    def needed(self) -> bool:
        """Would the others miss the copy or the vote of this member, as the newest epoch that it granted has them?"""
        pair, configuration = self.witness.pair, self.known()
        if self.settings.name in pair:
            return True
        if configuration is None or self.settings.name not in pair.voters:
            return False
        return gives_up_vote(pair.voters, self.settings.name, pair.voters, self.topology(configuration))

    async def hand_over(self) -> bool:
        """Asks the backups to lead, instead of being missed; True once one does."""
        async with self.lock:
            epoch, addrs = self.epoch, [a for n in self.held.pair.backups if (a := self.addr(n))]
            if not epoch or not addrs:
                return False
            self.epoch = 0
            log_events.emit(131, self.settings.name, epoch=epoch, seen="handed over")
        for addr in addrs:
            got = await self.peer_links.call(addr, "adopt", {"epoch": epoch}, self.settings.bounds.promise)
            if isinstance(got, Ok) and got.unwrap()["ok"]:
                return True
        return False

    async def on_adopt(self, body: Body) -> PeerResponse:
        """The primary of an epoch leaves and won't write under it again: a backup may stand at once."""
        configuration = self.known()
        async with self.lock:
            if (
                configuration is None
                or self.epoch
                or self.held.whole != body["epoch"]
                or self.settings.name not in self.held.pair.backups
            ):
                return Ok({"ok": False})
            got = await self.run_election(configuration, "handed over", handover=True)
        return Ok({"ok": isinstance(got, Ok)})
