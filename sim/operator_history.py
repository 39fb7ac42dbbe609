"""The operators' part of a simulated day as a history for the linearizability checker."""

from __future__ import annotations

from typing import Any

from sim.linearizability import Attempt, Operation, Order, Outcome, Read
from sim.operators import canonical, content_digest

FOREVER = float("inf")
UNCLEAR = (408, 429)


def outcome_of(status: int) -> Outcome:
    """What an answer says of an order; status 0 stands for no answer."""
    if 200 <= status < 300:
        return Outcome.TAKEN
    if 400 <= status < 500 and status not in UNCLEAR:
        return Outcome.REFUSED
    return Outcome.UNKNOWN


def order_of(change: dict[str, Any]) -> Order:
    content = content_digest(change["config"]) if change["config"] else ""
    return Order(change["base"], change["version"], change["request"], content, change["valid"])


def attempt_of(order: Order, began: float, ended: float, status: int) -> Attempt:
    outcome = outcome_of(status)
    return Attempt(order, began, FOREVER if outcome is Outcome.UNKNOWN else ended, outcome)


def read_of(event: dict[str, Any]) -> Read | None:
    """A read that had a clear answer."""
    if event["status"] == 404:
        return Read(0, "", event["began"], event["t"])
    if event["status"] != 200 or event["config"] is None:
        return None
    config = canonical(event["config"])
    return Read(config.get("version", 0), content_digest(config), event["began"], event["t"])


def history_of(events: list[dict[str, Any]]) -> list[Operation]:
    """Every attempt of every order, and every read. A day without recorded attempts has no history."""
    orders: dict[int, Order] = {}
    attempts: list[Operation] = []
    reads: list[Operation] = []
    for event in events:
        if event["ev"] == "change" and "request" in event:
            orders[event["change"]] = order_of(event)
        elif event["ev"] == "attempt":
            order = orders[event["change"]]
            attempts.append(attempt_of(order, event["began"], event["t"], event["status"]))
        elif event["ev"] == "read_back" and (read := read_of(event)):
            reads.append(read)
    return [*attempts, *reads] if attempts else []
