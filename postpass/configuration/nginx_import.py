"""Converts the plain routes of an nginx configuration, which crossplane parses, into parts of a fleet's configuration.

The parts have the format of the configuration's document, in which a route of a plain class is an entry of `ways`.
"""

from __future__ import annotations

from typing import Any

import crossplane
from result import Err, Ok, Result

from postpass.configuration.settings import address_errors

JsonObject = dict[str, Any]
# Directives that are ignored without a note, since they have no effect on what is converted.
IGNORED_DIRECTIVES = ("events", "include", "#")
SCHEME = "http://"
DEFAULT_PORT = 80
DEFAULT_SLOTS = 16  # nginx doesn't state how many concurrent requests a server accepts


def carry_over(path: str) -> Result[tuple[JsonObject, list[str]], list[str]]:
    """Converts upstreams to pools with a plain class each, and locations to entries of `ways`.

    A plain class has the kind `plain`: its requests are passed on, by their path prefix, to back ends of a plain pool.

    :param path: the main file of the nginx configuration.
    :returns: the parts of a configuration, and notes for the operator: a line for each directive that was not converted
        and for each server whose zone has to be filled in; or the errors of the parser.
    """
    parsed = crossplane.parse(path)
    if parsed["status"] != "ok":
        return Err([f"{e.get('file', path)}:{e.get('line') or '?'}: {e['error']}" for e in parsed["errors"]])
    conversion = _Conversion()
    for parsed_file in parsed["config"]:
        conversion.add_blocks(parsed_file["file"], parsed_file["parsed"])
    conversion.add_direct_back_ends(path)
    return Ok((conversion.document(), conversion.unconverted + conversion.missing_zones()))


def _with_port(address: str) -> str:
    return address if ":" in address else f"{address}:{DEFAULT_PORT}"


def _server(address: str) -> JsonObject:
    return {"url": f"{SCHEME}{address}", "area": "", "slots": DEFAULT_SLOTS}


class _Conversion:
    """The parts of a configuration, collected while the blocks of the nginx files are read in order."""

    def __init__(self) -> None:
        self.pools: JsonObject = {}
        self.routes: JsonObject = {}  # name of the pool, or address of a back end, by path prefix
        self.unconverted: list[str] = []  # a line for each directive that was not converted

    def add_blocks(self, file: str, blocks: list[JsonObject]) -> None:
        """Adds the contents of the blocks of one level, and of the levels below `http` and `server`."""
        for block in blocks:
            if block["directive"] in ("http", "server"):
                self.add_blocks(file, block.get("block", []))
            elif block["directive"] == "upstream":
                self._add_upstream(file, block)
            elif block["directive"] == "location":
                self._add_location(file, block)
            elif block["directive"] not in IGNORED_DIRECTIVES:
                self._note_unconverted(file, block, "not carried over")

    def add_direct_back_ends(self, path: str) -> None:
        """Adds a pool of one server for each route whose proxy_pass names an address instead of an upstream.

        A route that names neither an upstream nor an address is dropped, with a note.
        """
        for prefix, name in list(self.routes.items()):
            if name in self.pools:
                continue
            address = _with_port(name)
            if address_errors("", address):
                self.unconverted.append(f"{path}: way {prefix}: no upstream {name}")
                del self.routes[prefix]
            else:
                self.pools[name] = {"kind": "plain", "servers": {f"{name}-1": _server(address)}}

    def document(self) -> JsonObject:
        """Returns the parts of a configuration, with a class for each pool."""
        classes = {name: {"kind": "plain", "pool": name, "share": 1} for name in self.pools}
        return {"pools": self.pools, "classes": classes, "ways": self.routes}

    def missing_zones(self) -> list[str]:
        """Returns a line for each server, whose zone the operator has to fill in since nginx doesn't state it."""
        return [
            f"pools.{name}.servers.{server}.area: fill in where it stands"
            for name, pool in self.pools.items()
            for server in pool["servers"]
        ]

    def _note_unconverted(self, file: str, block: JsonObject, reason: str) -> None:
        line = f"{file}:{block['line']}: {block['directive']} {' '.join(block['args'])}: {reason}"
        self.unconverted.append(line.replace(" : ", ": "))

    def _add_upstream(self, file: str, block: JsonObject) -> None:
        name = block["args"][0]
        servers: JsonObject = {}
        for directive in block.get("block", []):
            if directive["directive"] != "server":
                self._note_unconverted(file, directive, "placing is postpass's own")
                continue
            address = _with_port(directive["args"][0] if directive["args"] else "")
            if address_errors("", address):
                self._note_unconverted(file, directive, "servers are named by IP number and port")
                continue
            options = [option for option in directive["args"][1:] if option != "down"]
            if options:
                self._note_unconverted(file, {**directive, "args": options}, "not carried over")
            servers[f"{name}-{len(servers) + 1}"] = _server(address) | (
                {"leave": True} if "down" in directive["args"] else {}
            )
        self.pools[name] = {"kind": "plain", "servers": servers}

    def _add_location(self, file: str, block: JsonObject) -> None:
        directives = block.get("block", [])
        proxy_passes = [b for b in directives if b["directive"] == "proxy_pass"]
        for directive in directives:
            if directive["directive"] != "proxy_pass":
                self._note_unconverted(file, directive, "not carried over")
        if len(block["args"]) != 1 or not block["args"][0].startswith("/"):
            self._note_unconverted(file, block, "only prefix locations become ways")
        elif not proxy_passes:
            self._note_unconverted(file, block, "has no proxy_pass")
        else:
            self._add_route(file, block["args"][0], proxy_passes[0])

    def _add_route(self, file: str, prefix: str, proxy_pass: JsonObject) -> None:
        target = proxy_pass["args"][0]
        back_end = target.removeprefix(SCHEME)
        if not target.startswith(SCHEME):
            self._note_unconverted(file, proxy_pass, "only http back ends")
        elif "/" in back_end:
            self._note_unconverted(file, proxy_pass, "a way passes the path on unchanged")
        else:
            self.routes[prefix] = back_end
