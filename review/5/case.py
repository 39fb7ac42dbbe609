"""The operator adds routes by many small changes, and then the leading process of control is killed and starts again.

The rule: the configuration comes when it is read back, and is no older than the newest acknowledged version.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time

import deployment_2 as d

MACHINES = {"cores": 4, "stores": 4, "edges": 2}

HOST, SERVICE = "ficu95.example", "wuno96b"
FIRST_ROUTES, ROUTES, ROUTES_A_CHANGE = 5000, 9800, 400
BODY_BYTES = 4194304  # the largest body of a configuration, by the site file
RECOVER_S, CONTACT_S = 12, 3  # bounds of the pages
READ_S = 15 * CONTACT_S
LATEST_S = 42.0  # after the start, for the disruption, so that all of it ends in time
LARGE_BODY_S = 10.0  # for which the operator waits for an answer to a large body ("longer for large bodies")


def route(number: int) -> dict[str, object]:
    """Returns one of the routes: one for each compressor of a customer, with names as people give them."""
    customer = f"sydjyske-koele-og-trykluftanlaeg-i-vejen-afdeling-{number % 40:02d}"
    return d.plain_route(
        f"{customer}/kompressor-{number:05d}/alarmtavle-for-teknikere-paa-stedet",
        f"/{customer}/kompressor-{number:05d}/alarmtavle-for-teknikere-paa-stedet/",
        f"{customer}.{HOST}",
        SERVICE,
    )


def compact(document: object) -> bytes:
    """Returns JSON without spaces."""
    return json.dumps(document, separators=(",", ":")).encode()


async def leader_of(deployment: d.Deployment) -> d.Machine:
    """Returns the core machine whose own status page says that it leads."""
    for machine in deployment.of("core"):
        answer = await d.call(deployment.ctl(machine), "GET", "/v1/status")
        if answer.status == 200 and answer.json["control"]["leads"]:
            return machine
    raise d.CaseError("no core machine says that it leads")


async def newest_read(deployment: d.Deployment, answered: set[str]) -> int:
    """Reads the configuration at all core machines; returns the newest version that came, -1 if none came.

    Adds the addresses to `answered` that answered anything.
    """
    newest = -1
    for addr in deployment.ctl_addresses():
        answer = await d.call(addr, "GET", "/-/config", timeout=5.0)
        version = answer.json["version"] if answer.status == 200 else -1
        if answer.status:
            answered.add(addr)
        deployment.record.write(
            f"operator: reads the configuration at {addr}: {answer.status}, version {version} {answer.error}"
        )
        newest = max(newest, version)
    return newest


async def case(deployment: d.Deployment, trouble: bool) -> str:
    """Plays the case; returns what broke the rule."""
    record = deployment.record
    operator = d.Operator(deployment, LARGE_BODY_S)
    services = [d.plain_service(SERVICE)]
    first = compact(d.configuration(1, [route(i) for i in range(FIRST_ROUTES)], services))
    if (await operator.order("PUT", "/-/config", first, base=0, seconds=40)).status != 200:
        raise d.CaseError("the first configuration was not taken")
    version, count = 1, FIRST_ROUTES
    while count < ROUTES:
        added = [route(i) for i in range(count, min(ROUTES, count + ROUTES_A_CHANGE))]
        change = compact({"version": version + 1, "upsert": {"routes": added}})
        if (await operator.order("PATCH", "/-/config", change, base=version, seconds=40)).status != 200:
            raise d.CaseError(f"a change was not taken, at {count} routes")
        version, count = version + 1, count + len(added)
    size = len(compact(d.configuration(version, [route(i) for i in range(ROUTES)], services)))
    record.write(f"version {version} with {count} routes is acknowledged; the document has {size} bytes")
    if size > BODY_BYTES:
        raise d.CaseError("the document is larger than the platform's")
    await asyncio.sleep(CONTACT_S)
    if await newest_read(deployment, set()) != version:
        raise d.CaseError("the configuration did not come before the disruption")
    if time.monotonic() - record.began > LATEST_S:
        raise d.CaseError("the changes took too long")

    if trouble:
        deployment.signal(await leader_of(deployment), signal.SIGKILL)
    await asyncio.sleep(RECOVER_S + CONTACT_S)
    killed = [machine.name for machine in deployment.machines.values() if machine.starts > 1]
    record.write(
        f"all run: {all(machine.running for machine in deployment.machines.values())}; started again: {killed}"
    )
    deadline, answered = time.monotonic() + READ_S, set[str]()
    while time.monotonic() < deadline:
        if await newest_read(deployment, answered) >= version:
            return ""
        await asyncio.sleep(1)
    ends = sum(len(codes) for codes in deployment.own_ends.values())
    if answered != set(deployment.ctl_addresses()) or ends != int(trouble):
        raise d.CaseError(f"only {sorted(answered)} answered; processes that ended: {deployment.own_ends}")
    answer = await operator.order("POST", f"/-/evac/{d.ZONES[0]}", seconds=5)
    return (
        f"version {version} was acknowledged, and did not come in {READ_S} s of reading at all core machines, which "
        f"began {RECOVER_S + CONTACT_S} s after the kill of one process that started again at once; an evacuation was "
        f"answered {answer.status}"
    )
