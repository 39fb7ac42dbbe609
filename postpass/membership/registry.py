"""The records of an announced fleet: the announcements of machines, workers and operators, and control's state of them.

The functions that lead from one state to the next are in `machine_registry`, `worker_registry` and `operator_changes`. They
are pure; a function that changes nothing returns the same object that it was given, so that a comparison by identity shows
whether there is anything to commit.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, NotRequired, TypedDict, cast

from result import Result

from postpass.configuration import accepted_orders
from postpass.configuration.configuration import Configuration, Limits, Pool, Route, Server, Tenant


class MachineAnnouncement(TypedDict):
    """A machine's description of itself, which it sends when it joins; the fields are keys of JSON.

    `born` grows with every start of its process.
    """

    name: str
    area: str
    peer: str
    http: str
    duties: list[Any]
    born: int
    disk: str


class WorkerAnnouncement(TypedDict):
    """A worker's description of itself; the fields are keys of JSON.

    Invariant: a worker has a new id with each start; `leave`, once announced, is never revoked.
    """

    pool: str
    url: str
    area: str
    slots: int
    leave: NotRequired[bool]
    cold: NotRequired[bool]


class OperatorConfiguration(TypedDict):
    """The operator's part of a configuration; its pools have no servers. The fields are keys of JSON.

    `tenants` is present if the operator's document has that key, even with an empty list.
    """

    version: int
    routes: dict[str, Route]
    pools: dict[str, Pool]
    limits: Limits
    tenants: NotRequired[dict[str, Tenant]]


@dataclass(frozen=True)
class Translator:
    """The functions that read the operator's own document.

    `terms` converts a document to the operator's part of a configuration; `patched` returns the document with a patch applied.
    In case of an error, both return one line for each thing that is wrong.
    """

    terms: Callable[[Any], Result[OperatorConfiguration, list[str]]]
    patched: Callable[[Any, Any], Result[Any, list[str]]]


@dataclass(frozen=True)
class State:
    """The replicated state of control, written by the primary.

    Invariants: `revision` grows by one with every write and never decreases; `losses` counts how often acknowledged state
    may have been lost. `manifest` is the configuration; None before the fleet is founded.

    In announced fleets only: `source` is the operator's document as sent, with all patches since; `orders` is the memory of
    accepted orders (`accepted_orders`); `unassigned` contains workers by the names of their pools, as long as the operator
    has not configured these; `ended` are ids of workers that have announced their end; `retired` are emptied stores, by name,
    with the identity of the disk that was emptied.

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
        """The configuration; the fleet must have been founded."""
        assert self.manifest is not None
        return self.manifest


def with_parts(state: State, **parts: Any) -> State:
    """Returns the state with some parts of its configuration, given by their keys, replaced."""
    return replace(state, manifest=cast(Configuration, {**state.configuration, **parts}))


def state_after_loss(revision: int, configuration: Configuration, losses: int) -> State:
    """Returns the state to go on with after a loss, from a configuration that daemons had.

    The orders up to the configuration's version are unknown after the loss, and are marked as forgotten.
    """
    orders = accepted_orders.forgotten_up_to(configuration.get("version", 0))
    return State(revision, configuration, losses, orders=orders)
