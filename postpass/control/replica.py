"""Replication of the control state: append to the backups, commit, and confirm that this member still leads."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from postpass.configuration.configuration import Configuration
from postpass.control.contact import Contact
from postpass.control.epochs import Acknowledgement, ReplicaSet
from postpass.control.journal import Change, Image, JournalError
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State
from postpass.rpc.peer_links import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import hear, now
from postpass.runtime.errors import Fault, Stop


class Replica(Contact):
    """Copies the state to the replicas, and answers as one of them."""

    async def on_copy(self, body: Body) -> PeerResponse:
        """From the primary, or from a candidate to its backups: the state to sync, or just a heartbeat under the epoch.
        Nothing of an epoch is accepted before the promise of that epoch is on disk."""
        # Releases before 0.3 don't tell whether their epoch is granted, and take every sender for a primary.
        granted = bool(body.get("granted", True))
        accepted = self.witness.accept(body["epoch"], body.get("who", ""), granted)
        if accepted is None:
            return self.append_answer(body, False)
        if accepted.promised > self.promise_on_disk:
            promised = await self.promise(accepted)
            if isinstance(promised, Err):
                return promised
            if body["epoch"] < self.witness.promised:
                return self.append_answer(body, False)
        if granted:
            self.follow_leader(body.get("who", ""))
        if "held" in body or "change" in body:
            try:
                taken = await (self.take_change(body) if "change" in body else self.take_state(body))
            except Stop as bad:
                return Err(bad.fault)
            if not taken or body["epoch"] < self.witness.promised:
                return self.append_answer(body, False)
            self.held = self.stored()
        if granted:
            self.learn_version(body)
        return self.append_answer(body, True)

    def follow_leader(self, name: str) -> None:
        """The primary of a granted epoch was heard."""
        self.heard = self.led = now()
        self.leader = name
        self.announce_leader()

    async def take_state(self, body: Body) -> bool:
        """Syncs a whole state, unless a newer one is held."""
        new = ReplicatedState.of(body["held"])
        if new.pair.voters.get(self.settings.name) != self.disk_id:
            # Meant for the disk that this member had before; it may have been under way since then.
            return False
        if new.order < self.held.order:
            return False
        await self.write_journal(self.journal.replace(Image.of(new.whole, new.state.revision, new.raw())))
        return True

    async def take_change(self, body: Body) -> bool:
        """Syncs a change if exactly the state that it builds on is held here; if not, the primary sends the whole."""
        try:
            change = Change.from_json(body["change"])
            if change.base.epoch != body["epoch"] or change.position.epoch != body["epoch"]:
                return False
            await self.write_journal(self.journal.append(change))
        except JournalError as error:
            log_events.emit(145, self.settings.name, why=str(error)[:160])
            return False
        return True

    def learn_version(self, body: Body) -> None:
        """The primary tells the edition in force: publishes it, or fetches it if this member has no copy of it."""
        revision = body.get("edition", 0)
        if revision <= self.configuration_view.revision:
            return
        if self.held.whole == body["epoch"] and self.held.state.revision == revision:
            self.publish(self.held.state)
        elif at := self.addr(body["who"]) or body.get("at", ""):
            task = asyncio.create_task(self.follower.fetch(at))
            self.fetches.add(task)
            task.add_done_callback(self.fetches.discard)

    def append_answer(self, body: Body, ok: bool) -> PeerResponse:
        answer: Body = {
            "ok": ok, "epoch": body["epoch"], "promised": self.witness.promised, "disk": self.disk_id,
            "leaving": self.leaving,
        }  # fmt: skip
        image = self.journal.image
        if "change" in body and image is not None:
            answer["holds"] = image.position.as_json()
        return Ok(answer)

    async def append_to(
        self, held: ReplicatedState | None, epoch: int, to: str, change: Change | None = None
    ) -> Acknowledgement | None:
        """Sends the state, as a change where one is given, or a heartbeat alone; the member's acknowledgement, if any."""
        addr = self.addr(to)
        if not addr:
            return None
        body: Body = {
            "epoch": epoch, "who": self.settings.name, "edition": self.configuration_view.revision, "at": self.settings.peer,
            "granted": self.epoch == epoch,
        }  # fmt: skip
        if change is not None:
            body["change"] = change.as_json()
        elif held:
            body["held"] = held.raw()
        # Where machines announce themselves another backup is soon found; an order doesn't wait long for this one.
        wait = self.settings.bounds.promise / (2 if self.settings.announce else 1)
        got = await self.peer_links.call(addr, "copy", body, wait)
        if isinstance(got, Err):
            return None
        answer, pair = got.unwrap(), self.held.pair
        if answer["promised"] > epoch and self.epoch == epoch:
            self.step_down(answer["promised"])
        if epoch == self.epoch and to in pair.backups and pair.voters.get(to) != answer["disk"]:
            self.wiped_backups.add(to)
        elif change is not None and not (answer["ok"] and answer.get("holds") == change.position.as_json()):
            # It held another state, or is of a release that takes whole states only and took this for a heartbeat.
            return await self.append_to(held, epoch, to) if self.epoch == epoch else None
        if not answer["ok"]:
            return None
        (self.departing.add if answer.get("leaving") else self.departing.discard)(to)
        # Releases before 0.3 don't repeat the epoch; the answer belongs to this request by its number.
        acknowledgement = Acknowledgement(to, str(answer["disk"]), answer.get("epoch", epoch))
        if epoch == self.epoch and pair.counts(acknowledgement):
            self.answered[to] = now()
            if to in pair.backups:
                self.copied[to] = now()
        return acknowledgement

    async def append_to_backups(
        self, held: ReplicatedState | None, epoch: int, change: Change | None = None
    ) -> list[Acknowledgement]:
        answers = await asyncio.gather(*(self.append_to(held, epoch, n, change) for n in self.held.pair.backups))
        return [a for a in answers if a is not None]

    async def append_to_all(self, held: ReplicatedState | None, epoch: int) -> bool:
        """True once all backups of the epoch have acknowledged, each by the disk that the replica set names."""
        pair = self.held.pair
        answers = await self.append_to_backups(held, epoch)
        return pair.epoch == epoch and pair.copied_to_all(answers)

    async def commit(self, state: State) -> bool:
        """True once the state is synced here and at all backups, and most voters have answered under this epoch since."""
        epoch, pair = self.epoch, self.held.pair
        # The voters that keep no copy are asked while the disks sync, so that their round trip adds no delay.
        others = asyncio.create_task(self.answers_of_voters(epoch, pair))
        try:
            async with asyncio.timeout(self.settings.bounds.detect):
                stored = await self.store(ReplicatedState(epoch, pair, state))
            if self.epoch != epoch:
                return False
            self.held = held = stored.held
            backups = await self.append_to_backups(held, epoch, stored.change)
            answers = [self.own_acknowledgement(epoch), *backups]
            if not pair.copied_to_all(answers):
                return False
            if not pair.confirmed_by(answers):
                answers += await others
        except TimeoutError:
            # While its disk stalls this member takes no change; another may lead meanwhile.
            self.step_down(epoch)
            return False
        finally:
            others.cancel()
        if self.epoch != epoch or not pair.confirmed_by(answers):
            return False
        self.publish(held.state)
        # In force within its bound even if this machine dies now: the backups hand it out as well before the
        # operator is answered, and the witnesses are told.
        for name in [n for n in self.members(state.manifest) if n not in held.pair]:
            task = asyncio.create_task(self.notify(name, epoch))
            self.fetches.add(task)
            task.add_done_callback(self.fetches.discard)
        await self.append_to_all(None, epoch)
        return True

    def own_acknowledgement(self, epoch: int) -> Acknowledgement:
        return Acknowledgement(self.settings.name, self.disk_id, epoch)

    async def answers_of_voters(self, epoch: int, replica_set: ReplicaSet) -> list[Acknowledgement]:
        """A round to the voters that are no holders; ends once they and the holders are a majority."""
        holders = [Acknowledgement(n, replica_set.voters.get(n, ""), epoch) for n in replica_set.holders]

        def enough(got: dict[str, Acknowledgement | None]) -> bool:
            return replica_set.confirmed_by([*holders, *(a for a in got.values() if a is not None)])

        if enough({}):
            return []
        asks = {n: self.append_to(None, epoch, n) for n in replica_set.voters if n not in replica_set}
        got = await hear(asks, enough, 0.0)
        return [a for a in got.values() if a is not None]

    async def settle(self) -> None:
        """Once more the state to the disks of all holders, now that its epoch is known to be granted: an election that
        rests on it needs no majority of the voters before any more. Called with the lock held."""
        stored = await self.store(self.held)
        self.held, epoch = stored.held, stored.held.whole
        answers = await self.append_to_backups(stored.held, epoch, stored.change)
        if self.held.pair.copied_to_all(answers) and self.unsettled_epoch == epoch:
            self.unsettled_epoch = 0

    async def notify(self, name: str, epoch: int) -> None:
        await self.append_to(None, epoch, name)

    async def heartbeat(self, epoch: int, configuration: Configuration) -> list[Acknowledgement]:
        """One round to all other members; those that are late are not waited for once most have answered."""
        others = [n for n in self.members(configuration) if n != self.settings.name]

        def enough(got: dict[str, Acknowledgement | None]) -> bool:
            return 2 * (1 + sum(a is not None for a in got.values())) > len(others) + 1

        asks = {n: self.append_to(None, epoch, n) for n in others}
        got = await hear(asks, enough, self.settings.bounds.promise / 2)
        return [a for a in got.values() if a is not None]

    async def ask_all(
        self, verb: str, body: Body, names: list[str], configuration: Configuration, quick: bool = False
    ) -> dict[str, Body]:
        b = self.settings.bounds

        async def one(name: str) -> PeerResponse:
            m = configuration["machines"].get(name)
            if not m or m.get("gone"):
                return Err(Fault(verb, name, "gone"))
            if name == self.settings.name:
                return await getattr(self, f"on_{verb}")(body)  # type: ignore[no-any-return]
            return await self.peer_links.call(m["peer"], verb, body, b.beat / 2 if quick else b.promise)

        def enough(got: dict[str, PeerResponse]) -> bool:
            return 2 * sum(isinstance(g, Ok) for g in got.values()) > len(names)

        got = await hear({n: one(n) for n in names}, enough, b.beat / 8 if quick else b.beat)
        return {n: g.unwrap() for n, g in got.items() if isinstance(g, Ok)}

    async def confirmation_round(self) -> list[Acknowledgement]:
        """Answers under this epoch to messages sent from now on; ends once they confirm it."""
        epoch, pair = self.epoch, self.held.pair
        mine = self.own_acknowledgement(epoch)

        def enough(got: dict[str, Acknowledgement | None]) -> bool:
            return pair.confirmed_by([mine, *(a for a in got.values() if a is not None)])

        names = sorted({*pair.voters, *pair.backups} - {self.settings.name})
        got = await hear({n: self.append_to(None, epoch, n) for n in names}, enough, 0.0)
        return [mine, *(a for a in got.values() if a is not None)]
