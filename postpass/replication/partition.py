"""One partition on one store: its record log, its promised epoch and, while the store is owner, the acknowledgements."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from postpass.batch.job import JobView, Payload, encode_record
from postpass.replication.acknowledgements import Acknowledgements
from postpass.replication.record_log import Record, RecordLog
from postpass.replication.stability import (
    DEFAULT_PREDICATE,
    AcknowledgedSeq,
    PredicateScope,
    compile_predicate,
    confirm_suffice,
    covers,
    promises_suffice,
)
from postpass.rpc.codec import PACKET

Members = dict[str, str]
# Kinds of records that change the members or the predicate, or settle such a change.
MEMBERSHIP_RECORDS = frozenset({"crew", "predicate", "loss", "mark"})


@dataclass(eq=False)
class OutgoingMessage:
    """A message to a mirror that is sent packet by packet; some of its packets may already have been sent.

    Attributes:
        kind: One of the kinds of messages in `replication.messages`: beat, start, snap or rec.
        seq: Sequence number of the record, or of the last record in the base.
        record_epoch: Epoch under which that record was sequenced.
        previous_epoch: Epoch of the record before it.
        body: The bytes, which are split into packets of `PACKET` bytes.
        index: Number of the next packet to send, from 0.
    """

    kind: str
    seq: int
    record_epoch: int
    previous_epoch: int
    body: bytes
    index: int = 0

    @property
    def total(self) -> int:
        """Number of packets of the message."""
        return max(1, -(-len(self.body) // PACKET))


@dataclass(eq=False)
class MirrorProgress:
    """Progress of the owner's stream to one mirror.

    Invariant: the records below `next_seq` were sent over `link`, in order, once each, except for the remaining packets of
    `outgoing`. The send loop to the mirror owns the object; `PartitionOwner.on_ack` sets `last_heard_at`, `silent` and `disk_full`, and
    clears `link` if the mirror reports a gap.

    Attributes:
        link: The link on which the handshake was completed; None if a handshake is needed.
        epoch: Epoch of that handshake.
        next_seq: Sequence number of the next record to send.
        disk: Identity of the mirror's disk.
        last_heard_at: When the mirror's last acknowledgement arrived, in monotonic seconds.
        silent: Whether that is longer ago than `bounds.silent`; the mirror is not relied on then.
        disk_full: Whether the mirror's disk is full.
        tracked_since: When the owner began to track the mirror, in monotonic seconds.
        outgoing: The message that is being sent; None between two messages.
    """

    link: object = None
    epoch: int = 0
    next_seq: int = 0
    disk: str = ""
    last_heard_at: float = 0.0
    silent: bool = False
    disk_full: bool = False
    tracked_since: float = 0.0
    outgoing: OutgoingMessage | None = None


def empty_log() -> RecordLog:
    """Returns a log without records, on top of an empty view."""
    return RecordLog(base=JobView())


def latest_view(record_log: RecordLog) -> JobView:
    """Returns the jobs and members as they are after the last record of a log."""
    view = record_log.base.copy()
    assert isinstance(view, JobView)
    for record in record_log.records:
        view.fold(record)
    return view


def latest_membership(record_log: RecordLog) -> JobView:
    """Returns the members and the predicate as they are after the last record of a log, in a view without jobs.

    It costs far less than `latest_view`, and suffices for every question about votes.
    """
    base = record_log.base
    assert isinstance(base, JobView)
    membership = base.without_jobs()
    for record in record_log.records:
        if record.kind in MEMBERSHIP_RECORDS:
            membership.fold(record)
    return membership


@dataclass(eq=False)
class Partition:
    """The state of one partition on one store. `Partition` owns all its fields; the components of the store change them
    between two awaits, on the same event loop, so that no lock is needed.

    States: follower (`epoch` is 0), aligned follower (`aligned_epoch` is the epoch of the owner's stream), owner (`epoch` > 0),
    and ready owner (`covered` has reached `epoch_mark`). Times are monotonic, in seconds.

    Invariants:
    - `promised` is synced before it is sent to anyone, never decreases, and nothing under a lower epoch is accepted.
    - Records of a stream are appended only while `aligned_epoch` is the epoch that the stream runs under.
    - `persisted` <= record_log.last, and the records that it counts were synced after they were aligned.
    - `covered` never decreases, and a covered record is never cut.
    - As owner: nothing counts as covered until the first mark record of the own epoch (`epoch_mark`) is covered.

    Attributes:
        id: Number of the partition.
        store_name: Name of this store.
        disk: Identity of this store's disk.
        record_log: The records in memory: a base and the records after it.
        promised: Highest epoch that this store has promised to follow.
        owner: Name of the owner that this store follows; empty if none is known.
        last_heard_at: As follower, when the owner or a candidate was last heard from; as owner, when a quorum last was.
        refused_owner: An owner whose machine has refused a connection since it was last heard from, which shows that its
            process has ended; empty if there is none.
        contacted: Whether an owner or a candidate has been heard from since the process started, or this store has already
            been allowed to run for owner without waiting for the detection time.
        aligned_epoch: Epoch of the owner whose log this one matches up to its end; 0 if a handshake is needed first.
        covered: Sequence number up to which the stability predicate holds, as far as this store knows.
        persisted: Sequence number up to which this store has synced the records.
        unsynced: Writes that are not yet synced: (offset in the log on disk, sequence number of the last record).
        in_election: Whether an election is being run here.
        epoch: As owner: the epoch of the ownership; 0 if this store is not the owner.
        epoch_mark: As owner: sequence number of the mark record that begins the ownership.
        view: As owner: the jobs and members after the last record.
        acknowledgements: As owner: what each member has acknowledged under this epoch.
        mirrors: As owner: the progress of the stream to each mirror, by name.
        waiters: As owner: who waits for coverage: (sequence number, additional predicate or "", future).
        uncoverable_since: As owner: since when no covering set of disks is left although all members have answered; 0 if
            there is one.
        zones: The zone of each machine.
        packets: As mirror: the packets of a message that is not yet complete.
        handshake_epoch: As mirror: epoch whose handshake was answered and whose stream has not begun yet, which is
            neither a gap nor aligned; 0 if there is none.
        base_bytes: (sequence number, bytes) of the serialized base, cached while a candidate fetches it piece by piece.
    """

    id: int
    store_name: str
    disk: str
    record_log: RecordLog = field(default_factory=empty_log)
    promised: int = 0
    owner: str = ""
    last_heard_at: float = 0.0
    refused_owner: str = ""
    contacted: bool = False
    aligned_epoch: int = 0
    covered: int = 0
    persisted: int = 0
    unsynced: deque[tuple[int, int]] = field(default_factory=deque)
    in_election: bool = False

    # as owner
    epoch: int = 0
    epoch_mark: int = 0
    view: JobView = field(default_factory=JobView)
    acknowledgements: Acknowledgements = field(default_factory=Acknowledgements)
    mirrors: dict[str, MirrorProgress] = field(default_factory=dict)
    waiters: list[tuple[int, str, asyncio.Future[bool]]] = field(default_factory=list)
    uncoverable_since: float = 0.0
    zones: dict[str, str] = field(default_factory=dict)

    # as mirror
    packets: list[bytes] = field(default_factory=list)
    handshake_epoch: int = 0
    base_bytes: tuple[int, bytes] = (-1, b"")

    def base_dump(self) -> bytes:
        """Returns the serialized base, which is cached until further records are folded into the base."""
        if self.base_bytes[0] != self.record_log.base_seq:
            self.base_bytes = (self.record_log.base_seq, self.record_log.base.dump())
        return self.base_bytes[1]

    @property
    def owning(self) -> bool:
        """Whether this store is the owner, ready or not."""
        return self.epoch > 0

    @property
    def ready(self) -> bool:
        """Whether this store is the owner and its epoch's mark record is covered, so that all records before it are."""
        return self.owning and self.covered >= self.epoch_mark

    @property
    def members(self) -> Members:
        """The members whose copies count: while a change of members is not yet covered, the old ones count as well."""
        old = self.view.old_members if self.view.members_seq > self.covered else {}
        return old | self.view.members

    def scope(self, members: Iterable[str]) -> PredicateScope:
        """Returns the nodes and zones that a predicate over these members may refer to."""
        names = tuple(members)
        return PredicateScope(names, tuple((n, self.zones.get(n, "")) for n in names), self.store_name)

    def predicate_over(self, text: str, members: Members) -> Callable[[AcknowledgedSeq], int]:
        """Compiles a predicate for these members; returns the default one if it is invalid for them."""
        return compile_predicate(text or DEFAULT_PREDICATE, self.scope(members)).unwrap_or_else(
            lambda _: compile_predicate(DEFAULT_PREDICATE, self.scope(members)).unwrap()
        )

    def active_rules(self, view: JobView, text: str = "") -> list[tuple[Members, str]]:
        """Returns the pairs of members and predicate that apply, each of which has to be satisfied.

        While a change is not known to be covered, the old members and predicate apply as well. It is known to be covered
        from the owner's reports of `covered` since the process started, or from a mark in the log that settles it.

        Args:
            view: The jobs and members that a log yields.
            text: A predicate to apply in place of those in the view; empty for those.
        """
        rules = [(view.members, text or view.predicate)]
        if view.members_seq > self.covered and view.old_members not in ({}, view.members):
            rules.append((view.old_members, text or view.predicate))
        if view.predicate_seq > self.covered and view.old_predicate != view.predicate and not text:
            rules += [(members, view.old_predicate) for members, _ in list(rules)]
        return rules

    def frontier(self, text: str = "") -> int:
        """Returns the stability frontier: the highest sequence number that satisfies every rule, so that while members
        or predicate change it is the minimum over the old and the new ones."""
        return min(
            self.acknowledgements.evaluate(members, self.predicate_over(predicate, members))
            for members, predicate in self.active_rules(self.view, text)
        )

    def advance(self) -> bool:
        """Recomputes the stability frontier after an acknowledgement or a sync; returns whether `covered` has risen."""
        if not self.view.members:
            return False
        seq = min(self.frontier(), self.record_log.last)
        advanced = False
        # Once a change of members is covered, the old members no longer apply, which may advance the frontier further.
        while seq >= self.epoch_mark and seq > self.covered:
            self.covered, advanced = seq, True
            self.acknowledgements.advance(seq)
            seq = min(self.frontier(), self.record_log.last)
        if advanced or self.waiters:
            self._wake()
        return advanced

    def _wake(self) -> None:
        """Resolves the waiters whose record is covered, also by their additional predicate."""
        frontiers = {t: self.frontier(t) for t in dict.fromkeys([t for _, t, _ in self.waiters if t])}
        remaining = []
        for seq, text, future in self.waiters:
            if future.done():
                continue
            if seq <= self.covered and (not text or seq <= frontiers[text]):
                future.set_result(True)
            else:
                remaining.append((seq, text, future))
        self.waiters = remaining

    async def wait(self, seq: int, predicate: str, timeout: float) -> bool:
        """Waits until a record is covered.

        Args:
            seq: Sequence number of the record.
            predicate: A predicate that has to hold as well, if the job's class requires more; empty for none.
            timeout: Timeout in seconds.

        Returns:
            True once the record is covered; False if the time is up or the ownership has ended, which does not prove that
            the record is lost.
        """
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.waiters.append((seq, predicate, future))
        self._wake()
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return False

    def satisfies_all_rules(self, view: JobView, voters: Members, criterion: Callable[..., bool]) -> bool:
        """Returns whether voters suffice under every rule that may apply.

        Args:
            view: The jobs and members that a log yields.
            voters: Names of the voters with the identities of their disks; a vote by a disk that is no member's is ignored.
            test: `promises_suffice` or `confirm_suffice`.
        """
        return bool(view.members) and all(
            criterion(
                self.predicate_over(predicate, members),
                tuple(members),
                [n for n, d in voters.items() if members.get(n) == d],
            )
            for members, predicate in self.active_rules(view)
        )

    def may_lead(self, view: JobView, voters: Members) -> bool:
        """Returns whether the promises of these voters (name -> disk) suffice to become owner."""
        return self.satisfies_all_rules(view, voters, promises_suffice)

    def is_ownership_confirmed(self, voters: Members) -> bool:
        """Returns whether the confirmations of these voters (name -> disk) prove that there is no later owner."""
        return self.satisfies_all_rules(self.view, voters, confirm_suffice)

    def can_cover(self, names: set[str]) -> bool:
        """Returns whether records can be covered with acknowledgements of these members only."""
        return all(
            covers(self.predicate_over(predicate, members), names & set(members))
            for members, predicate in self.active_rules(self.view)
        )

    def is_uncoverable(self, disks: Members) -> bool:
        """Returns whether some rule can never be satisfied again if no other disks (name -> disk) than these are left."""
        return any(
            not covers(self.predicate_over(predicate, members), {n for n, d in members.items() if disks.get(n) == d})
            for members, predicate in self.active_rules(self.view)
        )

    def lead(self, epoch: int) -> None:
        """Becomes the owner under an epoch, with the log as it is here."""
        self.epoch, self.owner, self.aligned_epoch = epoch, self.store_name, epoch
        self.view = latest_view(self.record_log)
        self.acknowledgements = Acknowledgements()
        self.acknowledgements.update(self.store_name, self.disk, "received", self.record_log.last)
        self.acknowledgements.update(self.store_name, self.disk, "persisted", self.persisted)
        self.mirrors, self.packets, self.waiters = {}, [], []

    def step_down(self) -> None:
        """Ends the ownership; those who wait for a record to be covered get False, which proves nothing of the record."""
        self.epoch, self.aligned_epoch, self.epoch_mark, self.uncoverable_since = 0, 0, 0, 0.0
        self.view, self.acknowledgements, self.mirrors = JobView(), Acknowledgements(), {}
        for _, _, future in self.waiters:
            if not future.done():
                future.set_result(False)
        self.waiters = []

    def sequence_record(self, kind: str, body: dict[str, Any], raw: Payload = b"") -> Record:
        """Sequences the next record of this partition, in memory only, and returns it.

        Args:
            kind: Kind of the record.
            body: Its fields.
            raw: Bytes of the record that are stored as they are, without JSON encoding.
        """
        assert self.owning
        record = Record(self.record_log.last + 1, self.epoch, kind, encode_record(body, raw))
        self.record_log.append(record)
        self.view.fold(record)
        self.acknowledgements.update(self.store_name, self.disk, "received", record.seq)
        return record

    def settleable_seq(self) -> int:
        """As owner: returns the sequence number up to which a mark may settle changes of members or predicate, because they
        are covered and the log does not prove that yet; 0 if there is nothing to settle."""
        return self.covered if self.ready and 0 < self.view.unsettled() <= self.covered else 0

    def is_membership_proven(self) -> bool:
        """As owner: returns whether the log proves who the members are, and that proof is covered itself.

        After a loss of power only the logs are left. A log with a change of members but without the mark that settles it
        requires votes of the members before the change as well, of whom too few may be left.
        """
        proof = max(self.view.members_seq, self.view.settled_seq)
        return self.ready and self.view.unsettled() == 0 and proof <= self.covered

    def mark_synced(self, log_offset: int) -> bool:
        """Updates `persisted` after a sync of the log on disk; returns whether it has risen.

        Args:
            log_offset: Offset up to which the log on disk is synced.
        """
        seq = -1
        while self.unsynced and self.unsynced[0][0] <= log_offset:
            seq = self.unsynced.popleft()[1]
        seq = min(seq, self.record_log.last)
        if seq <= self.persisted:
            return False
        self.persisted = seq
        if self.owning:
            self.acknowledgements.update(self.store_name, self.disk, "persisted", seq)
        return True

    def cut(self, seq: int) -> None:
        """Drops the records after a sequence number, from the log in memory and from the pending syncs."""
        self.record_log.cut(seq)
        self.unsynced = deque((p, min(s, seq)) for p, s in self.unsynced)
        self.persisted = min(self.persisted, seq)

    def trim(self, budget: int) -> bool:
        """Folds records into the base to free memory: those that were sent to every mirror that is not silent or, if the
        log is larger than the budget, all that are covered; in both cases only records that are synced here.

        Args:
            budget: Bytes that the records of this partition may take.

        Returns:
            Whether records were folded. Fewer than 64 are left alone while the log is within the budget.
        """
        delivered_seqs = [f.next_seq - 1 for f in self.mirrors.values() if not f.silent]
        new_base_seq = min([self.covered, *delivered_seqs]) if self.record_log.size <= budget else self.covered
        new_base_seq = min(new_base_seq, self.persisted)
        if new_base_seq - self.record_log.base_seq < 64 and self.record_log.size <= budget:
            return False
        if new_base_seq <= self.record_log.base_seq:
            return False
        self.record_log.rebase(new_base_seq)
        return True
