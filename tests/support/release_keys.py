"""The names that a release gives to what it sends, keeps on disk and reads as settings."""

from __future__ import annotations

import json
from typing import Any, NotRequired, get_origin, get_type_hints

from postpass.batch.job import Job, JobView, decode_record
from postpass.configuration.settings import BoundsFile, SettingsFile, ToleranceFile
from postpass.control.epochs import VoteRecord
from postpass.control.state import ReplicatedState
from postpass.membership.registry import MachineAnnouncement, WorkerAnnouncement
from postpass.rpc.codec import IDL
from sim.announced import module
from tests.support.data_directories import as_json

Names = dict[str, Any]


def thrift_fields(kind: Any) -> list[list[int]]:
    """Number and type of each field: what stands for it in a message. Its name isn't sent."""
    return [[number, spec[0]] for number, spec in sorted(kind.thrift_spec.items())]


def thrift_keys() -> Names:
    """The structs of the peer protocol, and the arguments and results of its verbs."""
    kinds = (*IDL.__thrift_meta__["structs"], *IDL.__thrift_meta__["exceptions"])
    verbs = {
        verb: {
            "arguments": thrift_fields(getattr(IDL.Peer, f"{verb}_args")),
            "result": thrift_fields(getattr(IDL.Peer, f"{verb}_result")),
            "oneway": bool(getattr(IDL.Peer, f"{verb}_result").oneway),
        }
        for verb in IDL.Peer.thrift_services
    }
    return {"structs": {kind.__name__: thrift_fields(kind) for kind in kinds}, "verbs": verbs}


def data_keys() -> Names:
    """The keys of what stands in the directories of control and stores, in their order."""
    state = as_json(ReplicatedState().as_json())
    view, _ = decode_record(JobView(jobs={"x": Job("x", 1, {"items": []}, "")}).dump())
    return {
        "witness": list(json.loads(VoteRecord().dump())),
        "replicated state": list(state),
        "replica set": list(state["pair"]),
        "state": list(state["state"]),
        "view": list(view),
        "lot": list(view["lots"][0]),
    }


def typed_keys(kind: Any) -> Names:
    """The keys that a settings file must have and may have."""
    hints = get_type_hints(kind, include_extras=True)
    optional = {key for key, hint in hints.items() if not kind.__total__ or get_origin(hint) is NotRequired}
    return {"required": sorted(set(hints) - optional), "optional": sorted(optional)}


def settings_keys() -> Names:
    """The keys of settings files, and of what machines and workers say of themselves."""
    platform = module("settings")
    kinds = {
        "platform": platform.PlatformSettings,
        "platform listen": platform.Listen,
        "platform limits": platform.Limits,
        "platform tolerate": platform.Tolerate,
        "process": SettingsFile,
        "process bounds": BoundsFile,
        "process tolerate": ToleranceFile,
        "machine": MachineAnnouncement,
        "worker": WorkerAnnouncement,
    }
    return {name: typed_keys(kind) for name, kind in kinds.items()}


def release_keys() -> Names:
    """All names but those of JSON messages, which only a run shows."""
    return {"thrift": thrift_keys(), "data": data_keys(), "settings": settings_keys()}
