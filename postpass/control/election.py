"""How a member becomes the primary of a new epoch."""

from __future__ import annotations

import asyncio
from dataclasses import asdict, replace

from result import Err, Ok, Result

from postpass.configuration.configuration import Configuration
from postpass.configuration.configuration_check import check
from postpass.control.epochs import (
    Acknowledgement,
    PreVote,
    ReplicaSet,
    Voters,
    backups_of,
    may_campaign,
    may_lead,
    previous_voters,
    unheard_holders,
    voters_after,
    votes,
)
from postpass.control.replica import Replica
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State, recovered
from postpass.membership.safe_change import Topology, next_voters
from postpass.rpc.codec import Body
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import SLOW, Fault


class Election(Replica):
    """Runs elections; the rules themselves are pure functions in `epochs`."""

    def electorate(self, configuration: Configuration) -> list[str]:
        """All that may have a vote: the members of the configuration, and the voters of the epochs known here."""
        voters = [*self.held.pair.voters, *self.held.pair.previous_voters, *self.witness.pair.voters]
        return list(dict.fromkeys([*self.members(configuration), *voters]))

    def gone(self, configuration: Configuration) -> set[str]:
        """Those of the electorate that the configuration has no more, or declares gone."""
        machines = configuration["machines"]
        return {n for n in self.electorate(configuration) if n not in machines or machines[n].get("gone")}

    async def collect_prevotes(self, configuration: Configuration, quick: bool = False) -> dict[str, Body]:
        """Who would back this member as the primary of a new epoch, and what each one holds; nothing is promised."""
        me = self.settings.name
        others = [n for n in self.electorate(configuration) if n != me]
        answers = await self.ask_all("look", {"probe": 1, "who": me}, others, configuration, quick)
        return answers | {me: self.about() | {"ok": not self.hears_another_primary(me)}}

    def prevote_won(self, configuration: Configuration, answers: dict[str, Body]) -> bool:
        """The rule of the pre-vote, by the voters of the newest epoch that an answer tells."""
        newest = max((ReplicaSet.of(a["pair"]) for a in answers.values()), key=lambda replica_set: replica_set.epoch)
        prevotes = [PreVote(n, str(a["disk"]), not a["ok"]) for n, a in answers.items()]
        return may_campaign(set(self.electorate(configuration)) - self.gone(configuration), newest.voters, prevotes)

    async def collect_promises(
        self, configuration: Configuration, epoch: int, prevotes: dict[str, Body], handover: bool
    ) -> dict[str, Body]:
        """Promises of those that answered the pre-vote. This member promises last, once enough others have: if it was frozen
        in between, the others hear another primary by now, and no epoch is spent."""
        me = self.settings.name
        ask: Body = {"epoch": epoch, "who": me} | ({"handover": 1} if handover else {})
        answers = await self.ask_all("look", ask, [n for n in prevotes if n != me], configuration)
        if not self.prevote_won(configuration, answers | {me: self.about() | {"ok": True}}):
            return answers
        return answers | await self.ask_all("look", ask, [me], configuration)

    async def run_election(
        self,
        configuration: Configuration,
        why: str,
        first: State | None = None,
        prevotes: dict[str, Body] | None = None,
        handover: bool = False,
        change_voters: bool = False,
    ) -> Result[None, Fault]:
        """Tries to become the primary of a new epoch; `first` is the state of a fleet that has none yet. A primary that
        hands over asks for it itself, so the others still hear it. Where nobody waits for it, `change_voters` also makes
        the next safe change of voters, and settles it before the epoch is led."""
        me = self.settings.name
        step = "stand"
        if prevotes is None:
            prevotes = await self.collect_prevotes(configuration)
        if not handover and not self.prevote_won(configuration, prevotes):
            if all(a["whole"] == 0 and a["pair"]["epoch"] == 0 for a in prevotes.values()):
                return Err(Fault(step, me, "a fleet is founded only when all its control machines answer", SLOW))
            return Err(Fault(step, me, "too few voters answered that they hear no other primary", SLOW))
        names, gone = self.electorate(configuration), self.gone(configuration)
        epoch = max(int(a["promised"]) for a in prevotes.values()) + 1
        looks = await self.collect_promises(configuration, epoch, prevotes, handover)
        top = max(int(a["promised"]) for a in looks.values()) if looks else epoch
        good = {n: a for n, a in looks.items() if a["ok"] and a["promised"] == epoch}
        if me not in good or top > epoch:
            return Err(Fault(step, me, f"epoch {epoch} was not promised by enough; {top} was seen", SLOW))
        # Only now: a copy that was under way when this one promised may have been answered since.
        start = self.held
        voters: Voters = start.pair.voters
        got = {n: str(a["disk"]) for n, a in good.items()}
        pairs = {n: ReplicaSet.of(a["pair"]) for n, a in good.items()}
        every = all(n in good for n in names if n not in gone)
        state, loss, flaw = start.state, False, ""
        blank = all(p.epoch == 0 for p in pairs.values()) and all(a["whole"] == 0 for a in good.values())
        if blank:
            if not every:
                return Err(Fault(step, me, "a fleet is founded only when all its control machines answer", SLOW))
            if self.configuration_view.manifest is not None:
                newest = await self.newest_known(configuration)
                if newest is None:
                    return Err(Fault(step, me, "too few daemons confirm the newest edition", SLOW))
                if unheard := self.unheard(newest[1], good):
                    return Err(Fault(step, me, f"{', '.join(unheard)} may hold the newest state", SLOW))
                state, loss = recovered(newest[0] + 1, newest[1], 1), True
            elif first is not None:
                state = first
            else:
                return Err(Fault(step, me, "nothing to begin from", SLOW))
        else:
            flaw = may_lead(me, start.whole, start.pair, pairs, voters, got)
            if flaw:
                best = max(pairs.values(), key=lambda replica_set: replica_set.epoch)
                # A voter of the newest pair that answers with that epoch's state can lead; it goes first.
                able = [
                    n
                    for n, a in good.items()
                    if a["whole"] == best.epoch and n in best and best.voters.get(n) == a["disk"]
                ]
                if not every or (able and able[0] != me):
                    return Err(Fault(step, me, flaw, SLOW))
                if not able:
                    newest = await self.newest_known(configuration)
                    if newest is None:
                        return Err(Fault(step, me, "too few daemons confirm the newest edition", SLOW))
                    if unheard := self.unheard(newest[1], good):
                        return Err(Fault(step, me, f"{', '.join(unheard)} may hold the newest state", SLOW))
                    revision = max(newest[0], *(a["edition"] for a in good.values())) + 1
                    state, loss = recovered(revision, newest[1], start.state.losses + 1), True
                elif start.whole != best.epoch:
                    return Err(Fault(step, me, flaw, SLOW))
        # Without a majority of the voters before, all have answered: those are the voters from here on.
        unopposed = blank or flaw != ""
        leaving = [n for n, a in good.items() if a.get("leaving") and n != me]
        topology = self.topology(configuration)
        wanted = next_voters(voters, self.members(configuration), got, topology, leaving) if change_voters else voters
        now_voters = got if unopposed else voters_after(start.pair, wanted)
        before = {} if unopposed else previous_voters(start.pair, now_voters)
        # A backup's acknowledgements count by its disk, so only one whose disk is among the voters can be a backup.
        rest = [n for n in self.members(configuration) if n != me and n in good and now_voters.get(n) == got[n]]
        rest = [n for n in rest if not good[n].get("leaving")] or rest
        zone = {n: configuration["machines"][n]["area"] for n in self.members(configuration)}
        liked = sorted(
            rest,
            key=lambda n: (
                n == start.pair.primary and why in ("primary lost", "handed over"),
                self.settings.announce and zone[n] == self.settings.zone,
                self.members(configuration).index(n),
            ),
        )
        backups = backups_of(
            liked, zone if self.settings.announce else {n: n for n in liked}, self.settings.zone, self.wanted_backups
        )
        pair = ReplicaSet(epoch, me, backups, now_voters, before)
        held = ReplicatedState(epoch, pair, state)
        # The new backups hold the whole state before the epoch is granted: nothing is written in between.
        if self.witness.promised != epoch:
            return Err(Fault(step, me, "a higher epoch was promised", SLOW))
        held = (await self.store(held)).held
        self.held = held
        if not await self.append_to_all(held, epoch):
            return Err(Fault(step, me, f"one of the backups {', '.join(backups)} did not take the state", SLOW))
        grants = await self.ask_all("grant", {"pair": asdict(pair), "who": me}, list(good), configuration)
        granted = votes(
            (Acknowledgement(n, str(a["disk"]), a["pair"]["epoch"]) for n, a in grants.items() if a["ok"]), epoch
        )
        if not pair.elected_by(granted) or self.witness.promised != epoch:
            return Err(Fault(step, me, "too few granted the epoch", SLOW))
        self.unsettled_epoch = 0
        if pair.previous_voters:
            self.held, self.unsettled_epoch = replace(held, pair=pair.settled()), epoch
            await self.settle()
            if self.witness.promised != epoch:
                return Err(Fault(step, me, "a higher epoch was promised", SLOW))
        self.epoch, self.copied, self.leader = epoch, dict.fromkeys(backups, now()), me
        self.wiped_backups.clear()
        self.answered = {n: now() for n, d in now_voters.items() if granted.get(n) == d}
        self.announce_leader()
        if why not in ("backup lost", "too few backups") and not why.startswith("voters"):
            self.since, self.beats = now(), {}
        log_events.emit(
            133 if loss else 130,
            self.settings.name,
            epoch=epoch,
            backup=",".join(backups),
            revision=state.revision,
            why=why,
        )
        for name in sorted(set(now_voters) - {n for n, d in voters.items() if now_voters.get(n) == d}):
            log_events.emit(134, self.settings.name, joins=name)
        self.publish(self.held.state)
        # Who leads is told by the granted epoch alone; members that wait for a primary need not wait for the next beat.
        self.spawn(self.announce_epoch(epoch, configuration))
        return Ok(None)

    async def announce_epoch(self, epoch: int, configuration: Configuration) -> None:
        """One heartbeat at once, so that all members hear of a granted epoch."""
        await self.heartbeat(epoch, configuration)

    async def confirm_leadership(self) -> bool:
        """True if nobody else led when this was called: all holders and most voters answered under this epoch since. A backup
        that does not answer is replaced, and the new replica set asked. Called with the lock held."""
        for attempt in range(2):
            epoch, pair = self.epoch, self.held.pair
            if not epoch:
                return False
            answers = await self.confirmation_round()
            if self.epoch != epoch:
                return False
            if pair.confirmed_by(answers):
                return True
            configuration = self.known()
            if attempt or configuration is None or pair.copied_to_all(answers):
                return False
            await self.renew_replica_set(configuration, "backup lost", quick=True)
        return False

    async def renew_replica_set(self, configuration: Configuration, why: str, quick: bool = False) -> None:
        """Leads on under a new epoch, if most voters still hear no other primary. Called with the lock held."""
        epoch = self.epoch
        prevotes = await self.collect_prevotes(configuration, quick)
        if not epoch or self.epoch != epoch or not self.prevote_won(configuration, prevotes):
            return
        self.epoch = 0
        got = await self.run_election(configuration, why, prevotes=prevotes, change_voters=not quick)
        if isinstance(got, Ok):
            log_events.emit(132, self.settings.name, backup=",".join(self.held.pair.backups), why=why)
        else:
            self.heard = now() - self.settings.bounds.detect

    def topology(self, configuration: Configuration) -> Topology:
        """Where the machines stand, and what may be lost of them at once."""
        return Topology({n: m["area"] for n, m in configuration["machines"].items()}, self.settings.tolerance)

    def voters_to_change(self, configuration: Configuration, answers: list[Acknowledgement]) -> list[str]:
        """As primary: who would join or leave the voters by the next safe change, given who answered the heartbeat."""
        voters = self.held.pair.voters
        answered = {a.member: a.disk for a in answers} | {self.settings.name: self.disk_id}
        leaving = sorted(self.departing & set(answered))
        after = next_voters(voters, self.members(configuration), answered, self.topology(configuration), leaving)
        return sorted(n for n in {*voters, *after} if voters.get(n) != after.get(n))

    def unheard(self, configuration: Configuration, answers: dict[str, Body]) -> list[str]:
        """Who might hold a newer state than those that answered, by the newest configuration in force."""
        newest = max((ReplicaSet.of(a["pair"]) for a in answers.values()), key=lambda replica_set: replica_set.epoch)
        known = {*self.electorate(configuration), *newest.voters, *newest.holders}
        dropped = {n for n in known if n not in configuration["machines"] or configuration["machines"][n].get("gone")}
        # Where machines announce themselves it was no operator that dropped them.
        declared_gone = set() if configuration.get("announced") else dropped
        return sorted(unheard_holders(newest, self.members(configuration), dropped, declared_gone, answers))

    @property
    def wanted_backups(self) -> int:
        """How many backups there should be: one more copy than may be lost, with the primary's own."""
        return max(1, self.settings.disks_lost)

    def better_replica_set(self, configuration: Configuration, answered: list[str]) -> bool:
        """Could there be more backups, or copies in more areas, with those that answered?"""
        pair, zone = self.held.pair, {n: configuration["machines"][n]["area"] for n in self.members(configuration)}
        if len(pair.backups) < self.wanted_backups:
            return bool(set(answered) - set(pair.holders))
        if not self.settings.announce:
            return False
        there = [*pair.backups, *answered]
        if not set(pair.backups) <= set(zone):
            return True
        best = backups_of(there, zone, self.settings.zone, self.wanted_backups)
        return len({self.settings.zone, *(zone[n] for n in best)}) > len(
            {self.settings.zone, *(zone[n] for n in pair.backups)}
        )

    async def newest_known(self, configuration: Configuration) -> tuple[int, Configuration] | None:
        """The newest edition that daemons hold, once most of them have been heard."""
        names = [n for n, m in configuration["machines"].items() if not m.get("gone") and n != self.settings.name]
        got = await asyncio.gather(*(
            self.peer_links.call(configuration["machines"][n]["peer"], "follow", {"after": 0, "wait": 0}, self.settings.bounds.promise)
            for n in names
        ))  # fmt: skip
        seen = [g.unwrap() for g in got if isinstance(g, Ok)]
        if 2 * (len(seen) + 1) <= len(names) + 1:
            return None
        best: tuple[int, Configuration] | None = (
            (self.configuration_view.revision, self.configuration_view.manifest)
            if self.configuration_view.manifest
            else None
        )
        for body in seen:
            if "snapshot" in body and (best is None or body["edition"] > best[0]) and check(body["snapshot"]).is_ok():
                best = (body["edition"], body["snapshot"])
        return best

    def may_try_to_lead(self, configuration: Configuration, every: dict[str, Body]) -> bool:
        """Is it this one's turn to try? One that can't lead would only burn epochs of one that can."""
        best = max((ReplicaSet.of(a["pair"]) for a in every.values()), key=lambda replica_set: replica_set.epoch)
        if self.held.whole >= best.epoch or (
            self.settings.name in best and best.voters.get(self.settings.name) == self.disk_id
        ):
            return True
        able = [n for n, a in every.items() if n in best and best.voters.get(n) == a["disk"]]
        # Of a pair that both lost their disks, anyone may go on, once all have told so.
        return not able and all(n in every for n in self.members(configuration))
