"""Errors that carry the step and the peer at which they arose.

A `Fault` is a value: handlers return it, links carry it, and whoever asked decides by its `code`, `hint`, `unsent` and
`unsure` what to do next. `FaultError` raises one, where it has to end the task or the process that met it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Any


@unique
class ErrorCode(IntEnum):
    """What peers act upon. The numbers are on the wire: HTTP statuses where one fits, so that a gateway can pass them on
    as they are. A peer of a later release may send others."""

    BAD_REQUEST = 400  # the request can never be accepted as it is
    NOT_FOUND = 404
    CONFLICT = 409  # the id is taken by something else
    PRECONDITION_FAILED = 412  # the request builds on a version that is not the present one
    NOT_RESPONSIBLE = 421  # another peer owns what was asked for; the hint may name it
    TOO_MANY_REQUESTS = 429  # a bound of the client or class is reached; later is fine
    PEER_FAILED = 502  # anything else: the peer, its disk or the link to it failed
    REJECTED = 503  # not accepted now; nothing was done
    TIMED_OUT = 504  # no response in time; it may have been done
    NO_SPACE = 507  # the disk has no space


BAD: int = ErrorCode.BAD_REQUEST
LACK: int = ErrorCode.NOT_FOUND
CLASH: int = ErrorCode.CONFLICT
OLD: int = ErrorCode.PRECONDITION_FAILED
MOVED: int = ErrorCode.NOT_RESPONSIBLE
CROWD: int = ErrorCode.TOO_MANY_REQUESTS
BROKE: int = ErrorCode.PEER_FAILED
REJECTED: int = ErrorCode.REJECTED
SLOW: int = ErrorCode.TIMED_OUT
FULL: int = ErrorCode.NO_SPACE


@dataclass(frozen=True)
class Fault:
    """What failed.

    Attributes:
        step: what was tried.
        peer: at whom: a process, an address, or this process itself.
        why: what was seen, for people.
        code: an `ErrorCode`, or a number that a later release uses.
        hint: what code may act upon beside the number, such as the address of the owner.
        unsent: True only if it is proved that no byte of the request left this process.
        unsure: True if an earlier try at the same thing was left without an answer.
    """

    step: str
    peer: str
    why: str
    code: int = ErrorCode.PEER_FAILED
    hint: str = ""
    unsent: bool = False
    unsure: bool = False

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.why}"

    def as_json(self) -> dict[str, Any]:
        """The fault as clients and operators are told it."""
        return {"step": self.step, "peer": self.peer, "why": self.why} | ({"hint": self.hint} if self.hint else {})


class FaultError(Exception):
    """Ends the task or the process that met a fault."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault
