"""Reads of the configuration in force, with codecs to and from the JSON body.

Keys and their order are those of release 0.2.0; fields carry the field's terms.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from postpass.configuration.configuration import Configuration
from postpass.rpc.codec import Body


@dataclass(frozen=True)
class ReadRequest:
    """Asks for the configuration in force; with `brief` only for its revision, with `source` for the operator's document.

    A daemon that starts sends `wait`, in seconds: the answer is held until there is a primary that confirms it.
    """

    brief: bool = False
    source: bool = False
    wait: float | None = None

    def as_json(self) -> Body:
        """As members and daemons send it."""
        body: Body = {}
        if self.brief:
            body["brief"] = 1
        if self.source:
            body["source"] = 1
        if self.wait is not None:
            body["wait"] = self.wait
        return body

    @classmethod
    def from_json(cls, body: Body) -> ReadRequest:
        """Reads what was sent."""
        wait = float(body["wait"]) if "wait" in body else None
        return cls(bool(body.get("brief")), bool(body.get("source")), wait)


@dataclass(frozen=True)
class RevisionAnswer:
    """A revision alone: the one in force, or the one that has a change."""

    revision: int

    def as_json(self) -> Body:
        """As members send it."""
        return {"edition": self.revision}

    @classmethod
    def from_json(cls, body: Body) -> RevisionAnswer:
        """Reads what a member answered."""
        return cls(int(body["edition"]))


@dataclass(frozen=True)
class ConfigurationAnswer:
    """The configuration in force, None where there is none yet, and how often acknowledged state may have been lost."""

    revision: int
    configuration: Configuration | None
    losses: int

    def as_json(self) -> Body:
        """As members send it."""
        return {"edition": self.revision, "manifest": self.configuration, "losses": self.losses}

    @classmethod
    def from_json(cls, body: Body) -> ConfigurationAnswer:
        """Reads what the primary answered."""
        return cls(body["edition"], body["manifest"], body.get("losses", 0))


@dataclass(frozen=True)
class SourceAnswer:
    """The operator's document in force, with its version."""

    revision: int
    source: Any
    version: int

    def as_json(self) -> Body:
        """As members send it."""
        return {"edition": self.revision, "source": self.source, "version": self.version}
