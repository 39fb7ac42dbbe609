"""The control state that a replica stores on its disk, and its encoding."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass

from postpass.control.epochs import ReplicaSet
from postpass.membership.registry import State
from postpass.rpc.codec import Body

# Field of `State` -> its key on disk and in messages between members, where the two differ. The keys are those of
# release 0.2.0.
STATE_KEYS = {"revision": "edition", "unassigned": "aside", "ended": "left"}
STATE_FIELDS = {key: name for name, key in STATE_KEYS.items()}


def state_as_json(state: State) -> Body:
    """Returns the state as a JSON object with its keys on disk; the values are shared with the state, not copied."""
    return {STATE_KEYS.get(name, name): value for name, value in vars(state).items()}


def state_from_json(body: Body) -> State:
    """Returns the state that a JSON object with its keys on disk describes; the values are shared, not copied. Fields
    that an older release doesn't write take their default."""
    return State(**{STATE_FIELDS.get(key, key): value for key, value in body.items()})


@dataclass(frozen=True)
class CommittedState:
    """State that all holders of an epoch have synced. Requests are answered from such a state alone.

    Invariant: it is created only by the primary, after a commit or a won election, or by a backup that the primary told
    that the state is committed.
    """

    state: State = State()


@dataclass(frozen=True)
class ReplicatedState:
    """The state that this machine has on disk; it may be a proposal that is never committed.

    Invariant: this is the complete state of `epoch`, which is 0 if there is no state. It is set only by the primary of
    that epoch, on its own machine or by an append to others.
    """

    epoch: int = 0
    replica_set: ReplicaSet = ReplicaSet()
    state: State = State()

    @property
    def order(self) -> tuple[int, bool, int]:
        """The sort key of states: of two states that a member is sent, the one with the greater key is the later one. A
        settled replica set follows the unsettled one of its epoch, since no change is written before a replica set is
        settled."""
        return self.epoch, not self.replica_set.previous_voters, self.state.revision

    def as_json(self) -> Body:
        """Returns the JSON object that is stored and sent to members, with the keys of release 0.2.0. The values of
        `state` are shared with this object, not copied."""
        return {"whole": self.epoch, "pair": self.replica_set.as_json(), "state": state_as_json(self.state)}

    @classmethod
    def from_json(cls, raw: Body) -> ReplicatedState:
        """Decodes a JSON object; the values of the state are shared with it, not copied."""
        return cls(raw["whole"], ReplicaSet.from_json(raw["pair"]), state_from_json(raw["state"]))

    def dump(self) -> bytes:
        """Encodes the state file of releases up to 0.2.0, which has the checksum of its body."""
        body = json.dumps(self.as_json(), separators=(",", ":"))
        return json.dumps({"sum": hashlib.sha256(body.encode()).hexdigest(), "body": body}).encode()

    @classmethod
    def load(cls, data: bytes) -> ReplicatedState:
        """Decodes a state file; raises ValueError if its checksum doesn't match."""
        raw = json.loads(data)
        if hashlib.sha256(raw["body"].encode()).hexdigest() != raw["sum"]:
            raise ValueError("the checksum doesn't match")
        return cls.from_json(json.loads(raw["body"]))
