"""How an operator's configuration order changes the state: by a complete document, or by a patch of the current
document."""

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
from postpass.runtime.errors import BAD_REQUEST, PRECONDITION_FAILED, TIMED_OUT, Fault

STEP = "configure"


@dataclass(frozen=True)
class ConfigurationChange:
    """A configuration order as a change of the state.

    `submitted` is the JSON that the operator sent, and `base` the version of the configuration that it was made from.
    Invariant: a state that contains the order already is returned unchanged, so that an order may be sent again.
    """

    member: str
    translator: Translator | None
    remembered_orders: int  # number of accepted orders that the state remembers at least, to recognize repeated ones
    submitted: Any
    base: int
    is_patch: bool

    @cached_property
    def order(self) -> ConfigurationOrder:
        """The identity of this order, by which it is recognized when it is sent again."""
        return ConfigurationOrder.of(self.submitted, self.base if self.is_patch else None)

    @cached_property
    def parsed_document(self) -> Result[OperatorConfiguration, list[str]] | None:
        """The configuration that a complete document describes, or the errors in it, which don't depend on the state
        that it is applied to; None for a patch."""
        return None if self.translator is None or self.is_patch else self.translator.terms(self.submitted)

    def __call__(self, state: State) -> Result[State, Fault]:
        """Returns the state with the order applied, or the reason why the order is refused."""
        current = state.configuration.get("version", 0)
        recollection = accepted_orders.recall(state.orders, self.order, current)
        if recollection is Recollection.ACCEPTED:
            return Ok(state)
        if self.translator is None:
            return self._refuse("this process reads no documents")
        if isinstance(self.parsed_document, Err):
            return self._refuse(*self.parsed_document.unwrap_err())
        if recollection is Recollection.FORGOTTEN and self.base < self.order.version:
            reason = f"version {self.order.version}: too long ago to tell whether it was taken"
            return Err(Fault(STEP, self.member, reason, TIMED_OUT))
        if self.base != current:
            reason = f"version {current} is current, this builds on {self.base}"
            return Err(Fault(STEP, self.member, reason, PRECONDITION_FAILED, str(current)))
        return self._apply(state, self.translator)

    def _apply(self, state: State, translator: Translator) -> Result[State, Fault]:
        document = translator.patched(state.source, self.submitted) if self.is_patch else Ok(self.submitted)
        if isinstance(document, Err):
            return self._refuse(*document.unwrap_err())
        source = document.unwrap()
        parsed = self.parsed_document or translator.terms(source)
        if isinstance(parsed, Err):
            return self._refuse(*parsed.unwrap_err())
        configuration = parsed.unwrap()
        if configuration["version"] <= self.base:
            return self._refuse(f"version: want more than {self.base}, got {configuration['version']}")
        orders = accepted_orders.remember(state.orders, self.order, self.remembered_orders)
        new_state = operator_changes.with_configuration(state, configuration, source, orders)
        errors = semantic_errors(new_state.configuration)
        return self._refuse(*errors) if errors else Ok(new_state)

    def _refuse(self, *errors: str) -> Result[State, Fault]:
        return Err(Fault(STEP, self.member, "\n".join(errors), BAD_REQUEST))
