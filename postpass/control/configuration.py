"""How a configuration order changes the state: a whole document, or a patch of the one in force."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import Any

from result import Err, Ok, Result

from postpass.configuration import accepted_orders
from postpass.configuration.accepted_orders import ConfigurationOrder, Recollection
from postpass.configuration.configuration_check import semantic_errors
from postpass.membership import operator_changes
from postpass.membership.registry import OperatorConfiguration, State, Translator
from postpass.runtime.errors import BAD, OLD, SLOW, Fault

STEP = "configure"


@dataclass(frozen=True)
class ConfigurationChange:
    """An order as a change of the state. Invariant: on a state that has taken the order it changes nothing."""

    member: str
    translator: Translator | None
    remembered: int  # how many accepted orders the state remembers at least
    sent: Any
    base: int
    is_patch: bool

    @cached_property
    def order(self) -> ConfigurationOrder:
        """The identity of this order, by which it is known again."""
        return ConfigurationOrder.of(self.sent, self.base if self.is_patch else None)

    @cached_property
    def read_document(self) -> Result[OperatorConfiguration, list[str]] | None:
        """What a whole document says, or what is wrong with it, whatever it is applied to; None for a patch."""
        return None if self.translator is None or self.is_patch else self.translator.terms(self.sent)

    def __call__(self, state: State) -> Result[State, Fault]:
        """The state with the order applied, or why it is refused."""
        current = state.configuration.get("version", 0)
        recollection = accepted_orders.recall(state.orders, self.order, current)
        if recollection is Recollection.ACCEPTED:
            return Ok(state)
        if self.translator is None:
            return self._refuse("this process reads no documents")
        if isinstance(self.read_document, Err):
            return self._refuse(*self.read_document.unwrap_err())
        if recollection is Recollection.FORGOTTEN and self.base < self.order.version:
            why = f"version {self.order.version}: too long ago to tell whether it was taken"
            return Err(Fault(STEP, self.member, why, SLOW))
        if self.base != current:
            why = f"version {current} is current, this builds on {self.base}"
            return Err(Fault(STEP, self.member, why, OLD, str(current)))
        return self._apply(state, self.translator)

    def _apply(self, state: State, translator: Translator) -> Result[State, Fault]:
        document = translator.patched(state.source, self.sent) if self.is_patch else Ok(self.sent)
        if isinstance(document, Err):
            return self._refuse(*document.unwrap_err())
        source = document.unwrap()
        read = self.read_document or translator.terms(source)
        if isinstance(read, Err):
            return self._refuse(*read.unwrap_err())
        terms = read.unwrap()
        if terms["version"] <= self.base:
            return self._refuse(f"version: want more than {self.base}, got {terms['version']}")
        orders = accepted_orders.remember(state.orders, self.order, self.remembered)
        new = operator_changes.with_configuration(state, terms, source, orders)
        flaws = semantic_errors(new.configuration)
        return self._refuse(*flaws) if flaws else Ok(new)

    def _refuse(self, *flaws: str) -> Result[State, Fault]:
        return Err(Fault(STEP, self.member, "\n".join(flaws), BAD))
