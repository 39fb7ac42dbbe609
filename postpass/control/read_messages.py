"""Reads of the configuration in force, with codecs to and from the JSON body.

Keys and their order in JSON are those of release 0.2.0; the fields of the classes are named in the usual terms instead.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from postpass.configuration.configuration import Configuration
from postpass.rpc.codec import Body


@dataclass(frozen=True)
class ReadRequest:
    """Asks for the configuration in force; with `brief` only for its revision, with `source` for the operator's document.

    A daemon that starts sends `wait`: for this many seconds at most, the answer waits for a primary that confirms it.
    """

    brief: bool = False
    source: bool = False
    wait: float | None = None

    def as_json(self) -> Body:
        """Returns the JSON body; keys without a value are left out."""
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
        """Parses the JSON body of a read."""
        wait = float(body["wait"]) if "wait" in body else None
        return cls(bool(body.get("brief")), bool(body.get("source")), wait)


@dataclass(frozen=True)
class RevisionAnswer:
    """A revision without its contents: the one in force, or the one that contains a change."""

    revision: int

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"edition": self.revision}

    @classmethod
    def from_json(cls, body: Body) -> RevisionAnswer:
        """Parses the JSON body of a member's answer."""
        return cls(int(body["edition"]))


@dataclass(frozen=True)
class ConfigurationAnswer:
    """The configuration in force, None if there is none yet; `losses` is how often acknowledged state may have been lost."""

    revision: int
    configuration: Configuration | None
    losses: int

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"edition": self.revision, "manifest": self.configuration, "losses": self.losses}

    @classmethod
    def from_json(cls, body: Body) -> ConfigurationAnswer:
        """Parses the JSON body of the primary's answer."""
        return cls(body["edition"], body["manifest"], body.get("losses", 0))


@dataclass(frozen=True)
class SourceAnswer:
    """The operator's document in force, with its version."""

    revision: int
    source: Any
    version: int

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"edition": self.revision, "source": self.source, "version": self.version}
