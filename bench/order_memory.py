"""What the memory of accepted orders costs: `python -m bench.order_memory`.

Bytes of the memory and of the state file, and processor time of a change, by orders remembered and routes.
"""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from postpass.configuration import accepted_orders
from postpass.configuration.accepted_orders import ConfigurationOrder
from postpass.configuration.configuration import Configuration
from postpass.configuration.settings import Bounds
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State

REPEATS = 50
ROUTES = (60, 600)
ORDERS = (0, 16, 1_000, accepted_orders.limit_of(Bounds()), 3_000)


@dataclass(frozen=True)
class Cost:
    """One row of the table; times in milliseconds."""

    routes: int
    orders: int
    memory_bytes: int
    file_bytes: int
    encode: float  # the whole state, as it is written and sent at each change
    recall: float
    remember: float


def document(routes: int, version: int) -> dict[str, Any]:
    """A configuration of so many routes, in the words of the product."""
    route = {
        "host": "a.example", "way": "idempotent", "timeout": 2.5, "target": 0.2, "priority": 1, "pool": "app", "tries": 2,
    }  # fmt: skip
    return {
        "version": version,
        "routes": [route | {"name": f"r{n}", "prefix": f"/p{n}/"} for n in range(routes)],
        "pools": [{"name": "app", "health": "/up", "connections": 100, "cold_rate": 0.0}],
    }


def state_of(routes: int, orders: int) -> State:
    """A replicated state of so many routes that remembers so many orders."""
    content = {"version": 9_999, "machines": {}, "pools": {}, "routes": document(routes, 1)["routes"]}
    entries = [ConfigurationOrder.of({"version": 1_000 + n}).entry for n in range(orders)]
    return State(1, cast(Configuration, content), source=document(routes, 9_999), orders=entries)


def milliseconds(call: Callable[[], Any]) -> float:
    """The median processor time of a call."""
    times = []
    for _ in range(REPEATS):
        began = time.process_time()
        call()
        times.append(time.process_time() - began)
    return statistics.median(times) * 1000


def cost_of(routes: int, orders: int) -> Cost:
    """One row of the table."""
    state = state_of(routes, orders)
    held = ReplicatedState(1, state=state)
    order = ConfigurationOrder.of(document(routes, 10_000))
    limit = accepted_orders.limit_of(Bounds())
    return Cost(
        routes,
        orders,
        len(json.dumps(state.orders, separators=(",", ":"))),
        len(held.dump()),
        milliseconds(held.dump),
        milliseconds(lambda: accepted_orders.recall(state.orders, order, 9_999)),
        milliseconds(lambda: accepted_orders.remember(state.orders, order, limit)),
    )


def main() -> None:
    """Prints the table."""
    print("| routes | orders | memory, bytes | state file, bytes | encode, ms | recall, ms | remember, ms |")
    print("|---|---|---|---|---|---|---|")
    for routes in ROUTES:
        for orders in ORDERS:
            c = cost_of(routes, orders)
            print(
                f"| {c.routes} | {c.orders} | {c.memory_bytes} | {c.file_bytes} | {c.encode:.2f} | {c.recall:.3f} | {c.remember:.3f} |"
            )


if __name__ == "__main__":
    main()
