"""What every control member does: keep its disk, promise and grant epochs, know the other members."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import asdict, dataclass, field
from typing import Any

from prometheus_client import Gauge
from result import Err, Ok

from postpass.configuration.configuration import Configuration, with_duty
from postpass.configuration.settings import Settings
from postpass.control.changes import Edit
from postpass.control.epochs import ReplicaSet, Witness
from postpass.control.journal import Change, Image, StateJournal
from postpass.control.state import Committed, ReplicatedState
from postpass.daemon.process import Daemon
from postpass.membership.registry import State, Translator
from postpass.rpc.codec import RELEASE, Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.disk import Disk
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import FULL, MOVED, Fault, Stop
from postpass.storage.data_directory import STATE_FORMAT, open_data_directory, raise_format

INFINITY = float("inf")
STATE_FILE = "state"  # of releases up to 0.2.0: the whole state, written anew at every change
STATE_SEGMENT = 1 << 16  # bytes of the log of changes after which a snapshot may be due


@dataclass(frozen=True)
class Stored:
    """A state that was synced here, with its keys in the journal's order, and the change that led to it, if one did."""

    held: ReplicatedState
    change: Change | None


@dataclass(eq=False)
class ControlMember(Daemon):
    """One control member. Invariants: writes go one at a time under `lock`; `epoch` > 0 only while this is the primary
    of it; what `news` holds was on the disks of all holders."""

    journal: StateJournal = field(init=False)
    witness: Witness = Witness()
    held: ReplicatedState = ReplicatedState()
    committed: Committed = Committed()
    disk_id: str = ""
    epoch: int = 0
    heard: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    disk_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    bad: str = ""
    seen: Configuration | None = None

    def __init__(
        self, settings: Settings, environment: Environment, release: str = "", translator: Translator | None = None
    ) -> None:
        super().__init__(settings, environment, release or RELEASE)
        self.translator = translator
        self.edits: list[Edit] = []
        self.due, self.hurry = INFINITY, asyncio.Event()
        # What was heard last, by this machine's clock: workers and machines that spoke here or at another control
        # machine; when a machine's name was first heard; and, here alone, the primary's last word.
        self.beats: dict[str, float] = {}
        self.seqnos: dict[str, int] = {}
        self.drained: dict[str, float] = {}  # workers whose leaving was acknowledged through this member, and when
        self.spoke: dict[str, float] = {}
        self.reported: dict[str, float] = {}  # when each other control machine last told whom it had heard
        self.met: dict[str, float] = {}
        self.since = self.touched = 0.0
        self.leader = ""
        self.witness, self.held, self.disk_id, self.epoch = Witness(), ReplicatedState(), "", 0
        self.committed = Committed()
        self.heard = 0.0
        self.candidate_until = 0.0  # until when a candidate that was given a promise may become the primary
        self.promise_on_disk = 0  # the highest promise that is synced
        self.copied: dict[str, float] = {}  # when each backup last answered
        self.answered: dict[str, float] = {}  # when each voter's disk last answered under this epoch
        self.departing: set[str] = set()  # members that were told to leave, by their last answer
        self.unsettled_epoch = 0  # the epoch led, while the holders' disks name the voters before it as well
        self.wiped_backups: set[str] = set()  # backups that answered with another disk than the replica set names
        # When a primary was last heard in this life, and who waits for one.
        self.led, self.led_now = -INFINITY, asyncio.Event()
        self.next_confirmation: asyncio.Task[int] | None = None
        self.confirmation_lock = asyncio.Lock()
        self.lock, self.disk_lock, self.bad = asyncio.Lock(), asyncio.Lock(), ""
        self.fetches: set[asyncio.Task[Any]] = set()

        for name, text, read in (
            ("control_leads", "1 while this machine is the primary", lambda: float(self.epoch > 0)),
            ("control_epoch", "The epoch last granted here", lambda: float(self.witness.pair.epoch)),
            (
                "control_losses",
                "How often acknowledged editions may have been lost",
                lambda: float(self.committed.state.losses),
            ),
        ):
            Gauge(f"postpass_{name}", text, registry=self.registry).set_function(read)

    @property
    def disk(self) -> Disk:
        assert self.environment.disk is not None
        return self.environment.disk

    async def open(self) -> None:
        try:
            await self.read_folder()
        except (ValueError, KeyError, TypeError) as bad:
            log_events.emit(112, self.settings.name, why=repr(bad))
            for name in ("identity", "epochs", STATE_FILE):
                if name in self.disk.names():
                    self.disk.rename(name, f"damaged-{name}")
            await self.read_folder()
        self.promise_on_disk = self.witness.promised
        if self.held.state.manifest is not None:
            # An older edition is better than none to find the others by; it may be behind, never ahead
            # of what this pair's disk took.
            self.seen = self.held.state.manifest
        self.partial_view.own_record["disk"] = self.disk_id
        self.heard = now()

    async def read_folder(self) -> None:
        """Reads the promises and the state, that of releases up to 0.2.0 too; a damaged file raises ValueError."""
        self.witness, self.held = Witness(), ReplicatedState()
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
            self.witness = Witness.load(self.disk.read("epochs"))
        self.journal = await StateJournal.open(
            self.settings.name, self.disk, data_directory.log, data_directory.entries
        )
        old = ReplicatedState()
        if not data_directory.fresh and self.journal.image is None and STATE_FILE in self.disk.names():
            old = ReplicatedState.load(self.disk.read(STATE_FILE))
        # Releases that know only the state file must not go on with it from here on.
        await raise_format(self.disk, STATE_FORMAT)
        if old.whole:
            await self.journal.replace(Image.of(old.whole, old.state.revision, old.raw()))
        if STATE_FILE in self.disk.names():
            self.disk.remove(STATE_FILE)
        if self.journal.image is not None:
            self.held = ReplicatedState.of(self.journal.image.tree)

    async def store(self, held: ReplicatedState) -> Stored:
        """Syncs a state here, as a change of the one that is held, where there is one."""
        base, tree, version = self.journal.image, held.raw(), held.state.revision
        if base is None:
            image = await self.write_journal(self.journal.replace(Image.of(held.whole, version, tree)))
            return Stored(ReplicatedState.of(image.tree), None)
        change, _ = base.change_to(held.whole, version, tree)
        image = await self.write_journal(self.journal.append(change))
        return Stored(ReplicatedState.of(image.tree), change)

    @property
    def disk_busy(self) -> bool:
        """Is a write under way? Where it lasts, the disk stalls."""
        return self.disk_lock.locked() or self.journal.lock.locked()

    def stored(self) -> ReplicatedState:
        """The state that was synced here last."""
        image = self.journal.image
        return ReplicatedState.of(image.tree) if image is not None else ReplicatedState()

    async def write_journal(self, write: Coroutine[Any, Any, Image]) -> Image:
        if self.bad:
            write.close()
            raise Stop(Fault("sync", self.settings.name, self.bad))
        try:
            return await write
        except Stop as stop:
            if stop.fault.code != FULL:
                self.fail_disk(stop.fault.why)
            raise

    async def compact_journal(self) -> None:
        """Writes a snapshot of the state now and then, so that the log of changes stays short."""
        while True:
            await asyncio.sleep(self.settings.bounds.beat)
            try:
                await self.journal.compact_if_due()
            except Stop as stop:
                if stop.fault.code != FULL:
                    self.fail_disk(stop.fault.why)
                    raise

    async def keep(self, name: str, data: bytes) -> None:
        if self.bad:
            raise Stop(Fault("sync", self.settings.name, self.bad))
        try:
            async with self.disk_lock:
                await self.disk.write(name, data)
        except OSError as bad:
            if bad.errno == 28:
                raise Stop(Fault("sync", self.settings.name, f"{name}: {bad.strerror}")) from bad
            raise Stop(self.fail_disk(f"{name}: {bad.strerror}")) from bad

    def fail_disk(self, why: str) -> Fault:
        """A write failed: nothing more is written or answered by this process, which ends."""
        self.bad = why
        log_events.emit(113, self.settings.name, why=why)
        self.failed = Fault("sync", self.settings.name, why)
        self.stop.set()
        self.closed.set()
        return self.failed

    def about(self) -> Body:
        return {
            "disk": self.disk_id, "promised": self.witness.promised, "pair": asdict(self.witness.pair),
            "whole": self.held.whole, "edition": self.held.state.revision, "news": self.configuration_view.revision,
            "leaving": self.leaving,
        }  # fmt: skip

    async def on_look(self, body: Body) -> PeerResponse:
        hears_primary = self.hears_another_primary(body.get("who", ""))
        if body.get("probe"):
            return Ok(self.about() | {"ok": not hears_primary})
        if hears_primary and not body.get("handover"):
            # The pre-vote is past: whoever asks was frozen since, or this one heard the primary again.
            return Ok(self.about() | {"ok": False})
        new = self.witness.look(body["epoch"], body["who"])
        if new is None:
            return Ok(self.about() | {"ok": False})
        self.yield_to_candidate()
        return await self.promise(new)

    def yield_to_candidate(self) -> None:
        """Whoever asks may soon lead: this one's own try can wait for that. It is no primary yet, and is not taken for one."""
        self.candidate_until = now() + self.settings.bounds.promise

    def hears_another_primary(self, candidate: str) -> bool:
        """Is there a primary, by what was heard here, that `candidate` would depose?"""
        if self.epoch:
            return candidate != self.settings.name
        return self.leader != candidate and now() - self.led < self.settings.bounds.detect * 0.9

    async def on_grant(self, body: Body) -> PeerResponse:
        new = self.witness.grant(ReplicaSet.of(body["pair"]), body["who"])
        if new is None:
            return Ok(self.about() | {"ok": False})
        self.yield_to_candidate()
        return await self.promise(new)

    async def promise(self, new: Witness) -> PeerResponse:
        """Answers once the promise is on disk."""
        self.witness = new
        if self.epoch and new.promised > self.epoch:
            self.step_down(new.promised)
        try:
            await self.keep("epochs", new.dump())
        except Stop as bad:
            return Err(bad.fault)
        self.promise_on_disk = max(self.promise_on_disk, new.promised)
        return Ok(self.about() | {"ok": self.witness == new})

    def step_down(self, seen: int | str) -> None:
        """Leads no more: a higher epoch was seen, or what else the event tells."""
        if self.epoch:
            log_events.emit(131, self.settings.name, epoch=self.epoch, seen=seen)
        self.epoch = 0
        self.heard = now()

    def publish(self, state: State) -> None:
        """Makes a state known that all holders have synced."""
        self.committed = Committed(state)
        if state.manifest is not None:
            self.configuration_view.accept(state.revision, state.manifest)

    def known(self) -> Configuration | None:
        return self.configuration_view.manifest or self.held.state.manifest or self.seen

    def addr(self, name: str) -> str:
        configuration = self.known()
        m = configuration["machines"].get(name) if configuration else None
        return m["peer"] if m and not m.get("gone") else ""

    def members(self, configuration: Configuration | None = None) -> list[str]:
        """The control machines, in the agreed order."""
        configuration = configuration or self.known()
        return with_duty(configuration, "control") if configuration else []

    def announce_leader(self) -> None:
        """A primary was heard: whoever waits for one tries again."""
        self.led_now.set()
        self.led_now = asyncio.Event()

    async def wait_for_leader(self, led: asyncio.Event, until: float) -> bool:
        """True once a primary is heard after the try before which `led` was taken."""
        try:
            await asyncio.wait_for(led.wait(), max(0.0, until - now()))
        except TimeoutError:
            return False
        return True

    def not_leader(self, step: str) -> Fault:
        hint = self.leader if self.leader != self.settings.name else ""
        return Fault(step, self.settings.name, "not the primary", MOVED, hint)

    def blank(self) -> bool:
        return self.known() is None and self.held.whole == 0 and self.witness.pair.epoch == 0
