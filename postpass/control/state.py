"""The control state that a replica keeps on its disk, and its codec."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass

from postpass.control.epochs import ReplicaSet
from postpass.membership.registry import State
from postpass.rpc.codec import Body

# Keys on disk and between members that differ from the field's name: they are those of release 0.2.0.
STATE_KEYS = {"revision": "edition", "unassigned": "aside", "ended": "left"}
STATE_FIELDS = {key: name for name, key in STATE_KEYS.items()}


def state_body(state: State) -> Body:
    """The state by its keys on disk; shares its parts."""
    return {STATE_KEYS.get(name, name): value for name, value in vars(state).items()}


def state_of(body: Body) -> State:
    """The state of a body by its keys on disk; shares its parts. Keys that an older release left out take their default."""
    return State(**{STATE_FIELDS.get(key, key): value for key, value in body.items()})


@dataclass(frozen=True)
class Committed:
    """State that all holders of an epoch have synced: the only one that answers are made from. Invariant: made only by
    the primary after a commit or an election won, or at a backup that the primary told so."""

    state: State = State()


@dataclass(frozen=True)
class ReplicatedState:
    """What this machine keeps of the state; it may be a proposal that never comes to be. Invariant: `epoch` is the one
    whose state this is, all of it; 0 if none is held. It is set only by that epoch's primary, here or by an append."""

    epoch: int = 0
    replica_set: ReplicaSet = ReplicaSet()
    state: State = State()

    @property
    def order(self) -> tuple[int, bool, int]:
        """Of two states that a member is given the greater one is the later: nothing is written before a replica set is
        settled."""
        return self.epoch, not self.replica_set.previous_voters, self.state.revision

    def raw(self) -> Body:
        """By its keys on disk and between members, those of release 0.2.0; shares what it can with this one."""
        return {"whole": self.epoch, "pair": self.replica_set.as_json(), "state": state_body(self.state)}

    @classmethod
    def of(cls, raw: Body) -> ReplicatedState:
        """From JSON; shares its parts with it."""
        return cls(raw["whole"], ReplicaSet.of(raw["pair"]), state_of(raw["state"]))

    def dump(self) -> bytes:
        """The state file of releases up to 0.2.0, with the checksum of its body."""
        body = json.dumps(self.raw(), separators=(",", ":"))
        return json.dumps({"sum": hashlib.sha256(body.encode()).hexdigest(), "body": body}).encode()

    @classmethod
    def load(cls, data: bytes) -> ReplicatedState:
        """Reads a state file; raises ValueError if the checksum doesn't match."""
        raw = json.loads(data)
        if hashlib.sha256(raw["body"].encode()).hexdigest() != raw["sum"]:
            raise ValueError("the sum doesn't match")
        return cls.of(json.loads(raw["body"]))
