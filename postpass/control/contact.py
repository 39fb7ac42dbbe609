"""Contact: whether a member heard its primary, or as the primary a majority, within the lease; what it does if not.

A member whose last contact is older than the lease can't tell what is in force now. It says so at once, hands out no feed
and refuses no order for a reason of its own. The lease decides only whom a client is sent to: no acknowledgement and no
confirmed read rests on it.
"""

from __future__ import annotations

from collections.abc import Mapping

from result import Err

from postpass.control.epochs import Voters
from postpass.control.member import INFINITY, ControlMember
from postpass.feed.messages import Stale
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import gather_until, now
from postpass.runtime.errors import REJECTED, Fault

RENEWAL = 2  # times the lease, for which a primary that takes another replica set still counts as one
RELAYS = 3  # other members that a worker's heartbeat is sent to from one without contact


def last_majority(voters: Voters, answered: Mapping[str, float]) -> float:
    """The latest time since which most voters have answered; -INFINITY if there is none."""
    newest_first = sorted((answered.get(name, -INFINITY) for name in voters), reverse=True)
    return newest_first[len(voters) // 2] if newest_first else -INFINITY


class Contact(ControlMember):
    """Tells whether this member is in touch, and answers for one that isn't.

    Owns no state: reads `leader_heard` and `voter_heard`, which `Replica` changes, and `epoch`. Decides between three
    cases: in touch, which serves the feed and takes requests; out of touch, which sends clients to others; and a primary
    that takes another replica set, which counts as one for twice the lease.
    """

    def last_contact(self) -> float:
        """When this member last heard its primary or, as the primary, most voters; -INFINITY if it never did."""
        answered = self.voter_heard | ({self.settings.name: now()} if self.epoch else {})
        return max(self.leader_heard, last_majority(self.replicated_state.replica_set.voters, answered))

    def in_touch(self) -> bool:
        """Is the last contact recent enough to hand out what this member knows?"""
        return now() - self.last_contact() <= self.settings.bounds.contact

    def lost_touch(self) -> bool:
        """Is this one neither the primary nor in touch with it? One that started just now has the lease's time to hear it;
        one that knows no fleet has nobody to be in touch with."""
        if self.epoch or self.known() is None or self.takes_another_epoch():
            return False
        return now() - max(self.last_contact(), self.started) > self.settings.bounds.contact

    def takes_another_epoch(self) -> bool:
        """Is this the primary that takes another backup or voter? For a moment it leads no epoch then. One that was cut off
        tries elections too, but has long lost most voters."""
        renewing = self.leader == self.settings.name and self.lock.locked()
        return renewing and now() - self.last_contact() <= RENEWAL * self.settings.bounds.contact

    def other_members(self) -> list[str]:
        """The addresses of the other control members."""
        return [addr for n in self.members() if n != self.settings.name and (addr := self.addr(n))]

    def stale(self) -> Stale:
        """The answer of a member that is out of touch, with the others to ask instead."""
        return Stale(self.configuration_view.revision, tuple(self.other_members()))

    def out_of_touch(self, step: str) -> Fault:
        """The error of a member that is out of touch, with the others to ask instead."""
        others = ", ".join(self.other_members()) or "no other is known"
        return Fault(step, self.settings.name, f"out of touch with the primary; ask another: {others}", REJECTED)

    async def forward_without_contact(self, verb: str, body: Body) -> PeerResponse:
        """A worker's heartbeat may reach the primary through another member; for anything else the client is sent there."""
        if verb != "beat" or body.get("relayed"):
            return Err(self.out_of_touch(verb))
        others = self.other_members()
        relays = self.environment.chance.sample(others, min(RELAYS, len(others)))
        limit = self.settings.bounds.leave / 4
        asks = {addr: self.peer_links.request(addr, verb, body | {"relayed": 1}, limit) for addr in relays}
        heard = await gather_until(asks, lambda got: any(g.is_ok() for g in got.values()), 0.0)
        return next((got for got in heard.values() if got.is_ok()), Err(self.out_of_touch(verb)))
