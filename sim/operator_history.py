"""Converts the operators' events of a simulated day to a history for the linearizability checker."""

from __future__ import annotations

from typing import Any

from sim.linearizability import Attempt, Operation, Order, Outcome, Read
from sim.operators import canonical_form, content_digest

FOREVER = float("inf")
UNCLEAR = (408, 429)  # statuses after which an order may or may not have taken effect


def outcome_of(status: int) -> Outcome:
    """Returns the outcome of an order by the status of its answer; status 0 stands for no answer."""
    if 200 <= status < 300:
        return Outcome.TAKEN
    if 400 <= status < 500 and status not in UNCLEAR:
        return Outcome.REFUSED
    return Outcome.UNKNOWN


def order_of(change: dict[str, Any]) -> Order:
    """Returns the order that a `change` event records."""
    content = content_digest(change["config"]) if change["config"] else ""
    return Order(change["base"], change["version"], change["request"], content, change["valid"])


def attempt_of(order: Order, began: float, ended: float, status: int) -> Attempt:
    """Returns an attempt with the outcome of its status; one of unknown outcome has no end."""
    outcome = outcome_of(status)
    return Attempt(order, began, FOREVER if outcome is Outcome.UNKNOWN else ended, outcome)


def read_of(event: dict[str, Any]) -> Read | None:
    """Returns the read that a `read_back` event records, or None if it had no clear answer."""
    if event["status"] == 404:
        return Read(0, "", event["began"], event["t"])
    if event["status"] != 200 or event["config"] is None:
        return None
    config = canonical_form(event["config"])
    return Read(config.get("version", 0), content_digest(config), event["began"], event["t"])


def history_of(events: list[dict[str, Any]]) -> list[Operation]:
    """Returns every attempt of every order, and every read; nothing for a day without recorded attempts."""
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
