"""What every control member does: write to its disk, promise and grant epochs, and know the other members."""

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
from postpass.control.changes import QueuedChange
from postpass.control.epochs import VoteRecord
from postpass.control.journal import BaseMismatchError, Change, Image, StateJournal
from postpass.control.messages import GrantRequest, PreVoteRequest, VoteAnswer, prepare_request_from_json
from postpass.control.state import CommittedState, ReplicatedState
from postpass.daemon.process import Daemon
from postpass.membership.registry import State, Translator
from postpass.rpc.codec import RELEASE, Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.disk import Disk
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import NO_SPACE, NOT_RESPONSIBLE, TIMED_OUT, Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.runtime.pause_detector import PauseDetector
from postpass.storage.data_directory import STATE_FORMAT, open_data_directory, raise_format

INFINITY = float("inf")
PAUSE_OBSERVATIONS = 5  # how often the event loop is observed in the time from which on it counts as paused
STATE_FILE = "state"  # of releases up to 0.2.0, which rewrote the complete state at every change
# At which a complete state is sent, received, checked and synced, on a machine that is slow or busy with other things.
STATE_BYTES_PER_SECOND = 4 << 20
STATE_SEGMENT = 1 << 16  # size in bytes of the log of changes from which on a snapshot may be due


@dataclass(frozen=True)
class StoredState:
    """A state that was synced here, with its keys in the journal's order, and the change by which it was written; None
    if it was written as a complete state."""

    replicated_state: ReplicatedState
    change: Change | None


@dataclass(eq=False)
class ControlMember(Daemon):
    """One control member: its disk, its votes, and what it knows of the other members.

    This is the lowest of a chain of base classes of `ControlPlane`. Each class of the chain adds decisions, and all of
    them share the attributes that are declared here.

    Owns on disk: `vote_record` (changed by `promise` alone, and synced before any other process learns of it),
    `journal` with the state that was synced last, and `disk_id`, the identity of this disk. Owns in memory:
    `replicated_state` (what was synced here, possibly a proposal; set by elections, commits and appends), `committed`
    (what all holders have synced; set by `publish` alone), `epoch` (the one that this member leads, or 0; set by
    elections, cleared by `step_down`, renewals and handovers), `leader` and the time at which it was last heard.
    Decides whether a vote is given, by `hears_another_primary` and the rules of `VoteRecord`.

    Invariants: only one write is made at a time, under `lock`; `epoch` > 0 only while this member is the primary of
    that epoch; what `configuration_view` holds was synced by all holders.
    """

    journal: StateJournal = field(init=False)
    vote_record: VoteRecord = VoteRecord()
    replicated_state: ReplicatedState = ReplicatedState()
    committed: CommittedState = CommittedState()
    disk_id: str = ""
    epoch: int = 0
    leader_silent_since: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    disk_lock: asyncio.Lock = field(default_factory=asyncio.Lock)  # one file of the data directory is written at a time
    disk_failure: str = ""
    disk_full_at: float = -INFINITY  # when a write last failed because the disk was full, in monotonic seconds
    # When the first of the present series of such failures was; INFINITY after a successful write of the state.
    disk_full_since: float = INFINITY
    configuration_on_disk: Configuration | None = None

    def __init__(
        self, settings: Settings, environment: Environment, release: str = "", translator: Translator | None = None
    ) -> None:
        super().__init__(settings, environment, release or RELEASE)
        self.translator = translator
        self.queued_changes: list[QueuedChange] = []
        self.write_due, self.write_wakeup = INFINITY, asyncio.Event()
        # Times by this machine's clock. `worker_heartbeats` and `machine_heartbeats` have the last heartbeat of each
        # worker and machine, received here or reported by another control machine; `first_heard` has when a machine's
        # name was first heard. `leader_heard`, further below, counts what this member itself heard of the primary.
        self.worker_heartbeats: dict[str, float] = {}
        self.worker_seqnos: dict[str, int] = {}
        # Workers whose departure was acknowledged through this member, and when.
        self.drained_workers: dict[str, float] = {}
        self.machine_heartbeats: dict[str, float] = {}
        self.member_reported_at: dict[
            str, float
        ] = {}  # when each other control machine last sent its report of heartbeats
        self.first_heard: dict[str, float] = {}
        # Silent stores of which the primary is finding out whether a partition needs them.
        self.stores_in_question: set[str] = set()
        # `reported_at` is when this member sent the newest of its heartbeat reports that reached the primary; while this
        # member is the primary itself, `report` sets it to the present time again and again.
        self.leading_since = self.reported_at = 0.0
        self.leader = ""
        # `epoch` is the epoch under which this member is the primary; 0 while it is not.
        self.vote_record, self.replicated_state, self.disk_id, self.epoch = VoteRecord(), ReplicatedState(), "", 0
        self.committed = CommittedState()
        self.leader_silent_since = 0.0
        bounds = settings.bounds
        self.pause_detector = PauseDetector(bounds.pause_threshold / PAUSE_OBSERVATIONS, bounds.pause_threshold)
        # How many orders without a version this member has accepted as the primary, see `OrderFence`.
        self.accepted_orders = 0
        self.candidate_until = 0.0  # until when a candidate that was given a promise here may become the primary
        self.promise_on_disk = 0  # the highest promised epoch that is synced
        self.backup_heard: dict[str, float] = {}  # when each backup last answered
        self.voter_heard: dict[str, float] = {}  # when each voter's disk last answered under the epoch led
        # Members that said in their last answer that they were told to leave the fleet.
        self.departing_members: set[str] = set()
        # The epoch led, while the replica set on the holders' disks still names the previous voters; else 0.
        self.unsettled_epoch = 0
        # Backups that answered with a disk other than the one that the replica set names.
        self.wiped_backups: set[str] = set()
        # When a primary was last heard since this process started, and the event that is set when one is heard next.
        self.leader_heard, self.leader_heard_event = -INFINITY, asyncio.Event()
        self.next_confirmation: asyncio.Task[int] | None = None
        self.confirmation_lock = asyncio.Lock()
        self.lock, self.disk_lock, self.disk_failure = asyncio.Lock(), asyncio.Lock(), ""
        self.disk_full_at, self.disk_full_since = -INFINITY, INFINITY
        # Tasks that run in the background; the set keeps a reference to each until it is done.
        self.background_tasks: set[asyncio.Task[Any]] = set()

        for name, help_text, read_value in (
            ("control_leads", "1 while this machine is the primary", lambda: float(self.epoch > 0)),
            ("control_epoch", "The epoch last granted here", lambda: float(self.vote_record.replica_set.epoch)),
            (
                "control_losses",
                "How often acknowledged editions may have been lost",
                lambda: float(self.committed.state.losses),
            ),
        ):
            Gauge(f"postpass_{name}", help_text, registry=self.registry).set_function(read_value)

    @property
    def disk(self) -> Disk:
        """The disk of this member; a control member always has one."""
        assert self.environment.disk is not None
        return self.environment.disk

    async def open(self) -> None:
        """Reads the data directory. Damaged files are renamed, and this member starts without them.

        Raises FaultError if a later release wrote the directory, or if the disk fails.
        """
        try:
            await self.read_folder()
        except (ValueError, KeyError, TypeError) as error:
            log_events.emit(Event.DISK_DAMAGED, self.settings.name, why=repr(error))
            for name in ("identity", "epochs", STATE_FILE):
                if name in self.disk.names():
                    self.disk.rename(name, f"damaged-{name}")
            await self.read_folder()
        self.promise_on_disk = self.vote_record.promised
        if self.replicated_state.state.manifest is not None:
            # An old revision is better than none for finding the other members. It may be behind the one in force, but
            # is never ahead of what this disk has accepted for its replica set.
            self.configuration_on_disk = self.replicated_state.state.manifest
        self.partial_view.own_record["disk"] = self.disk_id
        self.leader_silent_since = now()

    async def read_folder(self) -> None:
        """Reads the vote record and the state, also from the state file of releases up to 0.2.0, which is then moved to
        the journal. Raises ValueError, KeyError or TypeError if a file is damaged."""
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
        legacy_state = ReplicatedState()
        if not data_directory.fresh and self.journal.image is None and STATE_FILE in self.disk.names():
            legacy_state = ReplicatedState.load(self.disk.read(STATE_FILE))
        # From here on releases that know only the state file must not open this directory any more, since the journal
        # replaces that file.
        await raise_format(self.disk, STATE_FORMAT)
        if legacy_state.epoch:
            await self.journal.replace(
                Image.of(legacy_state.epoch, legacy_state.state.revision, legacy_state.as_json())
            )
        if STATE_FILE in self.disk.names():
            self.disk.remove(STATE_FILE)
        if self.journal.image is not None:
            self.replicated_state = ReplicatedState.from_json(self.journal.image.tree)

    async def store(self, replicated_state: ReplicatedState) -> StoredState:
        """Syncs a state on this member's disk, as a change of the state in the journal if there is one.

        Raises FaultError if the disk fails, or if another state was stored while this one waited for the disk.
        """
        base, tree, version = self.journal.image, replicated_state.as_json(), replicated_state.state.revision
        if base is None:
            image = await self.write_journal(self.journal.replace(Image.of(replicated_state.epoch, version, tree)))
            return StoredState(ReplicatedState.from_json(image.tree), None)
        change, _ = base.change_to(replicated_state.epoch, version, tree)
        try:
            image = await self.write_journal(self.journal.append(change))
        except BaseMismatchError as error:
            raise FaultError(Fault("store state", self.settings.name, str(error))) from error
        return StoredState(ReplicatedState.from_json(image.tree), change)

    @property
    def disk_busy(self) -> bool:
        """Whether a write is under way. If that lasts, the disk stalls."""
        return self.disk_lock.locked() or self.journal.lock.locked()

    @property
    def disk_stays_full(self) -> bool:
        """Whether every write of the state has failed because of a full disk for longer than the detection time."""
        return now() - self.disk_full_since > self.settings.bounds.detection_time

    @property
    def disk_was_recently_full(self) -> bool:
        """Whether a write failed because of a full disk within the recovery time. Such a member is the last choice for a
        primary."""
        return now() - self.disk_full_at <= self.settings.bounds.recover

    def last_synced_state(self) -> ReplicatedState:
        """Returns the state that was synced here last, as it is in the journal."""
        image = self.journal.image
        return ReplicatedState.from_json(image.tree) if image is not None else ReplicatedState()

    async def write_journal(self, write: Coroutine[Any, Any, Image]) -> Image:
        """Awaits a write of the journal; raises FaultError if it fails. Any failure except a full disk ends the
        process."""
        if self.disk_failure:
            write.close()
            raise FaultError(Fault("sync", self.settings.name, self.disk_failure))
        try:
            image = await write
            self.disk_full_since = INFINITY
            return image
        except FaultError as error:
            if error.fault.code == NO_SPACE:
                self.disk_full_at, self.disk_full_since = now(), min(self.disk_full_since, now())
            else:
                self.fail_disk(error.fault.why)
            raise

    async def compact_journal(self) -> None:
        """Checks at every heartbeat interval whether a snapshot of the state is due, so that the log of changes stays
        short. Runs until it is cancelled or the disk fails; a full disk is tolerated."""
        while True:
            await asyncio.sleep(self.settings.bounds.heartbeat_interval)
            try:
                await self.journal.compact_if_due()
            except FaultError as error:
                if error.fault.code != NO_SPACE:
                    self.fail_disk(error.fault.why)
                    raise

    def state_transfer_time(self) -> float:
        """Returns the seconds that it may take, beside the usual time of a request, until another member has received,
        checked and synced the complete state."""
        log = self.journal.log
        return min((log.snapshot_bytes + log.logged_bytes) / STATE_BYTES_PER_SECOND, self.settings.bounds.refill_time)

    async def write_file(self, name: str, data: bytes) -> None:
        """Writes and syncs a file of the data directory; raises FaultError if that fails. Any failure except a full
        disk ends the process."""
        if self.disk_failure:
            raise FaultError(Fault("sync", self.settings.name, self.disk_failure))
        try:
            async with self.disk_lock:
                await self.disk.write(name, data)
        except OSError as error:
            if error.errno == errno.ENOSPC:
                self.disk_full_at = now()
                raise FaultError(Fault("sync", self.settings.name, f"{name}: {error.strerror}")) from error
            raise FaultError(self.fail_disk(f"{name}: {error.strerror}")) from error

    def fail_disk(self, why: str) -> Fault:
        """Makes this process end because a write failed; from here on it writes and answers nothing. Returns the
        fault."""
        self.disk_failure = why
        log_events.emit(Event.DISK_FAILED, self.settings.name, why=why)
        fault = Fault("sync", self.settings.name, why)
        self._fail(fault)
        return fault

    @property
    def has_exclusive_duties(self) -> bool:
        """Whether others wait for this daemon until they know that it has failed: the members do for a primary."""
        return True

    def renounce_duties(self) -> None:
        """Stops leading at once, so that another member may lead, and answers the changes that wait to be written."""
        self.step_down("this process has failed")
        changes, self.queued_changes = self.queued_changes, []
        self.answer_unknown(changes)

    def answer_unknown(self, changes: list[QueuedChange]) -> None:
        """Answers changes that have no outcome yet: whether they take effect is not known."""
        fault = Fault("write", self.settings.name, "not known whether it was taken; ask again", TIMED_OUT)
        for queued in changes:
            if not queued.outcome.done():
                queued.outcome.set_result(Err(fault))

    def vote_answer(self, accepted: bool) -> VoteAnswer:
        """Returns the answer to a request for a vote, with what this member has promised and stores."""
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
        """Handles a candidate's request for a pre-vote, which promises nothing, or for a promise."""
        request = prepare_request_from_json(body)
        hears_primary = self.hears_another_primary(request.candidate)
        if isinstance(request, PreVoteRequest):
            return Ok(self.vote_answer(not hears_primary).as_json())
        if hears_primary and not request.handover:
            # The candidate has won its pre-vote, but was frozen since then, or this member has heard the primary again.
            return Ok(self.vote_answer(False).as_json())
        return await self.vote(self.vote_record.prepare(request.epoch, request.candidate))

    def yield_to_candidate(self) -> None:
        """Delays this member's own candidacy, because the candidate that was given a vote may soon lead. The candidate
        is not treated as the primary yet, and may have to send the complete state to its backups first."""
        self.candidate_until = now() + self.settings.bounds.sync_request_limit + self.state_transfer_time()

    def hears_another_primary(self, candidate: str) -> bool:
        """Returns whether this member hears a primary, or is the primary itself, that `candidate` would depose."""
        if self.epoch:
            return candidate != self.settings.name
        return self.leader != candidate and now() - self.leader_heard < self.settings.bounds.detection_time * 0.9

    async def on_grant(self, body: Body) -> PeerResponse:
        """Handles the request of a candidate whose backups have synced the state to grant its epoch."""
        request = GrantRequest.from_json(body)
        return await self.vote(self.vote_record.grant(request.replica_set, request.candidate))

    async def vote(self, record: VoteRecord | None) -> PeerResponse:
        """Gives the vote that is described by the new vote record, and answers the request; refuses it if the record is
        None."""
        if record is None:
            return Ok(self.vote_answer(False).as_json())
        self.yield_to_candidate()
        return await self.promise(record)

    async def promise(self, record: VoteRecord) -> PeerResponse:
        """Syncs the vote record and returns the answer, or the fault of the disk. A promise above the epoch that this
        member leads ends its leadership at once."""
        self.vote_record = record
        if self.epoch and record.promised > self.epoch:
            self.step_down(record.promised)
        try:
            await self.write_file("epochs", record.dump())
        except FaultError as error:
            return Err(error.fault)
        self.promise_on_disk = max(self.promise_on_disk, record.promised)
        return Ok(self.vote_answer(self.vote_record == record).as_json())

    def step_down(self, seen: int | str) -> None:
        """Stops leading. `seen` is the higher epoch that was seen, or another reason in words; the event reports it."""
        if self.epoch:
            log_events.emit(Event.PRIMARY_STEPPED_DOWN, self.settings.name, epoch=self.epoch, seen=seen)
        self.epoch = 0
        self.leader_silent_since = now()

    def publish(self, state: State) -> None:
        """Makes a state that all holders have synced the committed one, from which requests are answered."""
        self.committed = CommittedState(state)
        if state.manifest is not None:
            self.configuration_view.accept(state.revision, state.manifest)

    def known_configuration(self) -> Configuration | None:
        """Returns the best configuration for finding the other members: the one known to be in force, else the one on
        disk; None if there is none."""
        return self.configuration_view.manifest or self.replicated_state.state.manifest or self.configuration_on_disk

    def peer_address(self, name: str) -> str:
        """Returns the address at which its peers reach a machine; empty if the machine is unknown or gone."""
        configuration = self.known_configuration()
        machine = configuration["machines"].get(name) if configuration else None
        return machine["peer"] if machine and not machine.get("gone") else ""

    def members(self, configuration: Configuration | None = None) -> list[str]:
        """Returns the names of the control machines, in the order that all members agree on; those of the known
        configuration if none is given."""
        configuration = configuration or self.known_configuration()
        return with_duty(configuration, "control") if configuration else []

    def announce_leader(self) -> None:
        """Wakes all tasks that wait for a primary, because one was heard; they retry."""
        self.leader_heard_event.set()
        self.leader_heard_event = asyncio.Event()

    async def wait_for_leader(self, leader_event: asyncio.Event, deadline: float) -> bool:
        """Waits until a primary is heard or the deadline passes; returns whether one was heard. `leader_event` is the
        value of `leader_heard_event` from before the last try, so that a primary heard during that try counts as
        well."""
        try:
            await asyncio.wait_for(leader_event.wait(), max(0.0, deadline - now()))
        except TimeoutError:
            return False
        return True

    def not_leader_fault(self, step: str) -> Fault:
        """Returns the fault of a member that isn't the primary; its hint names the primary that was heard last."""
        hint = self.leader if self.leader != self.settings.name else ""
        return Fault(step, self.settings.name, "not the primary", NOT_RESPONSIBLE, hint)

    def knows_no_fleet(self) -> bool:
        """Returns whether this member knows of no fleet: it has no configuration, no state and has granted no epoch."""
        return (
            self.known_configuration() is None
            and self.replicated_state.epoch == 0
            and self.vote_record.replica_set.epoch == 0
        )
