"""Machines and workers that announce themselves: founding a fleet, joining, heartbeats, draining, and removing the lost."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from functools import partial

from result import Err, Ok, Result

from postpass.configuration.configuration import Configuration, with_duty
from postpass.control.changes import StateUpdate
from postpass.control.election_rules import Cause, ElectionReason
from postpass.control.feed import Feed
from postpass.control.member import INFINITY
from postpass.control.messages import HEAR, HeartbeatReport, HeartbeatReportAnswer
from postpass.control.order_messages import WorkerHeartbeat
from postpass.control.partition_reports import OwnerReport, all_serve_without, newest_owner_reports
from postpass.control.read_messages import RevisionAnswer
from postpass.membership import machine_registry, worker_registry
from postpass.membership.registry import MachineAnnouncement, State, WorkerAnnouncement
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD_REQUEST, CONFLICT, Fault
from postpass.runtime.log_events import Event

MAX_DRAINED_WORKERS = 4096  # how many workers a member remembers whose leaving the primary has acknowledged
LATE_AFTER_PERIODS = 3.5  # heartbeat periods of silence after which a worker is late
MANY_LATE_AFTER_PERIODS = 10  # the same, where more than half of the workers would be late at once
# A silent store that a partition needs isn't dropped, since it may come back with the only records; but after so many
# times the recovery bound it counts as gone for good.
NEEDED_STORE_GONE_AFTER = 10
SMALL_FLEET_WORKERS = 4  # with fewer workers than this, half of this number may be late at once, whatever share that is
# A worker that was heard within so many heartbeat periods is taken for alive if another one claims its address.
ALIVE_PERIODS = 1.5
# How many workers a member remembers the number of the last heartbeat of, before the oldest are trimmed and after it.
MAX_SEQNOS, SEQNOS_AFTER_TRIM = 4096, 1024


def recent_heartbeat_ages(heard_at: Mapping[str, float], current_time: float, max_age: float) -> dict[str, float]:
    """Returns the seconds since each name was heard, rounded to milliseconds, without those not heard for `max_age`."""
    return {
        name: round(current_time - heard_time, 3)
        for name, heard_time in heard_at.items()
        if current_time - heard_time < max_age
    }


def silence_durations(
    names: Iterable[str], heard_at: Mapping[str, float], listening_since: float, current_time: float
) -> dict[str, float]:
    """Returns the seconds since each name was heard, but no more than since this primary began to listen."""
    return {name: current_time - max(heard_at.get(name, -INFINITY), listening_since) for name in names}


def late_workers(silence_by_worker: Mapping[str, float], period: float) -> list[str]:
    """Returns the workers that missed too many heartbeats, given the seconds since each was heard.

    Where so many are late at once that the link to this member may be cut, it waits for more heartbeats to be missed.
    """
    late = [name for name, silence in silence_by_worker.items() if silence > LATE_AFTER_PERIODS * period]
    if 2 * len(late) > max(len(silence_by_worker), SMALL_FLEET_WORKERS):
        return [name for name, silence in silence_by_worker.items() if silence > MANY_LATE_AFTER_PERIODS * period]
    return late


def state_with_announcement(heartbeat: WorkerHeartbeat, state: State) -> Result[State, Fault]:
    """Returns the state with what a worker announced; the very same object if the state has that already."""
    if heartbeat.announcement is None:
        return Ok(worker_registry.without_ended(state, [heartbeat.worker]))
    return Ok(worker_registry.with_worker(state, heartbeat.worker, heartbeat.announcement))


class Registry(Feed):
    """Keeps the registry of machines and workers.

    Owns what is known of their heartbeats, in seconds of this machine's clock: `worker_heartbeats`,
    `machine_heartbeats`, `worker_seqnos`, `drained_workers`, `first_heard`, `member_reported_at` and `reported_at`.
    Heartbeats and the reports of other members change these; the first two are reset when another primary leads. None
    of this is on disk: the registry itself is a part of the replicated state, and is changed by `change` alone.
    Decides which machines join, which machines and workers are late or gone, and how many copies of the data there can
    be (`reconcile`, by the rules of `postpass.membership.registry`).
    """

    async def found_fleet(self) -> None:
        """Founds the fleet if this machine is a seed and all seeds are blank.

        The first seed by address tries at once, each further one a detection time later, in case those before it fail.
        """
        bounds, seeds = self.settings.bounds, sorted(set(self.settings.seeds))
        if not self.settings.bootstrap or self.settings.peer not in seeds:
            return
        await asyncio.sleep(bounds.detection_time * seeds.index(self.settings.peer))
        while self.knows_no_fleet():
            requests = [
                self.peer_links.request(
                    seed, "ping", {"entry": 1}, bounds.heartbeat_interval if seed != self.settings.peer else 0
                )
                for seed in seeds
                if seed != self.settings.peer
            ]
            responses = await asyncio.gather(*requests)
            if (
                all(isinstance(response, Ok) and response.unwrap().get("blank") for response in responses)
                and self.knows_no_fleet()
            ):
                entries: list[MachineAnnouncement] = [
                    self.announcer.announcement(),
                    *(response.unwrap()["entry"] for response in responses),
                ]
                configuration = machine_registry.initial_configuration(
                    entries, self.settings.zones, self.settings.disks_lost
                )
                async with self.lock:
                    election_result = await self.run_election(
                        configuration, ElectionReason(Cause.FOUNDED), State(1, configuration)
                    )
                if isinstance(election_result, Ok):
                    log_events.emit(
                        Event.FLEET_FOUNDED, self.settings.name, machines=",".join(e["name"] for e in entries)
                    )
                    return
            await asyncio.sleep(bounds.heartbeat_interval / 4 * (0.8 + 0.4 * self.environment.chance.random()))

    async def on_join(self, body: Body) -> PeerResponse:
        """Adds a machine that announces itself; returns the revision that contains it, once that revision is durable."""
        step, entry = "join", body["entry"]
        if not await self.is_leading():
            return Err(self.not_leader_fault(step))
        flaws = machine_registry.announcement_errors(entry, self.settings.zones)
        if flaws:
            return Err(Fault(step, self.settings.name, "\n".join(flaws), BAD_REQUEST))
        self.machine_heartbeats[entry["name"]] = now()
        if (configuration := self.known_configuration()) is not None:
            self.note_newcomers(configuration)
        self.first_heard.setdefault(entry["name"], now())
        result = await self.change(
            lambda state: Ok(machine_registry.with_machine(state, entry)), self.settings.bounds.heartbeat_interval / 4
        )
        if isinstance(result, Err):
            return Err(result.unwrap_err())
        log_events.emit(
            Event.MACHINE_JOINED,
            self.settings.name,
            joins=entry["name"],
            duties=",".join(entry["duties"]),
            revision=result.unwrap(),
        )
        return Ok(RevisionAnswer(result.unwrap()).as_json())

    async def report(self) -> None:
        """Reports to the primary, again and again, which workers and machines this member has heard.

        Without that, the primary would miss workers and machines whose heartbeats go to other members. `reported_at` is
        when the newest report that reached the primary was sent.
        """
        bounds, period = self.settings.bounds, self.settings.beat / 2
        while True:
            await asyncio.sleep(period * (0.8 + 0.4 * self.environment.chance.random()))
            if self.epoch:
                # This member is the primary itself (`epoch` is 0 while it is not), so it has its own report already.
                self.reported_at = now()
                continue
            address = self.peer_address(self.leader)
            if not address:
                continue
            sent_at = now()
            max_age = 2 * self.settings.beat + period
            report = HeartbeatReport(
                recent_heartbeat_ages(self.worker_heartbeats, sent_at, max_age),
                recent_heartbeat_ages(self.machine_heartbeats, sent_at, max_age),
                self.settings.name,
            )
            response = await self.peer_links.request(
                address, HEAR, report.as_json(), min(period, bounds.heartbeat_interval * 2)
            )
            if isinstance(response, Ok) and HeartbeatReportAnswer.from_json(response.unwrap()).leads:
                self.reported_at = sent_at
            forget_after = 8 * self.settings.beat
            self.worker_heartbeats = {
                name: heard_time
                for name, heard_time in self.worker_heartbeats.items()
                if sent_at - heard_time < forget_after
            }
            self.machine_heartbeats = {
                name: heard_time
                for name, heard_time in self.machine_heartbeats.items()
                if sent_at - heard_time < forget_after
            }

    async def on_hear(self, body: Body) -> PeerResponse:
        """Merges another member's report of whom it heard into what was heard here."""
        report = HeartbeatReport.from_json(body)
        if report.member:
            self.member_reported_at[report.member] = now()
        for ages, heard_at in (
            (report.worker_ages, self.worker_heartbeats),
            (report.machine_ages, self.machine_heartbeats),
        ):
            for name, age in ages.items():
                heard_at[name] = max(heard_at.get(name, -INFINITY), now() - float(age))
        return Ok(HeartbeatReportAnswer(self.epoch > 0).as_json())

    def note_newcomers(self, configuration: Configuration) -> None:
        """Records when each machine was first seen. Every member does, since the next primary must know which are new."""
        none_known_before = not self.first_heard
        for name in configuration["machines"]:
            self.first_heard.setdefault(name, -INFINITY if none_known_before else now())

    async def reconcile(self) -> None:
        """Removes lost machines and workers, and adjusts the number of copies. The primary runs it after each heartbeat."""
        state, current_time, bounds = self.committed.state, now(), self.settings.bounds
        if not self.epoch or state.manifest is None:
            return
        configuration, listening_since = state.manifest, self.leading_since
        machine_silences = silence_durations(
            configuration["machines"], self.machine_heartbeats, listening_since, current_time
        )
        worker_silences = silence_durations(
            worker_registry.all_workers(state), self.worker_heartbeats, listening_since, current_time
        )
        late_names = late_workers(worker_silences, self.settings.beat)
        gone_names = self.droppable_machines(configuration, machine_silences)
        last_store_joined_at = max(
            (self.first_heard.get(name, 0.0) for name in with_duty(configuration, "store")), default=current_time
        )
        # This time is longer than `patience`, so that lost machines are no longer in `live_machines` once it has
        # passed.
        no_store_is_new = current_time - max(last_store_joined_at, listening_since) > bounds.recover / 4
        live_machines = [name for name, silence in machine_silences.items() if silence <= self.patience]

        def apply_changes(state: State) -> Result[State, Fault]:
            if late_names:
                state = worker_registry.without_silent(state, late_names)
            if gone_names:
                state = machine_registry.without_machines(state, gone_names)
            return Ok(
                machine_registry.with_adjusted_copies(state, self.settings.tolerance, no_store_is_new, live_machines)
            )

        if apply_changes(state).unwrap() is not state:
            await self.drop(apply_changes, gone_names, late_names)

    async def drop(self, update: StateUpdate, machines: list[str], workers: list[str]) -> None:
        """Writes a change that removes machines and workers, and logs which."""
        result = await self.change(update, 0.0)
        if isinstance(result, Ok):
            log_events.emit(
                Event.MACHINE_DROPPED,
                self.settings.name,
                machines=",".join(machines),
                workers=",".join(workers),
                revision=result.unwrap(),
            )

    def droppable_machines(self, configuration: Configuration, silences: Mapping[str, float]) -> list[str]:
        """Returns the machines to drop at once, given the seconds since each was heard; of the stores among those that
        are gone, begins to find out whether they are needed."""
        # A member that holds the state has to leave the replica set before it is dropped, since a dropped member can't
        # lead, though it may be the one with the newest state.
        names = [
            name
            for name in machine_registry.machines_to_drop(
                configuration, silences, self.first_heard, now(), self.patience
            )
            if name not in self.replicated_state.replica_set
        ]
        gone_after = NEEDED_STORE_GONE_AFTER * self.settings.bounds.recover
        stores = {n for n in with_duty(configuration, "store") if silences[n] <= gone_after}
        for name in names:
            if name in stores and name not in self.stores_in_question:
                self.spawn(self.drop_unless_needed(name, configuration))
        return [name for name in names if name not in stores]

    async def drop_unless_needed(self, store: str, configuration: Configuration) -> None:
        """Drops a silent store if no partition needs it.

        A store that is silent may come back with records that no other one has, and partitions regard a machine that
        the configuration has no more as gone for good.
        """
        self.stores_in_question.add(store)
        try:
            reports = await self.ask_owner_reports(configuration, without=store)
            is_needed = not all_serve_without(store, reports, range(configuration["parts"]))
            silence = now() - self.machine_heartbeats.get(store, -INFINITY)
            if not is_needed and self.epoch and silence > self.patience:
                await self.drop(lambda state: Ok(machine_registry.without_machines(state, [store])), [store], [])
        finally:
            self.stores_in_question.discard(store)

    async def ask_owner_reports(self, configuration: Configuration, without: str) -> dict[int, OwnerReport]:
        """Asks all stores but one which partitions they own; returns the owners' reports by partition."""
        addresses = [configuration["machines"][n]["peer"] for n in with_duty(configuration, "store") if n != without]
        limit = self.settings.bounds.feed_interval
        responses = await asyncio.gather(*(self.peer_links.request(a, "parts", {}, limit) for a in addresses))
        return newest_owner_reports(responses)

    async def record_worker_heartbeat(self, worker: str, announcement: WorkerAnnouncement, seqno: int) -> PeerResponse:
        """Takes a worker's heartbeat: records it here if it changes nothing, else forwards it to the primary.

        `seqno` counts the worker's heartbeats, so that one which arrives late changes nothing; 0 if the worker doesn't
        count them.
        """
        # A bad announcement, once accepted, would make every later configuration invalid.
        flaws = worker_registry.announcement_errors(announcement, self.settings.zones)
        if flaws:
            return Err(Fault("beat", self.settings.name, "\n".join(flaws), BAD_REQUEST))
        heartbeat = WorkerHeartbeat(worker, announcement, seqno)
        if self.pause_detector.has_just_resumed:
            return Err(self.resumed_fault("beat"))
        if self.is_superseded(heartbeat):
            return Ok({})
        if len(self.worker_seqnos) > MAX_SEQNOS:
            self.worker_seqnos = dict(list(self.worker_seqnos.items())[-SEQNOS_AFTER_TRIM:])
        reported_recently = self.epoch > 0 or now() - self.reported_at < 1.5 * self.settings.beat
        # The first heartbeat by which a worker leaves needs the primary's acknowledgement; later ones are treated like
        # any other heartbeat.
        needs_no_acknowledgement = not heartbeat.leaves or worker in self.drained_workers
        if (
            reported_recently
            and needs_no_acknowledgement
            and worker_registry.is_current(self.configuration_view.manifest, worker, announcement)
        ):
            self.worker_heartbeats[worker] = now()
            return Ok({})
        response = await self.forward("beat", heartbeat.as_json(), self.settings.bounds.leave / 3)
        if heartbeat.leaves and isinstance(response, Ok):
            self.drained_workers[worker] = now()
            if len(self.drained_workers) > MAX_DRAINED_WORKERS:
                del self.drained_workers[next(iter(self.drained_workers))]
        return response

    def is_superseded(self, heartbeat: WorkerHeartbeat) -> bool:
        """Returns whether a later heartbeat of the worker came before this one; if not, records this one's number.

        A heartbeat by which a worker leaves is never superseded.
        """
        newest = self.worker_seqnos.get(heartbeat.worker, 0)
        if heartbeat.seqno and heartbeat.seqno < newest and not heartbeat.leaves:
            return True
        if heartbeat.seqno:
            self.worker_seqnos[heartbeat.worker] = max(heartbeat.seqno, newest)
        return False

    def is_address_taken(self, heartbeat: WorkerHeartbeat) -> bool:
        """Returns whether another worker that is alive, as its heartbeats show, has the address that this one announces.

        A heartbeat may come seconds late, when its worker has crashed and the next one at its address runs already.
        """
        announcement, state = heartbeat.announcement, self.committed.state
        if announcement is None or state.manifest is None:
            return False
        alive_since = now() - ALIVE_PERIODS * self.settings.beat
        others = worker_registry.workers_at(state, announcement["url"], heartbeat.worker)
        return any(self.worker_heartbeats.get(name, -INFINITY) > alive_since for name in others)

    async def report_worker_ended(self, worker: str) -> PeerResponse:
        """Reports to the primary that a worker has ended."""
        if self.pause_detector.has_just_resumed:
            return Err(self.resumed_fault("beat"))
        final_heartbeat = WorkerHeartbeat(worker, announcement=None, seqno=0)
        return await self.forward("beat", final_heartbeat.as_json(), self.settings.bounds.leave / 3)

    async def on_beat(self, body: Body) -> PeerResponse:
        """Writes what a worker's heartbeat changes, as the primary; returns the revision that has it.

        If the worker leaves, the answer waits until the machines that send requests to workers run that revision.
        """
        if not await self.is_leading():
            return Err(self.not_leader_fault("beat"))
        bounds, heartbeat, requested_at = self.settings.bounds, WorkerHeartbeat.from_json(body), now()
        if self.is_superseded(heartbeat):
            return Ok({})
        if self.is_address_taken(heartbeat):
            why = "another worker at this address was heard just now"
            return Err(Fault("beat", self.settings.name, why, CONFLICT))
        self.worker_heartbeats[heartbeat.worker] = now()
        result = await self.change(partial(state_with_announcement, heartbeat), bounds.leave / 100)
        if isinstance(result, Err):
            return Err(result.unwrap_err())
        if heartbeat.leaves:
            await self.wait_until_in_force(
                result.unwrap(), None, self.committed.state.configuration, requested_at, bounds.leave / 6
            )
        return Ok(RevisionAnswer(result.unwrap()).as_json())
