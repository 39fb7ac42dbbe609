"""Machines and workers that announce themselves: founding, joining, heartbeats, draining, and who is gone."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from postpass.configuration.configuration import Configuration, with_duty
from postpass.control.feed import Feed
from postpass.control.member import INFINITY
from postpass.membership import machine_registry, worker_registry
from postpass.membership.registry import MachineAnnouncement, State, WorkerAnnouncement
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD, Fault

MOST_DRAINED = 4096  # workers whose acknowledged leaving a member remembers


class Registry(Feed):
    """Keeps the registry of machines and workers."""

    async def found_fleet(self) -> None:
        """The seeds of a blank fleet found it: the first of them, or the next if that one doesn't come to it."""
        b, seeds = self.settings.bounds, sorted(set(self.settings.seeds))
        if not self.settings.bootstrap or self.settings.peer not in seeds:
            return
        await asyncio.sleep(b.detect * seeds.index(self.settings.peer))
        while self.blank():
            asks = [
                self.peer_links.call(a, "ping", {"entry": 1}, b.beat if a != self.settings.peer else 0)
                for a in seeds
                if a != self.settings.peer
            ]
            got = await asyncio.gather(*asks)
            if all(isinstance(g, Ok) and g.unwrap().get("blank") for g in got) and self.blank():
                entries: list[MachineAnnouncement] = [
                    self.announcer.announcement(),
                    *(g.unwrap()["entry"] for g in got),
                ]
                configuration = machine_registry.initial_configuration(
                    entries, self.settings.zones, self.settings.disks_lost
                )
                async with self.lock:
                    done = await self.run_election(configuration, "founded", State(1, configuration))
                if isinstance(done, Ok):
                    log_events.emit(135, self.settings.name, machines=",".join(e["name"] for e in entries))
                    return
            await asyncio.sleep(b.beat / 4 * (0.8 + 0.4 * self.environment.chance.random()))

    async def on_join(self, body: Body) -> PeerResponse:
        step, entry = "join", body["entry"]
        if not await self.is_leading():
            return Err(self.not_leader(step))
        flaws = machine_registry.announcement_flaws(entry, self.settings.zones)
        if flaws:
            return Err(Fault(step, self.settings.name, "\n".join(flaws), BAD))
        self.spoke[entry["name"]] = now()
        if (configuration := self.known()) is not None:
            self.note_newcomers(configuration)
        self.met.setdefault(entry["name"], now())
        got = await self.change(lambda s: Ok(machine_registry.with_machine(s, entry)), self.settings.bounds.beat / 4)
        if isinstance(got, Err):
            return Err(got.unwrap_err())
        log_events.emit(
            136, self.settings.name, joins=entry["name"], duties=",".join(entry["duties"]), revision=got.unwrap()
        )
        return Ok({"edition": got.unwrap()})

    async def report(self) -> None:
        """Tells the primary whom this machine has heard, so that nobody is missed who beats elsewhere."""
        b, period = self.settings.bounds, self.settings.beat / 2
        while True:
            await asyncio.sleep(period * (0.8 + 0.4 * self.environment.chance.random()))
            if self.epoch:
                self.touched = now()
                continue
            addr = self.addr(self.leader)
            if not addr:
                continue
            t = now()
            ages: Body = {
                key: {n: round(t - at, 3) for n, at in seen.items() if t - at < 2 * self.settings.beat + period}
                for key, seen in (("beats", self.beats), ("spoke", self.spoke))
            }
            got = await self.peer_links.call(addr, "hear", ages | {"who": self.settings.name}, min(period, b.beat * 2))
            if isinstance(got, Ok) and got.unwrap()["leads"]:
                self.touched = t
            self.beats = {n: at for n, at in self.beats.items() if t - at < 8 * self.settings.beat}
            self.spoke = {n: at for n, at in self.spoke.items() if t - at < 8 * self.settings.beat}

    async def on_hear(self, body: Body) -> PeerResponse:
        if "who" in body:
            self.reported[body["who"]] = now()
        for key, seen in (("beats", self.beats), ("spoke", self.spoke)):
            for name, age in body[key].items():
                seen[name] = max(seen.get(name, -INFINITY), now() - float(age))
        return Ok({"leads": self.epoch > 0})

    def note_newcomers(self, configuration: Configuration) -> None:
        """Remembers when each machine came, as every member sees it: whoever leads next has to know which are new."""
        first = not self.met
        for name in configuration["machines"]:
            self.met.setdefault(name, -INFINITY if first else now())

    async def reconcile(self) -> None:
        """The primary's care: who is gone, and how many copies there can be."""
        state, t, b = self.committed.state, now(), self.settings.bounds
        if not self.epoch or state.manifest is None:
            return
        configuration = state.manifest
        silent = {n: t - max(self.spoke.get(n, -INFINITY), self.since) for n in configuration["machines"]}
        every = worker_registry.all_workers(state)
        quiet = {w: t - max(self.beats.get(w, -INFINITY), self.since) for w in every}
        late = [w for w, q in quiet.items() if q > 3.5 * self.settings.beat]
        if 2 * len(late) > max(len(every), 4):
            # So many at once: it may well be the way to here that is cut, and no beat can come.
            late = [w for w, q in quiet.items() if q > 10 * self.settings.beat]
        # A holder leaves the replica set first: whoever is dropped can't lead, though it may hold the newest state.
        gone = [
            n
            for n in machine_registry.machines_to_drop(configuration, silent, self.met, t, self.patience)
            if n not in self.held.pair
        ]
        joined = max((self.met.get(n, 0.0) for n in with_duty(configuration, "store")), default=t)
        few = (
            t - max(joined, self.since) > b.recover / 4
        )  # longer than the patience, so that `heard` leaves out the gone
        heard = [n for n, q in silent.items() if q <= self.patience]

        def fold(s: State) -> Result[State, Fault]:
            if late:
                s = worker_registry.without_silent(s, late)
            if gone:
                s = machine_registry.without_machines(s, gone)
            return Ok(machine_registry.with_adjusted_copies(s, self.settings.tolerance, few, heard))

        if fold(state).unwrap() is not state:
            got = await self.change(fold, 0.0)
            if isinstance(got, Ok):
                log_events.emit(
                    137, self.settings.name, machines=",".join(gone), workers=",".join(late), revision=got.unwrap()
                )

    async def beat_worker(self, who: str, standing: WorkerAnnouncement, seqno: int) -> PeerResponse:
        # Taken, it would make every later manifest a bad one.
        flaws = worker_registry.announcement_flaws(standing, self.settings.zones)
        if flaws:
            return Err(Fault("beat", self.settings.name, "\n".join(flaws), BAD))
        leaves = bool(standing.get("leave"))
        if seqno and seqno < self.seqnos.get(who, 0) and not leaves:
            return Ok({})
        if seqno:
            self.seqnos[who] = max(seqno, self.seqnos.get(who, 0))
        if len(self.seqnos) > 4096:
            self.seqnos = dict(list(self.seqnos.items())[-1024:])
        lately = self.epoch > 0 or now() - self.touched < 1.5 * self.settings.beat
        # That a worker leaves is acknowledged by the primary, the first time; after that a heartbeat is one like any other.
        acknowledged = not leaves or who in self.drained
        if lately and acknowledged and worker_registry.is_current(self.configuration_view.manifest, who, standing):
            self.beats[who] = now()
            return Ok({})
        got = await self.forward(
            "beat", {"who": who, "standing": standing, "seqno": seqno}, self.settings.bounds.leave / 3
        )
        if leaves and isinstance(got, Ok):
            self.drained[who] = now()
            if len(self.drained) > MOST_DRAINED:
                del self.drained[next(iter(self.drained))]
        return got

    async def leave_worker(self, who: str) -> PeerResponse:
        return await self.forward("beat", {"who": who, "standing": None, "seqno": 0}, self.settings.bounds.leave / 3)

    async def on_beat(self, body: Body) -> PeerResponse:
        """What changes a worker's standing is written; that it leaves is also made known before it is told so."""
        if not await self.is_leading():
            return Err(self.not_leader("beat"))
        b, who, seqno, asked = self.settings.bounds, body["who"], body["seqno"], now()
        standing: WorkerAnnouncement | None = body["standing"]
        leaves = standing is None or bool(standing.get("leave"))
        if seqno and seqno < self.seqnos.get(who, 0) and not leaves:
            return Ok({})
        if seqno:
            self.seqnos[who] = max(seqno, self.seqnos.get(who, 0))
        self.beats[who] = now()

        def fold(s: State) -> Result[State, Fault]:
            return Ok(
                worker_registry.without_ended(s, [who])
                if standing is None
                else worker_registry.with_worker(s, who, standing)
            )

        got = await self.change(fold, b.leave / 100)
        if isinstance(got, Err):
            return Err(got.unwrap_err())
        if leaves:
            await self.in_force(got.unwrap(), None, self.committed.state.configuration, asked, b.leave / 6)
        return Ok({"edition": got.unwrap()})
