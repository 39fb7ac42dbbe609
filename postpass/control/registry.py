"""Machines and workers that announce themselves: founding, joining, heartbeats, draining, and who is gone."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from functools import partial

from result import Err, Ok, Result

from postpass.configuration.configuration import Configuration, with_duty
from postpass.control.election_rules import Cause, ElectionReason
from postpass.control.feed import Feed
from postpass.control.member import INFINITY
from postpass.control.messages import HEAR, HeartbeatReport, HeartbeatReportAnswer
from postpass.control.order_messages import WorkerHeartbeat
from postpass.control.read_messages import RevisionAnswer
from postpass.membership import machine_registry, worker_registry
from postpass.membership.registry import MachineAnnouncement, State, WorkerAnnouncement
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD, Fault
from postpass.runtime.log_events import Event

MOST_DRAINED = 4096  # workers whose acknowledged leaving a member remembers
MISSED_HEARTBEATS = 3.5  # periods after which a silent worker is late
MISSED_WHEN_MANY_ARE_LATE = 10  # the same, where half of the workers would be late
MOST_LATE_AT_ONCE = 4  # twice as many workers as may be late in a small fleet, whatever their share
MOST_SEQNOS, SEQNOS_KEPT = 4096, 1024  # workers whose last heartbeat's number a member remembers, and after a trim


def recent_ages(heard: Mapping[str, float], clock: float, horizon: float) -> dict[str, float]:
    """Seconds since each name was heard, rounded to milliseconds; those that were not heard within `horizon` are left out."""
    return {name: round(clock - at, 3) for name, at in heard.items() if clock - at < horizon}


def silences(names: Iterable[str], heard: Mapping[str, float], since: float, clock: float) -> dict[str, float]:
    """Seconds since each name was heard; at the most since this primary began to listen, at `since`."""
    return {name: clock - max(heard.get(name, -INFINITY), since) for name in names}


def late_workers(workers: Mapping[str, float], period: float) -> list[str]:
    """The workers that missed their heartbeats, given the seconds since each was heard. Where so many are late at once that
    it may well be the link to here that is cut, more heartbeats are waited for."""
    late = [name for name, silence in workers.items() if silence > MISSED_HEARTBEATS * period]
    if 2 * len(late) > max(len(workers), MOST_LATE_AT_ONCE):
        return [name for name, silence in workers.items() if silence > MISSED_WHEN_MANY_ARE_LATE * period]
    return late


def standing_change(heartbeat: WorkerHeartbeat, state: State) -> Result[State, Fault]:
    """The state with a worker's standing; the same one if it has that already."""
    if heartbeat.standing is None:
        return Ok(worker_registry.without_ended(state, [heartbeat.worker]))
    return Ok(worker_registry.with_worker(state, heartbeat.worker, heartbeat.standing))


class Registry(Feed):
    """Keeps the registry of machines and workers.

    Owns what was heard of them, by this machine's clock: `worker_heartbeats`, `machine_heartbeats`, `worker_seqnos`,
    `drained_workers`, `first_heard`, `member_reports` and `reported_at`. Heartbeats and the reports of other members change
    these; the first two are reset when another primary leads. Nothing of it is on disk: the registry itself is a part of
    the state, and is changed by `change` alone.
    Decides who joins, who is late or gone, and how many copies there can be (`reconcile`, by the rules of
    `postpass.membership.registry`).
    """

    async def found_fleet(self) -> None:
        """The seeds of a blank fleet found it: the first of them, or the next if that one doesn't come to it."""
        bounds, seeds = self.settings.bounds, sorted(set(self.settings.seeds))
        if not self.settings.bootstrap or self.settings.peer not in seeds:
            return
        await asyncio.sleep(bounds.detect * seeds.index(self.settings.peer))
        while self.blank():
            asks = [
                self.peer_links.request(a, "ping", {"entry": 1}, bounds.beat if a != self.settings.peer else 0)
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
                    done = await self.run_election(
                        configuration, ElectionReason(Cause.FOUNDED), State(1, configuration)
                    )
                if isinstance(done, Ok):
                    log_events.emit(
                        Event.FLEET_FOUNDED, self.settings.name, machines=",".join(e["name"] for e in entries)
                    )
                    return
            await asyncio.sleep(bounds.beat / 4 * (0.8 + 0.4 * self.environment.chance.random()))

    async def on_join(self, body: Body) -> PeerResponse:
        """A machine announces itself: its entry is written, and the revision that has it is told once it is durable."""
        step, entry = "join", body["entry"]
        if not await self.is_leading():
            return Err(self.not_leader(step))
        flaws = machine_registry.announcement_flaws(entry, self.settings.zones)
        if flaws:
            return Err(Fault(step, self.settings.name, "\n".join(flaws), BAD))
        self.machine_heartbeats[entry["name"]] = now()
        if (configuration := self.known()) is not None:
            self.note_newcomers(configuration)
        self.first_heard.setdefault(entry["name"], now())
        got = await self.change(
            lambda state: Ok(machine_registry.with_machine(state, entry)), self.settings.bounds.beat / 4
        )
        if isinstance(got, Err):
            return Err(got.unwrap_err())
        log_events.emit(
            Event.MACHINE_JOINED,
            self.settings.name,
            joins=entry["name"],
            duties=",".join(entry["duties"]),
            revision=got.unwrap(),
        )
        return Ok(RevisionAnswer(got.unwrap()).as_json())

    async def report(self) -> None:
        """Tells the primary whom this machine has heard, so that nobody is missed whose heartbeats go elsewhere."""
        bounds, period = self.settings.bounds, self.settings.beat / 2
        while True:
            await asyncio.sleep(period * (0.8 + 0.4 * self.environment.chance.random()))
            if self.epoch:
                self.reported_at = now()
                continue
            addr = self.addr(self.leader)
            if not addr:
                continue
            asked = now()
            horizon = 2 * self.settings.beat + period
            report = HeartbeatReport(
                recent_ages(self.worker_heartbeats, asked, horizon),
                recent_ages(self.machine_heartbeats, asked, horizon),
                self.settings.name,
            )
            got = await self.peer_links.request(addr, HEAR, report.as_json(), min(period, bounds.beat * 2))
            if isinstance(got, Ok) and HeartbeatReportAnswer.from_json(got.unwrap()).leads:
                self.reported_at = asked
            kept = 8 * self.settings.beat
            self.worker_heartbeats = {n: at for n, at in self.worker_heartbeats.items() if asked - at < kept}
            self.machine_heartbeats = {n: at for n, at in self.machine_heartbeats.items() if asked - at < kept}

    async def on_hear(self, body: Body) -> PeerResponse:
        """Takes another member's report of whom it heard, into what was heard here."""
        report = HeartbeatReport.from_json(body)
        if report.member:
            self.member_reports[report.member] = now()
        for ages, heard in (
            (report.worker_ages, self.worker_heartbeats),
            (report.machine_ages, self.machine_heartbeats),
        ):
            for name, age in ages.items():
                heard[name] = max(heard.get(name, -INFINITY), now() - float(age))
        return Ok(HeartbeatReportAnswer(self.epoch > 0).as_json())

    def note_newcomers(self, configuration: Configuration) -> None:
        """Remembers when each machine came, as every member sees it: whoever leads next has to know which are new."""
        first = not self.first_heard
        for name in configuration["machines"]:
            self.first_heard.setdefault(name, -INFINITY if first else now())

    async def reconcile(self) -> None:
        """At the primary, after each heartbeat: who is gone, and how many copies there can be."""
        state, clock, bounds = self.committed.state, now(), self.settings.bounds
        if not self.epoch or state.manifest is None:
            return
        configuration, listening_since = state.manifest, self.leading_since
        machines = silences(configuration["machines"], self.machine_heartbeats, listening_since, clock)
        workers = silences(worker_registry.all_workers(state), self.worker_heartbeats, listening_since, clock)
        late = late_workers(workers, self.settings.beat)
        # A holder leaves the replica set first: whoever is dropped can't lead, though it may hold the newest state.
        gone = [
            n
            for n in machine_registry.machines_to_drop(configuration, machines, self.first_heard, clock, self.patience)
            if n not in self.replicated_state.replica_set
        ]
        joined = max((self.first_heard.get(n, 0.0) for n in with_duty(configuration, "store")), default=clock)
        # Longer than the patience, so that `heard` leaves out the gone.
        no_store_is_new = clock - max(joined, listening_since) > bounds.recover / 4
        heard = [n for n, silence in machines.items() if silence <= self.patience]

        def fold(state: State) -> Result[State, Fault]:
            if late:
                state = worker_registry.without_silent(state, late)
            if gone:
                state = machine_registry.without_machines(state, gone)
            return Ok(machine_registry.with_adjusted_copies(state, self.settings.tolerance, no_store_is_new, heard))

        if fold(state).unwrap() is not state:
            got = await self.change(fold, 0.0)
            if isinstance(got, Ok):
                log_events.emit(
                    Event.MACHINE_DROPPED,
                    self.settings.name,
                    machines=",".join(gone),
                    workers=",".join(late),
                    revision=got.unwrap(),
                )

    async def record_worker_heartbeat(self, who: str, standing: WorkerAnnouncement, seqno: int) -> PeerResponse:
        """A worker's heartbeat came to this member: what changes nothing is noted here, all else goes to the primary.

        `seqno` counts the worker's heartbeats, so that one which comes late changes nothing; 0 if it doesn't count them.
        """
        # Taken, it would make every later configuration a bad one.
        flaws = worker_registry.announcement_flaws(standing, self.settings.zones)
        if flaws:
            return Err(Fault("beat", self.settings.name, "\n".join(flaws), BAD))
        heartbeat = WorkerHeartbeat(who, standing, seqno)
        if self.is_late(heartbeat):
            return Ok({})
        if len(self.worker_seqnos) > MOST_SEQNOS:
            self.worker_seqnos = dict(list(self.worker_seqnos.items())[-SEQNOS_KEPT:])
        reported_lately = self.epoch > 0 or now() - self.reported_at < 1.5 * self.settings.beat
        # That a worker leaves is acknowledged by the primary, the first time; after that a heartbeat is one like any other.
        acknowledged = not heartbeat.leaves or who in self.drained_workers
        if (
            reported_lately
            and acknowledged
            and worker_registry.is_current(self.configuration_view.manifest, who, standing)
        ):
            self.worker_heartbeats[who] = now()
            return Ok({})
        got = await self.forward("beat", heartbeat.as_json(), self.settings.bounds.leave / 3)
        if heartbeat.leaves and isinstance(got, Ok):
            self.drained_workers[who] = now()
            if len(self.drained_workers) > MOST_DRAINED:
                del self.drained_workers[next(iter(self.drained_workers))]
        return got

    def is_late(self, heartbeat: WorkerHeartbeat) -> bool:
        """Did a later heartbeat of the worker come before this one? Its number is noted if not. That a worker leaves is
        never late."""
        newest = self.worker_seqnos.get(heartbeat.worker, 0)
        if heartbeat.seqno and heartbeat.seqno < newest and not heartbeat.leaves:
            return True
        if heartbeat.seqno:
            self.worker_seqnos[heartbeat.worker] = max(heartbeat.seqno, newest)
        return False

    async def leave_worker(self, who: str) -> PeerResponse:
        """Tells the primary that a worker has ended."""
        ended = WorkerHeartbeat(who, standing=None, seqno=0)
        return await self.forward("beat", ended.as_json(), self.settings.bounds.leave / 3)

    async def on_beat(self, body: Body) -> PeerResponse:
        """What changes a worker's standing is written; that it leaves is also made known before it is told so."""
        if not await self.is_leading():
            return Err(self.not_leader("beat"))
        bounds, heartbeat, asked = self.settings.bounds, WorkerHeartbeat.from_json(body), now()
        if self.is_late(heartbeat):
            return Ok({})
        self.worker_heartbeats[heartbeat.worker] = now()
        got = await self.change(partial(standing_change, heartbeat), bounds.leave / 100)
        if isinstance(got, Err):
            return Err(got.unwrap_err())
        if heartbeat.leaves:
            await self.in_force(got.unwrap(), None, self.committed.state.configuration, asked, bounds.leave / 6)
        return Ok(RevisionAnswer(got.unwrap()).as_json())
