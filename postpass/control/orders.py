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
from postpass.control.leadership import Leadership
from postpass.membership import operator_changes
from postpass.membership.registry import State
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD, LACK, MOVED, OLD, SHED, SLOW, Fault, Stop


class Orders(Leadership):
    """Takes the orders of operators."""

    async def on_apply(self, body: Body) -> PeerResponse:
        """Takes a whole manifest, and answers once it is in force, or names those that have not said so in time."""
        before = self.committed.state.manifest
        asked = now()
        got = await self.take_configuration(body)
        if isinstance(got, Err):
            return got
        revision = got.unwrap()["edition"]
        return Ok({"edition": revision, "waits": await self.in_force(revision, before, body["manifest"], asked)})

    async def take_configuration(self, body: Body) -> PeerResponse:
        """Takes a whole manifest if it was made from the present edition."""
        step, me = "apply", self.settings.name
        got = check(body["manifest"])
        if isinstance(got, Err):
            return Err(Fault(step, me, "\n".join(got.unwrap_err()), BAD))
        configuration, base = got.unwrap(), body["base"]
        async with self.lock:
            if not self.epoch:
                return await self.take_first_configuration(configuration, base)
            state = self.committed.state
            if state.manifest is not None and dump(state.manifest) == dump(configuration):
                if not await self.confirm_leadership():
                    return Err(self.unconfirmed(step))
                return Ok({"edition": state.revision})
            flaw = await self.configuration_flaw(configuration, base, state)
            if flaw is not None:
                return Err(flaw)
            return await self.commit_configuration(State(state.revision + 1, configuration, state.losses))

    async def take_first_configuration(self, configuration: Configuration, base: int) -> PeerResponse:
        """Founds the fleet with its first manifest; refuses if this member only doesn't lead. Holds the lock."""
        step, me = "apply", self.settings.name
        if self.known() is not None or base not in (0, -1):
            hint = self.witness.pair.primary if self.witness.pair.primary != me else ""
            return Err(Fault(step, me, "not the primary", MOVED, hint))
        if me not in self.members(configuration):
            return Err(Fault(step, me, f"machines: {me} is not a control machine of this manifest", SHED))
        found = await self.run_election(configuration, "founded", State(1, configuration))
        if isinstance(found, Err):
            return found
        return Ok({"edition": 1})

    async def configuration_flaw(self, configuration: Configuration, base: int, state: State) -> Fault | None:
        """Why a manifest can't follow the state in force, if it can't. Holds the lock."""
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

    async def commit_configuration(self, state: State) -> PeerResponse:
        """Makes a state durable at the replicas; steps down if it can't be told whether it was. Holds the lock."""
        try:
            done = await self.commit(state)
        except Stop as bad:
            return Err(bad.fault)
        if not done:
            # It may or may not come to be: whoever leads next decides. This one leads no further.
            if self.epoch:
                self.epoch = 0
                self.heard = now() - self.settings.bounds.detect
            return Err(Fault("apply", self.settings.name, "not known whether it was taken; ask again", SLOW))
        return Ok({"edition": state.revision})

    def unconfirmed(self, step: str) -> Fault:
        """What a member says that leads as far as it knows, and couldn't prove it in time."""
        return Fault(step, self.settings.name, "could not be confirmed; ask again", SLOW)

    async def configuration_flaws(self, state: State, configuration: Configuration) -> list[str]:
        """What stands against this configuration after the present state."""
        if state.manifest is not None and configuration["parts"] != state.manifest["parts"]:
            return [f"parts: stays {state.manifest['parts']}; lots are spread by it"]
        if not set(self.members(configuration)) & set(self.held.pair.holders):
            return ["machines: neither primary nor backup stays a control machine"]
        return await self.strangers(state.manifest, configuration)

    async def apply_source(self, source: Any, base: int) -> PeerResponse:
        """The operator's document as a whole, made on top of version `base`."""
        return await self.command({"what": "source", "source": source, "base": base})

    async def patch_source(self, change: Any, base: int) -> PeerResponse:
        """A change of the operator's document, made on top of version `base`."""
        return await self.command({"what": "patch", "source": change, "base": base})

    async def read_source(self) -> PeerResponse:
        """The operator's document in force, with its version."""
        return await self.forward("read", {"source": 1}, self.settings.bounds.manifest / 4)

    async def evacuate(self, zone: str, away: bool) -> PeerResponse:
        """Takes all traffic from a zone, or lets it come back."""
        return await self.command({"what": "evacuate" if away else "return", "area": zone})

    async def retire(self, name: str) -> PeerResponse:
        """Asks that a store be emptied for good."""
        return await self.command({"what": "retire", "name": name})

    async def retired(self, name: str) -> PeerResponse:
        """Asks whether a store that was to be emptied is so."""
        return await self.command({"what": "retired", "name": name})

    async def command(self, body: Body) -> PeerResponse:
        """Hands an order to whoever leads."""
        return await self.forward("order", body, self.settings.bounds.manifest / 2)

    async def on_order(self, body: Body) -> PeerResponse:
        """Takes an order as the leader, and answers once it is in force, or names those that have not said so in time."""
        if not await self.is_leading():
            return Err(self.not_leader("order"))
        asked, what = now(), body["what"]
        if what == "retired":
            return await self.emptied(body["name"])
        got = await self.change(self.folding(body), 0.0)
        if isinstance(got, Err):
            return Err(got.unwrap_err())
        revision = got.unwrap()
        log_events.emit(138, self.settings.name, what=what, revision=revision)
        waits = await self.in_force(
            revision, None, self.committed.state.configuration, asked, self.settings.bounds.manifest / 5
        )
        return Ok({"edition": revision, "waits": waits})

    def folding(self, body: Body) -> Fold:
        """The change of the state that an order asks for."""
        what = body["what"]
        if what == "source":
            return self.configuration(body["source"], body["base"], is_patch=False)
        if what == "patch":
            return self.configuration(body["source"], body["base"], is_patch=True)
        if what in ("evacuate", "return"):
            zone = body["area"]
            if zone not in self.settings.zones:
                return lambda _: Err(Fault(what, self.settings.name, f"unknown area {zone!r:.60}", LACK))
            return lambda state: Ok(
                operator_changes.with_zone_evacuated(state, zone)
                if what == "evacuate"
                else operator_changes.with_zone_returned(state, zone)
            )
        if what == "retire":

            def retire(state: State) -> Result[State, Fault]:
                flaw = operator_changes.retirement_flaw(state, body["name"], self.settings.tolerance)
                if flaw:
                    return Err(Fault("retire", self.settings.name, flaw.reason, flaw.code))
                return Ok(operator_changes.with_retiring_store(state, body["name"], self.settings.tolerance))

            return retire
        return lambda _: Err(Fault("order", self.settings.name, f"unknown order {what!r:.60}", BAD))

    def configuration(self, sent: Any, base: int, is_patch: bool) -> Fold:
        """The operator's document, whole or as a change of the one of version `base`."""
        remembered = accepted_orders.limit_of(self.settings.bounds)
        return ConfigurationChange(self.settings.name, self.translator, remembered, sent, base, is_patch)

    async def emptied(self, name: str) -> PeerResponse:
        """Does a store hold nothing any more that counts? Once that is so, it is no machine of the fleet any longer."""
        # Under the lock, so that a change that is being written is not taken for one that is in force.
        async with self.lock:
            state, confirmed = self.committed.state, await self.confirm_leadership()
        if not confirmed:
            return Err(self.unconfirmed("retire"))
        if name in state.retired:
            return Ok({"done": True})
        configuration = state.configuration
        if name not in configuration["machines"]:
            return Err(Fault("retire", self.settings.name, f"no store {name!r:.60}", LACK))
        if not configuration["machines"][name].get("retire") or not await self.holds_nothing(name, configuration):
            return Ok({"done": False})
        got = await self.change(lambda state: Ok(operator_changes.without_emptied_store(state, name)), 0.0)
        return Ok({"done": isinstance(got, Ok)})

    async def holds_nothing(self, name: str, configuration: Configuration) -> bool:
        """Every partition has an owner that says, from its covered record, that its members are others, and that all of
        them have synced that record: then the disk of the emptied store may go at once."""
        stores = [n for n in with_duty(configuration, "store") if n != name]
        got = await asyncio.gather(
            *(
                self.peer_links.call(configuration["machines"][n]["peer"], "parts", {}, self.settings.bounds.follow)
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
