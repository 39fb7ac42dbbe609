"""A change of the state: queued, written with others at the primary, answered once it is durable."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from result import Err, Ok, Result

from postpass.control.changes import Edit, Fold
from postpass.control.election import Election
from postpass.control.election_rules import Cause, ElectionReason
from postpass.control.member import INFINITY
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import MOVED, REJECTED, SLOW, Fault, FaultError
from postpass.runtime.log_events import Event


class Writer(Election):
    """Writes changes at the primary, and forwards to it from any other member.

    Owns the queue `waiting_edits`, the time `write_due` at which it is written, and `write_wakeup`, which is set when that
    time comes sooner; `change` fills the queue and the task `write` empties it, with `lock` held.
    Decides which changes share a write, and whether a write that a backup didn't take is tried once more with another.
    """

    async def is_leading(self) -> bool:
        """Is this the primary? While it takes another backup or voter it is for a moment not, and soon again."""
        if not self.epoch and self.takes_another_epoch():
            async with self.lock:
                pass
        return self.epoch > 0

    async def change(self, fold: Fold, pause: float) -> Result[int, Fault]:
        """Writes a change, with others that come within the pause; the revision that has it, once it is durable."""
        if not await self.is_leading():
            return Err(self.not_leader("write"))
        edit = Edit(fold, asyncio.get_running_loop().create_future())
        self.waiting_edits.append(edit)
        if now() + pause < self.write_due:
            self.write_due = now() + pause
            self.write_wakeup.set()
        return await edit.done

    async def write(self) -> None:
        """Writes what waits, whenever its time has come."""
        while True:
            if not self.waiting_edits:
                self.write_due = INFINITY
            left = self.write_due - now()
            if left > 0:
                self.write_wakeup.clear()
                try:
                    await asyncio.wait_for(self.write_wakeup.wait(), None if left == INFINITY else left)
                except TimeoutError:
                    pass
                continue
            edits, self.waiting_edits, self.write_due = self.waiting_edits, [], INFINITY
            async with self.lock:
                try:
                    got = await self.write_edits(edits)
                except FaultError as bad:
                    got = [Err(bad.fault) for _ in edits]
            for edit, result in zip(edits, got, strict=True):
                if not edit.done.done():
                    edit.done.set_result(result)

    async def write_edits(self, edits: list[Edit]) -> list[Result[int, Fault]]:
        """One write for many changes. If the backup is silent another one is taken, and all are laid on once more."""
        me, bounds = self.settings.name, self.settings.bounds
        for _ in range(2):
            epoch, before = self.epoch, self.committed.state
            if not epoch or before.manifest is None:
                break
            state, out = before, []
            for edit in edits:
                got = edit.fold(state)
                state = got.unwrap_or(state)
                out.append(got)
            if state is not before:
                state = replace(state, revision=before.revision + 1)
                done = await self.commit(state)
            else:
                done = (
                    self.replicated_state.replica_set.confirmed_by(await self.confirmation_round())
                    and self.epoch == epoch
                )
            if done:
                return [Ok(state.revision) if isinstance(g, Ok) else Err(g.unwrap_err()) for g in out]
            if self.epoch == epoch:
                self.epoch = 0
                again = await self.run_election(state.configuration, ElectionReason(Cause.BACKUP_LOST))
                if isinstance(again, Err):
                    self.leader_silent_since = now() - bounds.detect
                else:
                    log_events.emit(
                        Event.BACKUP_CHANGED,
                        me,
                        backup=",".join(self.replicated_state.replica_set.backups),
                        why="it did not take a write",
                    )
        return [Err(Fault("write", me, "not known whether it was taken; ask again", SLOW)) for _ in edits]

    async def forward(self, verb: str, body: Body, limit: float = 0.0) -> PeerResponse:
        """To the primary, wherever it is; where machines announce themselves, a moment is given for one to come."""
        if self.lost_touch():
            return await self.forward_without_contact(verb, body)
        until = now() + (self.settings.bounds.leave / 4 if self.settings.announce else 0.0)
        while True:
            event = self.leader_heard_event
            got = await self.forward_once(verb, body, limit)
            if not self.found_no_primary(got) or not await self.wait_for_leader(event, until):
                return got

    def found_no_primary(self, got: PeerResponse) -> bool:
        """Did this member itself refuse, because it found no primary? An error that the primary answered names another."""
        if got.is_ok():
            return False
        fault = got.unwrap_err()
        return fault.code == REJECTED and fault.peer == self.settings.name

    async def forward_once(self, verb: str, body: Body, limit: float) -> PeerResponse:
        """Tries this member, then whoever it names as primary, then all others."""
        got: PeerResponse = await getattr(self, f"on_{verb}")(body)
        tried = {self.settings.name}
        names = [n for n in self.members() if n != self.settings.name]
        while isinstance(got, Err) and got.unwrap_err().code == MOVED:
            hint = got.unwrap_err().hint
            todo = [n for n in ([hint] if hint else []) + names if n not in tried]
            if not todo:
                return Err(Fault(verb, self.settings.name, "no primary now; ask again", REJECTED))
            tried.add(todo[0])
            addr = self.addr(todo[0])
            if not addr:
                continue
            # An apply may use the whole bound, and more for the disks before it.
            limit = limit or self.settings.bounds.manifest * (2 if verb == "apply" else 1)
            there = await self.peer_links.request(addr, verb, body | {"passed": 1}, limit)
            if isinstance(there, Err) and there.unwrap_err().unsent:
                got = Err(Fault(verb, todo[0], there.unwrap_err().why, MOVED))
            else:
                got = there
        return got
