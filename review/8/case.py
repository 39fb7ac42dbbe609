"""The operator adds a route whose host differs from that of another route by its port alone.

The rule: no service runs a request that no configuration allows to go to it; and if these two hosts count as the same,
a configuration with two routes of the same host and prefix is refused.
"""

from __future__ import annotations

import asyncio
import json

import deployment_2 as d

MACHINES = {"cores": 4, "stores": 4, "edges": 2}

HOST, PREFIX, SERVICE, OTHER = "ficu95.example", "/lohu930/", "huvo11a", "wuno96b"
APPLY_S = 2  # bound of the pages: so long after its acknowledgement a configuration is in force
REQUESTS = 20


async def case(deployment: d.Deployment, trouble: bool) -> str:
    """Plays the case; returns what broke the rule."""
    record = deployment.record
    operator = d.Operator(deployment)
    services = [d.plain_service(SERVICE), d.plain_service(OTHER)]
    routes = [d.plain_route("r-first", PREFIX, HOST, SERVICE)]
    first = json.dumps(d.configuration(1, routes, services)).encode()
    if (await operator.order("PUT", "/-/config", first, base=0, seconds=40)).status != 200:
        raise d.CaseError("the first configuration was not taken")
    await deployment.wait_ready()
    workers = {}
    for i, name in enumerate((SERVICE, OTHER)):
        addr = f"{deployment.network}.8.{i + 1}:{deployment.port + 23}"
        workers[name] = d.Worker(record, f"i-{name}", name, addr, d.ZONES[i], deployment.ctl_addresses())
        await workers[name].start()

    host = f"{HOST}:8443" if trouble else f"second.{HOST}"
    second = d.configuration(2, [*routes, d.plain_route("r-second", PREFIX, host, OTHER)], services)
    answer = await operator.order("PUT", "/-/config", json.dumps(second).encode(), base=1)
    if answer.status in (400, 409, 413, 422):
        return ""  # the two hosts count as the same
    if answer.status != 200:
        raise d.CaseError("the second configuration was not taken")
    await asyncio.sleep(APPLY_S + 1)
    statuses = []
    for number in range(REQUESTS):
        headers = {
            "Host": host if number % 2 else HOST, "Postpass-Attempt-Id": f"{'second' if number % 2 else 'first'}{number}",
            "Postpass-Deadline-Ms": "1500",
        }  # fmt: skip
        front = deployment.fronts()[number // 2 % len(deployment.fronts())]
        got = await d.call(front, "POST", f"{PREFIX}{number}", headers, b"?", timeout=3.0)
        statuses.append(got.status)
        record.write(
            f"client: {headers['Postpass-Attempt-Id']} to {headers['Host']} at {front}: {got.status} {got.error}"
        )
    wrong = [attempt for _, attempt in workers[SERVICE].runs if attempt.startswith("second")]
    wrong += [attempt for _, attempt in workers[OTHER].runs if attempt.startswith("first")]
    if not any(status == 200 for status in statuses):
        raise d.CaseError("no request was served")
    if wrong:
        return (
            f"{len(wrong)} of {REQUESTS} requests ran at the service of the other host, and {statuses.count(200)} were "
            f"answered 200: {wrong}"
        )
    return ""
