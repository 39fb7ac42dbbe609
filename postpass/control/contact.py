"""Contact: whether a member has heard its primary, or as the primary a majority of the voters, within the lease.

A member whose last contact is older than the lease doesn't know what is in force now. It says so at once, serves no
feed, and refuses no order on the grounds of its own state. The lease decides only which member a client is referred to;
acknowledgements and confirmed reads never depend on it.
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

RENEWAL_LEASES = 2  # a primary that changes its replica set still counts as the primary for so many times the lease
RELAYS = 3  # number of other members to which a member without contact forwards a worker's heartbeat


def last_majority(voters: Voters, answered: Mapping[str, float]) -> float:
    """Returns the latest time since which more than half of the voters have answered; -INFINITY if there is none."""
    newest_first = sorted((answered.get(name, -INFINITY) for name in voters), reverse=True)
    return newest_first[len(voters) // 2] if newest_first else -INFINITY


class Contact(ControlMember):
    """Decides whether this member is in touch with the primary, and answers requests while it isn't.

    Owns no state: it reads `leader_heard` and `voter_heard`, which `Replica` changes, and `epoch`. There are three
    cases: a member in touch serves the feed and takes requests; a member out of touch refers clients to other members;
    and a primary that is changing its replica set still counts as the primary for twice the lease.
    """

    def last_contact(self) -> float:
        """Returns when this member last heard its primary or, as the primary, most voters; -INFINITY if it never did."""
        answered = self.voter_heard | ({self.settings.name: now()} if self.epoch else {})
        return max(self.leader_heard, last_majority(self.replicated_state.replica_set.voters, answered))

    def in_touch(self) -> bool:
        """Returns whether the last contact is within the lease, so that this member may serve what it knows."""
        return now() - self.last_contact() <= self.settings.bounds.contact_lease

    def has_lost_contact(self) -> bool:
        """Returns whether this member is neither the primary nor in touch with it. After its start a member has one
        lease to hear the primary. A member that has no configuration has not lost touch, since it belongs to no fleet
        yet and so has no primary."""
        if self.epoch or self.known_configuration() is None or self.is_renewing_replica_set():
            return False
        return now() - max(self.last_contact(), self.started_at) > self.settings.bounds.contact_lease

    def is_renewing_replica_set(self) -> bool:
        """Returns whether this is the primary while it takes another backup or voter by a new epoch; for a moment it
        leads no epoch then. A former primary that was cut off runs elections too, but has not heard most voters for
        longer than that."""
        is_renewing = self.leader == self.settings.name and self.lock.locked()
        return is_renewing and now() - self.last_contact() <= RENEWAL_LEASES * self.settings.bounds.contact_lease

    def other_members(self) -> list[str]:
        """Returns the addresses of the other control members."""
        return [addr for n in self.members() if n != self.settings.name and (addr := self.peer_address(n))]

    def stale_answer(self) -> Stale:
        """Returns the feed's answer of a member that is out of touch, with the addresses of the others to ask
        instead."""
        return Stale(self.configuration_view.revision, tuple(self.other_members()))

    def resumed_fault(self, step: str) -> Fault:
        """Returns the fault of a member that stood still while a request waited in its socket: the sender may have given
        up since, and repeated the request elsewhere."""
        return Fault(step, self.settings.name, "this process stood still since it was sent; ask again", REJECTED)

    def out_of_touch_fault(self, step: str) -> Fault:
        """Returns the fault of a member that is out of touch, with the addresses of the others to ask instead."""
        others = ", ".join(self.other_members()) or "no other is known"
        return Fault(step, self.settings.name, f"out of touch with the primary; ask another: {others}", REJECTED)

    async def forward_without_contact(self, verb: str, body: Body) -> PeerResponse:
        """Forwards a worker's heartbeat to other members, through which it may reach the primary; returns the first
        success. For any other verb, and if no member succeeds, returns the fault that refers the client to the other
        members."""
        if verb != "beat" or body.get("relayed"):
            return Err(self.out_of_touch_fault(verb))
        others = self.other_members()
        relays = self.environment.chance.sample(others, min(RELAYS, len(others)))
        timeout = self.settings.bounds.leave / 4
        requests = {addr: self.peer_links.request(addr, verb, body | {"relayed": 1}, timeout) for addr in relays}
        responses = await gather_until(requests, lambda received: any(r.is_ok() for r in received.values()), 0.0)
        return next(
            (response for response in responses.values() if response.is_ok()), Err(self.out_of_touch_fault(verb))
        )
