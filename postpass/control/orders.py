"""Orders of the operators: configurations, evacuations, retirements."""

from __future__ import annotations

import asyncio
from typing import Any

from result import Err, Ok, Result

from postpass.configuration import accepted_orders
from postpass.configuration.configuration import Configuration, dump, members, with_duty
from postpass.configuration.configuration_check import check
from postpass.control.changes import Fold
from postpass.control.configuration import ConfigurationChange
from postpass.control.election_rules import Cause, ElectionReason
from postpass.control.leadership import Leadership
from postpass.control.order_messages import (
    ApplyRequest,
    Change,
    DocumentOrder,
    EvacuationOrder,
    OrderAnswer,
    RetirementAnswer,
    RetirementOrder,
    RetirementQuery,
    UnknownOrder,
    order_of,
)
from postpass.control.read_messages import ReadRequest
from postpass.membership import operator_changes
from postpass.membership.registry import State
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD, LACK, MOVED, OLD, REJECTED, SLOW, Fault, FaultError
from postpass.runtime.log_events import Event


class Orders(Leadership):
    """Takes the orders of operators.

    Owns no state: an order becomes a change of the state, which `Writer` writes, or a whole configuration, which is
    committed with `lock` held. Decides whether an order is taken, refused, or not known to have been taken.
    """

    async def on_apply(self, body: Body) -> PeerResponse:
        """Takes a whole configuration, and answers once it is in force, or names those that have not said so in time."""
        request = ApplyRequest.from_json(body)
        before = self.committed.state.manifest
        asked = now()
        got = await self.take_configuration(request)
        if isinstance(got, Err):
            return Err(got.unwrap_err())
        revision = got.unwrap()
        unconfirmed = await self.in_force(revision, before, request.configuration, asked)
        return Ok(OrderAnswer(revision, unconfirmed).as_json())

    async def take_configuration(self, request: ApplyRequest) -> Result[int, Fault]:
        """Takes a whole configuration if it was made from the present revision; the revision that has it."""
        step, me = "apply", self.settings.name
        checked = check(request.configuration)
        if isinstance(checked, Err):
            return Err(Fault(step, me, "\n".join(checked.unwrap_err()), BAD))
        configuration, base = checked.unwrap(), request.base
        async with self.lock:
            if not self.epoch:
                return await self.take_first_configuration(configuration, base)
            state = self.committed.state
            if state.manifest is not None and dump(state.manifest) == dump(configuration):
                if not await self.confirm_leadership():
                    return Err(self.unconfirmed(step))
                return Ok(state.revision)
            flaw = await self.configuration_flaw(configuration, base, state)
            if flaw is not None:
                return Err(flaw)
            return await self.commit_configuration(State(state.revision + 1, configuration, state.losses))

    async def take_first_configuration(self, configuration: Configuration, base: int) -> Result[int, Fault]:
        """Founds the fleet with its first configuration; refuses if this member only doesn't lead. Holds the lock."""
        step, me = "apply", self.settings.name
        if self.known() is not None or base not in (0, -1):
            hint = self.vote_record.replica_set.primary if self.vote_record.replica_set.primary != me else ""
            return Err(Fault(step, me, "not the primary", MOVED, hint))
        if me not in self.members(configuration):
            return Err(Fault(step, me, f"machines: {me} is not a control machine of this manifest", REJECTED))
        found = await self.run_election(configuration, ElectionReason(Cause.FOUNDED), State(1, configuration))
        if isinstance(found, Err):
            return Err(found.unwrap_err())
        return Ok(1)

    async def configuration_flaw(self, configuration: Configuration, base: int, state: State) -> Fault | None:
        """Why a configuration can't follow the state in force, if it can't. Holds the lock."""
        step, me = "apply", self.settings.name
        if base != state.revision:
            if not await self.confirm_leadership():
                return self.unconfirmed(step)
            why = f"edition {state.revision} is in force, this was made from {base}"
            return Fault(step, me, why, OLD, str(state.revision))
        flaws = await self.configuration_flaws(state, configuration)
        if not flaws:
            return None
        if not await self.confirm_leadership():
            return self.unconfirmed(step)
        return Fault(step, me, "\n".join(flaws), BAD)

    async def commit_configuration(self, state: State) -> Result[int, Fault]:
        """Makes a state durable at the replicas; steps down if it can't be told whether it was. Holds the lock."""
        try:
            done = await self.commit(state)
        except FaultError as bad:
            return Err(bad.fault)
        if not done:
            # It may or may not come to be: whoever leads next decides. This one leads no further.
            if self.epoch:
                self.epoch = 0
                self.leader_silent_since = now() - self.settings.bounds.detect
            return Err(Fault("apply", self.settings.name, "not known whether it was taken; ask again", SLOW))
        return Ok(state.revision)

    async def configuration_flaws(self, state: State, configuration: Configuration) -> list[str]:
        """Why this configuration can't follow the present state; empty if it can."""
        if state.manifest is not None and configuration["parts"] != state.manifest["parts"]:
            return [f"parts: stays {state.manifest['parts']}; lots are spread by it"]
        if not set(self.members(configuration)) & set(self.replicated_state.replica_set.holders):
            return ["machines: neither primary nor backup stays a control machine"]
        return await self.daemons_that_reject(state.manifest, configuration)

    async def apply_source(self, source: Any, base: int) -> PeerResponse:
        """The operator's document as a whole, made on top of version `base`."""
        return await self.command(DocumentOrder(source, base, is_patch=False))

    async def patch_source(self, change: Any, base: int) -> PeerResponse:
        """A change of the operator's document, made on top of version `base`."""
        return await self.command(DocumentOrder(change, base, is_patch=True))

    async def read_source(self) -> PeerResponse:
        """The operator's document in force, with its version."""
        return await self.forward("read", ReadRequest(source=True).as_json(), self.settings.bounds.manifest / 4)

    async def evacuate(self, zone: str, away: bool) -> PeerResponse:
        """Takes all traffic from a zone, or lets it come back."""
        return await self.command(EvacuationOrder(zone, away))

    async def retire(self, name: str) -> PeerResponse:
        """Asks that a store be emptied for good."""
        return await self.command(RetirementOrder(name))

    async def retired(self, name: str) -> PeerResponse:
        """Asks whether a store that was to be emptied is so."""
        return await self.command(RetirementQuery(name))

    async def command(self, order: DocumentOrder | EvacuationOrder | RetirementOrder | RetirementQuery) -> PeerResponse:
        """Hands an order to whoever leads."""
        return await self.forward("order", order.as_json(), self.settings.bounds.manifest / 2)

    async def on_order(self, body: Body) -> PeerResponse:
        """Takes an order as the leader, and answers once it is in force, or names those that have not said so in time."""
        if not await self.is_leading():
            return Err(self.not_leader("order"))
        asked, order = now(), order_of(body)
        if isinstance(order, RetirementQuery):
            return await self.emptied(order.store)
        got = await self.change(self.edit_of(order), 0.0)
        if isinstance(got, Err):
            return Err(got.unwrap_err())
        revision = got.unwrap()
        log_events.emit(Event.ORDER_ACCEPTED, self.settings.name, what=order.kind, revision=revision)
        unconfirmed = await self.in_force(
            revision, None, self.committed.state.configuration, asked, self.settings.bounds.manifest / 5
        )
        return Ok(OrderAnswer(revision, unconfirmed).as_json())

    def edit_of(self, order: Change) -> Fold:
        """The change of the state that an order asks for."""
        match order:
            case DocumentOrder(document, base, is_patch):
                return self.configuration(document, base, is_patch)
            case EvacuationOrder():
                return self.evacuation(order)
            case RetirementOrder():
                return self.retirement(order)
            case UnknownOrder(kind):
                return lambda _: Err(Fault("order", self.settings.name, f"unknown order {kind!r:.60}", BAD))

    def evacuation(self, order: EvacuationOrder) -> Fold:
        """Marks a zone as evacuated, or as open again; refused for a zone that the settings don't have."""
        zone = order.zone
        if zone not in self.settings.zones:
            return lambda _: Err(Fault(order.kind, self.settings.name, f"unknown area {zone!r:.60}", LACK))
        return lambda state: Ok(
            operator_changes.with_zone_evacuated(state, zone)
            if order.away
            else operator_changes.with_zone_returned(state, zone)
        )

    def retirement(self, order: RetirementOrder) -> Fold:
        """Marks a store to be emptied; refused if the others could not bear the tolerated losses without it."""

        def retire(state: State) -> Result[State, Fault]:
            flaw = operator_changes.retirement_flaw(state, order.store, self.settings.tolerance)
            if flaw:
                return Err(Fault(order.kind, self.settings.name, flaw.reason, flaw.code))
            return Ok(operator_changes.with_retiring_store(state, order.store, self.settings.tolerance))

        return retire

    def configuration(self, sent: Any, base: int, is_patch: bool) -> Fold:
        """The operator's document, whole or as a change of the one of version `base`."""
        remembered = accepted_orders.limit_of(self.settings.bounds)
        return ConfigurationChange(self.settings.name, self.translator, remembered, sent, base, is_patch)

    async def emptied(self, name: str) -> PeerResponse:
        """Does a store hold nothing any more that counts? Once that is so, it is removed from the fleet."""
        # Under the lock, so that a change that is being written is not taken for one that is in force.
        async with self.lock:
            state, confirmed = self.committed.state, await self.confirm_leadership()
        if not confirmed:
            return Err(self.unconfirmed("retire"))
        if name in state.retired:
            return Ok(RetirementAnswer(True).as_json())
        configuration = state.configuration
        if name not in configuration["machines"]:
            return Err(Fault("retire", self.settings.name, f"no store {name!r:.60}", LACK))
        if not configuration["machines"][name].get("retire") or not await self.holds_nothing(name, configuration):
            return Ok(RetirementAnswer(False).as_json())
        got = await self.change(lambda state: Ok(operator_changes.without_emptied_store(state, name)), 0.0)
        return Ok(RetirementAnswer(isinstance(got, Ok)).as_json())

    async def holds_nothing(self, name: str, configuration: Configuration) -> bool:
        """Every partition has an owner that says, from its covered record, that its members are others, and that all of
        them have synced that record: then the disk of the emptied store may go at once."""
        stores = [n for n in with_duty(configuration, "store") if n != name]
        got = await asyncio.gather(
            *(
                self.peer_links.request(configuration["machines"][n]["peer"], "parts", {}, self.settings.bounds.follow)
                for n in stores
            )
        )
        best: dict[int, Body] = {}
        for answer in got:
            for row in answer.unwrap()["parts"] if isinstance(answer, Ok) else []:
                if row["owning"] and row["ready"] and row["epoch"] > best.get(row["part"], {"epoch": -1})["epoch"]:
                    best[row["part"]] = row
        return all(
            part in best
            and name not in best[part]["crew"]
            and best[part].get("complete", True)
            and name not in members(configuration, part)
            for part in range(configuration["parts"])
        )
