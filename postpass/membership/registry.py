"""The records of an announced fleet: what machines, workers and operators say, and the state that control makes of it.

The rules that lead from one state to the next stand in `machine_registry`, `worker_registry` and `operator_changes`.
They are pure functions; one that changes nothing returns the very state it was given, so that callers can tell by
identity whether there is anything to commit.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, NotRequired, TypedDict, cast

from result import Result

from postpass.configuration import accepted_orders
from postpass.configuration.configuration import Configuration, Limits, Pool, Route, Server, Tenant


class MachineAnnouncement(TypedDict):
    """What a machine says of itself when it joins; the fields are keys of JSON. `born` grows with every start of its
    process."""

    name: str
    area: str
    peer: str
    http: str
    duties: list[Any]
    born: int
    disk: str


class WorkerAnnouncement(TypedDict):
    """What a worker says of itself; the fields are keys of JSON.

    Invariant: one id is one life of a worker; `leave`, once said, is never taken back.
    """

    pool: str
    url: str
    area: str
    slots: int
    leave: NotRequired[bool]
    cold: NotRequired[bool]


class OperatorConfiguration(TypedDict):
    """The operator's part of a configuration; its pools have no servers. The fields are keys of JSON.

    `tenants` is there if the operator's document has any, be it an empty list.
    """

    version: int
    routes: dict[str, Route]
    pools: dict[str, Pool]
    limits: Limits
    tenants: NotRequired[dict[str, Tenant]]


@dataclass(frozen=True)
class Translator:
    """How the operator's own document is read: `terms` gives the operator's part of a configuration, `patched` the
    document with a change laid on it; in error both give every flaw as one line."""

    terms: Callable[[Any], Result[OperatorConfiguration, list[str]]]
    patched: Callable[[Any, Any], Result[Any, list[str]]]


@dataclass(frozen=True)
class State:
    """The replicated state of control, written by the primary.

    Invariants: `revision` grows by one with every write and never falls; `losses` counts how often acknowledged state
    may have been lost.

    Of announced fleets only: `source` is the operator's document as sent, or as changed since; `orders` is the memory
    of accepted orders (`accepted_orders`); `unassigned` holds workers by the pools that they name and that the operator
    has not configured; `ended` are ids of workers that said they end; `retired` are emptied stores, by name, with the
    identity of the disk that was emptied.

    The keys on disk differ for some fields: see `STATE_KEYS` in `postpass.control.state`.
    """

    revision: int = 0
    manifest: Configuration | None = None
    losses: int = 0
    source: Any = None
    orders: list[str] = field(default_factory=list)
    unassigned: dict[str, dict[str, Server]] = field(default_factory=dict)
    ended: list[str] = field(default_factory=list)
    retired: dict[str, str] = field(default_factory=dict)

    @property
    def configuration(self) -> Configuration:
        """The configuration of a fleet that has been founded."""
        assert self.manifest is not None
        return self.manifest


def with_parts(state: State, **parts: Any) -> State:
    """The state with some parts of its configuration, given by their keys, put in place of the present ones."""
    return replace(state, manifest=cast(Configuration, {**state.configuration, **parts}))


def recovered(revision: int, configuration: Configuration, losses: int) -> State:
    """The state after a loss, from a configuration that daemons held: no order up to its version is known any more."""
    orders = accepted_orders.forgotten_up_to(configuration.get("version", 0))
    return State(revision, configuration, losses, orders=orders)
