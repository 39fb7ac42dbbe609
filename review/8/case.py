"""The operator sends a configuration in which the name of one route holds half a character; then a proper one.

The rule: while the core is settled, a proper order of the operator has its acknowledgement after the bound at the
latest. A process that ends by itself counts as running the whole time.
"""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import deployment_2 as d  # noqa: E402

HOST, LIVE, LOTS, SERVICE = "ficu95.example", "/lohu930/", "/pule252/", "huvo11a"
ACK_S = 4.0  # bound of the pages for an acknowledgement, with 3 ms more for each route
ROUTE_S = 0.003
BAD_ORDER_S = 5.0  # for which the bad configuration is sent again while it gets no clear answer
PROPER_ORDER_S = 60.0


async def case(deployment: d.Deployment, trouble: bool) -> str:
    """Plays the case; returns what broke the rule."""
    record = deployment.record
    operator = d.Operator(deployment)
    routes = [d.stream_route("r-live", LIVE, HOST, SERVICE), d.lot_route("r-lots", LOTS, HOST, SERVICE)]
    first = json.dumps(d.configuration(1, routes, [d.service(SERVICE)])).encode()
    if (await operator.order("PUT", "/-/config", first, base=0, seconds=40)).status != 200:
        raise d.CaseError("the first configuration was not taken")
    await deployment.wait_ready()
    if deployment.own_ends:
        raise d.CaseError(f"processes ended before the disruption: {deployment.own_ends}")

    # Of the character U+1F69A in the name of a new route only the first of the two halves is there.
    added = d.stream_route("van-\ud83d" if trouble else "van-1f69a", "/van/", HOST, SERVICE)
    body = json.dumps(d.configuration(2, [*routes, added], [d.service(SERVICE)])).encode()
    record.write(f"the configuration that is sent: {body.decode()}")
    answer = await operator.order("PUT", "/-/config", body, base=1, seconds=BAD_ORDER_S)
    version = 2 if answer.status == 200 else 1

    proper = d.configuration(3, [*routes, d.stream_route("r-new", "/new/", HOST, SERVICE)], [d.service(SERVICE)])
    sent_at = time.monotonic()
    proper_answer = await operator.order(
        "PUT", "/-/config", json.dumps(proper).encode(), base=version, seconds=PROPER_ORDER_S
    )
    after = time.monotonic() - sent_at
    deployment.note_ends()
    core = {machine.name for machine in deployment.of("core")}
    ends = {name: codes for name, codes in deployment.own_ends.items() if name in core}
    record.write(f"the proper one: {proper_answer.status} after {after:.1f} s; core processes that ended: {ends}")
    if proper_answer.status == 412:
        raise d.CaseError("the configuration without a clear answer is in force")
    if proper_answer.status != 200 or after > ACK_S + ROUTE_S * len(proper["routes"]):
        return (
            f"a proper configuration was answered {proper_answer.status} after {after:.1f} s, though nothing disturbed "
            f"the core; before that a configuration with half a character in a name was answered {answer.status}, and "
            f"processes of the core ended by themselves with these codes: {ends}"
        )
    return ""


if __name__ == "__main__":
    sys.exit(d.main(case, FOLDER, cores=4, stores=4, edges=2))
