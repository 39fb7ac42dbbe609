"""What the head of a worker's answer proves about the request that it answers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from postpass.configuration.header_names import Dialect

CONTENT_ENCODING = b"content-encoding"
# Statuses that are promises: the request did not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
MISDIRECTED = 421


class Proof(Enum):
    """What a head proves."""

    ANSWER = "answer"  # the worker's own answer to this request
    NOT_RUN = "not run"  # the worker turned the request away
    OTHER_WORKER = "other worker"  # another worker than the wanted one has the address; nothing ran
    NONE = "none"  # no answer that may be passed on; the request may have run


@dataclass(frozen=True)
class ResponseCheck:
    """A proof, and for `Proof.NONE` why it is none."""

    proof: Proof
    why: str = ""


@dataclass(frozen=True)
class ResponseHeaderNames:
    """The dialect's names of the headers on answers, as bytes."""

    not_run: bytes
    seal: bytes

    @classmethod
    def of(cls, dialect: Dialect) -> ResponseHeaderNames:
        """Those of a dialect."""
        return cls(dialect.not_run.encode(), dialect.seal.encode())


def check_response(status: int, headers: Sequence[tuple[bytes, bytes]], names: ResponseHeaderNames) -> ResponseCheck:
    """What a head proves that came completely and whose request id was compared already."""
    present = {name for name, _ in headers}
    if not 200 <= status <= 599:
        return ResponseCheck(Proof.NONE, f"status {status}")
    if status == MISDIRECTED:
        return ResponseCheck(Proof.OTHER_WORKER)
    if names.not_run in present:
        if status < 300:
            return ResponseCheck(Proof.NONE, "a success that says that it did not run")
        return ResponseCheck(Proof.NOT_RUN if status in PROMISES else Proof.ANSWER)
    if status in PROMISES:
        return ResponseCheck(Proof.NONE, f"{status} without proof that it did not run")
    if status < 300 and (names.seal not in present or CONTENT_ENCODING in present):
        return ResponseCheck(Proof.NONE, "a success without the worker's seal")
    return ResponseCheck(Proof.ANSWER)
