"""What every control member does: keep its disk, promise and grant epochs, know the other members."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from prometheus_client import Gauge
from result import Err, Ok

from postpass.configuration.configuration import Configuration, with_duty
from postpass.configuration.settings import Settings
from postpass.control.changes import Edit
from postpass.control.epochs import VoteRecord
from postpass.control.journal import Change, Image, StateJournal
from postpass.control.messages import GrantRequest, PreVoteRequest, VoteAnswer, prepare_request_of
from postpass.control.state import Committed, ReplicatedState
from postpass.daemon.process import Daemon
from postpass.membership.registry import State, Translator
from postpass.rpc.codec import RELEASE, Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.disk import Disk
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import FULL, MOVED, Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.storage.data_directory import STATE_FORMAT, open_data_directory, raise_format

INFINITY = float("inf")
STATE_FILE = "state"  # of releases up to 0.2.0: the whole state, written anew at every change
STATE_SEGMENT = 1 << 16  # bytes of the log of changes after which a snapshot may be due


@dataclass(frozen=True)
class Stored:
    """A state that was synced here, with its keys in the journal's order, and the change that led to it, if one did."""

    replicated_state: ReplicatedState
    change: Change | None


@dataclass(eq=False)
class ControlMember(Daemon):
    """One control member: its disk, its votes, and what it knows of the others. The base of the chain of classes below
    `ControlPlane`; each class of the chain adds decisions, and all of them share the state that is declared here.

    Owns on disk: `vote_record` (changed by `promise` alone, synced before it is told), `journal` with the state that was
    synced last, and `disk_id`, the identity of this disk.
    Owns in memory: `replicated_state` (what was synced here, perhaps a proposal; set by elections, commits and appends),
    `committed` (what all holders synced; set by `publish` alone), `epoch` (the one that is led, else 0; set by elections,
    cleared by `step_down`, renewals and handing over), `leader` and when it was heard.
    Decides whether a vote is given: `hears_another_primary`, and the rules of `VoteRecord`.

    Invariants: writes go one at a time under `lock`; `epoch` > 0 only while this is the primary of it; what
    `configuration_view` holds was on the disks of all holders.
    """

    journal: StateJournal = field(init=False)
    vote_record: VoteRecord = VoteRecord()
    replicated_state: ReplicatedState = ReplicatedState()
    committed: Committed = Committed()
    disk_id: str = ""
    epoch: int = 0
    leader_silent_since: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    disk_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    disk_failure: str = ""
    disk_full_at: float = -INFINITY  # when a write last failed for want of room, in monotonic seconds
    disk_full_since: float = INFINITY  # since when none of the state succeeded; INFINITY after one that did
    configuration_on_disk: Configuration | None = None

    def __init__(
        self, settings: Settings, environment: Environment, release: str = "", translator: Translator | None = None
    ) -> None:
        super().__init__(settings, environment, release or RELEASE)
        self.translator = translator
        self.waiting_edits: list[Edit] = []
        self.write_due, self.write_wakeup = INFINITY, asyncio.Event()
        # What was heard last, by this machine's clock: workers and machines that spoke here or at another control
        # machine; when a machine's name was first heard; and, here alone, when the primary was heard last.
        self.worker_heartbeats: dict[str, float] = {}
        self.worker_seqnos: dict[str, int] = {}
        self.drained_workers: dict[
            str, float
        ] = {}  # workers whose leaving was acknowledged through this member, and when
        self.machine_heartbeats: dict[str, float] = {}
        self.member_reports: dict[str, float] = {}  # when each other control machine last told whom it had heard
        self.first_heard: dict[str, float] = {}
        self.leading_since = self.reported_at = 0.0
        self.leader = ""
        self.vote_record, self.replicated_state, self.disk_id, self.epoch = VoteRecord(), ReplicatedState(), "", 0
        self.committed = Committed()
        self.leader_silent_since = 0.0
        self.candidate_until = 0.0  # until when a candidate that was given a promise may become the primary
        self.promise_on_disk = 0  # the highest promise that is synced
        self.backup_heard: dict[str, float] = {}  # when each backup last answered
        self.voter_heard: dict[str, float] = {}  # when each voter's disk last answered under this epoch
        self.departing_members: set[str] = set()  # members that were told to leave, by their last answer
        self.unsettled_epoch = 0  # the epoch led, while the holders' disks name the voters before it as well
        self.wiped_backups: set[str] = set()  # backups that answered with another disk than the replica set names
        # When a primary was last heard in this life, and who waits for one.
        self.leader_heard, self.leader_heard_event = -INFINITY, asyncio.Event()
        self.next_confirmation: asyncio.Task[int] | None = None
        self.confirmation_lock = asyncio.Lock()
        self.lock, self.disk_lock, self.disk_failure = asyncio.Lock(), asyncio.Lock(), ""
        self.disk_full_at, self.disk_full_since = -INFINITY, INFINITY
        self.fetches: set[asyncio.Task[Any]] = set()

        for name, text, read in (
            ("control_leads", "1 while this machine is the primary", lambda: float(self.epoch > 0)),
            ("control_epoch", "The epoch last granted here", lambda: float(self.vote_record.replica_set.epoch)),
            (
                "control_losses",
                "How often acknowledged editions may have been lost",
                lambda: float(self.committed.state.losses),
            ),
        ):
            Gauge(f"postpass_{name}", text, registry=self.registry).set_function(read)

    @property
    def disk(self) -> Disk:
        """This member's disk; a control member always has one."""
        assert self.environment.disk is not None
        return self.environment.disk

    async def open(self) -> None:
        """Reads the data folder; damaged files are set aside, and this member starts without them.

        Raises FaultError if a later release wrote the folder, or the disk fails.
        """
        try:
            await self.read_folder()
        except (ValueError, KeyError, TypeError) as bad:
            log_events.emit(Event.DISK_DAMAGED, self.settings.name, why=repr(bad))
            for name in ("identity", "epochs", STATE_FILE):
                if name in self.disk.names():
                    self.disk.rename(name, f"damaged-{name}")
            await self.read_folder()
        self.promise_on_disk = self.vote_record.promised
        if self.replicated_state.state.manifest is not None:
            # An older revision is better than none to find the others by; it may be behind, never ahead of what this
            # replica set's disk took.
            self.configuration_on_disk = self.replicated_state.state.manifest
        self.partial_view.own_record["disk"] = self.disk_id
        self.leader_silent_since = now()

    async def read_folder(self) -> None:
        """Reads the promises and the state, that of releases up to 0.2.0 too; a damaged file raises ValueError."""
        self.vote_record, self.replicated_state = VoteRecord(), ReplicatedState()
        data_directory = await open_data_directory(
            self.settings.name,
            self.disk,
            self.environment.chance,
            STATE_SEGMENT,
            0,
            strict=True,
            highest_format=STATE_FORMAT,
        )
        self.disk_id = data_directory.name
        if not data_directory.fresh and "epochs" in self.disk.names():
            self.vote_record = VoteRecord.load(self.disk.read("epochs"))
        self.journal = await StateJournal.open(
            self.settings.name, self.disk, data_directory.log, data_directory.entries
        )
        old = ReplicatedState()
        if not data_directory.fresh and self.journal.image is None and STATE_FILE in self.disk.names():
            old = ReplicatedState.load(self.disk.read(STATE_FILE))
        # Releases that know only the state file must not go on with it from here on.
        await raise_format(self.disk, STATE_FORMAT)
        if old.epoch:
            await self.journal.replace(Image.of(old.epoch, old.state.revision, old.raw()))
        if STATE_FILE in self.disk.names():
            self.disk.remove(STATE_FILE)
        if self.journal.image is not None:
            self.replicated_state = ReplicatedState.of(self.journal.image.tree)

    async def store(self, replicated_state: ReplicatedState) -> Stored:
        """Syncs a state here, as a change of the one that is held, where there is one."""
        base, tree, version = self.journal.image, replicated_state.raw(), replicated_state.state.revision
        if base is None:
            image = await self.write_journal(self.journal.replace(Image.of(replicated_state.epoch, version, tree)))
            return Stored(ReplicatedState.of(image.tree), None)
        change, _ = base.change_to(replicated_state.epoch, version, tree)
        image = await self.write_journal(self.journal.append(change))
        return Stored(ReplicatedState.of(image.tree), change)

    @property
    def disk_busy(self) -> bool:
        """Is a write under way? Where it lasts, the disk stalls."""
        return self.disk_lock.locked() or self.journal.lock.locked()

    @property
    def disk_stays_full(self) -> bool:
        """Has every write of the state failed for want of room, for longer than the detection time?"""
        return now() - self.disk_full_since > self.settings.bounds.detect

    @property
    def disk_was_full(self) -> bool:
        """Did a write fail lately for want of room? Such a member is the last choice for a primary."""
        return now() - self.disk_full_at <= self.settings.bounds.recover

    def stored(self) -> ReplicatedState:
        """The state that was synced here last."""
        image = self.journal.image
        return ReplicatedState.of(image.tree) if image is not None else ReplicatedState()

    async def write_journal(self, write: Coroutine[Any, Any, Image]) -> Image:
        """Awaits a write of the journal; raises FaultError if it fails. Any failure but a full disk ends the
        process."""
        if self.disk_failure:
            write.close()
            raise FaultError(Fault("sync", self.settings.name, self.disk_failure))
        try:
            written = await write
            self.disk_full_since = INFINITY
            return written
        except FaultError as stop:
            if stop.fault.code == FULL:
                self.disk_full_at, self.disk_full_since = now(), min(self.disk_full_since, now())
            else:
                self.fail_disk(stop.fault.why)
            raise

    async def compact_journal(self) -> None:
        """Writes a snapshot of the state now and then, so that the log of changes stays short."""
        while True:
            await asyncio.sleep(self.settings.bounds.beat)
            try:
                await self.journal.compact_if_due()
            except FaultError as stop:
                if stop.fault.code != FULL:
                    self.fail_disk(stop.fault.why)
                    raise

    async def keep(self, name: str, data: bytes) -> None:
        """Syncs a file of the data folder; raises FaultError if that fails. Any failure but a full disk ends the
        process."""
        if self.disk_failure:
            raise FaultError(Fault("sync", self.settings.name, self.disk_failure))
        try:
            async with self.disk_lock:
                await self.disk.write(name, data)
        except OSError as bad:
            if bad.errno == errno.ENOSPC:
                self.disk_full_at = now()
                raise FaultError(Fault("sync", self.settings.name, f"{name}: {bad.strerror}")) from bad
            raise FaultError(self.fail_disk(f"{name}: {bad.strerror}")) from bad

    def fail_disk(self, why: str) -> Fault:
        """A write failed: nothing more is written or answered by this process, which ends."""
        self.disk_failure = why
        log_events.emit(Event.DISK_FAILED, self.settings.name, why=why)
        self.failed = Fault("sync", self.settings.name, why)
        self.stop.set()
        self.closed.set()
        return self.failed

    def vote_answer(self, accepted: bool) -> VoteAnswer:
        """What this member tells of itself when it is asked for a vote."""
        return VoteAnswer(
            accepted=accepted,
            disk=self.disk_id,
            promised=self.vote_record.promised,
            replica_set=self.vote_record.replica_set,
            state_epoch=self.replicated_state.epoch,
            state_revision=self.replicated_state.state.revision,
            known_revision=self.configuration_view.revision,
            leaving=self.leaving,
        )

    async def on_look(self, body: Body) -> PeerResponse:
        """A candidate asks for a pre-vote, which promises nothing, or for a promise."""
        request = prepare_request_of(body)
        hears_primary = self.hears_another_primary(request.candidate)
        if isinstance(request, PreVoteRequest):
            return Ok(self.vote_answer(not hears_primary).as_json())
        if hears_primary and not request.handover:
            # The pre-vote is past: whoever asks was frozen since, or this one heard the primary again.
            return Ok(self.vote_answer(False).as_json())
        return await self.vote(self.vote_record.prepare(request.epoch, request.candidate))

    def yield_to_candidate(self) -> None:
        """Whoever asks may soon lead: this one's own try can wait for that. It is no primary yet, and is not taken for one."""
        self.candidate_until = now() + self.settings.bounds.promise

    def hears_another_primary(self, candidate: str) -> bool:
        """Is there a primary, by what was heard here, that `candidate` would depose?"""
        if self.epoch:
            return candidate != self.settings.name
        return self.leader != candidate and now() - self.leader_heard < self.settings.bounds.detect * 0.9

    async def on_grant(self, body: Body) -> PeerResponse:
        """A candidate whose backups hold the state asks this member to grant its epoch."""
        request = GrantRequest.from_json(body)
        return await self.vote(self.vote_record.grant(request.replica_set, request.candidate))

    async def vote(self, record: VoteRecord | None) -> PeerResponse:
        """Answers a request that leads to this record of votes; None if it must be refused."""
        if record is None:
            return Ok(self.vote_answer(False).as_json())
        self.yield_to_candidate()
        return await self.promise(record)

    async def promise(self, new: VoteRecord) -> PeerResponse:
        """Answers once the record of votes is on disk; a promise above the epoch led ends this member's leadership."""
        self.vote_record = new
        if self.epoch and new.promised > self.epoch:
            self.step_down(new.promised)
        try:
            await self.keep("epochs", new.dump())
        except FaultError as bad:
            return Err(bad.fault)
        self.promise_on_disk = max(self.promise_on_disk, new.promised)
        return Ok(self.vote_answer(self.vote_record == new).as_json())

    def step_down(self, seen: int | str) -> None:
        """Leads no more: a higher epoch was seen, or what else the event tells."""
        if self.epoch:
            log_events.emit(Event.PRIMARY_STEPPED_DOWN, self.settings.name, epoch=self.epoch, seen=seen)
        self.epoch = 0
        self.leader_silent_since = now()

    def publish(self, state: State) -> None:
        """Makes a state known that all holders have synced."""
        self.committed = Committed(state)
        if state.manifest is not None:
            self.configuration_view.accept(state.revision, state.manifest)

    def known(self) -> Configuration | None:
        """The best configuration to find others by: the one in force as far as it is known, else the one on disk."""
        return self.configuration_view.manifest or self.replicated_state.state.manifest or self.configuration_on_disk

    def addr(self, name: str) -> str:
        """The address of a machine for its peers; empty if it is unknown or gone."""
        configuration = self.known()
        machine = configuration["machines"].get(name) if configuration else None
        return machine["peer"] if machine and not machine.get("gone") else ""

    def members(self, configuration: Configuration | None = None) -> list[str]:
        """The control machines, in the agreed order."""
        configuration = configuration or self.known()
        return with_duty(configuration, "control") if configuration else []

    def announce_leader(self) -> None:
        """A primary was heard: whoever waits for one tries again."""
        self.leader_heard_event.set()
        self.leader_heard_event = asyncio.Event()

    async def wait_for_leader(self, heard: asyncio.Event, until: float) -> bool:
        """True once a primary is heard after the try before which `heard` was taken."""
        try:
            await asyncio.wait_for(heard.wait(), max(0.0, until - now()))
        except TimeoutError:
            return False
        return True

    def not_leader(self, step: str) -> Fault:
        """The error of a member that isn't the primary; its hint names the one that was heard last."""
        hint = self.leader if self.leader != self.settings.name else ""
        return Fault(step, self.settings.name, "not the primary", MOVED, hint)

    def blank(self) -> bool:
        """Does this member know of no fleet at all?"""
        return self.known() is None and self.replicated_state.epoch == 0 and self.vote_record.replica_set.epoch == 0
