"""The operator adds a route for a plain application at the root of the host that has the lots.

The rule: a lot that was accepted can be read when the day ends, and its results come back.
"""

from __future__ import annotations

import asyncio
import json
import time

import deployment_2 as d

MACHINES = {"cores": 4, "stores": 4, "edges": 2}

HOST, LIVE, LOTS, SERVICE, APP = "ficu95.example", "/lohu930/", "/pule252/", "huvo11a", "wuno96b"
APPLY_S = 2  # bound of the pages: so long after its acknowledgement a configuration is in force
FINISH_S = 10  # bound of the pages
ITEMS = [f"a{i:03d}" for i in range(8)]
SECOND_ITEMS = [f"b{i:03d}" for i in range(8)]


async def read_at_the_end(deployment: d.Deployment, lot: str, count: int) -> str:
    """Reads a lot from the start at all edges, again after each failure; returns what came instead of its results."""
    deadline, seen, statuses = time.monotonic() + FINISH_S, "", dict[str, int]()
    while time.monotonic() < deadline:
        for front in deployment.fronts():
            answer = await d.call(front, "GET", f"/-/lots/{lot}?startAfter=0", {"Host": HOST})
            seen = f"{answer.status} {answer.body[:60]!r} {answer.error}"
            statuses[front] = answer.status
            deployment.record.write(f"client: reads lot {lot} at {front}: {seen}")
            if answer.status == 200 and answer.body.startswith(b"{") and len(answer.json["results"]) == count:
                return ""
        await asyncio.sleep(0.5)
    # No answer, or a 503, says that an edge can't tell; that is another matter than an answer of the application.
    if any(status in (0, 503) for status in statuses.values()) or deployment.own_ends:
        raise d.CaseError(f"lot {lot}: {statuses}, {deployment.own_ends}")
    return seen


async def case(deployment: d.Deployment, trouble: bool) -> str:
    """Plays the case; returns what broke the rule."""
    record = deployment.record
    operator = d.Operator(deployment)
    routes = [d.stream_route("r-live", LIVE, HOST, SERVICE), d.lot_route("r-lots", LOTS, HOST, SERVICE)]
    services = [d.service(SERVICE), d.plain_service(APP)]
    first = json.dumps(d.configuration(1, routes, services)).encode()
    if (await operator.order("PUT", "/-/config", first, base=0, seconds=40)).status != 200:
        raise d.CaseError("the first configuration was not taken")
    await deployment.wait_ready()
    for i, name in enumerate((SERVICE, APP)):
        addr = f"{deployment.network}.8.{i + 1}:{deployment.port + 23}"
        worker = d.Worker(record, f"i-{name}", name, addr, d.ZONES[i], deployment.ctl_addresses())
        await worker.start()
    if not await d.hand_in(deployment, "10t0001", ITEMS, LOTS, HOST, 20):
        raise d.CaseError("no lot was taken before the disruption")
    if len(await d.await_results(deployment, "10t0001", HOST, len(ITEMS), 30)) < len(ITEMS):
        raise d.CaseError("the lot before the disruption was not done")

    # The application gets a route; at the root of the host, or else below a path of its own.
    app = d.plain_route("r-app", "/" if trouble else "/app/", HOST, APP)
    second = json.dumps(d.configuration(2, [*routes, app], services)).encode()
    if (await operator.order("PUT", "/-/config", second, base=1)).status != 200:
        raise d.CaseError("the second configuration was not taken")
    await asyncio.sleep(APPLY_S + 1)
    if not await d.hand_in(deployment, "10t0002", SECOND_ITEMS, LOTS, HOST, 20):
        raise d.CaseError("no lot was taken after the disruption")
    await asyncio.sleep(FINISH_S)
    seen = {lot: await read_at_the_end(deployment, lot, 8) for lot in ("10t0001", "10t0002")}
    unread = {lot: answer for lot, answer in seen.items() if answer}
    if unread:
        return (
            f"in {FINISH_S} s of reading at all edges these accepted lots were never read; what came instead: {unread}"
        )
    return ""
