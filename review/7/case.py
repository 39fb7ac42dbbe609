"""The operator sends a configuration in which the host of one route holds half a character.

The rule: a configuration that can't be read in full is refused with a 4xx; one that is acknowledged comes back, as it
was sent, when it is read at the end.
"""

from __future__ import annotations

import asyncio
import json
import time

import deployment_2 as d

MACHINES = {"cores": 4, "stores": 4, "edges": 2}

HOST, LIVE, LOTS, SERVICE = "ficu95.example", "/lohu930/", "/pule252/", "huvo11a"
CONTACT_S = 3  # bound of the pages: the operator reads the configuration for so long at least
READ_S = 4 * CONTACT_S
ITEMS = [f"a{i:03d}" for i in range(8)]


async def live_request(deployment: d.Deployment, number: int) -> int:
    """Sends a live request on a route that both configurations have, and returns the status of its answer."""
    headers = {
        "Host": HOST, "Postpass-Attempt-Id": f"live{number:04d}", "Postpass-Model": "m", "Postpass-Tokens": "540,40",
        "Postpass-Prompt-Prefix": "9c2e41:300,5d07b8:240", "Postpass-Deadline-Ms": "3000",
    }  # fmt: skip
    front = deployment.fronts()[number % len(deployment.fronts())]
    answer = await d.call(front, "POST", f"{LIVE}{number}", headers, b"?", timeout=4.0)
    deployment.record.write(f"client: live request {number} at {front}: {answer.status} {answer.error}")
    return answer.status


async def read_back(deployment: d.Deployment, expected: list[dict[str, object]]) -> bool:
    """Reads the configuration at all core machines again and again; returns whether one of those expected came."""
    deadline, answered = time.monotonic() + READ_S, set[str]()
    while time.monotonic() < deadline:
        for addr in deployment.ctl_addresses():
            answer = await d.call(addr, "GET", "/-/config")
            deployment.record.write(f"operator: reads the configuration at {addr}: {answer.status} {answer.error}")
            if answer.status == 200 and answer.json in expected:
                return True
            if answer.status not in (0, 503):
                answered.add(addr)
        await asyncio.sleep(0.5)
    # A machine that answers nothing, or a 503, says nothing of the rule.
    if answered != set(deployment.ctl_addresses()) or deployment.own_ends:
        raise d.CaseError(f"only {sorted(answered)} answered; processes that ended: {deployment.own_ends}")
    return False


async def case(deployment: d.Deployment, trouble: bool) -> str:
    """Plays the case; returns what broke the rule."""
    record = deployment.record
    operator = d.Operator(deployment)
    routes = [d.stream_route("r-live", LIVE, HOST, SERVICE), d.lot_route("r-lots", LOTS, HOST, SERVICE)]
    first = d.configuration(1, routes, [d.service(SERVICE)])
    if (await operator.order("PUT", "/-/config", json.dumps(first).encode(), base=0, seconds=40)).status != 200:
        raise d.CaseError("the first configuration was not taken")
    await deployment.wait_ready()
    addr = f"{deployment.network}.8.1:{deployment.port + 23}"
    worker = d.Worker(record, "i-first", SERVICE, addr, d.ZONES[0], deployment.ctl_addresses())
    await worker.start()
    if not await d.hand_in(deployment, "10t0001", ITEMS, LOTS, HOST, 20):
        raise d.CaseError("no lot was taken before the disruption")
    if len(await d.await_results(deployment, "10t0001", HOST, len(ITEMS), 30)) < len(ITEMS):
        raise d.CaseError("the lot before the disruption was not done")

    # A route is added. Of the character U+1F69A in the name of its host only the first of the two halves is there.
    host = "van-\ud83d.example" if trouble else "van-1f69a.example"
    second = d.configuration(2, [*routes, d.stream_route("r-new", LIVE, host, SERVICE)], [d.service(SERVICE)])
    body = json.dumps(second).encode()
    record.write(f"the configuration that is sent: {body.decode()}")
    answer = await operator.order("PUT", "/-/config", body, base=1)
    await asyncio.sleep(CONTACT_S)
    statuses = [await live_request(deployment, number) for number in range(8)]
    lot_status, results = await d.results_of(deployment, "10t0001", HOST)
    record.write(f"live requests: {statuses}; the lot that was done: {lot_status}, {len(results)} results")
    refused = 400 <= answer.status < 500
    expected = [second] if answer.status == 200 else [first] if refused else [first, second]
    if await read_back(deployment, expected):
        return ""
    return (
        f"the configuration was answered {answer.status}, and in {READ_S} s of reading at all core machines it never "
        f"came; live requests on the other route were answered {statuses}, and the lot that was done {lot_status}"
    )
