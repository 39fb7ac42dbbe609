"""Orders of the operators: new configurations, evacuations of zones, and retirements of stores."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok, Result

from postpass.configuration import accepted_orders
from postpass.configuration.configuration import Configuration, dump, members
from postpass.configuration.configuration_check import check
from postpass.control.changes import StateUpdate
from postpass.control.configuration import ConfigurationChange
from postpass.control.election_rules import Cause, ElectionReason
from postpass.control.leadership import Leadership
from postpass.control.order_messages import (
    ApplyRequest,
    Change,
    DocumentOrder,
    EvacuationOrder,
    FenceQuery,
    OrderAnswer,
    OrderFence,
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
from postpass.runtime.errors import (
    BAD_REQUEST,
    NOT_FOUND,
    NOT_RESPONSIBLE,
    PRECONDITION_FAILED,
    REJECTED,
    TIMED_OUT,
    Fault,
    FaultError,
)
from postpass.runtime.log_events import Event

# Returns whether the sender of an order still waits for the answer.
SenderCheck = Callable[[], Awaitable[bool]]


async def always() -> bool:
    """Stands for a sender that is known to wait."""
    return True


class Orders(Leadership):
    """Accepts and carries out the orders of operators.

    Owns no state: an order becomes a change of the replicated state, which `Writer` writes, or a complete
    configuration, which is committed with `lock` held. Decides whether an order is accepted, refused, or not known to
    be accepted.
    """

    async def on_apply(self, body: Body) -> PeerResponse:
        """Accepts a complete configuration; answers with its revision and the machines not known to run it in time."""
        request = ApplyRequest.from_json(body)
        before = self.committed.state.manifest
        requested_at = now()
        result = await self.take_configuration(request)
        if isinstance(result, Err):
            return Err(result.unwrap_err())
        revision = result.unwrap()
        unconfirmed = await self.wait_until_in_force(revision, before, request.configuration, requested_at)
        return Ok(OrderAnswer(revision, unconfirmed).as_json())

    async def take_configuration(self, request: ApplyRequest) -> Result[int, Fault]:
        """Accepts a complete configuration that was made from the revision in force; returns the revision that has it.

        A configuration equal to the one in force is accepted too, and returns the revision in force.
        """
        step, me = "apply", self.settings.name
        check_result = check(request.configuration)
        if isinstance(check_result, Err):
            return Err(Fault(step, me, "\n".join(check_result.unwrap_err()), BAD_REQUEST))
        configuration, base = check_result.unwrap(), request.base
        async with self.lock:
            if not self.epoch:
                return await self.take_first_configuration(configuration, base)
            state = self.committed.state
            if state.manifest is not None and dump(state.manifest) == dump(configuration):
                if not await self.confirm_leadership():
                    return Err(self.unconfirmed_fault(step))
                return Ok(state.revision)
            rejection = await self.configuration_rejection(configuration, base, state)
            if rejection is not None:
                return Err(rejection)
            return await self.commit_configuration(State(state.revision + 1, configuration, state.losses))

    async def take_first_configuration(self, configuration: Configuration, base: int) -> Result[int, Fault]:
        """Founds the fleet with its first configuration; returns revision 1. Called with the lock held.

        Refuses if there is a fleet already, of which this member is not the primary.
        """
        step, me = "apply", self.settings.name
        if self.known_configuration() is not None or base not in (0, -1):
            hint = self.vote_record.replica_set.primary if self.vote_record.replica_set.primary != me else ""
            return Err(Fault(step, me, "not the primary", NOT_RESPONSIBLE, hint))
        if me not in self.members(configuration):
            return Err(Fault(step, me, f"machines: {me} is not a control machine of this manifest", REJECTED))
        result = await self.run_election(configuration, ElectionReason(Cause.FOUNDED), State(1, configuration))
        if isinstance(result, Err):
            return Err(result.unwrap_err())
        return Ok(1)

    async def configuration_rejection(self, configuration: Configuration, base: int, state: State) -> Fault | None:
        """Returns the fault if a configuration can't replace the one in force; None if it can. Called with the lock held."""
        step, me = "apply", self.settings.name
        if base != state.revision:
            if not await self.confirm_leadership():
                return self.unconfirmed_fault(step)
            reason = f"edition {state.revision} is in force, this was made from {base}"
            return Fault(step, me, reason, PRECONDITION_FAILED, str(state.revision))
        reasons = await self.configuration_errors(state, configuration)
        if not reasons:
            return None
        if not await self.confirm_leadership():
            return self.unconfirmed_fault(step)
        return Fault(step, me, "\n".join(reasons), BAD_REQUEST)

    async def commit_configuration(self, state: State) -> Result[int, Fault]:
        """Makes a state durable at the replicas; returns its revision. Called with the lock held.

        Steps down if it is not known whether the state became durable.
        """
        try:
            is_committed = await self.commit(state)
        except FaultError as error:
            return Err(error.fault)
        if not is_committed:
            # The next primary decides whether this state is committed, by what it finds at the replicas, so this member
            # must not go on as the primary.
            if self.epoch:
                self.epoch = 0
                self.leader_silent_since = now() - self.settings.bounds.detection_time
            return Err(Fault("apply", self.settings.name, "not known whether it was taken; ask again", TIMED_OUT))
        return Ok(state.revision)

    async def configuration_errors(self, state: State, configuration: Configuration) -> list[str]:
        """Returns the reasons why a configuration can't replace the one in the given state; empty if it can."""
        if state.manifest is not None and configuration["parts"] != state.manifest["parts"]:
            return [f"parts: stays {state.manifest['parts']}; lots are spread by it"]
        if not set(self.members(configuration)) & set(self.replicated_state.replica_set.holders):
            return ["machines: neither primary nor backup stays a control machine"]
        return await self.rejections_by_daemons(state.manifest, configuration)

    async def apply_document(self, document: Any, base: int) -> PeerResponse:
        """Replaces the operator's configuration document by a complete one that was made from version `base`."""
        return await self.send_order(DocumentOrder(document, base, is_patch=False))

    async def patch_document(self, patch: Any, base: int) -> PeerResponse:
        """Patches the operator's configuration document; the patch was made from version `base`."""
        return await self.send_order(DocumentOrder(patch, base, is_patch=True))

    async def read_document(self) -> PeerResponse:
        """Returns the operator's configuration document in force, with its version."""
        return await self.forward("read", ReadRequest(source=True).as_json(), self.settings.bounds.manifest / 4)

    async def evacuate(self, zone: str, evacuated: bool, is_sender_waiting: SenderCheck = always) -> PeerResponse:
        """Takes all traffic away from a zone, or lets traffic return to it if `evacuated` is false."""
        return await self.send_fenced_order(EvacuationOrder(zone, evacuated), is_sender_waiting)

    async def retire(self, store: str, is_sender_waiting: SenderCheck = always) -> PeerResponse:
        """Orders a store to be emptied for good, so that it can be removed from the fleet."""
        return await self.send_fenced_order(RetirementOrder(store), is_sender_waiting)

    async def query_retirement(self, store: str) -> PeerResponse:
        """Asks whether a store that was retired is empty, and removed from the fleet."""
        return await self.send_order(RetirementQuery(store))

    async def send_order(
        self,
        order: DocumentOrder | EvacuationOrder | RetirementOrder | RetirementQuery,
        fence: OrderFence | None = None,
    ) -> PeerResponse:
        """Forwards an order to the primary, under a fence if one is given."""
        if self.pause_detector.has_just_resumed:
            return Err(self.resumed_fault("order"))
        body = order.as_json() | (fence.as_json() if fence is not None else {})
        return await self.forward("order", body, self.settings.bounds.manifest / 2)

    async def send_fenced_order(
        self, order: EvacuationOrder | RetirementOrder, is_sender_waiting: SenderCheck
    ) -> PeerResponse:
        """Forwards an order that carries no version, unless its sender has given up.

        A sender that has given up may have sent the order elsewhere, and then others that undo it. So the primary is
        asked for a fence first; if the sender still waits after that, whatever it orders later is accepted after the
        fence was given out. If another order is accepted in between, all of that is done again.
        """
        received_at, limit = now(), self.settings.bounds.manifest / 2
        while not self.pause_detector.has_just_resumed and not self.pause_detector.has_paused_since(received_at):
            answer = await self.forward("order", FenceQuery().as_json(), limit)
            if isinstance(answer, Err) and answer.unwrap_err().code != BAD_REQUEST:
                return answer
            # A primary of an earlier release knows of no fence.
            fence = OrderFence.from_json(answer.unwrap()) if isinstance(answer, Ok) else None
            if not await is_sender_waiting():
                return Err(Fault("order", self.settings.name, "its sender has given up", REJECTED))
            response = await self.send_order(order, fence)
            if response.is_ok() or response.unwrap_err().code != PRECONDITION_FAILED:
                return response
            if now() - received_at > limit:
                return Err(Fault("order", self.settings.name, "others were accepted meanwhile; ask again", REJECTED))
        return Err(self.resumed_fault("order"))

    async def give_fence(self) -> PeerResponse:
        """Answers with the present fence, as the primary."""
        async with self.lock:
            if not await self.confirm_leadership():
                return Err(self.unconfirmed_fault("order"))
            return Ok(OrderFence(self.epoch, self.accepted_orders).as_json())

    async def on_order(self, body: Body) -> PeerResponse:
        """Carries out an order as the primary; answers with its revision and the machines not known to run it in time."""
        if not await self.is_leading():
            return Err(self.not_leader_fault("order"))
        requested_at, order = now(), order_of(body)
        if isinstance(order, RetirementQuery):
            return await self.retirement_status(order.store)
        if isinstance(order, FenceQuery):
            return await self.give_fence()
        update = self.change_for(order)
        if isinstance(order, EvacuationOrder | RetirementOrder):
            update = self.fenced(update, OrderFence.from_json(body))
        result = await self.change(update, 0.0)
        if isinstance(result, Err):
            return Err(result.unwrap_err())
        revision = result.unwrap()
        log_events.emit(Event.ORDER_ACCEPTED, self.settings.name, what=order.kind, revision=revision)
        unconfirmed = await self.wait_until_in_force(
            revision, None, self.committed.state.configuration, requested_at, self.settings.bounds.manifest / 5
        )
        return Ok(OrderAnswer(revision, unconfirmed).as_json())

    def fenced(self, update: StateUpdate, fence: OrderFence | None) -> StateUpdate:
        """Returns a change that is refused if another order without a version was accepted since its fence was given."""

        def apply(state: State) -> Result[State, Fault]:
            if fence is not None and fence != OrderFence(self.epoch, self.accepted_orders):
                reason = "another order was accepted since this one was sent"
                return Err(Fault("order", self.settings.name, reason, PRECONDITION_FAILED))
            result = update(state)
            if isinstance(result, Ok):
                self.accepted_orders += 1
            return result

        return apply

    def change_for(self, order: Change) -> StateUpdate:
        """Returns the function that applies an order to the replicated state, or refuses it."""
        match order:
            case DocumentOrder(document, base, is_patch):
                return self.configuration_change(document, base, is_patch)
            case EvacuationOrder():
                return self.evacuation_change(order)
            case RetirementOrder():
                return self.retirement_change(order)
            case UnknownOrder(kind):
                return lambda _: Err(Fault("order", self.settings.name, f"unknown order {kind!r:.60}", BAD_REQUEST))

    def evacuation_change(self, order: EvacuationOrder) -> StateUpdate:
        """Returns the change that marks a zone as evacuated or as open again; it refuses a zone missing from the settings."""
        zone = order.zone
        if zone not in self.settings.zones:
            return lambda _: Err(Fault(order.kind, self.settings.name, f"unknown area {zone!r:.60}", NOT_FOUND))
        return lambda state: Ok(
            operator_changes.with_zone_evacuated(state, zone)
            if order.evacuated
            else operator_changes.with_zone_returned(state, zone)
        )

    def retirement_change(self, order: RetirementOrder) -> StateUpdate:
        """Returns the change that marks a store to be emptied.

        It refuses if the other stores alone could not survive the loss of as many disks and zones as are tolerated.
        """

        def retire(state: State) -> Result[State, Fault]:
            flaw = operator_changes.retirement_refusal(state, order.store, self.settings.tolerance)
            if flaw:
                return Err(Fault(order.kind, self.settings.name, flaw.reason, flaw.code))
            return Ok(operator_changes.with_retiring_store(state, order.store, self.settings.tolerance))

        return retire

    def configuration_change(self, sent: Any, base: int, is_patch: bool) -> StateUpdate:
        """Returns the change that applies a document of the operator: a complete one, or a patch made from version `base`."""
        remembered_orders = accepted_orders.limit_of(self.settings.bounds)
        return ConfigurationChange(self.settings.name, self.translator, remembered_orders, sent, base, is_patch)

    async def retirement_status(self, store: str) -> PeerResponse:
        """Answers whether a retired store is out of the fleet. Removes it from the fleet if its data is needed no longer."""
        # The lock waits for a write in progress, so that a change that is not committed yet is not taken for one in
        # force.
        async with self.lock:
            state, is_confirmed = self.committed.state, await self.confirm_leadership()
        if not is_confirmed:
            return Err(self.unconfirmed_fault("retire"))
        if store in state.retired:
            return Ok(RetirementAnswer(True).as_json())
        configuration = state.configuration
        if store not in configuration["machines"]:
            return Err(Fault("retire", self.settings.name, f"no store {store!r:.60}", NOT_FOUND))
        if not configuration["machines"][store].get("retire") or not await self.is_emptied(store, configuration):
            return Ok(RetirementAnswer(False).as_json())
        result = await self.change(lambda state: Ok(operator_changes.without_emptied_store(state, store)), 0.0)
        return Ok(RetirementAnswer(isinstance(result, Ok)).as_json())

    async def is_emptied(self, store: str, configuration: Configuration) -> bool:
        """Returns whether no partition needs the data of a store any longer, so that its disk may be removed at once.

        That is so if every partition has an owner that reports, from a durably replicated record, that the partition's
        members do not include the store, and that all members have synced that record. Of several stores that claim a
        partition, the one with the newest epoch is its owner.
        """
        reports = await self.ask_owner_reports(configuration, without=store)
        return all(
            partition in reports
            and store not in reports[partition].members
            and reports[partition].complete
            and store not in members(configuration, partition)
            for partition in range(configuration["parts"])
        )
