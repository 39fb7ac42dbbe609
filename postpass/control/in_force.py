"""Waits until every machine that has to run a version of the configuration does so.

A version is in force once each machine that might still send requests to workers by an older one runs it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from result import Err

from postpass.configuration.configuration import Configuration, with_duty
from postpass.configuration.settings import Bounds
from postpass.rpc.codec import PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import gather_until, now

RELAY_COUNT = 3  # other machines through which a machine is asked, since the direct link to it may be cut
DIRECT_HEAD_START = 1 / 4  # share of an attempt's time in which only the direct link is tried, before the relays
SENDER_DUTIES = {"edge", "sched"}  # duties of the machines that send requests to workers: edges and schedulers


@dataclass(frozen=True)
class ContactTimes:
    """When each machine was last heard, as far as the primary knows. All times are in seconds of the primary's clock.

    `machines` holds when any control member last heard each machine, `member_reported_at` when each control member last
    reported whom it had heard, and `listening_since` when this primary began to listen.
    """

    machines: Mapping[str, float]
    member_reported_at: Mapping[str, float]
    listening_since: float

    def heard_at(self, name: str) -> float:
        """Returns when a machine was last heard, but no time before this primary began to listen."""
        return max(self.machines.get(name, self.listening_since), self.listening_since)

    def reports_complete_until(self, members: list[str], clock: float) -> float:
        """Returns the time up to which the primary knows everything that the given control members heard.

        A member that is cut off may have heard more machines after its last report.
        """
        return min(
            [clock, *(max(self.member_reported_at.get(m, self.listening_since), self.listening_since) for m in members)]
        )


def awaited_senders(
    configuration: Configuration, me: str, contact_times: ContactTimes, clock: float, window: float, patience: float
) -> dict[str, str]:
    """Returns the machines that send requests to workers and may still be connected to a control member: name -> address.

    A machine is left out if no control member heard it for `window` seconds. This can't be known for a time that a
    member's report doesn't cover yet, so the window ends at the time up to which all reports are complete. A machine
    that was not heard for `patience` seconds is left out in any case, since a control member may be gone for good and
    never report again.
    """
    other_members = [n for n in with_duty(configuration, "control") if n != me]
    heard_after = max(contact_times.reports_complete_until(other_members, clock) - window, clock - patience)
    return {
        name: machine["peer"]
        for name, machine in configuration["machines"].items()
        if name != me
        and not machine.get("gone")
        and SENDER_DUTIES & set(machine["duties"])
        and contact_times.heard_at(name) > heard_after
    }


@dataclass(eq=False)
class VersionWait:
    """Asks machines whether they run a version until each runs it or is known to be down, or the deadline has passed.

    A machine whose address refuses the connection runs no process. A process that starts there later serves only by a
    fresh configuration view, which is no older than this version, since this version was accepted before.

    Invariant: `pending` holds the machines that are neither known to run the version nor known to be down.
    """

    peer_links: PeerLinks
    rng: random.Random
    bounds: Bounds
    version: int
    source_address: str  # of a machine from which the version can be fetched
    deadline: float  # in seconds of `now()`
    addresses: Mapping[str, str]  # machine's name -> address
    pending: dict[str, str] = field(default_factory=dict)

    async def run(self) -> list[str]:
        """Asks all machines at the same time; returns the sorted names of those still pending at the deadline."""
        self.pending = dict(self.addresses)
        await asyncio.gather(*(self._ask_until_settled(name) for name in self.addresses))
        return sorted(self.pending)

    async def _ask_until_settled(self, name: str) -> None:
        while name in self.pending and (remaining := self.deadline - now()) > 0:
            timeout = min(remaining, self.bounds.feed_interval)
            requests = {
                "direct": self._request_directly(name, timeout),
                "relayed": self._request_through_relays(name, timeout),
            }
            responses = await gather_until(requests, lambda answers: any(answers.values()), 0.0)
            if any(responses.values()):
                self.pending.pop(name, None)
                return
            await asyncio.sleep(max(0.0, min(self.deadline - now(), self.bounds.feed_interval / 8)))

    async def _request_directly(self, name: str, timeout: float) -> bool:
        body = {"want": self.version, "at": self.source_address, "wait": timeout * 0.9}
        return self._is_conclusive(await self.peer_links.request(self.addresses[name], "ping", body, timeout))

    async def _request_through_relays(self, name: str, timeout: float) -> bool:
        """Asks other machines to ask `name`, since the link from here may be cut while theirs works.

        Returns whether one of them found that `name` runs the version or is down.
        """
        await asyncio.sleep(timeout * DIRECT_HEAD_START)
        body = {"reach": self.addresses[name], "want": self.version, "at": self.source_address}
        relays = self._relays(name)
        requests = {
            r: self.peer_links.request(self.addresses[r], "ping", body, timeout * (1 - DIRECT_HEAD_START))
            for r in relays
        }
        responses = await gather_until(
            requests, lambda answers: any(map(self._is_conclusive_relayed, answers.values())), 0.0
        )
        return any(map(self._is_conclusive_relayed, responses.values()))

    def _relays(self, name: str) -> list[str]:
        """Returns randomly chosen machines through which to ask `name`.

        Only machines that are no longer pending are chosen if there are enough of them, since the version can be
        fetched from those that run it.
        """
        others = sorted(n for n in self.addresses if n != name)
        running = [n for n in others if n not in self.pending]
        candidates = running if len(running) >= RELAY_COUNT else others
        return self.rng.sample(candidates, min(RELAY_COUNT, len(candidates)))

    def _is_conclusive(self, response: PeerResponse) -> bool:
        """Returns whether a response shows that the machine runs the version, or that no process runs there."""
        if isinstance(response, Err):
            return response.unwrap_err().hint == "refused"
        return int(response.unwrap().get("edition", 0)) >= self.version

    def _is_conclusive_relayed(self, response: PeerResponse) -> bool:
        """Returns whether a relay's response shows the same of the machine that the relay was to ask.

        If the relay's own address refuses the connection, that says nothing about the other machine.
        """
        return response.is_ok() and (bool(response.unwrap().get("refused")) or self._is_conclusive(response))
