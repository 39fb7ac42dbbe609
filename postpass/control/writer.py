"""Changes of the state: queued at the primary, written in batches, and answered once they are durable."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from absl import logging
from result import Err, Ok, Result

from postpass.control.changes import QueuedChange, StateUpdate
from postpass.control.election import Election
from postpass.control.election_rules import Cause, ElectionReason
from postpass.control.journal import check_storable
from postpass.control.member import INFINITY
from postpass.control.state import state_as_json
from postpass.membership.registry import State
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import CHANGE_FAILED, NOT_RESPONSIBLE, REJECTED, TIMED_OUT, Fault, FaultError
from postpass.runtime.log_events import Event


class Writer(Election):
    """Writes changes at the primary, and forwards requests to it from any other member.

    Owns the queue `queued_changes`, the time `write_due` at which the queue is to be written, and the event
    `write_wakeup`, which is set when that time becomes earlier. `change` fills the queue, and the task `write` empties
    it with `lock` held. Decides which changes share a write, and whether a write that a backup didn't accept is retried
    with another backup.
    """

    async def is_leading(self) -> bool:
        """Returns whether this member is the primary. While the primary takes another backup or voter by a new epoch it
        leads none for a moment; the method waits until that is over."""
        if not self.epoch and self.is_renewing_replica_set():
            async with self.lock:
                pass
        return self.epoch > 0

    async def change(self, update: StateUpdate, pause: float) -> Result[int, Fault]:
        """Writes a change together with others that arrive within `pause` seconds. Returns the revision that contains
        it once it is durable, or the reason why it was refused or its outcome is unknown."""
        if not await self.is_leading():
            return Err(self.not_leader_fault("write"))
        queued = QueuedChange(update, asyncio.get_running_loop().create_future())
        self.queued_changes.append(queued)
        if now() + pause < self.write_due:
            self.write_due = now() + pause
            self.write_wakeup.set()
        return await queued.outcome

    async def write(self) -> None:
        """Writes the queued changes whenever their time has come; runs until it is cancelled."""
        while True:
            if not self.queued_changes:
                self.write_due = INFINITY
            remaining = self.write_due - now()
            if remaining > 0:
                self.write_wakeup.clear()
                try:
                    await asyncio.wait_for(self.write_wakeup.wait(), None if remaining == INFINITY else remaining)
                except TimeoutError:
                    pass
                continue
            changes, self.queued_changes, self.write_due = self.queued_changes, [], INFINITY
            try:
                await self.write_batch(changes)
            finally:
                # Nobody waits for a task that has failed or was cancelled.
                self.answer_unknown(changes)

    async def write_batch(self, changes: list[QueuedChange]) -> None:
        """Writes changes as one revision, and gives each its outcome."""
        async with self.lock:
            try:
                results = await self.write_changes(changes)
            except FaultError as error:
                results = [Err(error.fault) for _ in changes]
        for queued, result in zip(changes, results, strict=True):
            if not queued.outcome.done():
                queued.outcome.set_result(result)

    async def write_changes(self, changes: list[QueuedChange]) -> list[Result[int, Fault]]:
        """Writes many changes as one revision, and returns the result of each. If a backup doesn't answer, another one
        is taken by an election, and all changes are applied and written once more."""
        own_name, bounds = self.settings.name, self.settings.bounds
        for _ in range(2):
            epoch, before = self.epoch, self.committed.state
            if not epoch or before.manifest is None:
                break
            state, results = before, []
            for queued in changes:
                result = self.apply_change(queued, state)
                state = result.unwrap_or(state)
                results.append(result)
            if state is not before:
                state = replace(state, revision=before.revision + 1)
                is_durable = await self.commit(state)
            else:
                is_durable = (
                    self.replicated_state.replica_set.confirmed_by(await self.run_confirmation_round())
                    and self.epoch == epoch
                )
            if is_durable:
                return [Ok(state.revision) if isinstance(g, Ok) else Err(g.unwrap_err()) for g in results]
            if self.epoch == epoch:
                self.epoch = 0
                election_result = await self.run_election(state.configuration, ElectionReason(Cause.BACKUP_LOST))
                if isinstance(election_result, Err):
                    self.leader_silent_since = now() - bounds.detection_time
                else:
                    log_events.emit(
                        Event.BACKUP_CHANGED,
                        own_name,
                        backup=",".join(self.replicated_state.replica_set.backups),
                        why="it did not take a write",
                    )
        return [Err(Fault("write", own_name, "not known whether it was taken; ask again", TIMED_OUT)) for _ in changes]

    def apply_change(self, queued: QueuedChange, state: State) -> Result[State, Fault]:
        """Returns the state with a change, or why there is none.

        A change that meets an unexpected error, or that leads to a state which can't be stored, fails alone: the other
        changes of its batch are written, and nothing of it is kept.
        """
        try:
            result = queued.update(state)
            if isinstance(result, Ok) and result.unwrap() is not state:
                check_storable(state_as_json(state), state_as_json(result.unwrap()))
            return result
        except Exception as error:
            reason = f"the change can't be applied: {error!r:.160}"
            log_events.emit(Event.CHANGE_FAILED, self.settings.name, why=reason)
            logging.exception("a change failed")
            return Err(Fault("write", self.settings.name, reason, CHANGE_FAILED))

    async def forward(self, verb: str, body: Body, limit: float = 0.0) -> PeerResponse:
        """Sends a request to the primary, wherever it is, and returns the response. Where machines announce themselves,
        a request without a primary is retried for a short time, in case one is elected."""
        if self.has_lost_contact():
            return await self.forward_without_contact(verb, body)
        deadline = now() + (self.settings.bounds.leave / 4 if self.settings.announce else 0.0)
        while True:
            leader_event = self.leader_heard_event
            response = await self.forward_once(verb, body, limit)
            if not self.found_no_primary(response) or not await self.wait_for_leader(leader_event, deadline):
                return response

    def found_no_primary(self, response: PeerResponse) -> bool:
        """Returns whether the response is this member's own fault that it found no primary; a fault that the primary
        answered with names another peer."""
        if response.is_ok():
            return False
        fault = response.unwrap_err()
        return fault.code == REJECTED and fault.peer == self.settings.name

    async def forward_once(self, verb: str, body: Body, limit: float) -> PeerResponse:
        """Tries this member, then the one that it names as the primary, then all others; returns the first response
        that isn't a referral to another member."""
        response: PeerResponse = await getattr(self, f"on_{verb}")(body)
        tried = {self.settings.name}
        names = [n for n in self.members() if n != self.settings.name]
        while isinstance(response, Err) and response.unwrap_err().code == NOT_RESPONSIBLE:
            hint = response.unwrap_err().hint
            untried = [n for n in ([hint] if hint else []) + names if n not in tried]
            if not untried:
                return Err(Fault(verb, self.settings.name, "no primary now; ask again", REJECTED))
            tried.add(untried[0])
            address = self.peer_address(untried[0])
            if not address:
                continue
            # An apply may take as long as the limit itself, and additional time for the syncs that precede it.
            limit = limit or self.settings.bounds.manifest * (2 if verb == "apply" else 1)
            remote_response = await self.peer_links.request(address, verb, body | {"passed": 1}, limit)
            if isinstance(remote_response, Err) and remote_response.unwrap_err().unsent:
                response = Err(Fault(verb, untried[0], remote_response.unwrap_err().why, NOT_RESPONSIBLE))
            else:
                response = remote_response
        return response
